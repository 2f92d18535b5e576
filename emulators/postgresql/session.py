"""One client's session: start-up, the simple and the extended query protocol."""

from __future__ import annotations

import asyncio
import contextlib
import sqlite3
import struct

from emulators.postgresql.protocol import (
    PROTOCOL_3,
    SSL_REQUEST,
    TEXT,
    Backend,
    Frontend,
    MessageReader,
    SqlStateError,
    Value,
    command_complete,
    data_row,
    error_response,
    message,
    parameter_description,
    row_description,
    startup_messages,
)
from emulators.postgresql.shared_data import SharedData
from emulators.postgresql.statements import LOCKING_COMMANDS, PreparedStatement, command_of, to_sqlite
from emulators.postgresql.transaction import Transaction


class Session:
    """One client."""

    def __init__(self, data: SharedData, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._data, self._reader, self._writer = data, reader, writer
        self._database = data.connect()
        self._transaction = Transaction(data, self._database)
        self._statements: dict[str, PreparedStatement] = {}
        self._bound: tuple[PreparedStatement, list[Value]] | None = None  # the unnamed portal
        self._failed = False  # messages up to Sync are skipped
        self._settings: dict[str, str] = {}
        self._output = bytearray()

    async def run(self) -> None:
        """Serve until the client leaves."""
        if not await self._start():
            return
        while True:
            try:
                async with asyncio.timeout(self._idle_timeout_s()):
                    kind = await self._reader.readexactly(1)
            except TimeoutError:
                text = "terminating connection due to idle-in-transaction timeout"
                self._fail(SqlStateError("25P03", text, fatal=True))
                self._writer.write(bytes(self._output))
                return
            body = await self._read_body()
            await self._data.wait_while_stalled()
            if kind == Frontend.TERMINATE:
                return
            if self._failed and kind not in (Frontend.SYNC, Frontend.QUERY):
                continue
            await self._process(kind, body)
            if kind in (Frontend.SYNC, Frontend.QUERY, Frontend.FLUSH):
                self._flush()
                await self._writer.drain()

    def close(self) -> None:
        """Roll back what is not committed, and close the connection to the data."""
        with contextlib.suppress(sqlite3.Error):
            self._transaction.roll_back()
        self._database.close()

    # ------------------------------------------------------------------------------------ messages

    async def _start(self) -> bool:
        while True:
            body = await self._read_body()
            code = body.number("I")
            if code == SSL_REQUEST:
                self._writer.write(b"N")
            elif code == PROTOCOL_3:
                while name := body.string():
                    self._settings[name] = body.string()
                break
            else:
                return False  # a cancel request, or an unknown protocol
        await self._data.wait_while_stalled()
        self._output += startup_messages()
        self._ready()
        self._flush()
        return True

    async def _read_body(self) -> MessageReader:
        [length] = struct.unpack(">I", await self._reader.readexactly(4))
        return MessageReader(await self._reader.readexactly(length - 4))

    def _flush(self) -> None:
        self._writer.write(bytes(self._output))
        self._output.clear()

    def _ready(self) -> None:
        self._output += message(Backend.READY_FOR_QUERY, self._transaction.status)

    def _fail(self, error: Exception) -> None:
        self._failed = True
        self._transaction.on_error()
        self._output += error_response(error)

    def _idle_timeout_s(self) -> float | None:
        if not self._transaction.in_block:
            return None
        return self._timeout_s("idle_in_transaction_session_timeout")

    def _timeout_s(self, setting: str) -> float | None:
        timeout_ms = float(self._settings.get(setting, 0))
        return timeout_ms / 1000 if timeout_ms else None

    async def _process(self, kind: bytes, body: MessageReader) -> None:
        """Process a message; an error of the data or of the statement is sent to the client."""
        try:
            await self._dispatch(kind, body)
        except (sqlite3.Error, ValueError, SqlStateError) as error:
            self._fail(error)
            if kind == Frontend.QUERY:
                self._recover()
                self._ready()

    def _recover(self) -> None:
        """After an error: accept messages again; outside a block the transaction is rolled back."""
        self._failed = False
        if not self._transaction.in_block:
            self._transaction.roll_back()

    async def _dispatch(self, kind: bytes, body: MessageReader) -> None:
        match kind:
            case Frontend.QUERY:
                self._failed = False
                await self._simple_query(body.string())
            case Frontend.PARSE:
                name, sql = body.string(), body.string()
                self._statements[name] = PreparedStatement.parse(sql)
                self._output += message(Backend.PARSE_COMPLETE)
            case Frontend.DESCRIBE:
                self._describe(chr(body.number("b")), body.string())
            case Frontend.BIND:
                self._bind(body)
            case Frontend.EXECUTE:
                await self._execute(*self._bound)
            case Frontend.CLOSE:
                self._output += message(Backend.CLOSE_COMPLETE)
            case Frontend.SYNC:
                await self._sync()

    # ------------------------------------------------------------------------------------ the queries

    async def _simple_query(self, sql: str) -> None:
        command = command_of(sql).rstrip(";")
        if command == "BEGIN":
            self._transaction.begin_block()
        elif command in ("COMMIT", "ROLLBACK"):
            await self._delay()
            self._transaction.end_block(commit=command == "COMMIT")
        else:
            self._transaction.check_not_aborted()
            if command in LOCKING_COMMANDS or "pg_advisory_xact_lock" in sql:
                await self._transaction.lock(self._timeout_s("statement_timeout"))
            for row in self._database.execute(sql).fetchall():
                self._output += data_row(row, [TEXT] * len(row))
            if not self._transaction.in_block:
                self._transaction.commit()
        self._output += command_complete(command)
        self._ready()

    def _bind(self, body: MessageReader) -> None:
        body.string()  # the portal: only the unnamed one is used
        statement = self._statements[body.string()]
        body.numbers("h")  # formats of the parameters: all are binary
        raw = [body.value() for _ in range(body.number("h"))]
        self._bound = statement, statement.decode_parameters(raw)
        self._output += message(Backend.BIND_COMPLETE)

    def _describe(self, kind: str, name: str) -> None:
        """Describe a prepared statement (kind S) or the portal."""
        if kind == "S":
            statement = self._statements[name]
            self._output += parameter_description(statement.types)
        else:
            statement = self._bound[0]
        if not statement.sql.upper().startswith("SELECT"):
            self._output += message(Backend.NO_DATA)
            return
        empty = self._database.execute(
            f"SELECT * FROM ({to_sqlite(statement.sql)}) LIMIT 0", [None] * len(statement.types)
        )
        names = [column[0] for column in empty.description]
        types = self._column_types(empty)
        self._output += row_description(list(zip(names, types, strict=True)))

    async def _execute(self, statement: PreparedStatement, values: list[Value]) -> None:
        self._transaction.check_not_aborted()
        if statement.locks:
            await self._transaction.lock(self._timeout_s("statement_timeout"))
        if self._data.faults.refuse_rows & set(values):
            raise ValueError("a value that this database does not take")
        cursor = self._database.execute(to_sqlite(statement.sql), values)
        rows = cursor.fetchall()
        types = self._column_types(cursor)
        for row in rows:
            self._output += data_row(row, types)
        command = command_of(statement.sql)
        counts = {"INSERT": f"0 {cursor.rowcount}", "SELECT": len(rows)}
        self._output += command_complete(f"{command} {counts.get(command, cursor.rowcount)}")

    async def _sync(self) -> None:
        await self._delay()
        if self._failed:
            self._recover()
        elif not self._transaction.in_block:
            try:
                self._transaction.commit()
            except SqlStateError as error:
                self._fail(error)
                self._failed = False
        self._ready()

    async def _delay(self) -> None:
        if self._data.faults.delay_s:
            await asyncio.sleep(self._data.faults.delay_s)

    def _column_types(self, cursor: sqlite3.Cursor) -> list[int]:
        return [self._data.column_type(self._database, column[0]) for column in cursor.description or ()]
