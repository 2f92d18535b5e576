"""Records in PostgreSQL, for a store that is shared."""

from __future__ import annotations

from collections.abc import Sequence

from canvasplank.database.postgresql import PostgresqlEngine
from canvasplank.store import schema
from canvasplank.store.backend import Count
from canvasplank.store.records import Outcome


class Postgresql(PostgresqlEngine):
    """See ``Backend``; one connection, since one batch is out at a time."""

    def __init__(self, dsn: str, timeout_s: float) -> None:
        super().__init__(dsn, timeout_s, schema.SCHEMA)

    async def write(self, batch: Sequence[Outcome]) -> None:
        """See ``Backend``; the whole batch is one transaction."""
        rows = [schema.row(record) for record in batch]
        await self.run(lambda connection: connection.executemany(schema.UPSERT, rows))

    async def count(self, since_ms: int, instance: str) -> list[Count]:
        """See ``Backend``."""
        rows = await self.run(lambda connection: connection.fetch(schema.COUNT, since_ms, instance))
        return [Count(row[0], row[1], row[2], int(row[3])) for row in rows]
