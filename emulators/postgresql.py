"""A stand-in PostgreSQL: the frontend/backend protocol 3.0 as far as asyncpg uses it, over an SQLite file.

Written from the protocol's public specification (PostgreSQL manual, chapter "Frontend/Backend Protocol").  It
runs the statements it is sent, commits at Sync as the original does outside a transaction block, and fails on
request: slow, stalled, dropped before or after a commit, refusing connections, restarted, not serializable.

Every row lock is one lock on everything, taken by a transaction's first statement that writes or selects FOR
UPDATE, and waited for as a row's is; until then each statement sees what is committed (READ COMMITTED).
``statement_timeout`` and ``idle_in_transaction_session_timeout`` are kept.

``python -m emulators.postgresql FOLDER`` runs one by itself, for measurements that its own work must not
disturb.  It prints its DSN and takes commands on standard input: ``stalled 1``,
``drop_after_commit 1``, ``restart 5``.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import sqlite3
import struct
import sys
from dataclasses import dataclass, field
from pathlib import Path

SSL_REQUEST, CANCEL_REQUEST, PROTOCOL_3 = 80877103, 80877102, 196608
TEXT, BIGINT, INTEGER = 25, 20, 23
TYPES = {"text": TEXT, "bigint": BIGINT, "integer": INTEGER}
NUMBERS = {BIGINT: struct.Struct(">q"), INTEGER: struct.Struct(">i")}  # as a binary result holds them
FOR_UPDATE = " FOR UPDATE"
DATA = "standin.db"  # the file of its data, in its folder
CAST = re.compile(r"CAST\(\$(\d+) AS (\w+)\)")
PARAMETERS = {
    "server_version": "16.0",
    "client_encoding": "UTF8",
    "server_encoding": "UTF8",
    "standard_conforming_strings": "on",
    "integer_datetimes": "on",
    "TimeZone": "UTC",
}


class StatedError(Exception):
    """An error with its SQLSTATE; a fatal one ends the session."""

    def __init__(self, state: str, text: str, *, fatal: bool = False) -> None:
        super().__init__(text)
        self.state, self.fatal = state, fatal


SQLSTATES = {sqlite3.IntegrityError: "23505"}
LOCKS = ("INSERT", "UPDATE", "DELETE", "CREATE", "ALTER")


def own(sql: str) -> str:
    """A statement as SQLite reads it."""
    return sql.replace("$", "?").removesuffix(FOR_UPDATE)


def message(kind: bytes, body: bytes = b"") -> bytes:
    """A backend message: its type, the length that counts itself, the body."""
    return kind + struct.pack(">I", len(body) + 4) + body


def text(value: str) -> bytes:
    """A string as the protocol writes it."""
    return value.encode() + b"\0"


class Reader:
    """Takes one message's body apart."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def string(self) -> str:
        """Up to the next zero byte."""
        end = self.data.index(b"\0", self.at)
        value, self.at = self.data[self.at : end].decode(), end + 1
        return value

    def number(self, form: str) -> int:
        """One number of a struct format."""
        [value] = struct.unpack_from(f">{form}", self.data, self.at)
        self.at += struct.calcsize(f">{form}")
        return value

    def numbers(self, form: str) -> list[int]:
        """A count of two bytes, and so many numbers."""
        return [self.number(form) for _ in range(self.number("h"))]

    def value(self) -> bytes | None:
        """A length and so many bytes; -1 is NULL."""
        length = self.number("i")
        if length < 0:
            return None
        self.at += length
        return self.data[self.at - length : self.at]


@dataclass
class Statement:
    """A prepared statement."""

    sql: str
    types: list[int]

    @staticmethod
    def of(sql: str) -> Statement:
        """With its parameters' types, which its casts tell."""
        found = {int(number): TYPES[name] for number, name in CAST.findall(sql)}
        return Statement(sql, [found[number] for number in sorted(found)])

    def values(self, raw: list[bytes | None]) -> list[str | int | None]:
        """Parameters from their binary form."""
        return [
            None if data is None else data.decode() if kind == TEXT else int.from_bytes(data, signed=True)
            for kind, data in zip(self.types, raw, strict=True)
        ]


@dataclass
class Faults:
    """What is to go wrong; everything may be changed while it runs."""

    delay_s: float = 0.0  # before each Sync is carried out
    drop_before_commit: int = 0  # so many commits are lost with their connections
    drop_after_commit: int = 0  # so many are made, and the connection ends before the client hears of it
    serialization_failures: int = 0  # so many commits fail as they would where two write the same
    refuse_rows: set[str] = field(default_factory=set)  # rows holding one of these values: SQLSTATE 22
    stalled: bool = False


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


async def main(folder: str) -> None:
    """Serve until standard input ends."""
    server = PostgresqlStandIn(Path(folder))
    await server.start()
    print(server.dsn, flush=True)
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    while line := (await commands.readline()).decode().split():
        name, figure = line
        if name == "restart":
            await server.restart(float(figure))
        else:
            setattr(server.faults, name, float(figure) if name == "delay_s" else int(figure))
    await server.stop()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
