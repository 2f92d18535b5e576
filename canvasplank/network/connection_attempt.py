"""Opening a connection, with its deadline in the one structure that holds all of them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from canvasplank.config.addresses import parse_address
from canvasplank.network.stream import Stream
from canvasplank.runtime.scheduler import Scheduler, Timer


class ConnectionAttempt:
    """One try to open a connection; exactly one of ``stream.on_connected`` and ``on_failed`` follows."""

    def __init__(
        self, stream: Stream, address: str, timeout_ms: float, on_failed: Callable[[str], None]
    ) -> None:
        self._stream = stream
        self._address = address
        self._timeout_ms = timeout_ms
        self._on_attempt_failed = on_failed
        self._scheduler = stream.scheduler
        self._timer = self._scheduler.call_later(timeout_ms, self._timed_out)
        self._task: asyncio.Task | None = asyncio.get_running_loop().create_task(self._run())

    def cancel(self) -> None:
        """Stop trying and tell nobody."""
        self._scheduler.timers.cancel(self._timer)
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _timed_out(self) -> None:
        self._give_up(f"not up within {self._timeout_ms:.0f} ms")

    def _give_up(self, reason: str) -> None:
        # A connection that came up at the last moment, before this task was told, has not failed.
        if self._task is not None and self._stream.transport is None:
            self.cancel()
            self._on_attempt_failed(reason)

    async def _run(self) -> None:
        try:
            await self._connect()
        except (OSError, ValueError) as error:
            self._scheduler.begin_iteration()
            self._give_up(str(error))
        else:
            self._scheduler.timers.cancel(self._timer)
            self._task = None

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = parse_address(self._address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # With its protocol named: asyncio turns Nagle's delay off for no other.
        new_socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            new_socket.setblocking(False)
            await loop.sock_connect(new_socket, (host, port))
            await loop.create_connection(lambda: self._stream, sock=new_socket)
        except ConnectionResetError:  # up, written to, and reset before we were told
            self._stream.read_remaining(new_socket)
            raise
        finally:
            if self._stream.transport is None:
                new_socket.close()


class Backoff:
    """Doubling waits between tries, from the start again after a success."""

    def __init__(self, scheduler: Scheduler, first_ms: float, most_ms: float) -> None:
        self._scheduler = scheduler
        self._first_ms, self._most_ms = first_ms, most_ms
        self._next_ms = first_ms
        self._timer: Timer | None = None
        self.failures = 0  # since the last success: the first is worth a line to the operators

    def reset_delay(self) -> None:
        """The next wait is the shortest again."""
        self._next_ms = self._first_ms
        self.failures = 0

    def reset(self) -> None:
        """Begin anew with another peer: guards it against a wait that was meant for the last one."""
        self._scheduler.timers.cancel(self._timer)
        self._timer = None
        self.reset_delay()

    def schedule(self, action: Callable[[], None], wait_ms: float | None = None) -> None:
        """Do it after the next wait, or this one; while one is under way, asking again changes nothing."""
        if self._timer is not None:
            return
        self.failures += 1

        def come_due() -> None:
            self._timer = None
            action()

        self._timer = self._scheduler.call_later(self._next_ms if wait_ms is None else wait_ms, come_due)
        self._next_ms = min(self._most_ms, 2 * self._next_ms)
