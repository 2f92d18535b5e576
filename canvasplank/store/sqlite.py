"""The store of record in an SQLite file, for one machine."""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence

from canvasplank.database.sqlite import SqliteEngine, to_sqlite, transaction
from canvasplank.store import schema
from canvasplank.store.backend import CallCount
from canvasplank.store.records import CallOutcome


class Sqlite(SqliteEngine):
    """See ``Backend``."""

    def __init__(self, path: str) -> None:
        super().__init__(path, schema.SCHEMA, "store")

    async def write(self, batch: Sequence[CallOutcome]) -> None:
        """See ``Backend``."""
        rows = [schema.to_row(record) for record in batch]

        def write(connection: sqlite3.Connection) -> None:
            with transaction(connection):
                connection.executemany(to_sqlite(schema.UPSERT), rows)

        await self.run(write)

    async def count_calls(self, since_ms: int, instance: str) -> list[CallCount]:
        """See ``Backend``."""
        rows = await self.run(
            lambda c: c.execute(to_sqlite(schema.COUNT_CALLS), (since_ms, instance)).fetchall()
        )
        return [CallCount(*row) for row in rows]
