"""Which database: what a file says of it, and letting go of it."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol
from urllib.parse import urlsplit

from canvasplank.database.errors import StoreRefusedError, StoreUnavailableError

SCHEMES = ("postgresql", "postgres")


def check_where(backend: str, path: str, dsn: str) -> None:
    """Raise ``ValueError`` where a file's ``backend`` lacks what it needs: ``path`` or ``dsn``."""
    if backend == "sqlite" and not path:
        raise ValueError("backend sqlite needs a path")
    if backend == "postgresql":
        where = urlsplit(dsn)
        if where.scheme not in SCHEMES or not where.hostname or not where.path.strip("/"):
            raise ValueError("backend postgresql needs a dsn like postgresql://user@host:5432/database")
        _ = where.port  # raises where it is no port


class Closed(Protocol):
    """Anything that can be let go of."""

    async def close(self) -> None:
        """Let go of it."""


async def let_go(backend: Closed, within_s: float) -> None:
    """Close it, as far as it goes in this time; one that hangs or fails is let go of all the same."""
    with contextlib.suppress(TimeoutError, StoreUnavailableError, StoreRefusedError):
        async with asyncio.timeout(within_s):
            await backend.close()
