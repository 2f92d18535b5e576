"""An event loop that is woken through a pipe instead of a pair of Unix sockets.

asyncio wakes its loop, and learns of signals, through a socket pair of its own, which is a pair of Unix
sockets.  Some platforms that this proxy runs on allow sockets over IPv4 alone; a pipe does the same work
there, and everywhere else too.
"""

from __future__ import annotations

import asyncio
import os


class _PipeEnd:
    """One end of a non-blocking pipe, with the few methods of a socket that the event loop calls."""

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor

    def fileno(self) -> int:
        return self._descriptor

    def setblocking(self, blocking: bool) -> None:
        os.set_blocking(self._descriptor, blocking)

    def recv(self, size: int) -> bytes:
        return os.read(self._descriptor, size)

    def send(self, data: bytes) -> int:
        return os.write(self._descriptor, data)

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


class PipeEventLoop(asyncio.SelectorEventLoop):
    """asyncio's own event loop, but for what wakes it."""

    # asyncio's own names from here on; its stubs do not declare them.
    _internal_fds: int

    def _make_self_pipe(self) -> None:
        reading, writing = os.pipe()
        self._ssock, self._csock = _PipeEnd(reading), _PipeEnd(writing)
        self._internal_fds += 1
        self._add_reader(self._ssock.fileno(), self._read_from_self)  # type: ignore[attr-defined]
