"""The callers' binary protocol: ``length:2 type:1 call:8``, then parameters ``code:1 length:2 value``.

The numbers are sizes in bytes; integers are big-endian.  A length does not count itself.
"""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

from canvasplank.codecs.errors import MAX_MESSAGE_BYTES, BadMessageError
from canvasplank.codecs.q850 import ReleaseCause

_LENGTH = struct.Struct(">H")
_HEADER = struct.Struct(">HB8s")  # length, type, call
_PARAMETER = struct.Struct(">BH")
MAX_PARAMETERS = 64  # of a message; no message of the protocol has more than 8
_CALL_ID_BYTES = 8
_MIN_LENGTH = _HEADER.size - _LENGTH.size  # type and call


# The call id of the tests with which a process introduces itself to the one that it takes over from.
UPGRADE_ID = b"upgrade\0".hex()


class Kind(enum.IntEnum):
    """The message types in use.  The parser accepts any other; the receiver decides what it means."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_CONFIRMED = 16
    GROUP_STATE = 43
    TEST = 52
    TEST_RESULT = 53


class Parameter(enum.IntEnum):
    """The parameter codes in use."""

    CLASS = 100
    WAIT = 103
    TENANT = 106
    NUMBER = 112
    FIGURES = 115
    RETRY_AFTER = 118
    CAUSE = 142
    DESCRIPTION = 145


@dataclass(frozen=True, slots=True)
class Message:
    """One message; ``call_id`` is 16 hex digits, as in SIP."""

    kind: int
    call_id: str
    parameters: dict[int, bytes] = field(default_factory=dict)

    def text(self, code: Parameter) -> str:
        """Return a parameter's text; raises ``BadMessageError`` if missing or not one printable word."""
        value = self.parameters.get(code)
        if value is None:
            raise BadMessageError(f"parameter {code.value} ({code.name.lower()}) is missing")
        try:
            text = value.decode()
        except UnicodeDecodeError as error:
            raise BadMessageError(f"parameter {code.value} ({code.name.lower()}) is not text") from error
        if not text.isprintable() or " " in text:
            # The text is copied into SIP lines, and must not end one early.
            raise BadMessageError(
                f"parameter {code.value} ({code.name.lower()}) contains spaces or control characters"
            )
        return text

    @property
    def cause(self) -> int:
        """The Q.850 cause; normal clearing if the message has none."""
        value = self.parameters.get(Parameter.CAUSE, b"")
        return value[0] if value else ReleaseCause.NORMAL_CLEARING


class Parser:
    """Incremental parser: accepts bytes in pieces of any size and yields complete messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def in_message(self) -> bool:
        """Whether the buffer holds part of a message."""
        return bool(self._buffer)

    @property
    def buffered(self) -> int:
        """The number of bytes of the incomplete message."""
        return len(self._buffer)

    def clear(self) -> None:
        """Discard the incomplete message."""
        self._buffer.clear()

    def feed(self, data: bytes | memoryview) -> Iterator[Message]:
        """Yield the messages that these bytes complete; raises ``BadMessageError``."""
        self.append(data)
        while (message := self.next_message()) is not None:
            yield message

    def append(self, data: bytes | memoryview) -> None:
        """Store bytes for ``next_message``."""
        self._buffer += data

    def next_message(self) -> Message | None:
        """Remove and return the next message, None if it is incomplete; raises ``BadMessageError``."""
        size = self._next_size()
        if size is None or len(self._buffer) < size:
            return None
        raw = bytes(self._buffer[:size])
        del self._buffer[:size]
        return _decode(raw)

    @property
    def has_message(self) -> bool:
        """Whether ``next_message`` would return a message or raise an error."""
        try:
            size = self._next_size()
        except BadMessageError:
            return True
        return size is not None and len(self._buffer) >= size

    @property
    def next_kind(self) -> int | None:
        """The type of the next message; None if it has not been received whole."""
        return self._buffer[_LENGTH.size] if self.has_message and self.buffered > _LENGTH.size else None

    @property
    def next_call_id(self) -> str:
        """The call id of the next message, which must have been received whole."""
        return bytes(self._buffer[_HEADER.size - _CALL_ID_BYTES : _HEADER.size]).hex()

    def _next_size(self) -> int | None:
        """Return the size of the next message, None if not known yet; raises ``BadMessageError``."""
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        size: int = length + _LENGTH.size
        if length < _MIN_LENGTH or size > MAX_MESSAGE_BYTES:
            max_length = MAX_MESSAGE_BYTES - _LENGTH.size
            raise BadMessageError(f"length {length} is not between {_MIN_LENGTH} and {max_length}")
        return size


def _decode(raw: bytes) -> Message:
    _, kind, call = _HEADER.unpack_from(raw)
    parameters: dict[int, bytes] = {}
    offset = _HEADER.size
    count = 0
    while offset < len(raw):
        count += 1
        if count > MAX_PARAMETERS:
            raise BadMessageError(f"more than {MAX_PARAMETERS} parameters")
        if offset + _PARAMETER.size > len(raw):
            raise BadMessageError(f"parameter at byte {offset} is truncated")
        code, length = _PARAMETER.unpack_from(raw, offset)
        offset += _PARAMETER.size
        if offset + length > len(raw):
            raise BadMessageError(
                f"parameter {code} has length {length}, but {len(raw) - offset} bytes are left"
            )
        parameters[code] = raw[offset : offset + length]
        offset += length
    return Message(kind, call.hex(), parameters)


def encode(message: Message) -> bytes:
    """Return the encoded message."""
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in message.parameters.items())
    return _HEADER.pack(_MIN_LENGTH + len(body), message.kind, bytes.fromhex(message.call_id)) + body


def answer(call_id: str, description: bytes) -> bytes:
    """Return an encoded ANSWER: the call is established."""
    return encode(Message(Kind.ANSWER, call_id, {Parameter.DESCRIPTION: description}))


def release(call_id: str, cause: int, retry_after_ms: float | None = None) -> bytes:
    """Return an encoded RELEASE; cause and call state tell if the call is rejected, has failed or ended.

    ``retry_after_ms``: how long a rejected caller must wait before it retries.
    """
    parameters: dict[int, bytes] = {Parameter.CAUSE: bytes([cause])}
    if retry_after_ms is not None:
        parameters[Parameter.RETRY_AFTER] = b"%d" % retry_after_ms
    return encode(Message(Kind.RELEASE, call_id, parameters))


def release_confirmed(call_id: str) -> bytes:
    """Return an encoded RELEASE_CONFIRMED."""
    return encode(Message(Kind.RELEASE_CONFIRMED, call_id))


def progress(call_id: str) -> bytes:
    """Return an encoded PROGRESS of a set-up: it may be sent at any time, and receivers ignore it."""
    return encode(Message(Kind.PROGRESS, call_id))


def test(call_id: str) -> bytes:
    """Return an encoded TEST, which asks whether the receiver accepts new callers."""
    return encode(Message(Kind.TEST, call_id, {Parameter.CAUSE: b"\0"}))


def test_result(call_id: str, passed: bool) -> bytes:
    """Return an encoded TEST_RESULT; ``passed``: whether the sender accepts new callers."""
    return encode(Message(Kind.TEST_RESULT, call_id, {Parameter.CAUSE: bytes([passed])}))
