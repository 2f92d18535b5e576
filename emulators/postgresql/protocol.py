"""Messages of PostgreSQL's frontend/backend protocol 3.0: types, encoding and decoding."""

from __future__ import annotations

import sqlite3
import struct
from collections.abc import Sequence

Value = str | int | None

SSL_REQUEST, PROTOCOL_3 = 80877103, 196608  # codes in the first message of a client
TEXT_OID, BIGINT_OID, INTEGER_OID = 25, 20, 23  # object identifiers (OIDs) of types
TYPE_OIDS = {"text": TEXT_OID, "bigint": BIGINT_OID, "integer": INTEGER_OID}
BINARY_FORMATS = {BIGINT_OID: struct.Struct(">q"), INTEGER_OID: struct.Struct(">i")}
SERVER_PARAMETERS = {
    "server_version": "16.0",
    "client_encoding": "UTF8",
    "server_encoding": "UTF8",
    "standard_conforming_strings": "on",
    "integer_datetimes": "on",
    "TimeZone": "UTC",
}


class Frontend:
    """Types of the client's messages."""

    QUERY = b"Q"
    PARSE = b"P"
    DESCRIBE = b"D"
    BIND = b"B"
    EXECUTE = b"E"
    CLOSE = b"C"
    FLUSH = b"H"
    SYNC = b"S"
    TERMINATE = b"X"


class Backend:
    """Types of the server's messages."""

    AUTHENTICATION = b"R"
    PARAMETER_STATUS = b"S"
    BACKEND_KEY_DATA = b"K"
    READY_FOR_QUERY = b"Z"
    PARSE_COMPLETE = b"1"
    BIND_COMPLETE = b"2"
    CLOSE_COMPLETE = b"3"
    PARAMETER_DESCRIPTION = b"t"
    ROW_DESCRIPTION = b"T"
    NO_DATA = b"n"
    DATA_ROW = b"D"
    COMMAND_COMPLETE = b"C"
    ERROR_RESPONSE = b"E"


class SqlStateError(Exception):
    """An error with its SQLSTATE. A fatal error ends the session."""

    def __init__(self, state: str, text: str, *, fatal: bool = False) -> None:
        super().__init__(text)
        self.state, self.fatal = state, fatal


class MessageReader:
    """Decodes the body of one message."""

    def __init__(self, body: bytes) -> None:
        self._body, self._offset = body, 0

    def string(self) -> str:
        """Read a string terminated by a zero byte."""
        end = self._body.index(b"\0", self._offset)
        value, self._offset = self._body[self._offset : end].decode(), end + 1
        return value

    def number(self, struct_format: str) -> int:
        """Read a number of a struct format."""
        value: int
        [value] = struct.unpack_from(f">{struct_format}", self._body, self._offset)
        self._offset += struct.calcsize(f">{struct_format}")
        return value

    def numbers(self, struct_format: str) -> list[int]:
        """Read a list of numbers, preceded by their count in two bytes."""
        return [self.number(struct_format) for _ in range(self.number("h"))]

    def value(self) -> bytes | None:
        """Read a value, preceded by its length in four bytes. Return None for NULL (length -1)."""
        length = self.number("i")
        if length < 0:
            return None
        self._offset += length
        return self._body[self._offset - length : self._offset]


def message(kind: bytes, body: bytes = b"") -> bytes:
    """Encode a message: type, length (which includes itself but not the type), body."""
    return kind + struct.pack(">I", len(body) + 4) + body


def encode_string(value: str) -> bytes:
    """Encode a string, terminated by a zero byte."""
    return value.encode() + b"\0"


def startup_messages() -> bytes:
    """Encode the messages before the first ReadyForQuery: AuthenticationOk, parameters, BackendKeyData."""
    statuses = (
        message(Backend.PARAMETER_STATUS, encode_string(name) + encode_string(value))
        for name, value in SERVER_PARAMETERS.items()
    )
    return (
        message(Backend.AUTHENTICATION, struct.pack(">I", 0))
        + b"".join(statuses)
        + message(Backend.BACKEND_KEY_DATA, struct.pack(">II", 1, 1))
    )


def parameter_description(types: Sequence[int]) -> bytes:
    """Encode ParameterDescription: the types of a statement's parameters."""
    return message(Backend.PARAMETER_DESCRIPTION, struct.pack(f">h{len(types)}I", len(types), *types))


def row_description(columns: Sequence[tuple[str, int]]) -> bytes:
    """Encode RowDescription: the names and types of a result's columns."""
    fields = [
        encode_string(name) + struct.pack(">IhIhih", 0, 0, type_oid, -1, -1, 0) for name, type_oid in columns
    ]
    return message(Backend.ROW_DESCRIPTION, struct.pack(">h", len(columns)) + b"".join(fields))


def data_row(row: Sequence[Value], types: Sequence[int]) -> bytes:
    """Encode DataRow: one row of a result, with numbers in binary format and all other values as text."""
    fields = []
    for value, type_oid in zip(row, types, strict=True):
        if value is None:
            fields.append(struct.pack(">i", -1))
            continue
        number = BINARY_FORMATS.get(type_oid)
        data = number.pack(value) if number is not None else str(value).encode()
        fields.append(struct.pack(">i", len(data)) + data)
    return message(Backend.DATA_ROW, struct.pack(">h", len(row)) + b"".join(fields))


def command_complete(tag: str) -> bytes:
    """Encode CommandComplete with a command tag, such as ``INSERT 0 1``."""
    return message(Backend.COMMAND_COMPLETE, encode_string(tag))


def error_response(error: Exception) -> bytes:
    """Encode ErrorResponse: the severity, SQLSTATE and message of an error."""
    severity = "ERROR"
    if isinstance(error, SqlStateError):
        state, severity = error.state, "FATAL" if error.fatal else "ERROR"
    elif type(error) is sqlite3.IntegrityError:
        state = "23505"
    else:
        state = "22000" if isinstance(error, ValueError) else "42000"
    fields = {b"S": severity, b"V": severity, b"C": state, b"M": str(error)}
    body = b"".join(code + encode_string(value) for code, value in fields.items())
    return message(Backend.ERROR_RESPONSE, body + b"\0")
