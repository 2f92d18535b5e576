"""Records in an SQLite file, for one machine; the library's calls block, so one thread makes them all."""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Callable, Sequence
from typing import TypeVar

from canvasplank.background import BusyError, Thread
from canvasplank.store import schema
from canvasplank.store.backend import Count, StoreRefusedError, StoreUnavailableError
from canvasplank.store.records import Outcome

BUSY_S = 1.0  # how long the library waits for another writer's lock before it says so
REFUSALS = (sqlite3.IntegrityError, sqlite3.DataError, sqlite3.InterfaceError, OverflowError, ValueError)

Result = TypeVar("Result")


class Sqlite:
    """See ``Backend``."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._thread: Thread | None = None
        self._connection: sqlite3.Connection | None = None

    async def _do(self, what: Callable[[], Result]) -> Result:
        self._thread = self._thread or Thread("store")
        try:
            return await self._thread.do(what)
        except BusyError as fault:
            raise StoreUnavailableError(f"SQLite {self._path}: {fault}") from None
        except REFUSALS as fault:
            raise StoreRefusedError(f"SQLite: {fault}") from None
        except (sqlite3.Error, schema.NewerSchemaError) as fault:
            raise StoreUnavailableError(f"SQLite {self._path}: {fault}") from None

    async def open(self) -> None:
        """See ``Backend``."""
        await self._do(self._open)

    async def write(self, batch: Sequence[Outcome]) -> None:
        """See ``Backend``."""
        await self._do(lambda: self._write(batch))

    async def count(self, since_ms: int, instance: str) -> list[Count]:
        """See ``Backend``."""
        rows = await self._do(lambda: self._count(since_ms, instance))
        return [Count(*row) for row in rows]

    async def close(self) -> None:
        """See ``Backend``."""
        with contextlib.suppress(StoreUnavailableError, StoreRefusedError):
            await self._do(self._close)

    # ------------------------------------------------------------------------------------ on the thread

    def _open(self) -> None:
        self._close()
        connection = sqlite3.connect(self._path, timeout=BUSY_S, isolation_level=None)
        try:
            connection.execute("PRAGMA journal_mode = WAL")
            connection.execute("PRAGMA synchronous = FULL")  # a record that was written outlives the power
            self._migrate(connection)
        except BaseException:
            connection.close()
            raise
        self._connection = connection

    @staticmethod
    def _migrate(connection: sqlite3.Connection) -> None:
        connection.execute("BEGIN IMMEDIATE")  # the lock: one process migrates, the others find it done
        try:
            connection.execute(schema.VERSION_TABLE)
            [version] = connection.execute(schema.READ_VERSION).fetchone()
            for number in schema.pending(version):
                for statement in schema.MIGRATIONS[number]:
                    connection.execute(statement)
                connection.execute(_own(schema.WRITE_VERSION), (number + 1,))
            connection.execute("COMMIT")
        except BaseException:
            connection.execute("ROLLBACK")
            raise

    def _write(self, batch: Sequence[Outcome]) -> None:
        if self._connection is None:
            raise StoreUnavailableError("SQLite: not open")
        self._connection.execute("BEGIN IMMEDIATE")
        try:
            self._connection.executemany(_own(schema.UPSERT), [schema.row(record) for record in batch])
            self._connection.execute("COMMIT")
        except BaseException:
            with contextlib.suppress(sqlite3.Error):
                self._connection.execute("ROLLBACK")
            raise

    def _count(self, since_ms: int, instance: str) -> list[tuple]:
        if self._connection is None:
            raise StoreUnavailableError("SQLite: not open")
        return self._connection.execute(_own(schema.COUNT), (since_ms, instance)).fetchall()

    def _close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()


def _own(statement: str) -> str:
    """The statement with SQLite's numbered parameters."""
    return statement.replace("$", "?")
