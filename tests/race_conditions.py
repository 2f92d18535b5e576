"""Helpers of the race condition tests: messages, the callers' side without servers, and socket reads."""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

from canvasplank import interface as api
from canvasplank.codecs import isup
from canvasplank.config.platform_settings import RequestBounds
from canvasplank.counters import Counters
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.callers import Callers
from canvasplank.network.stream import BufferBudget
from canvasplank.runtime.event_loop import PipeEventLoop
from canvasplank.runtime.scheduler import Scheduler, TimerQueue
from emulators.fleet import free_port

ROOT = Path(__file__).parent.parent
WAIT_S = 20.0  # time-out of every wait; no test depends on speed
ID = "aa" * 8
TEST = isup.encode(isup.Message(isup.Kind.TEST, ID, {isup.Parameter.CAUSE: b"\0"}))
RELEASE = isup.release(ID, 16)


def set_up(call_id: str = ID, wait_ms: int = 9000) -> bytes:
    return isup.encode(
        isup.Message(
            isup.Kind.SET_UP,
            call_id,
            {
                isup.Parameter.CLASS: b"low",
                isup.Parameter.WAIT: b"%d" % wait_ms,
                isup.Parameter.NUMBER: b"7f3a",
                isup.Parameter.FIGURES: b"dest:0;width:1;via:-1",
                isup.Parameter.DESCRIPTION: b"v=0 offer",
            },
        )
    )


def read_until_eof(peer: socket.socket) -> bytes:
    """Read until the end of the stream; a reset raises ``ConnectionResetError``."""
    received = b""
    while chunk := peer.recv(65536):
        received += chunk
    return received


class CallerSideRig:
    """The callers' side without call servers, on a fake clock; the default policy leaves each call open."""

    def __init__(self, sockets: int = 64) -> None:
        self.now_ms = 0.0
        self.scheduler = Scheduler(TimerQueue(), clock=lambda: self.now_ms)
        self.exchange = Exchange(
            self.scheduler, lambda now_ms, event: self.decide(event), Counters(), 100, 1e6
        )
        self.decide: Callable[[api.Event], list[api.Action]] = lambda event: []
        self.released: list[str] = []
        self.exchange.attach_servers(
            SimpleNamespace(
                release=lambda _, call_id, __: self.released.append(call_id),
                set_up=lambda *_: None,
                cancel=lambda *_: None,
            )
        )
        bounds = RequestBounds(frozenset({"low"}), frozenset(), None, None)
        self.callers = Callers(self.exchange, bounds, sockets, 1000.0, BufferBudget(1e6))
        self.exchange.attach_callers(self.callers)
        self.port = free_port()

    async def caller(self) -> socket.socket:
        """Connect, and have a TEST message answered; no call is open on the connection."""
        peer = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT_S)
        peer.sendall(TEST)
        loop = asyncio.get_running_loop()
        assert len(await loop.run_in_executor(None, peer.recv, 64)) == 15
        return peer

    async def set_up_was_read(self) -> None:
        """Wait until a set-up has been read; the caller sets a time-out."""
        while not self.exchange.open_calls:
            await asyncio.sleep(0.005)

    def close_idle(self) -> None:
        """Advance the clock past the idle time-out, and close idle connections."""
        self.now_ms += 5000.0
        self.scheduler.now_ms = self.now_ms
        self.callers._pool.close_idle_connections()

    async def advance_time(self, span_ms: float) -> None:
        """Advance the clock, and run the timers that are due then."""
        self.now_ms += span_ms
        timers_ran = asyncio.Event()
        self.scheduler.timers.add(self.now_ms, timers_ran.set)
        self.scheduler.begin_iteration()
        async with asyncio.timeout(WAIT_S):
            await timers_ran.wait()

    def close_for_room(self) -> None:
        """Lower the limit, and close the connections past it."""
        self.callers.limit(1)
        self.callers._pool.make_room()


def run_coroutine(coroutine: object) -> object:
    with asyncio.Runner(loop_factory=PipeEventLoop) as runner:
        return runner.run(coroutine)


# Matches the release message that rejects a set-up; the group holds the bytes of the call id.
REJECTED = re.compile(rb"\x00.\x0c(.{8})", re.DOTALL)
