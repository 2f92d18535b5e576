"""A connection to PostgreSQL through asyncpg, for a database that several machines share."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

import asyncpg

from canvasplank.database.errors import NewerSchemaError, StoreRefusedError, StoreUnavailableError
from canvasplank.database.migrations import Schema

# The data is at fault: the server's SQLSTATE classes 22 and 23, or a value that cannot be encoded.
REJECTIONS = (asyncpg.DataError, asyncpg.IntegrityConstraintViolationError)
FAILURES = (
    asyncpg.PostgresError,
    asyncpg.InterfaceError,
    OSError,
    TimeoutError,
    EOFError,
    NewerSchemaError,
)

Result = TypeVar("Result")


class PostgresqlEngine:
    """One connection with one subsystem's tables.

    Every method raises ``StoreUnavailableError`` or ``StoreRefusedError`` in place of the driver's errors.
    """

    def __init__(
        self, dsn: str, timeout_s: float, schema: Schema, settings: Mapping[str, str] | None = None
    ) -> None:
        self._dsn, self._timeout_s, self._schema = dsn, timeout_s, schema
        self._settings = {"application_name": "canvasplank", **(settings or {})}
        self._connection: asyncpg.Connection | None = None

    async def run(self, operation: Callable[[asyncpg.Connection], Awaitable[Result]]) -> Result:
        """Run the operation with the connection and return its result."""
        return await self._translate_errors(operation(self._open_connection))

    async def open(self) -> None:
        """Connect and migrate the tables."""
        await self._translate_errors(self._open())

    async def migrate(self, schema: Schema) -> None:
        """Migrate another subsystem's tables in the same database."""
        await self.run(lambda connection: _migrate(connection, schema))

    async def close(self) -> None:
        """Drop the connection without the protocol's Terminate, on which a stalled server would block."""
        connection, self._connection = self._connection, None
        if connection is not None:
            with contextlib.suppress(*FAILURES):
                connection.terminate()

    async def _translate_errors(self, operation: Awaitable[Result]) -> Result:
        try:
            return await operation
        except REJECTIONS as error:
            raise StoreRefusedError(f"PostgreSQL: {error}") from error
        except FAILURES as error:
            raise StoreUnavailableError(f"PostgreSQL: {error or type(error).__name__}") from error

    @property
    def _open_connection(self) -> asyncpg.Connection:
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
        await connection.execute(schema.create_version_table)
        version = await connection.fetchval(schema.select_version)
        for index in schema.pending_migrations(None if version is None else int(version)):
            for statement in schema.migrations[index]:
                await connection.execute(statement)
            await connection.execute(schema.insert_version, index + 1)
