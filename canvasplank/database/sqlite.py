"""An SQLite database file, for one machine.  One worker thread makes all library calls, since they block."""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Callable, Iterator
from typing import TypeVar

from canvasplank.database.errors import DatabaseUnavailableError, DataRejectedError, NewerSchemaError
from canvasplank.database.migrations import Schema
from canvasplank.runtime.worker_thread import WorkerThread, WorkerThreadBusyError

LOCK_TIMEOUT_S = 1.0  # maximum wait for the lock of another writer
DATA_ERRORS = (sqlite3.IntegrityError, sqlite3.DataError, sqlite3.InterfaceError, OverflowError, ValueError)

Result = TypeVar("Result")


class SqliteEngine:
    """One database file with the tables of one subsystem.

    All methods translate the library's errors to ``DatabaseUnavailableError`` or ``DataRejectedError``.
    """

    def __init__(self, path: str, schema: Schema, thread_name: str) -> None:
        self._path, self._schema, self._thread_name = path, schema, thread_name
        self._thread: WorkerThread | None = None
        self._connection: sqlite3.Connection | None = None

    async def run(self, operation: Callable[[sqlite3.Connection], Result]) -> Result:
        """Run an operation on the connection, on the worker thread, and return its result."""
        return await self._run_on_thread(lambda: operation(self._active_connection))

    async def open(self) -> None:
        """Open the file and apply the pending migrations."""
        await self._run_on_thread(self._open)

    async def migrate(self, schema: Schema) -> None:
        """Apply the pending migrations of another subsystem in the same file."""
        await self.run(lambda connection: _migrate(connection, schema))

    async def close(self) -> None:
        """Close the connection; the engine may be opened again."""
        with contextlib.suppress(DatabaseUnavailableError, DataRejectedError):
            await self._run_on_thread(self._close)

    async def _run_on_thread(self, operation: Callable[[], Result]) -> Result:
        self._thread = self._thread or WorkerThread(self._thread_name)
        try:
            return await self._thread.run(operation)
        except WorkerThreadBusyError as error:
            raise DatabaseUnavailableError(f"SQLite {self._path}: {error}") from error
        except DATA_ERRORS as error:
            raise DataRejectedError(f"SQLite: {error}") from error
        except (sqlite3.Error, NewerSchemaError) as error:
            raise DatabaseUnavailableError(f"SQLite {self._path}: {error}") from error

    @property
    def _active_connection(self) -> sqlite3.Connection:
        if self._connection is None:
            raise DatabaseUnavailableError("SQLite: not open")
        return self._connection

    def _open(self) -> None:
        self._close()
        connection = sqlite3.connect(self._path, timeout=LOCK_TIMEOUT_S, isolation_level=None)
        try:
            connection.execute("PRAGMA journal_mode = WAL")
            connection.execute("PRAGMA synchronous = FULL")  # a committed transaction survives a power loss
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
    with transaction(connection):  # write lock: one process migrates, the others then find nothing pending
        connection.execute(schema.create_version_table)
        [version] = connection.execute(schema.select_version).fetchone()
        for index in schema.pending_migrations(version):
            for statement in schema.migrations[index]:
                connection.execute(statement)
            connection.execute(to_sqlite(schema.insert_version), (index + 1,))


@contextlib.contextmanager
def transaction(connection: sqlite3.Connection) -> Iterator[None]:
    """Run a transaction that locks the file for writing from its start and rolls back on any exception."""
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield
        connection.execute("COMMIT")
    except BaseException:
        with contextlib.suppress(sqlite3.Error):
            connection.execute("ROLLBACK")
        raise


def to_sqlite(sql: str) -> str:
    """Return the statement in SQLite's dialect: parameters are ``?1`` and so on, and there is no FOR UPDATE.

    SQLite has no row locks; ``transaction`` locks the whole file instead.
    """
    return sql.replace("$", "?").replace(" FOR UPDATE", "")
