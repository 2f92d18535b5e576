"""Validates the settings that locate a database, and closes a backend within a time limit."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol
from urllib.parse import urlsplit

from canvasplank.database.errors import DatabaseUnavailableError, DataRejectedError

POSTGRESQL_SCHEMES = ("postgresql", "postgres")


def check_location(backend: str, path: str, dsn: str) -> None:
    """Raise ``ValueError`` if the path (SQLite) or the DSN (PostgreSQL) is missing or malformed."""
    if backend == "sqlite" and not path:
        raise ValueError("backend sqlite needs a path")
    if backend == "postgresql":
        url = urlsplit(dsn)
        if url.scheme not in POSTGRESQL_SCHEMES or not url.hostname or not url.path.strip("/"):
            raise ValueError("backend postgresql needs a dsn like postgresql://user@host:5432/database")
        _ = url.port  # raises ValueError if the port is not a valid number


class Closeable(Protocol):
    """A backend with a connection that can be closed."""

    async def close(self) -> None:
        """Close the connection."""


async def close_within(backend: Closeable, timeout_s: float) -> None:
    """Close the backend, ignoring database errors; give up after ``timeout_s`` seconds."""
    with contextlib.suppress(TimeoutError, DatabaseUnavailableError, DataRejectedError):
        async with asyncio.timeout(timeout_s):
            await backend.close()
