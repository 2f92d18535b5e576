"""Messages of the frontend/backend protocol 3.0."""

from __future__ import annotations

import sqlite3
import struct

SSL_REQUEST, CANCEL_REQUEST, PROTOCOL_3 = 80877103, 80877102, 196608
TEXT, BIGINT, INTEGER = 25, 20, 23
TYPES = {"text": TEXT, "bigint": BIGINT, "integer": INTEGER}
NUMBERS = {BIGINT: struct.Struct(">q"), INTEGER: struct.Struct(">i")}  # as a binary result holds them
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
