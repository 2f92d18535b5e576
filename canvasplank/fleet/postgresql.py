"""The fleet's rows in PostgreSQL, for proxies on several machines."""

from __future__ import annotations

import asyncpg

from canvasplank.database.postgresql import PostgresqlEngine
from canvasplank.fleet import lease_transaction, schema
from canvasplank.fleet.backend import FencingToken, StaleTermError, Statements
from canvasplank.fleet.lease_messages import LeaseRequest, LeaseResponse
from canvasplank.fleet.state import FleetState

# Guards the fleet against a proxy that stops within a transaction and would keep the lock for as long.
IDLE_MS = 500


class Postgresql(PostgresqlEngine):
    """See ``Backend``; one connection, since one request is out at a time."""

    def __init__(self, dsn: str, timeout_s: float) -> None:
        limits = {
            "idle_in_transaction_session_timeout": str(IDLE_MS),
            "statement_timeout": str(int(timeout_s * 1000)),
        }
        super().__init__(dsn, timeout_s, schema.SCHEMA, limits)
        self._reader = schema.Reader()

    async def transact(self, request: LeaseRequest) -> LeaseResponse:
        """See ``Backend``."""

        async def work(connection: asyncpg.Connection) -> LeaseResponse:
            async with connection.transaction():
                number = await connection.fetchval(schema.LOCK)
                before = self._reader.rows(
                    number, await connection.fetch(schema.MEMBERS), await connection.fetch(schema.TASKS)
                )
                after, answer = lease_transaction.apply(before, request)
                for statement, values in schema.changes(before, after):
                    await connection.execute(statement, *values)
            return answer

        return await self.do(work)

    async def execute_fenced(self, token: FencingToken, statements: Statements) -> None:
        """See ``Backend``."""

        async def work(connection: asyncpg.Connection) -> None:
            async with connection.transaction():
                if await connection.execute(schema.FENCE, *token) != "UPDATE 1":
                    raise StaleTermError(token)
                for statement, values in statements:
                    await connection.execute(statement, *values)

        await self.do(work)

    async def read(self, statement: str, values: tuple = ()) -> list[tuple]:
        """See ``Backend``."""
        return [tuple(row) for row in await self.do(lambda c: c.fetch(statement, *values))]

    async def read_state(self) -> FleetState:
        """See ``Backend``."""

        async def work(connection: asyncpg.Connection) -> FleetState:
            number = await connection.fetchval(schema.LOCK.removesuffix(" FOR UPDATE"))
            return self._reader.rows(
                number, await connection.fetch(schema.MEMBERS), await connection.fetch(schema.TASKS)
            )

        return await self.do(work)

    async def remove_member(self, incarnation: int) -> bool:
        """See ``Backend``."""
        done = await self.do(lambda connection: connection.execute(schema.DELETE, incarnation))
        return done != "DELETE 0"
