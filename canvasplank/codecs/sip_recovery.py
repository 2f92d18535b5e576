"""Finds messages of call servers in bytes that cannot be read as a sequence of messages.

Behind a message whose length is false, or that has no end, others may follow that matter: the release of a
call is written once.  Where they begin can only be guessed, so what is found must be acted on with care: the
bytes may be part of another message's body.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from canvasplank.codecs import sip
from canvasplank.codecs.errors import MAX_MESSAGE_BYTES, BadMessageError

_START = re.compile(rb"BYE sip:|SIP/2\.0 2[0-9][0-9] ")
_MAX_START_BYTES = 12  # of what matches ``_START``
_HEAD_END = b"\r\n\r\n"


class MessageFinder:
    """Takes bytes in any split and yields releases (BYE) and positive answers, without their bodies."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> Iterator[sip.Message]:
        """The messages whose heads are completed by these bytes."""
        self._buffer += data
        while (start := _START.search(self._buffer)) is not None:
            del self._buffer[: start.start()]
            end = self._buffer.find(_HEAD_END)
            if end >= 0:
                head = bytes(self._buffer[:end])
                del self._buffer[: end + len(_HEAD_END)]
                yield from _read_last_head(head)
            elif len(self._buffer) > MAX_MESSAGE_BYTES:
                del self._buffer[:1]  # no message begins here
            else:
                return
        del self._buffer[: 1 - _MAX_START_BYTES]


def _read_last_head(data: bytes) -> Iterator[sip.Message]:
    """The head that these bytes end with, if it can be read; before it may be one that has no end."""
    *_, last = _START.finditer(data)
    try:
        yield sip.parse_head(data[last.start() :])
    except BadMessageError:
        return
