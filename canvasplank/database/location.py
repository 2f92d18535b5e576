"""Where a database is: the check of the settings that locate it, and closing it within a bound."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol
from urllib.parse import urlsplit

from canvasplank.database.errors import StoreRefusedError, StoreUnavailableError

POSTGRESQL_SCHEMES = ("postgresql", "postgres")


def check_location(backend: str, path: str, dsn: str) -> None:
    """Raise ``ValueError`` if ``backend`` lacks the setting that locates it: ``path`` or ``dsn``."""
    if backend == "sqlite" and not path:
        raise ValueError("backend sqlite needs a path")
    if backend == "postgresql":
        url = urlsplit(dsn)
        if url.scheme not in POSTGRESQL_SCHEMES or not url.hostname or not url.path.strip("/"):
            raise ValueError("backend postgresql needs a dsn like postgresql://user@host:5432/database")
        _ = url.port  # raises ValueError if it is not a port number


class Closeable(Protocol):
    """Anything that can be closed."""

    async def close(self) -> None:
        """Release its connection."""


async def close_within(backend: Closeable, timeout_s: float) -> None:
    """Close the backend; one that does not close within ``timeout_s``, or fails to, is abandoned."""
    with contextlib.suppress(TimeoutError, StoreUnavailableError, StoreRefusedError):
        async with asyncio.timeout(timeout_s):
            await backend.close()
