"""A connection to PostgreSQL, for a store that is shared; asyncpg speaks its protocol."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

import asyncpg

from canvasplank.database.errors import NewerSchemaError, StoreRefusedError, StoreUnavailableError
from canvasplank.database.migrations import Schema

# What the data is to blame for; a class 22 or 23 error of the server's, or a value that cannot be encoded.
REFUSALS = (asyncpg.DataError, asyncpg.IntegrityConstraintViolationError)
TROUBLE = (asyncpg.PostgresError, asyncpg.InterfaceError, OSError, TimeoutError, EOFError, NewerSchemaError)

Result = TypeVar("Result")


class PostgresqlEngine:
    """One connection with one subsystem's tables; every method raises one of ``engine.errors``."""

    def __init__(
        self, dsn: str, timeout_s: float, schema: Schema, settings: Mapping[str, str] | None = None
    ) -> None:
        self._dsn, self._timeout_s, self._schema = dsn, timeout_s, schema
        self._settings = {"application_name": "canvasplank", **(settings or {})}
        self._connection: asyncpg.Connection | None = None

    async def do(self, what: Callable[[asyncpg.Connection], Awaitable[Result]]) -> Result:
        """Have it done with the connection."""
        return await self._guarded(what(self._current))

    async def open(self) -> None:
        """Connect and bring the tables up to date."""
        await self._guarded(self._open())

    async def migrate(self, schema: Schema) -> None:
        """Bring another subsystem's tables in the same database up to date."""
        await self.do(lambda connection: _migrate(connection, schema))

    async def close(self) -> None:
        """Let go of it, without a farewell, which a server that hangs would keep us waiting for."""
        connection, self._connection = self._connection, None
        if connection is not None:
            with contextlib.suppress(*TROUBLE):
                connection.terminate()

    async def _guarded(self, what: Awaitable[Result]) -> Result:
        try:
            return await what
        except REFUSALS as error:
            raise StoreRefusedError(f"PostgreSQL: {error}") from None
        except TROUBLE as error:
            raise StoreUnavailableError(f"PostgreSQL: {error or type(error).__name__}") from None

    @property
    def _current(self) -> asyncpg.Connection:
        if self._connection is None or self._connection.is_closed():
            raise StoreUnavailableError("PostgreSQL: not connected")
        return self._connection

    async def _open(self) -> None:
        await self.close()
        self._connection = connection = await asyncpg.connect(
            self._dsn, timeout=self._timeout_s, server_settings=self._settings
        )
        await _migrate(connection, self._schema)


async def _migrate(connection: asyncpg.Connection, schema: Schema) -> None:
    async with connection.transaction():
        await connection.execute(f"SELECT pg_advisory_xact_lock({schema.lock})")
        await connection.execute(schema.create_version)
        version = await connection.fetchval(schema.read_version)
        for number in schema.pending(None if version is None else int(version)):
            for statement in schema.migrations[number]:
                await connection.execute(statement)
            await connection.execute(schema.write_version, number + 1)
