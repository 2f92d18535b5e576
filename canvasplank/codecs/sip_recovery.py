"""Finds messages of call servers in bytes that cannot be parsed as a sequence of messages.

A message with a wrong length or without an end may be followed by messages that must not be lost, since a
server sends the release of a call once.  Where a message begins is a guess, and what is found may be part of
another message's body: check it against the state of the call before acting on it.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from canvasplank.codecs import sip
from canvasplank.codecs.errors import MAX_MESSAGE_BYTES, BadMessageError

_START = re.compile(rb"BYE sip:|SIP/2\.0 2[0-9][0-9] ")
_MAX_START_BYTES = 12  # the longest match of ``_START``
_HEAD_END = b"\r\n\r\n"


class MessageFinder:
    """Accepts bytes in pieces of any size; yields releases (BYE) and positive answers, without bodies."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> Iterator[sip.Message]:
        """Yield the messages with heads that these bytes complete."""
        self._buffer += data
        while (start := _START.search(self._buffer)) is not None:
            del self._buffer[: start.start()]
            end = self._buffer.find(_HEAD_END)
            if end >= 0:
                head = bytes(self._buffer[:end])
                del self._buffer[: end + len(_HEAD_END)]
                yield from _read_last_head(head)
            elif len(self._buffer) > MAX_MESSAGE_BYTES:
                del self._buffer[:1]  # its head has no end: search on from the next byte
            else:
                return
        del self._buffer[: 1 - _MAX_START_BYTES]


def _read_last_head(data: bytes) -> Iterator[sip.Message]:
    """Yield the last head in these bytes, if it can be parsed; one without an end may precede it."""
    *_, last = _START.finditer(data)
    try:
        yield sip.parse_head(data[last.start() :])
    except BadMessageError:
        return
