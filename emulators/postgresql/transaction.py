"""Transactions of a session: the lock, commit and rollback, and injected commit faults."""

from __future__ import annotations

import asyncio
import sqlite3

from emulators.postgresql.protocol import SqlStateError
from emulators.postgresql.shared_data import SharedData


class Transaction:
    """The current transaction of a session.

    Outside a block, every statement is a transaction of its own that Sync commits.
    """

    def __init__(self, data: SharedData, database: sqlite3.Connection) -> None:
        self._data, self._database = data, database
        self._holds_lock = False
        self.in_block = False  # between BEGIN and COMMIT or ROLLBACK
        self.aborted = False  # a statement of the block has failed: further statements are rejected

    @property
    def status(self) -> bytes:
        """The transaction status in ReadyForQuery: I (idle), T (in a block) or E (in an aborted block)."""
        return b"I" if not self.in_block else b"E" if self.aborted else b"T"

    def begin_block(self) -> None:
        """Begin a block. Its first statement that takes row locks acquires the lock."""
        self.in_block = True

    def end_block(self, *, commit: bool) -> None:
        """Commit or roll back the block. An aborted block is always rolled back."""
        commit = commit and not self.aborted
        self.in_block = self.aborted = False
        if commit:
            self.commit()
        else:
            self.roll_back()

    def on_error(self) -> None:
        """Abort the block, if any, after a statement has failed."""
        self.aborted = self.in_block

    def check_not_aborted(self) -> None:
        """Raise ``SqlStateError`` (25P02) in an aborted block."""
        if self.aborted:
            raise SqlStateError(
                "25P02", "current transaction is aborted, commands ignored until end of block"
            )

    async def lock(self, timeout_s: float | None) -> None:
        """Acquire the lock and begin a transaction in SQLite, unless this session holds the lock already.

        Raises ``SqlStateError`` (57014) if the lock is not available within ``timeout_s``.
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
        """Commit and release the lock, if this session holds it, and apply injected commit faults.

        Raises ``ConnectionAbortedError`` for an injected connection loss and ``SqlStateError`` (40001) for an
        injected serialization failure.
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
        """Roll back and release the lock, if this session holds it."""
        self._end("ROLLBACK")

    def _end(self, command: str) -> None:
        if self._holds_lock:
            self._database.execute(command)
            self._holds_lock = False
            self._data.lock.release()
