"""One client's session."""

from __future__ import annotations

import asyncio
import sqlite3
import struct
from typing import TYPE_CHECKING

from emulators.postgresql.protocol import (
    LOCKS,
    NUMBERS,
    PARAMETERS,
    PROTOCOL_3,
    SQLSTATES,
    SSL_REQUEST,
    TEXT,
    Reader,
    StatedError,
    message,
    text,
)
from emulators.postgresql.statements import FOR_UPDATE, Statement, own

if TYPE_CHECKING:
    from emulators.postgresql.server import PostgresqlStandIn


class Session:
    """One client."""

    def __init__(
        self, server: PostgresqlStandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.server, self.reader, self.writer = server, reader, writer
        self.database = server.connect()
        self.statements: dict[str, Statement] = {}
        self.bound: tuple[Statement, list] | None = None
        self.failed = False  # the rest up to Sync is passed over
        self.block = False  # within BEGIN and COMMIT
        self.aborted = False  # a statement of the block has failed: nothing but its end is carried out
        self.holds_lock = False
        self.settings: dict[str, str] = {}
        self.out = bytearray()

    async def run(self) -> None:
        """Until the client goes."""
        if not await self._start():
            return
        while True:
            try:
                async with asyncio.timeout(self._limit_s("idle_in_transaction_session_timeout", self.block)):
                    kind = await self.reader.readexactly(1)
            except TimeoutError:
                self._error(
                    StatedError(
                        "25P03", "terminating connection due to idle-in-transaction timeout", fatal=True
                    )
                )
                self.writer.write(bytes(self.out))
                return
            [length] = struct.unpack(">I", await self.reader.readexactly(4))
            body = Reader(await self.reader.readexactly(length - 4))
            await self.server.breathe()
            if kind == b"X":
                return
            if self.failed and kind not in (b"S", b"Q"):
                continue
            try:
                await self._take(kind, body)
            except (sqlite3.Error, ValueError, StatedError) as fault:
                self._error(fault)
                if kind == b"Q":
                    self.failed = False
                    if not self.block:
                        self.end("ROLLBACK")
                    self._ready()
            if kind in (b"S", b"Q", b"H"):
                self.writer.write(bytes(self.out))
                self.out.clear()
                await self.writer.drain()

    async def _start(self) -> bool:
        while True:
            [length] = struct.unpack(">I", await self.reader.readexactly(4))
            body = Reader(await self.reader.readexactly(length - 4))
            code = body.number("I")
            if code == SSL_REQUEST:
                self.writer.write(b"N")
            elif code == PROTOCOL_3:
                while name := body.string():
                    self.settings[name] = body.string()
                break
            else:
                return False  # a cancel request, or nothing of ours
        await self.server.breathe()
        self.out += message(b"R", struct.pack(">I", 0))
        for name, value in PARAMETERS.items():
            self.out += message(b"S", text(name) + text(value))
        self.out += message(b"K", struct.pack(">II", 1, 1))
        self._ready()
        self.writer.write(bytes(self.out))
        self.out.clear()
        return True

    def _limit_s(self, name: str, applies: bool) -> float | None:
        limit_ms = float(self.settings.get(name, 0))
        return limit_ms / 1000 if applies and limit_ms else None

    async def _lock(self) -> None:
        """Take the lock and begin in the data, where that has not been done."""
        if self.holds_lock:
            return
        try:
            async with asyncio.timeout(self._limit_s("statement_timeout", True)):
                await self.server.lock.acquire()
        except TimeoutError:
            raise StatedError("57014", "canceling statement due to statement timeout") from None
        self.holds_lock = True
        self.database.execute("BEGIN IMMEDIATE")

    def end(self, word: str) -> None:
        """End the transaction, if one was begun in the data, and let go of the lock."""
        if self.holds_lock:
            self.database.execute(word)
            self.holds_lock = False
            self.server.lock.release()

    def _commit(self) -> None:
        """Commit, with the faults that a commit may have."""
        faults = self.server.faults
        if not self.holds_lock:
            return
        if faults.drop_before_commit > 0:
            faults.drop_before_commit -= 1
            raise ConnectionAbortedError
        if faults.serialization_failures > 0:
            faults.serialization_failures -= 1
            self.end("ROLLBACK")
            raise StatedError("40001", "could not serialize access due to concurrent update")
        self.end("COMMIT")
        self.server.commits += 1
        if faults.drop_after_commit > 0:
            faults.drop_after_commit -= 1
            raise ConnectionAbortedError

    def _ready(self) -> None:
        self.out += message(b"Z", b"I" if not self.block else b"E" if self.aborted else b"T")

    def _error(self, fault: Exception) -> None:
        self.failed = True
        self.aborted = self.block
        state = SQLSTATES.get(type(fault), "22000" if isinstance(fault, ValueError) else "42000")
        severity = "ERROR"
        if isinstance(fault, StatedError):
            state, severity = fault.state, "FATAL" if fault.fatal else "ERROR"
        fields = {b"S": severity, b"V": severity, b"C": state, b"M": str(fault)}
        self.out += message(b"E", b"".join(code + text(value) for code, value in fields.items()) + b"\0")

    async def _take(self, kind: bytes, body: Reader) -> None:
        match kind:
            case b"Q":
                self.failed = False
                await self._simple(body.string())
            case b"P":
                name, sql = body.string(), body.string()
                self.statements[name] = Statement.of(sql)
                self.out += message(b"1")
            case b"D":
                self._describe(chr(body.number("b")), body.string())
            case b"B":
                body.string()
                statement = self.statements[body.string()]
                body.numbers("h")
                raw = [body.value() for _ in range(body.number("h"))]
                self.bound = statement, statement.values(raw)
                self.out += message(b"2")
            case b"E":
                await self._execute(*self.bound)
            case b"C":
                self.out += message(b"3")
            case b"S":
                await self._sync()

    async def _simple(self, sql: str) -> None:
        word = sql.split()[0].upper().rstrip(";")
        if word == "BEGIN":
            self.block = True
        elif word in ("COMMIT", "ROLLBACK"):
            if self.server.faults.delay_s:
                await asyncio.sleep(self.server.faults.delay_s)
            aborted, self.block, self.aborted = self.aborted, False, False
            if word == "ROLLBACK" or aborted:
                self.end("ROLLBACK")
            else:
                self._commit()
        else:
            self._check_block()
            if word in LOCKS or "pg_advisory_xact_lock" in sql:
                await self._lock()
            for row in self.database.execute(sql).fetchall():
                self._row(row)
            if not self.block:
                self._commit()
        self.out += message(b"C", text(word))
        self._ready()

    def _check_block(self) -> None:
        if self.aborted:
            raise StatedError("25P02", "current transaction is aborted, commands ignored until end of block")

    def _describe(self, what: str, name: str) -> None:
        if what == "S":
            types = self.statements[name].types
            self.out += message(b"t", struct.pack(f">h{len(types)}I", len(types), *types))
            sql = self.statements[name].sql
        else:
            sql = self.bound[0].sql
        if not sql.upper().startswith("SELECT"):
            self.out += message(b"n")
            return
        probe = self.database.execute(
            f"SELECT * FROM ({own(sql)}) LIMIT 0", [None] * len(Statement.of(sql).types)
        )
        columns = [(column[0], self.server.type_of(self.database, column[0])) for column in probe.description]
        parts = [text(name) + struct.pack(">IhIhih", 0, 0, kind, -1, -1, 0) for name, kind in columns]
        self.out += message(b"T", struct.pack(">h", len(columns)) + b"".join(parts))

    def _row(self, row: tuple, types: list[int] | None = None) -> None:
        """One row: numbers as such where their columns were described so, all else as text."""
        kinds = types or [TEXT] * len(row)
        values = [
            None if value is None else NUMBERS[kind].pack(value) if kind in NUMBERS else str(value).encode()
            for value, kind in zip(row, kinds, strict=True)
        ]
        parts = [
            struct.pack(">i", -1) if value is None else struct.pack(">i", len(value)) + value
            for value in values
        ]
        self.out += message(b"D", struct.pack(">h", len(row)) + b"".join(parts))

    async def _execute(self, statement: Statement, values: list) -> None:
        self._check_block()
        word = statement.sql.split()[0].upper()
        if word in LOCKS or statement.sql.endswith(FOR_UPDATE):
            await self._lock()
        if self.server.faults.refuse_rows & set(values):
            raise ValueError("a value that this database does not take")
        cursor = self.database.execute(own(statement.sql), values)
        rows = cursor.fetchall()
        types = [self.server.type_of(self.database, column[0]) for column in cursor.description or ()]
        for row in rows:
            self._row(row, types)
        counts = {"INSERT": f"0 {cursor.rowcount}", "SELECT": len(rows)}
        self.out += message(b"C", text(f"{word} {counts.get(word, cursor.rowcount)}"))

    async def _sync(self) -> None:
        if self.server.faults.delay_s:
            await asyncio.sleep(self.server.faults.delay_s)
        if self.failed:
            self.failed = False
            if not self.block:
                self.end("ROLLBACK")
        elif not self.block:
            try:
                self._commit()
            except StatedError as fault:
                self._error(fault)
                self.failed = False
        self._ready()
