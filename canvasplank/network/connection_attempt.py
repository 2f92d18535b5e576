"""Connection attempts with a deadline in the scheduler's timer queue."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from canvasplank.config.addresses import parse_address
from canvasplank.network.stream import Stream, read_remaining


class ConnectionAttempt:
    """Connects a stream, and then calls ``stream.on_connected`` or ``on_failed``, unless it is cancelled."""

    def __init__(
        self, stream: Stream[object], address: str, timeout_ms: float, on_failed: Callable[[str], None]
    ) -> None:
        """Start to connect; ``on_failed`` receives the reason of a failure, for the log."""
        self._stream = stream
        self._address = address
        self._timeout_ms = timeout_ms
        self._on_failed = on_failed
        self._scheduler = stream.scheduler
        self._timer = self._scheduler.call_later(timeout_ms, self._on_timeout)
        self._task: asyncio.Task[None] | None = asyncio.get_running_loop().create_task(self._run())

    def cancel(self) -> None:
        """Cancel the attempt; neither callback is called."""
        self._scheduler.timers.cancel(self._timer)
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _on_timeout(self) -> None:
        self._fail(f"not established within {self._timeout_ms:.0f} ms")

    def _fail(self, reason: str) -> None:
        # The connection may have been established just before this task resumed: that is no failure.
        if self._task is not None and self._stream.transport is None:
            self.cancel()
            self._on_failed(reason)

    async def _run(self) -> None:
        try:
            await self._connect()
        except (OSError, ValueError) as error:
            self._scheduler.begin_iteration()
            self._fail(str(error))
        else:
            self._scheduler.timers.cancel(self._timer)
            self._task = None

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = parse_address(self._address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # asyncio disables Nagle's algorithm only if the protocol is given explicitly.
        new_socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            new_socket.setblocking(False)
            await loop.sock_connect(new_socket, (host, port))
            await loop.create_connection(lambda: self._stream, sock=new_socket)
        except ConnectionResetError:  # established, written to and reset before this task resumed
            read_remaining(self._stream, new_socket)
            raise
        finally:
            if self._stream.transport is None:
                new_socket.close()
