"""The event loop, woken through a pipe instead of a pair of Unix sockets.

asyncio wakes its loop, and hears of signals, through a socket pair of its own, and such a pair is a Unix
socket.  Some platforms this proxy runs on allow sockets over IPv4 alone; a pipe does the same work there,
and everywhere else too.
"""

from __future__ import annotations

import asyncio
import os


class _PipeEnd:
    """One end of a non-blocking pipe, with the few methods of a socket that the loop calls."""

    def __init__(self, fd: int) -> None:
        os.set_blocking(fd, False)
        self._fd = fd

    def fileno(self) -> int:
        return self._fd

    def setblocking(self, blocking: bool) -> None:
        os.set_blocking(self._fd, blocking)

    def recv(self, size: int) -> bytes:
        return os.read(self._fd, size)

    def send(self, data: bytes) -> int:
        return os.write(self._fd, data)

    def close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class PipeEventLoop(asyncio.SelectorEventLoop):
    """asyncio's own loop, but for what wakes it."""

    def _make_self_pipe(self) -> None:
        reading, writing = os.pipe()
        self._ssock, self._csock = _PipeEnd(reading), _PipeEnd(writing)
        self._internal_fds += 1
        self._add_reader(self._ssock.fileno(), self._read_from_self)
