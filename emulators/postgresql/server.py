"""The server, whose data outlives its restarts."""

from __future__ import annotations

import asyncio
import contextlib
import sqlite3
from pathlib import Path

from emulators.postgresql.faults import Faults
from emulators.postgresql.protocol import TEXT, TYPES
from emulators.postgresql.session import Session

DATA = "standin.db"  # the file of its data, in its folder


class PostgresqlStandIn:
    """The server; its data outlives its restarts."""

    def __init__(self, folder: Path) -> None:
        self.faults = Faults()
        self.commits = 0
        self.sessions = 0
        self.lock = asyncio.Lock()
        self._types: dict[str, int] = {}
        self._path = folder / DATA
        self._port = 0
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task, asyncio.StreamWriter] = {}

    async def start(self) -> None:
        """Listen; after a stop at the same address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    @property
    def dsn(self) -> str:
        """How a client names it."""
        return f"postgresql://canvasplank@127.0.0.1:{self._port}/outcomes"

    def connect(self) -> sqlite3.Connection:
        """A connection to the data, with the functions that the statements use."""
        database = sqlite3.connect(self._path, timeout=1.0, isolation_level=None)
        database.execute("PRAGMA journal_mode = WAL")
        database.execute("PRAGMA synchronous = OFF")
        database.create_function("pg_advisory_xact_lock", 1, lambda _: None)
        return database

    def type_of(self, database: sqlite3.Connection, column: str) -> int:
        """A result column's type, by the tables' column of that name; of anything else it is text."""
        if column not in self._types:
            found = database.execute(
                "SELECT c.type FROM sqlite_master t, pragma_table_info(t.name) c "
                "WHERE t.type = 'table' AND c.name = ?",
                [column],
            ).fetchone()
            if found is None:
                return TEXT
            self._types[column] = TYPES[found[0].lower()]
        return self._types[column]

    def rows(self, sql: str) -> list[tuple]:
        """What the data holds now."""
        with contextlib.closing(self.connect()) as database:
            return database.execute(sql).fetchall()

    async def breathe(self) -> None:
        """Hold everything while stalled."""
        while self.faults.stalled:
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """End at once: what is not committed is lost, connections are reset."""
        self._server.close()
        for task, writer in list(self._tasks.items()):
            writer.transport.abort()
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def restart(self, away_s: float = 0.0) -> None:
        """Stop, and start again after a while."""
        await self.stop()
        await asyncio.sleep(away_s)
        await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks[task := asyncio.current_task()] = writer
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        self.sessions += 1
        session = Session(self, reader, writer)
        try:
            await session.run()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            with contextlib.suppress(sqlite3.Error):
                session.end("ROLLBACK")
            session.database.close()
            writer.close()
