"""The fleet's rows in an SQLite file, for several processes on one machine."""

from __future__ import annotations

import sqlite3

from canvasplank.database.sqlite import SqliteEngine, own, transaction
from canvasplank.fleet import lease_transaction, schema
from canvasplank.fleet.backend import FencingToken, StaleTermError, Statements
from canvasplank.fleet.lease_messages import LeaseRequest, LeaseResponse
from canvasplank.fleet.state import FleetState


class Sqlite(SqliteEngine):
    """See ``Backend``.  A transaction is one piece of work on the thread: nothing is waited for within it."""

    def __init__(self, path: str) -> None:
        super().__init__(path, schema.SCHEMA, "fleet")
        self._reader = schema.Reader()

    async def transact(self, request: LeaseRequest) -> LeaseResponse:
        """See ``Backend``."""

        def work(connection: sqlite3.Connection) -> LeaseResponse:
            with transaction(connection):
                before = self._read(connection)
                after, answer = lease_transaction.apply(before, request)
                for statement, values in schema.changes(before, after):
                    connection.execute(own(statement), values)
            return answer

        return await self.do(work)

    async def execute_fenced(self, token: FencingToken, statements: Statements) -> None:
        """See ``Backend``."""

        def work(connection: sqlite3.Connection) -> None:
            with transaction(connection):
                if connection.execute(own(schema.FENCE), token).rowcount != 1:
                    raise StaleTermError(token)
                for statement, values in statements:
                    connection.execute(own(statement), values)

        await self.do(work)

    async def read(self, statement: str, values: tuple = ()) -> list[tuple]:
        """See ``Backend``."""
        return await self.do(lambda c: c.execute(own(statement), values).fetchall())

    async def read_state(self) -> FleetState:
        """See ``Backend``."""
        return await self.do(self._read)

    async def remove_member(self, incarnation: int) -> bool:
        """See ``Backend``."""
        return await self.do(lambda c: c.execute(own(schema.DELETE), (incarnation,)).rowcount > 0)

    def _read(self, connection: sqlite3.Connection) -> FleetState:
        [number] = connection.execute(own(schema.LOCK)).fetchone()
        return self._reader.rows(
            number, connection.execute(schema.MEMBERS).fetchall(), connection.execute(schema.TASKS).fetchall()
        )
