"""A session's transaction: the lock, the commit, and the faults of a commit."""

from __future__ import annotations

import asyncio
import sqlite3

from emulators.postgresql.protocol import SqlStateError
from emulators.postgresql.shared_data import SharedData


class Transaction:
    """The transactions of one session, one after another.

    Outside a block every statement is a transaction of its own, which Sync commits.
    """

    def __init__(self, data: SharedData, database: sqlite3.Connection) -> None:
        self._data, self._database = data, database
        self._holds_lock = False
        self.in_block = False  # between BEGIN and COMMIT or ROLLBACK
        self.aborted = False  # a statement of the block has failed: only the end of the block is executed

    @property
    def status(self) -> bytes:
        """As ReadyForQuery reports it."""
        return b"I" if not self.in_block else b"E" if self.aborted else b"T"

    def begin_block(self) -> None:
        """Begin a block; the data is locked by the first statement that locks it."""
        self.in_block = True

    def end_block(self, *, commit: bool) -> None:
        """Commit or roll back the block; an aborted one is rolled back in either case."""
        commit = commit and not self.aborted
        self.in_block = self.aborted = False
        if commit:
            self.commit()
        else:
            self.roll_back()

    def on_error(self) -> None:
        """A statement has failed: the block, if there is one, is aborted."""
        self.aborted = self.in_block

    def check_not_aborted(self) -> None:
        """Raise ``SqlStateError`` (25P02) within an aborted block."""
        if self.aborted:
            raise SqlStateError(
                "25P02", "current transaction is aborted, commands ignored until end of block"
            )

    async def lock(self, timeout_s: float | None) -> None:
        """Take the lock and begin a transaction in the data, unless it holds the lock already.

        Raises ``SqlStateError`` (57014) after the time.
        """
        if self._holds_lock:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._data.lock.acquire()
        except TimeoutError as error:
            raise SqlStateError("57014", "canceling statement due to statement timeout") from error
        self._holds_lock = True
        self._database.execute("BEGIN IMMEDIATE")

    def commit(self) -> None:
        """Commit what has been locked, if anything, with the faults that a commit may have.

        Raises ``ConnectionAbortedError`` for a lost connection and ``SqlStateError`` (40001) for a
        serialization failure.
        """
        faults = self._data.faults
        if not self._holds_lock:
            return
        if faults.drop_before_commit > 0:
            faults.drop_before_commit -= 1
            raise ConnectionAbortedError
        if faults.serialization_failures > 0:
            faults.serialization_failures -= 1
            self.roll_back()
            raise SqlStateError("40001", "could not serialize access due to concurrent update")
        self._end("COMMIT")
        self._data.commits += 1
        if faults.drop_after_commit > 0:
            faults.drop_after_commit -= 1
            raise ConnectionAbortedError

    def roll_back(self) -> None:
        """Undo what has been locked, if anything."""
        self._end("ROLLBACK")

    def _end(self, command: str) -> None:
        if self._holds_lock:
            self._database.execute(command)
            self._holds_lock = False
            self._data.lock.release()
