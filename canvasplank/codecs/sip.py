"""SIP over TCP for the call servers: the part of RFC 3261 that their messages use."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from canvasplank.codecs.errors import MAX_MESSAGE_BYTES, BadMessageError
from canvasplank.codecs.q850 import MAX_CAUSE, ReleaseCause

_LINE_END = b"\r\n"
_HEAD_END = b"\r\n\r\n"
_START_LINE_FIELDS = 3
_STATUS_PREFIX = b"SIP/2.0 "
# The registered methods (IANA, "SIP Parameters").  Another word is what a wrong Content-Length has left.
_METHODS = (
    "ACK",
    "BYE",
    "CANCEL",
    "INFO",
    "INVITE",
    "MESSAGE",
    "NOTIFY",
    "OPTIONS",
    "PRACK",
    "PUBLISH",
    "REFER",
    "REGISTER",
    "SUBSCRIBE",
    "UPDATE",
)
_START_PREFIXES = (_STATUS_PREFIX, *(f"{method} ".encode() for method in _METHODS))
_LONGEST_START_PREFIX = max(map(len, _START_PREFIXES))
_CONTROL = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
_LENGTH = re.compile(r"[0-9]{1,10}")
_CSEQ = re.compile(r"([0-9]{1,10})\s+([A-Z]+)")
_STATUS = re.compile(r"[1-6][0-9]{2}")
_QUOTED = re.compile(r'"[^"]*"')
_CAUSE = re.compile(r"[0-9]{1,3}")
_BRANCH = re.compile(r";\s*branch\s*=\s*([^;\s]+)", re.IGNORECASE)
_BRANCH_COOKIE = "z9hG4bK"  # every branch begins with it (RFC 3261 8.1.1.7)
# CANCEL and ACK have the branch of their INVITE (RFC 3261 9.1, 17.1.1.3).
_INVITE_METHODS = ("INVITE", "CANCEL", "ACK")


@dataclass(frozen=True, slots=True)
class Message:
    """A request (``status`` 0) or a response (``method`` from its CSeq).  Header names are in lower case."""

    method: str
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def call_id(self) -> str:
        """The Call-ID, which all messages of a call share; empty if there is none."""
        return self.headers.get("call-id", "")

    @property
    def sequence(self) -> int:
        """The number in CSeq; 0 if there is none."""
        match = _CSEQ.match(self.headers.get("cseq", ""))
        return int(match[1]) if match else 0

    @property
    def branch(self) -> str:
        """The branch in the topmost Via, the transaction id (RFC 3261 8.1.1.7); empty if there is none."""
        match = _BRANCH.search(self.headers.get("via", "").split(",")[0])
        return match[1] if match else ""

    def answers_other_invite(self, sequence: int) -> bool:
        """Return whether this response is to another INVITE of its call than that of CSeq ``sequence``.

        False if unknown: a response without a branch of this program (RFC 3261 17.1.3) may answer any INVITE.
        """
        ours = self.branch.startswith(f"{_BRANCH_COOKIE}{self.call_id}")
        return ours and self.branch != _branch("INVITE", self.call_id, sequence)

    @property
    def cause(self) -> int | None:
        """The Q.850 cause in ``Reason`` (RFC 3326), if any; ``NORMAL_UNSPECIFIED`` if it is out of range.

        The callers' protocol has one byte for the cause.  A release with a cause that does not fit could not
        be forwarded, and the call would stay established for ever.
        """
        for reason in _QUOTED.sub("", self.headers.get("reason", "")).split(","):
            protocol, *parameters = (field.strip() for field in reason.split(";"))
            for name, _, value in (parameter.partition("=") for parameter in parameters):
                if protocol.upper() == "Q.850" and name.strip().lower() == "cause":
                    value = value.strip()
                    in_range = _CAUSE.fullmatch(value) and 0 < int(value) <= MAX_CAUSE
                    return int(value) if in_range else ReleaseCause.NORMAL_UNSPECIFIED
        return None


class _Head(NamedTuple):
    """The head of a message: its start line and headers."""

    method: str
    status: int
    headers: dict[str, str]


class Parser:
    """Incremental parser: accepts bytes in pieces of any size and yields complete messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._head: _Head | None = None  # the parsed head of a message whose body is incomplete
        self._body_length = 0  # of that message, in bytes

    @property
    def in_message(self) -> bool:
        """Whether a part of a message has been received."""
        return bool(self._buffer) or self._head is not None

    @property
    def buffered(self) -> int:
        """The number of bytes of the incomplete message, without its head once that is parsed."""
        return len(self._buffer)

    @property
    def unread(self) -> bytes:
        """The bytes that belong to no yielded message, without a head that was parsed."""
        return bytes(self._buffer)

    def clear(self) -> None:
        """Discard the incomplete message."""
        self._buffer.clear()
        self._head = None

    def feed(self, data: bytes | memoryview) -> Iterator[Message]:
        """Yield the messages that these bytes complete; raises ``BadMessageError``."""
        self._buffer += data
        while (head := self._head or self._read_head()) is not None:
            if len(self._buffer) < self._body_length:
                return
            body = bytes(self._buffer[: self._body_length])
            del self._buffer[: self._body_length]
            self._head = None
            if body:  # if Content-Length is wrong, the next bytes do not begin a message
                self._check_prefix_after(body)
            yield Message(head.method, head.status, head.headers, body)

    def _read_head(self) -> _Head | None:
        """Parse the next head, if it is complete, and store it until its body is complete."""
        self._skip_blank_lines()
        end = self._buffer.find(_HEAD_END)
        if end < 0:
            self._check_prefix()
            if len(self._buffer) > MAX_MESSAGE_BYTES:
                raise BadMessageError(f"headers do not end within {MAX_MESSAGE_BYTES} bytes")
            return None
        lines = _head_lines(bytes(self._buffer[:end]))
        headers = _parse_headers(lines[1:])
        body_length = _content_length(headers)
        if end + len(_HEAD_END) + body_length > MAX_MESSAGE_BYTES:
            raise BadMessageError(f"message is longer than {MAX_MESSAGE_BYTES} bytes")
        head = _parse_start_line(lines[0], headers)
        del self._buffer[: end + len(_HEAD_END)]
        self._head, self._body_length = head, body_length
        return self._head

    def _skip_blank_lines(self) -> None:
        """Discard empty lines between messages (RFC 3261 7.5)."""
        while self._buffer.startswith(_LINE_END):
            del self._buffer[:2]

    def _check_prefix_after(self, body: bytes) -> None:
        """Raise ``BadMessageError`` if what follows the body begins no message: Content-Length is wrong."""
        size = len(self._buffer)
        try:
            self._check_prefix()
        except BadMessageError:
            # It may not be a body after all: keep it for ``unread``, with the line ends that were skipped.
            skipped = _LINE_END * ((size - len(self._buffer)) // len(_LINE_END))
            self._buffer[:0] = body + skipped
            raise

    def _check_prefix(self) -> None:
        """Raise ``BadMessageError`` at once if the buffer does not begin like a message."""
        self._skip_blank_lines()
        if self._buffer == b"\r":
            return
        start = bytes(self._buffer[:_LONGEST_START_PREFIX])
        if not any(start.startswith(prefix[: len(start)]) for prefix in _START_PREFIXES):
            raise BadMessageError(f"not the start of a message: {start!r}")


def parse_head(data: bytes) -> Message:
    """Return the message with this start line and headers, and an empty body; raises ``BadMessageError``."""
    lines = _head_lines(data)
    head = _parse_start_line(lines[0], _parse_headers(lines[1:]))
    return Message(head.method, head.status, head.headers, b"")


def _head_lines(data: bytes) -> list[str]:
    try:
        lines = data.decode().split("\r\n")
    except UnicodeDecodeError as error:
        raise BadMessageError("headers are not UTF-8") from error
    if _CONTROL.search(data):
        raise BadMessageError("headers contain control characters")
    return lines


def _parse_headers(lines: list[str]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not name.strip():
            raise BadMessageError(f"not a header: {line[:80]!r}")
        name, value = name.strip().lower(), value.strip()
        if headers.setdefault(name, value) != value and name == "content-length":
            raise BadMessageError("conflicting values of Content-Length")
    return headers


def _content_length(headers: dict[str, str]) -> int:
    text = headers.get("content-length")
    if text is None:
        raise BadMessageError("Content-Length is missing")
    if not _LENGTH.fullmatch(text):
        raise BadMessageError(f"Content-Length {text[:20]!r} is not a number")
    return int(text)


def _parse_start_line(line: str, headers: dict[str, str]) -> _Head:
    fields = line.split(" ", _START_LINE_FIELDS - 1)
    if len(fields) == _START_LINE_FIELDS and fields[0] == "SIP/2.0" and _STATUS.fullmatch(fields[1]):
        match = _CSEQ.match(headers.get("cseq", ""))
        if match is None:
            raise BadMessageError(f"CSeq {headers.get('cseq', '')[:40]!r} has no method")
        return _Head(match[2], int(fields[1]), headers)
    if len(fields) == _START_LINE_FIELDS and fields[2] == "SIP/2.0" and fields[0] in _METHODS:
        return _Head(fields[0], 0, headers)
    raise BadMessageError(f"not a start line: {line[:80]!r}")


def _branch(method: str, call_id: str, sequence: int) -> str:
    """Return the branch that this program puts into a request."""
    suffix = "" if method in _INVITE_METHODS else f"-{method}"
    return f"{_BRANCH_COOKIE}{call_id}-{sequence}{suffix}"


def request(
    method: str,
    user: str,
    call_id: str,
    sequence: int,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> bytes:
    """Return an encoded request; ``sequence`` is the number in CSeq."""
    lines = [
        f"{method} sip:{user}@net SIP/2.0",
        f"Via: SIP/2.0/TCP edge;branch={_branch(method, call_id, sequence)}",
        f"Call-ID: {call_id}",
        f"CSeq: {sequence} {method}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + _HEAD_END + body


def response(status: int, reason: str, answered: Message) -> bytes:
    """Return an encoded response to ``answered``, with headers copied from it (RFC 3261 8.2.6.2)."""
    copied = {"via": "Via", "from": "From", "to": "To", "call-id": "Call-ID", "cseq": "CSeq"}
    lines = [f"SIP/2.0 {status} {reason}"]
    lines += [f"{name}: {answered.headers[key]}" for key, name in copied.items() if key in answered.headers]
    return "\r\n".join([*lines, "Content-Length: 0"]).encode() + _HEAD_END
