"""The fleet's state in an SQLite file, for several processes on one machine."""

from __future__ import annotations

import sqlite3

from canvasplank.database.sqlite import SqliteEngine, to_sqlite, transaction
from canvasplank.database.statements import SelectedRow
from canvasplank.fleet import lease_transaction, schema
from canvasplank.fleet.backend import FencingToken, StaleTermError, Statements
from canvasplank.fleet.lease_messages import LeaseRequest, LeaseResponse
from canvasplank.fleet.state import FleetState


class Sqlite(SqliteEngine):
    """See ``Backend``.  A transaction is one function on the worker thread and awaits nothing."""

    def __init__(self, path: str) -> None:
        super().__init__(path, schema.SCHEMA, "fleet")
        self._reader = schema.StateReader()

    async def transact(self, request: LeaseRequest) -> LeaseResponse:
        """See ``Backend``."""

        def work(connection: sqlite3.Connection) -> LeaseResponse:
            with transaction(connection):
                before = self._read(connection)
                after, response = lease_transaction.apply(before, request)
                for sql, parameters in schema.diff_statements(before, after):
                    connection.execute(to_sqlite(sql), parameters)
            return response

        return await self.run(work)

    async def execute_fenced(self, token: FencingToken, statements: Statements) -> None:
        """See ``Backend``."""

        def work(connection: sqlite3.Connection) -> None:
            with transaction(connection):
                if connection.execute(to_sqlite(schema.FENCE), token).rowcount != 1:
                    raise StaleTermError(token)
                for sql, parameters in statements:
                    connection.execute(to_sqlite(sql), parameters)

        await self.run(work)

    async def read(self, sql: str, parameters: tuple[object, ...] = ()) -> list[SelectedRow]:
        """See ``Backend``."""
        return await self.run(lambda connection: connection.execute(to_sqlite(sql), parameters).fetchall())

    async def read_state(self) -> FleetState:
        """See ``Backend``."""
        return await self.run(self._read)

    async def remove_member(self, incarnation: int) -> bool:
        """See ``Backend``."""
        return await self.run(
            lambda connection: (
                connection.execute(to_sqlite(schema.DELETE_MEMBER), (incarnation,)).rowcount > 0
            )
        )

    def _read(self, connection: sqlite3.Connection) -> FleetState:
        [next_incarnation] = connection.execute(to_sqlite(schema.LOCK_STATE)).fetchone()
        return self._reader.read(
            next_incarnation,
            connection.execute(schema.SELECT_MEMBERS).fetchall(),
            connection.execute(schema.SELECT_TASKS).fetchall(),
        )
