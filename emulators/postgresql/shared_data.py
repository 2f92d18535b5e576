"""State that all sessions of the server share: the data in an SQLite file, the lock and the faults."""

from __future__ import annotations

import asyncio
import contextlib
import sqlite3
from pathlib import Path

from emulators.postgresql.faults import Faults
from emulators.postgresql.protocol import TEXT_OID, TYPE_OIDS, Value

DATA_FILE = "standin.db"  # within the server's folder
STALL_POLL_INTERVAL_S = 0.01


class SharedData:
    """The data in an SQLite file, the lock and the faults. All of them outlive restarts of the server."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / DATA_FILE
        self.faults = Faults()
        self.lock = asyncio.Lock()  # replaces all row locks
        self.commits = 0
        self._column_types: dict[str, int] = {}

    def connect(self) -> sqlite3.Connection:
        """Open a connection that provides the PostgreSQL functions used by clients' statements."""
        database = sqlite3.connect(self.path, timeout=1.0, isolation_level=None)
        database.execute("PRAGMA journal_mode = WAL")
        database.execute("PRAGMA synchronous = OFF")
        database.create_function("pg_advisory_xact_lock", 1, lambda _: None)
        return database

    def column_type(self, database: sqlite3.Connection, column: str) -> int:
        """Return the type OID of a result's column: that of a table column of this name, else text."""
        if column not in self._column_types:
            found = database.execute(
                "SELECT c.type FROM sqlite_master t, pragma_table_info(t.name) c "
                "WHERE t.type = 'table' AND c.name = ?",
                [column],
            ).fetchone()
            if found is None:
                return TEXT_OID
            self._column_types[column] = TYPE_OIDS[found[0].lower()]
        return self._column_types[column]

    def rows(self, sql: str) -> list[tuple[Value, ...]]:
        """Return the result of a query in SQLite's dialect on the committed data."""
        with contextlib.closing(self.connect()) as database:
            return database.execute(sql).fetchall()

    async def wait_while_stalled(self) -> None:
        """Wait while the fault ``stalled`` is set."""
        while self.faults.stalled:
            await asyncio.sleep(STALL_POLL_INTERVAL_S)
