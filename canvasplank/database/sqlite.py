"""An SQLite file, for one machine; the library's calls block, so one thread makes them all."""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Callable, Iterator
from typing import TypeVar

from canvasplank.database.errors import NewerSchemaError, StoreRefusedError, StoreUnavailableError
from canvasplank.database.migrations import Schema
from canvasplank.runtime.worker_thread import WorkerThread, WorkerThreadBusyError

BUSY_S = 1.0  # how long the library waits for another writer's lock before it says so
REFUSALS = (sqlite3.IntegrityError, sqlite3.DataError, sqlite3.InterfaceError, OverflowError, ValueError)

Result = TypeVar("Result")


class SqliteEngine:
    """One file with one subsystem's tables; every method raises one of the errors of ``engine.errors``."""

    def __init__(self, path: str, schema: Schema, thread: str) -> None:
        self._path, self._schema, self._name = path, schema, thread
        self._thread: WorkerThread | None = None
        self._connection: sqlite3.Connection | None = None

    async def do(self, what: Callable[[sqlite3.Connection], Result]) -> Result:
        """Have it done on the thread, with the connection."""
        return await self._on_thread(lambda: what(self._current))

    async def open(self) -> None:
        """Connect and bring the tables up to date."""
        await self._on_thread(self._open)

    async def migrate(self, schema: Schema) -> None:
        """Bring another subsystem's tables in the same file up to date."""
        await self.do(lambda connection: _migrate(connection, schema))

    async def close(self) -> None:
        """Let go of it; it may be opened again."""
        with contextlib.suppress(StoreUnavailableError, StoreRefusedError):
            await self._on_thread(self._close)

    async def _on_thread(self, what: Callable[[], Result]) -> Result:
        self._thread = self._thread or WorkerThread(self._name)
        try:
            return await self._thread.run(what)
        except WorkerThreadBusyError as error:
            raise StoreUnavailableError(f"SQLite {self._path}: {error}") from None
        except REFUSALS as error:
            raise StoreRefusedError(f"SQLite: {error}") from None
        except (sqlite3.Error, NewerSchemaError) as error:
            raise StoreUnavailableError(f"SQLite {self._path}: {error}") from None

    @property
    def _current(self) -> sqlite3.Connection:
        if self._connection is None:
            raise StoreUnavailableError("SQLite: not open")
        return self._connection

    def _open(self) -> None:
        self._close()
        connection = sqlite3.connect(self._path, timeout=BUSY_S, isolation_level=None)
        try:
            connection.execute("PRAGMA journal_mode = WAL")
            connection.execute("PRAGMA synchronous = FULL")  # what was written outlives the power
            _migrate(connection, self._schema)
        except BaseException:
            connection.close()
            raise
        self._connection = connection

    def _close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()


def _migrate(connection: sqlite3.Connection, schema: Schema) -> None:
    with transaction(connection):  # the lock: one process migrates, the others find it done
        connection.execute(schema.create_version)
        [version] = connection.execute(schema.read_version).fetchone()
        for number in schema.pending(version):
            for statement in schema.migrations[number]:
                connection.execute(statement)
            connection.execute(own(schema.write_version), (number + 1,))


@contextlib.contextmanager
def transaction(connection: sqlite3.Connection) -> Iterator[None]:
    """All or nothing, with the file's one write lock from the start."""
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield
        connection.execute("COMMIT")
    except BaseException:
        with contextlib.suppress(sqlite3.Error):
            connection.execute("ROLLBACK")
        raise


def own(statement: str) -> str:
    """The statement with SQLite's numbered parameters, and without locks that its file has anyway."""
    return statement.replace("$", "?").replace(" FOR UPDATE", "")
