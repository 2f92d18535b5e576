"""Server-sent events (HTML standard) in an HTTP response, the protocol of service discovery."""

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
    """An event exceeds the size limit.  The parser remains usable and discards the rest of the event."""

    def __init__(self, event_id: str) -> None:
        """``event_id``: the id of the event; empty if it has not been read yet."""
        super().__init__(f"event is longer than {_MAX_EVENT_BYTES} bytes")
        self.event_id = event_id


@dataclass(frozen=True, slots=True)
class Event:
    """One event: its id and its data lines, joined by newlines."""

    id: str
    data: str


def request(path: str, host: str, last_id: int) -> bytes:
    """Return an encoded request for all events after ``last_id``."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
        f"Last-Event-ID: {last_id}\r\nConnection: close\r\n\r\n"
    ).encode()


class Parser:
    """Incremental parser of one response: accepts bytes in pieces of any size, yields complete events."""

    def __init__(self) -> None:
        self._raw = bytearray()  # received and not yet decoded
        self._text = bytearray()  # of the body, without the chunked encoding: what is not yet parsed
        self.retry_after_ms = 0.0  # from ``Retry-After`` in an error response; 0: none
        self._in_body = False
        self._chunked = False
        self._chunk_left = 0  # bytes of the current chunk still to come
        self._id = ""  # the last id read, which also applies to events without an id
        self._incomplete_event_id = ""  # the id in the incomplete event itself
        self._data: list[str] = []  # data lines of the incomplete event
        self._discarding = False  # whether the incomplete event is oversized, and its rest discarded

    @property
    def in_message(self) -> bool:
        """Whether part of an event has been received."""
        return bool(self.buffered)

    @property
    def buffered(self) -> int:
        """The number of bytes of the incomplete event."""
        return len(self._raw) + len(self._text) + sum(map(len, self._data))

    def clear(self) -> None:
        """Discard the incomplete event."""
        self._raw.clear()
        self._text.clear()
        self._data = []

    def feed(self, data: bytes | memoryview) -> Iterator[Event]:
        """Yield the events that these bytes complete, without comments; raises ``BadMessageError``.

        The parser remains usable after an ``OversizedEventError``.
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
        """Discard the incomplete event up to its end; raises ``OversizedEventError`` once per event."""
        self._data = []
        if len(self._text) > _MAX_EVENT_BYTES:
            # The colon turns the rest of the line into a comment, since an empty rest would end the event.
            self._text[:] = b":"
        if not self._discarding:
            self._discarding = True
            raise OversizedEventError(self._incomplete_event_id)

    def _read_head(self) -> bool:
        end = self._raw.find(b"\r\n\r\n")
        if end < 0:
            if len(self._raw) > MAX_MESSAGE_BYTES:
                raise BadMessageError(f"headers do not end within {MAX_MESSAGE_BYTES} bytes")
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
            raise BadMessageError(f"not a successful response: {status[:80]!r}")
        self._chunked = headers.get("transfer-encoding", "").lower() == "chunked"
        self._in_body = True
        return True

    def _unchunk(self) -> None:
        """Move the data of chunks to ``_text`` (RFC 9112 7.1); a chunk's length line may arrive in pieces."""
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
                    raise BadMessageError("chunk length line does not end")
                return
            line = bytes(self._raw[:end]).split(b";")[0].strip()
            del self._raw[: end + 2]
            if not line:  # the line end after a chunk's data
                continue
            if not _CHUNK_LENGTH.fullmatch(line):  # rejects a negative length, which would never be reached
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
    """Return ``Retry-After`` (RFC 9110 10.2.3) in ms: seconds, or a date less ``Date``; 0: none readable."""
    retry_after = headers.get("retry-after", "")
    if _SECONDS.fullmatch(retry_after):
        return float(retry_after) * 1000
    # Imported here, since few error responses need it and it slows every start.
    from email.utils import parsedate_to_datetime

    try:
        retry_at, sent_at = parsedate_to_datetime(retry_after), parsedate_to_datetime(headers.get("date", ""))
        return max(0.0, (retry_at - sent_at).total_seconds() * 1000)
    except (ValueError, TypeError, OverflowError):  # TypeError: only one of the dates has a time zone
        return 0.0
