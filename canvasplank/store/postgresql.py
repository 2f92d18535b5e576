"""Records in PostgreSQL, for a store that is shared; asyncpg speaks its protocol."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Sequence
from typing import TypeVar

import asyncpg

from canvasplank.store import schema
from canvasplank.store.backend import Count, StoreRefusedError, StoreUnavailableError
from canvasplank.store.records import Outcome

MIGRATION_LOCK = 7_201_310  # any number that no other program locks in this database
# What the data is to blame for; a class 22 or 23 error of the server's, or a value that cannot be encoded.
REFUSALS = (asyncpg.DataError, asyncpg.IntegrityConstraintViolationError)
TROUBLE = (asyncpg.PostgresError, asyncpg.InterfaceError, OSError, TimeoutError, EOFError,
           schema.NewerSchemaError)

Result = TypeVar("Result")


class Postgresql:
    """See ``Backend``; one connection, since one batch is out at a time."""

    def __init__(self, dsn: str, timeout_s: float) -> None:
        self._dsn, self._timeout_s = dsn, timeout_s
        self._connection: asyncpg.Connection | None = None

    async def _do(self, what: Awaitable[Result]) -> Result:
        try:
            return await what
        except REFUSALS as fault:
            raise StoreRefusedError(f"PostgreSQL: {fault}") from None
        except TROUBLE as fault:
            raise StoreUnavailableError(f"PostgreSQL: {fault or type(fault).__name__}") from None

    async def open(self) -> None:
        """See ``Backend``."""
        await self._do(self._open())

    async def write(self, batch: Sequence[Outcome]) -> None:
        """See ``Backend``; the whole batch is one transaction."""
        rows = [schema.row(record) for record in batch]
        await self._do(self._current.executemany(schema.UPSERT, rows))

    async def count(self, since_ms: int, instance: str) -> list[Count]:
        """See ``Backend``."""
        rows = await self._do(self._current.fetch(schema.COUNT, since_ms, instance))
        return [Count(row[0], row[1], row[2], int(row[3])) for row in rows]

    async def close(self) -> None:
        """See ``Backend``; without a farewell, which a server that hangs would keep us waiting for."""
        connection, self._connection = self._connection, None
        if connection is not None:
            with contextlib.suppress(*TROUBLE):
                connection.terminate()

    @property
    def _current(self) -> asyncpg.Connection:
        if self._connection is None or self._connection.is_closed():
            raise StoreUnavailableError("PostgreSQL: not connected")
        return self._connection

    async def _open(self) -> None:
        await self.close()
        self._connection = connection = await asyncpg.connect(
            self._dsn, timeout=self._timeout_s, server_settings={"application_name": "canvasplank"})
        async with connection.transaction():
            await connection.execute(f"SELECT pg_advisory_xact_lock({MIGRATION_LOCK})")
            await connection.execute(schema.VERSION_TABLE)
            version = await connection.fetchval(schema.READ_VERSION)
            for number in schema.pending(None if version is None else int(version)):
                for statement in schema.MIGRATIONS[number]:
                    await connection.execute(statement)
                await connection.execute(schema.WRITE_VERSION, number + 1)
