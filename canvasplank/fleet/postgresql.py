"""The fleet's state in PostgreSQL, for processes on several machines."""

from __future__ import annotations

import asyncpg

from canvasplank.database.postgresql import PostgresqlEngine
from canvasplank.database.statements import SelectedRow
from canvasplank.fleet import lease_transaction, schema
from canvasplank.fleet.backend import FencingToken, StaleTermError, Statements
from canvasplank.fleet.lease_messages import LeaseRequest, LeaseResponse
from canvasplank.fleet.state import FleetState

# PostgreSQL ends a session that has been idle in a transaction for this time.  A proxy that is suspended
# within a transaction would otherwise hold the fleet's lock until it resumes.
IDLE_IN_TRANSACTION_TIMEOUT_MS = 500


class Postgresql(PostgresqlEngine):
    """See ``Backend``; one connection suffices, since a process has one request in flight at a time."""

    def __init__(self, dsn: str, timeout_s: float) -> None:
        limits = {
            "idle_in_transaction_session_timeout": str(IDLE_IN_TRANSACTION_TIMEOUT_MS),
            "statement_timeout": str(int(timeout_s * 1000)),
        }
        super().__init__(dsn, timeout_s, schema.SCHEMA, limits)
        self._reader = schema.StateReader()

    async def transact(self, request: LeaseRequest) -> LeaseResponse:
        """See ``Backend``."""

        async def work(connection: asyncpg.Connection) -> LeaseResponse:
            async with connection.transaction():
                before = await self._read(connection, schema.LOCK_STATE)
                after, response = lease_transaction.apply(before, request)
                for sql, parameters in schema.diff_statements(before, after):
                    await connection.execute(sql, *parameters)
            return response

        return await self.run(work)

    async def execute_fenced(self, token: FencingToken, statements: Statements) -> None:
        """See ``Backend``."""

        async def work(connection: asyncpg.Connection) -> None:
            async with connection.transaction():
                if await connection.execute(schema.FENCE, *token) != "UPDATE 1":
                    raise StaleTermError(token)
                for sql, parameters in statements:
                    await connection.execute(sql, *parameters)

        await self.run(work)

    async def read(self, sql: str, parameters: tuple[object, ...] = ()) -> list[SelectedRow]:
        """See ``Backend``."""
        return [tuple(row) for row in await self.run(lambda connection: connection.fetch(sql, *parameters))]

    async def read_state(self) -> FleetState:
        """See ``Backend``."""
        unlocked = schema.LOCK_STATE.removesuffix(" FOR UPDATE")
        return await self.run(lambda connection: self._read(connection, unlocked))

    async def remove_member(self, incarnation: int) -> bool:
        """See ``Backend``."""
        status: str = await self.run(lambda connection: connection.execute(schema.DELETE_MEMBER, incarnation))
        return status != "DELETE 0"

    async def _read(self, connection: asyncpg.Connection, select_next_incarnation: str) -> FleetState:
        next_incarnation = await connection.fetchval(select_next_incarnation)
        return self._reader.read(
            next_incarnation,
            await connection.fetch(schema.SELECT_MEMBERS),
            await connection.fetch(schema.SELECT_TASKS),
        )
