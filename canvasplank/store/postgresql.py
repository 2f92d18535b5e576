"""The store of record in PostgreSQL, which several machines may share."""

from __future__ import annotations

from collections.abc import Sequence

from canvasplank.database.postgresql import PostgresqlEngine
from canvasplank.store import schema
from canvasplank.store.backend import CallCount
from canvasplank.store.records import CallOutcome


class Postgresql(PostgresqlEngine):
    """See ``Backend``.  One connection suffices, since at most one batch is in flight."""

    def __init__(self, dsn: str, timeout_s: float) -> None:
        super().__init__(dsn, timeout_s, schema.SCHEMA)

    async def write(self, batch: Sequence[CallOutcome]) -> None:
        """See ``Backend``; ``executemany`` is one transaction."""
        rows = [schema.to_row(record) for record in batch]
        await self.run(lambda connection: connection.executemany(schema.UPSERT, rows))

    async def count_calls(self, since_ms: int, instance: str) -> list[CallCount]:
        """See ``Backend``."""
        rows = await self.run(lambda connection: connection.fetch(schema.COUNT_CALLS, since_ms, instance))
        return [CallCount(row[0], row[1], row[2], int(row[3])) for row in rows]
