"""The emulated PostgreSQL server: accepts clients and runs a session for each."""

from __future__ import annotations

import asyncio
from pathlib import Path

from emulators.postgresql.connection import ClientConnection
from emulators.postgresql.faults import Faults
from emulators.postgresql.protocol import Value
from emulators.postgresql.session import Session
from emulators.postgresql.shared_data import SharedData


class PostgresqlEmulator:
    """An emulated PostgreSQL server. Its data outlives restarts."""

    def __init__(self, folder: Path) -> None:
        self._data = SharedData(folder)
        self._port = 0
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], asyncio.StreamWriter] = {}  # by the task that serves each

    @property
    def faults(self) -> Faults:
        """The faults to inject."""
        return self._data.faults

    @property
    def commits(self) -> int:
        """The number of committed transactions that held the lock."""
        return self._data.commits

    @property
    def data_path(self) -> Path:
        """The SQLite file that holds the data."""
        return self._data.path

    @property
    def dsn(self) -> str:
        """The data source name for clients."""
        return f"postgresql://canvasplank@127.0.0.1:{self._port}/outcomes"

    def rows(self, sql: str) -> list[tuple[Value, ...]]:
        """Return the result of a query in SQLite's dialect on the committed data."""
        return self._data.rows(sql)

    async def start(self) -> None:
        """Listen on a free port, or after ``stop`` on the same port as before."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop immediately: uncommitted transactions are lost and connections are reset."""
        self._server.close()
        for task, writer in list(self._connections.items()):
            writer.transport.abort()
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def restart(self, downtime_s: float = 0.0) -> None:
        """Stop, and start again after ``downtime_s`` seconds."""
        await self.stop()
        await asyncio.sleep(downtime_s)
        await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections[task := asyncio.current_task()] = writer
        task.add_done_callback(lambda done: self._connections.pop(done, None))
        session = Session(self._data, ClientConnection(reader, writer))
        try:
            await session.run()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            session.close()
            writer.close()
