"""One client's session: start-up, and the simple and extended query protocols."""

from __future__ import annotations

import asyncio
import contextlib
import sqlite3
from typing import NamedTuple

from emulators.postgresql.connection import ClientConnection
from emulators.postgresql.protocol import (
    TEXT_OID,
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


class Portal(NamedTuple):
    """A prepared statement with its parameter values bound."""

    statement: PreparedStatement
    values: list[Value]


class Session:
    """Processes the messages of one client."""

    def __init__(self, data: SharedData, connection: ClientConnection) -> None:
        self._data, self._connection = data, connection
        self._database = data.connect()
        self._transaction = Transaction(data, self._database)
        self._statements: dict[str, PreparedStatement] = {}
        self._portal: Portal | None = None  # the unnamed portal
        self._failed = False  # after an error: messages are skipped until Sync or Query
        self._settings: dict[str, str] = {}

    async def run(self) -> None:
        """Process messages until the client terminates the session or exceeds the idle timeout."""
        if not await self._start():
            return
        while True:
            try:
                async with asyncio.timeout(self._idle_timeout_s()):
                    kind = await self._connection.read_kind()
            except TimeoutError:
                text = "terminating connection due to idle-in-transaction timeout"
                self._on_error(SqlStateError("25P03", text, fatal=True))
                self._connection.flush()
                return
            body = await self._connection.read_body()
            await self._data.wait_while_stalled()
            if kind == Frontend.TERMINATE:
                return
            if self._failed and kind not in (Frontend.SYNC, Frontend.QUERY):
                continue
            await self._process(kind, body)
            if kind in (Frontend.SYNC, Frontend.QUERY, Frontend.FLUSH):
                self._connection.flush()
                await self._connection.drain()

    def close(self) -> None:
        """Roll back the current transaction and close the database connection."""
        with contextlib.suppress(sqlite3.Error):
            self._transaction.roll_back()
        self._database.close()

    # ------------------------------------------------------------------------------------ messages

    async def _start(self) -> bool:
        settings = await self._connection.read_startup()
        if settings is None:
            return False
        self._settings = settings
        await self._data.wait_while_stalled()
        self._connection.send(startup_messages())
        self._send_ready_for_query()
        self._connection.flush()
        return True

    def _send_ready_for_query(self) -> None:
        self._connection.send(message(Backend.READY_FOR_QUERY, self._transaction.status))

    def _on_error(self, error: Exception) -> None:
        self._failed = True
        self._transaction.on_error()
        self._connection.send(error_response(error))

    def _idle_timeout_s(self) -> float | None:
        if not self._transaction.in_block:
            return None
        return self._timeout_s("idle_in_transaction_session_timeout")

    def _timeout_s(self, setting: str) -> float | None:
        timeout_ms = float(self._settings.get(setting, 0))
        return timeout_ms / 1000 if timeout_ms else None

    async def _process(self, kind: bytes, body: MessageReader) -> None:
        """Process a message, and send a database or statement error to the client."""
        try:
            await self._dispatch(kind, body)
        except (sqlite3.Error, ValueError, SqlStateError) as error:
            self._on_error(error)
            if kind == Frontend.QUERY:
                self._recover()
                self._send_ready_for_query()

    def _recover(self) -> None:
        """Accept messages again after an error, and outside a block roll back the transaction."""
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
                self._connection.send(message(Backend.PARSE_COMPLETE))
            case Frontend.DESCRIBE:
                self._describe(chr(body.number("b")), body.string())
            case Frontend.BIND:
                self._bind(body)
            case Frontend.EXECUTE:
                await self._execute(self._bound_portal())
            case Frontend.CLOSE:
                self._connection.send(message(Backend.CLOSE_COMPLETE))
            case Frontend.SYNC:
                await self._sync()

    # ------------------------------------------------------------------------------------ queries

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
                self._connection.send(data_row(row, [TEXT_OID] * len(row)))
            if not self._transaction.in_block:
                self._transaction.commit()
        self._connection.send(command_complete(command))
        self._send_ready_for_query()

    def _bind(self, body: MessageReader) -> None:
        body.string()  # name of the portal: only the unnamed portal is used
        statement = self._statements[body.string()]
        body.numbers("h")  # formats of the parameters: always binary
        encoded = [body.value() for _ in range(body.number("h"))]
        self._portal = Portal(statement, statement.decode_parameters(encoded))
        self._connection.send(message(Backend.BIND_COMPLETE))

    def _bound_portal(self) -> Portal:
        if self._portal is None:
            raise SqlStateError("34000", "portal does not exist: Bind has not been sent")
        return self._portal

    def _describe(self, kind: str, name: str) -> None:
        """Describe a prepared statement (kind ``S``) or the portal (kind ``P``)."""
        if kind == "S":
            statement = self._statements[name]
            self._connection.send(parameter_description(statement.types))
        else:
            statement = self._bound_portal().statement
        if not statement.sql.upper().startswith("SELECT"):
            self._connection.send(message(Backend.NO_DATA))
            return
        empty = self._database.execute(
            f"SELECT * FROM ({to_sqlite(statement.sql)}) LIMIT 0", [None] * len(statement.types)
        )
        names = [column[0] for column in empty.description]
        types = self._column_types(empty)
        self._connection.send(row_description(list(zip(names, types, strict=True))))

    async def _execute(self, portal: Portal) -> None:
        statement, values = portal
        self._transaction.check_not_aborted()
        if statement.locks:
            await self._transaction.lock(self._timeout_s("statement_timeout"))
        if self._data.faults.refuse_rows & set(values):
            raise ValueError("a parameter value is in Faults.refuse_rows")
        cursor = self._database.execute(to_sqlite(statement.sql), values)
        rows = cursor.fetchall()
        types = self._column_types(cursor)
        for row in rows:
            self._connection.send(data_row(row, types))
        command = command_of(statement.sql)
        counts = {"INSERT": f"0 {cursor.rowcount}", "SELECT": len(rows)}
        self._connection.send(command_complete(f"{command} {counts.get(command, cursor.rowcount)}"))

    async def _sync(self) -> None:
        await self._delay()
        if self._failed:
            self._recover()
        elif not self._transaction.in_block:
            try:
                self._transaction.commit()
            except SqlStateError as error:
                self._on_error(error)
                self._failed = False
        self._send_ready_for_query()

    async def _delay(self) -> None:
        if self._data.faults.delay_s:
            await asyncio.sleep(self._data.faults.delay_s)

    def _column_types(self, cursor: sqlite3.Cursor) -> list[int]:
        return [self._data.column_type(self._database, column[0]) for column in cursor.description or ()]
