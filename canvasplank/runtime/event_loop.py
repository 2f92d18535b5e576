"""An event loop that is woken through a pipe instead of a pair of Unix sockets.

asyncio wakes its event loop, also for signals, through a socket pair, which consists of Unix sockets.  Some
platforms that this proxy runs on only allow IPv4 sockets; a pipe works there and everywhere else.
"""

from __future__ import annotations

import asyncio
import os


class _PipeEnd:
    """One end of a non-blocking pipe, with the socket methods that the event loop calls."""

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
    """asyncio's selector event loop, woken through a pipe."""

    # The names below are internal to asyncio; its type stubs do not declare them.
    _internal_fds: int

    def _make_self_pipe(self) -> None:
        read_descriptor, write_descriptor = os.pipe()
        self._ssock, self._csock = _PipeEnd(read_descriptor), _PipeEnd(write_descriptor)
        self._internal_fds += 1
        self._add_reader(self._ssock.fileno(), self._read_from_self)  # type: ignore[attr-defined]
