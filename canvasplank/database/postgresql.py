"""A PostgreSQL connection through asyncpg, for a database that several machines share."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

import asyncpg

from canvasplank.database.errors import DatabaseUnavailableError, DataRejectedError, NewerSchemaError
from canvasplank.database.migrations import Schema

# Raised for invalid data: SQLSTATE classes 22 and 23, or a value that cannot be encoded.
DATA_ERRORS = (asyncpg.DataError, asyncpg.IntegrityConstraintViolationError)
UNAVAILABLE_ERRORS = (
    asyncpg.PostgresError,
    asyncpg.InterfaceError,
    OSError,
    TimeoutError,
    EOFError,
    NewerSchemaError,
)

Result = TypeVar("Result")


class PostgresqlEngine:
    """One connection to a database with the tables of one subsystem.

    All methods translate the driver's errors to ``DatabaseUnavailableError`` or ``DataRejectedError``.
    """

    def __init__(
        self, dsn: str, timeout_s: float, schema: Schema, settings: Mapping[str, str] | None = None
    ) -> None:
        self._dsn, self._timeout_s, self._schema = dsn, timeout_s, schema
        self._settings = {"application_name": "canvasplank", **(settings or {})}
        self._connection: asyncpg.Connection | None = None

    async def run(self, operation: Callable[[asyncpg.Connection], Awaitable[Result]]) -> Result:
        """Run an operation on the connection and return its result."""
        return await self._translate_errors(operation(self._active_connection))

    async def open(self) -> None:
        """Connect and apply the pending migrations."""
        await self._translate_errors(self._open())

    async def migrate(self, schema: Schema) -> None:
        """Apply the pending migrations of another subsystem in the same database."""
        await self.run(lambda connection: _migrate(connection, schema))

    async def close(self) -> None:
        """Abort the connection without sending Terminate, which would block if the server is stalled."""
        connection, self._connection = self._connection, None
        if connection is not None:
            with contextlib.suppress(*UNAVAILABLE_ERRORS):
                connection.terminate()

    async def _translate_errors(self, operation: Awaitable[Result]) -> Result:
        try:
            return await operation
        except DATA_ERRORS as error:
            raise DataRejectedError(f"PostgreSQL: {error}") from error
        except UNAVAILABLE_ERRORS as error:
            raise DatabaseUnavailableError(f"PostgreSQL: {error or type(error).__name__}") from error

    @property
    def _active_connection(self) -> asyncpg.Connection:
        if self._connection is None or self._connection.is_closed():
            raise DatabaseUnavailableError("PostgreSQL: not connected")
        return self._connection

    async def _open(self) -> None:
        await self.close()
        self._connection = connection = await asyncpg.connect(
            self._dsn, timeout=self._timeout_s, server_settings=self._settings
        )
        await _migrate(connection, self._schema)


async def _migrate(connection: asyncpg.Connection, schema: Schema) -> None:
    async with connection.transaction():
        await connection.execute(f"SELECT pg_advisory_xact_lock({schema.advisory_lock_id})")
        await connection.execute(schema.create_version_table)
        version = await connection.fetchval(schema.select_version)
        for index in schema.pending_migrations(None if version is None else int(version)):
            for statement in schema.migrations[index]:
                await connection.execute(statement)
            await connection.execute(schema.insert_version, index + 1)
