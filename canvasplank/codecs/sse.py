"""Server-sent events in an HTTP response (the HTML standard's event stream): what service discovery sends."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from canvasplank.codecs.errors import MAX_MESSAGE_BYTES, BadMessageError

_MAX_EVENT_BYTES = 16 * MAX_MESSAGE_BYTES  # the complete list of servers is one event
_STATUS_FIELDS = 2
_SECONDS = re.compile(r"[0-9]{1,9}", re.ASCII)
_CHUNK_LENGTH = re.compile(rb"[0-9A-Fa-f]{1,8}")


class OversizedEventError(BadMessageError):
    """An event is over the size limit; a parser that is fed on discards the rest of it."""

    def __init__(self, event_id: str) -> None:
        """``event_id``: its id; empty where that has not been read yet."""
        super().__init__(f"event of over {_MAX_EVENT_BYTES} bytes")
        self.event_id = event_id


@dataclass(frozen=True, slots=True)
class Event:
    """One event: its id, and the lines of its data."""

    id: str
    data: str


def request(path: str, host: str, last_id: int) -> bytes:
    """The bytes of a request for all events after one."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
        f"Last-Event-ID: {last_id}\r\nConnection: close\r\n\r\n"
    ).encode()


class Parser:
    """Takes the bytes of one response in any split and yields complete events."""

    def __init__(self) -> None:
        self._raw = bytearray()  # as received
        self._text = bytearray()  # the body, without its chunks' heads
        self.retry_after_ms = 0.0  # what a refusal has named; 0: nothing
        self._in_body = False
        self._chunked = False
        self._chunk_left = 0
        self._id = ""  # the last one read, which holds for events without one
        self._incomplete_event_id = ""  # of the incomplete event itself
        self._data: list[str] = []  # lines of the incomplete event
        self._discarding = False  # the rest of an oversized event

    @property
    def in_message(self) -> bool:
        """Whether an event has started and is incomplete."""
        return bool(self.buffered)

    @property
    def buffered(self) -> int:
        """Bytes of the incomplete event."""
        return len(self._raw) + len(self._text) + sum(map(len, self._data))

    def clear(self) -> None:
        """Discard the incomplete event."""
        self._raw.clear()
        self._text.clear()
        self._data = []

    def feed(self, data: bytes | memoryview) -> Iterator[Event]:
        """Events completed by these bytes; comments are passed over.  Raises ``BadMessageError``.

        After an ``OversizedEventError`` it may be fed on.
        """
        self._raw += data
        if not self._in_body and not self._read_head():
            return
        if self._chunked:
            self._unchunk()
        else:
            self._text += self._raw
            self._raw.clear()
        yield from self._events()
        if (
            len(self._text) > _MAX_EVENT_BYTES
            or sum(map(len, self._data)) + len(self._data) > _MAX_EVENT_BYTES
        ):
            self._discard_event()

    def _discard_event(self) -> None:
        """Discard the incomplete event up to its end; raises ``OversizedEventError``, once for each."""
        self._data = []
        if len(self._text) > _MAX_EVENT_BYTES:
            self._text[:] = b":"  # the rest of the line is a comment: it must not pass for an empty line
        if not self._discarding:
            self._discarding = True
            raise OversizedEventError(self._incomplete_event_id)

    def _read_head(self) -> bool:
        end = self._raw.find(b"\r\n\r\n")
        if end < 0:
            if len(self._raw) > MAX_MESSAGE_BYTES:
                raise BadMessageError(f"no end of the headers within {MAX_MESSAGE_BYTES} bytes")
            return False
        status, *lines = self._raw[:end].decode("latin-1").split("\r\n")
        del self._raw[: end + 4]
        status_fields = status.split(" ")
        fields = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in fields}
        if (
            len(status_fields) < _STATUS_FIELDS
            or not status_fields[0].startswith("HTTP/1.")
            or status_fields[1] != "200"
        ):
            self.retry_after_ms = _retry_after_ms(headers)
            raise BadMessageError(f"not a success: {status[:80]!r}")
        self._chunked = headers.get("transfer-encoding", "").lower() == "chunked"
        self._in_body = True
        return True

    def _unchunk(self) -> None:
        """Move complete chunks to the text (RFC 9112 7.1); a chunk's length line may itself be split."""
        while self._raw:
            if self._chunk_left:
                piece = self._raw[: self._chunk_left]
                self._text += piece
                del self._raw[: len(piece)]
                self._chunk_left -= len(piece)
                continue
            end = self._raw.find(b"\r\n")
            if end < 0:
                if len(self._raw) > MAX_MESSAGE_BYTES:
                    raise BadMessageError("chunk without a length")
                return
            line = bytes(self._raw[:end]).split(b";")[0].strip()
            del self._raw[: end + 2]
            if not line:  # the line end behind a chunk
                continue
            if not _CHUNK_LENGTH.fullmatch(line):  # a negative length would never be reached
                raise BadMessageError(f"chunk length {line[:20]!r} is not a number")
            self._chunk_left = int(line, 16)

    def _events(self) -> Iterator[Event]:
        while (end := self._text.find(b"\n")) >= 0:
            line = self._text[:end].decode("utf-8", "replace").rstrip("\r")
            del self._text[: end + 1]
            name, _, value = line.partition(":")
            if not line:
                if self._data and not self._discarding:
                    yield Event(self._id, "\n".join(self._data))
                self._data, self._incomplete_event_id, self._discarding = [], "", False
            elif name == "id":
                self._id = self._incomplete_event_id = value.removeprefix(" ")
            elif name == "data":
                self._data.append(value.removeprefix(" "))


def _retry_after_ms(headers: Mapping[str, str]) -> float:
    """``Retry-After`` (RFC 9110 10.2.3): seconds, or a date against the response's own; 0: none readable."""
    retry_after = headers.get("retry-after", "")
    if _SECONDS.fullmatch(retry_after):
        return float(retry_after) * 1000
    from email.utils import parsedate_to_datetime  # only here: costs every start what few refusals need

    try:
        retry_at, sent_at = parsedate_to_datetime(retry_after), parsedate_to_datetime(headers.get("date", ""))
        return max(0.0, (retry_at - sent_at).total_seconds() * 1000)
    except (ValueError, TypeError, OverflowError):  # TypeError: one of them names its zone and the other not
        return 0.0
