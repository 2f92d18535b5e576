"""A call that was sent to a server is sent again no sooner than the release wait after it was given up there.

The wait counts from when the peer can know: a pause of the process between any two statements, or a
cancellation that the kernel does not take, must not shorten it.
"""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import pytest
from conftest import RULES, SETTINGS
from race_conditions import ID, WAIT_S, run_coroutine

import canvasplank
from canvasplank.config.discovery_events import Endpoint
from canvasplank.config.platform_settings import ConnectionLimits, LoadReportReader
from canvasplank.counters import Counters
from canvasplank.exchange.call_records import CallRecord
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.server_stream import ServerStream
from canvasplank.network.servers import Servers
from canvasplank.network.stream import BufferBudget
from canvasplank.policy import Controller
from canvasplank.runtime.scheduler import Scheduler, TimerQueue

PACKAGE = Path(canvasplank.__file__).parent
PAUSED_PACKAGES = ("exchange", "network", "policy", "runtime")
PAUSE_MS = 150.0
STEP_MS = 20.0
CALL_MS = 9000.0
UNREAD_BYTES = 500_000


class CallerSide:
    """Callers that only listen."""

    def __init__(self) -> None:
        self.rejected: list[str] = []

    def is_reachable(self, origin) -> bool:
        return True

    def answer(self, *_) -> None: ...

    def reject(self, origin, call_id, *_) -> None:
        self.rejected.append(call_id)

    def release(self, *_) -> None: ...

    def remove_call(self, *_) -> None: ...


class Rig:
    """The decision module, the exchange and the servers' side on real sockets, on a clock of the test's.

    ``given_up_ms`` is the clock after the server could know that the call's set-up there was given up;
    ``sent_ms`` holds the clock before each set-up was written.
    """

    def __init__(self, monkeypatch) -> None:
        self.now_ms = 1_000_000.0
        self.given_up_ms: float | None = None
        self.sent_ms: list[float] = []
        self.servers_sent_to: list[str] = []
        self.scheduler = Scheduler(TimerQueue(), clock=lambda: self.now_ms)
        controller = Controller(SETTINGS, 1)
        self.exchange = Exchange(self.scheduler, controller.handle, Counters(), 100, 1e6)
        limits = ConnectionLimits(conn_idle_ms=60_000.0, connect_timeout_ms=15_000.0, max_open=100)
        self.servers = Servers(self.exchange, limits, 60_000.0, BufferBudget(1e8), LoadReportReader([]))
        self.exchange.attach_servers(self.servers)
        self.callers = CallerSide()
        self.exchange.attach_callers(self.callers)
        self.listeners = {name: socket.create_server(("127.0.0.1", 0)) for name in ("s-a", "s-b")}
        for listener in self.listeners.values():
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.peers: dict[str, socket.socket] = {}
        self._record_writes(monkeypatch)

    def _record_writes(self, monkeypatch) -> None:
        write, shut_down = ServerStream.write, ServerStream._shut_down_socket

        def recorded_write(stream: ServerStream, data: bytes) -> None:
            if data.startswith(b"INVITE"):
                self.sent_ms.append(self.now_ms)
                self.servers_sent_to.append(stream.peer.server_id)
            write(stream, data)
            if data.startswith(b"CANCEL") and not stream.unsent:
                self._note_given_up()

        def recorded_shut_down(stream: ServerStream) -> None:
            shut_down(stream)
            if self.servers_sent_to and stream.peer.server_id == self.servers_sent_to[0]:
                self._note_given_up()

        monkeypatch.setattr(ServerStream, "write", recorded_write)
        monkeypatch.setattr(ServerStream, "_shut_down_socket", recorded_shut_down)

    def _note_given_up(self) -> None:
        if self.given_up_ms is None:
            self.given_up_ms = self.now_ms

    async def start(self) -> None:
        entries = [
            Endpoint(name, f"127.0.0.1:{listener.getsockname()[1]}", lifecycle="ready")
            for name, listener in self.listeners.items()
        ]
        self.scheduler.begin_iteration()
        self.servers.listed(True, entries)
        loop = asyncio.get_running_loop()
        for name, listener in self.listeners.items():
            listener.settimeout(WAIT_S)
            self.peers[name], _ = await loop.run_in_executor(None, listener.accept)
            self.peers[name].settimeout(WAIT_S)
        while self.exchange.counters["sockets.servers"] < len(self.listeners):
            await asyncio.sleep(0.001)

    async def step(self, ms: float = STEP_MS) -> None:
        """Let the clock go on, and run one iteration to its end."""
        self.now_ms += ms
        self.scheduler.begin_iteration()
        for _ in range(20):
            await asyncio.sleep(0)

    async def offer(self) -> None:
        expires_ms = self.now_ms + CALL_MS
        call = CallRecord(ID, "low", "7f3a", -1, False, expires_ms, b"v=0 offer", "caller")
        self.scheduler.begin_iteration()
        self.exchange.offer(call)
        await self.step(0.0)
        assert len(self.sent_ms) == 1

    async def until_sent_again(self) -> None:
        async with asyncio.timeout(WAIT_S):
            while len(self.sent_ms) < 2:
                await self.step()

    async def let_cancellation_wait(self) -> None:
        """Have the call cancelled on a connection that the server does not read."""
        stream = self.first_stream()
        stream.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        stream.write(b"x" * UNREAD_BYTES)
        async with asyncio.timeout(WAIT_S):
            while not self.exchange.counters["sent.cancels"]:
                await self.step()
        assert stream.unsent

    def close(self) -> None:
        for each in [*self.listeners.values(), *self.peers.values()]:
            each.close()

    @property
    def first_server(self) -> str:
        return self.servers_sent_to[0]

    def first_stream(self) -> ServerStream:
        stream = self.servers._peers[self.first_server].current
        assert stream is not None
        return stream


def cancel_at_silent_server(rig: Rig) -> None:
    """Nothing comes from the server, and the decision module moves the call."""


def cancel_at_gone_server(rig: Rig) -> None:
    """The list shows that the server is gone while its connection is still open."""
    entry = Endpoint(rig.first_server, "127.0.0.1:1", lifecycle="gone")
    rig.servers.listed(False, [entry])


def reset_unreadable(rig: Rig) -> None:
    rig.first_stream().abort_unreadable("a bad message")


def reset_for_restart(rig: Rig) -> None:
    port = rig.listeners[rig.first_server].getsockname()[1]
    entry = Endpoint(rig.first_server, f"127.0.0.1:{port}", "ready", started_at_ms=rig.scheduler.now_ms + 1)
    rig.servers.listed(False, [entry])


def reset_by_peer(rig: Rig) -> None:
    rig.peers[rig.first_server].close()


WAYS_TO_GIVE_UP = [
    cancel_at_silent_server,
    cancel_at_gone_server,
    reset_unreadable,
    reset_for_restart,
    reset_by_peer,
]


class Pause:
    """Lets the clock jump once, before the line of this number that the program executes."""

    def __init__(self, rig: Rig, at_line: int | None) -> None:
        self.lines = 0
        self._rig, self._at_line = rig, at_line
        self._files = tuple(str(PACKAGE / name) for name in PAUSED_PACKAGES)

    def __enter__(self) -> Pause:
        sys.settrace(self._trace)
        return self

    def __exit__(self, *_) -> None:
        sys.settrace(None)

    def _trace(self, frame, event, _) -> Callable | None:
        if not frame.f_code.co_filename.startswith(self._files):
            return None
        if event == "line":
            if self.lines == self._at_line:
                self._rig.now_ms += PAUSE_MS
            self.lines += 1
        return self._trace


class Play(NamedTuple):
    """One call that was given up at its first server and sent again."""

    waited_ms: float  # from when the first server could know to when the next set-up was written
    lines: range  # those that the program executed in the iteration in which the call was given up


async def play(monkeypatch, give_up: Callable[[Rig], None], pause_at: int | None = None) -> Play:
    rig = Rig(monkeypatch)
    try:
        await rig.start()
        await rig.offer()
        with Pause(rig, pause_at) as pause:
            first_line = pause.lines
            rig.scheduler.begin_iteration()
            give_up(rig)
            async with asyncio.timeout(WAIT_S):
                while rig.given_up_ms is None:
                    first_line = pause.lines
                    await rig.step()
            await rig.step(0.0)
        lines = range(first_line, pause.lines)
        await rig.until_sent_again()
        return Play(rig.sent_ms[1] - rig.given_up_ms, lines)
    finally:
        rig.close()


@pytest.mark.parametrize("give_up", WAYS_TO_GIVE_UP)
def test_a_pause_between_any_two_lines_does_not_shorten_the_release_wait(monkeypatch, give_up):
    """The wait ran from the iteration's reading of the clock, and the cancellation was written later."""

    def run(pause_at: int | None = None) -> Play:
        with monkeypatch.context() as patches:
            return run_coroutine(play(patches, give_up, pause_at))

    unpaused = run()
    assert unpaused.waited_ms >= RULES.release_ms
    waits_ms = {line: run(line).waited_ms for line in unpaused.lines}
    assert {line: ms for line, ms in waits_ms.items() if ms < RULES.release_ms} == {}


def test_the_release_wait_counts_from_when_an_unsent_cancellation_has_left(monkeypatch):
    """The cancellation lay in the transport's buffer while the wait ran."""

    async def run() -> float:
        rig = Rig(monkeypatch)
        try:
            await rig.start()
            await rig.offer()
            await rig.let_cancellation_wait()
            await rig.step(2 * RULES.release_ms)
            await rig.step()
            assert len(rig.sent_ms) == 1
            peer, received = rig.peers[rig.first_server], b""
            while b"CANCEL" not in received:
                received += await asyncio.get_running_loop().run_in_executor(None, peer.recv, 65536)
            given_up_ms = rig.now_ms
            await rig.until_sent_again()
            return rig.sent_ms[1] - given_up_ms
        finally:
            rig.close()

    assert run_coroutine(run()) >= RULES.release_ms


def test_an_unsent_cancellation_does_not_delay_the_final_answer(monkeypatch):
    async def run() -> tuple[list[str], int]:
        rig = Rig(monkeypatch)
        try:
            await rig.start()
            await rig.offer()
            expires_ms = rig.now_ms + CALL_MS
            await rig.let_cancellation_wait()
            while rig.now_ms < expires_ms - STEP_MS:
                await rig.step()
            return rig.callers.rejected, len(rig.sent_ms)
        finally:
            rig.close()

    assert run_coroutine(run()) == ([ID], 1)


def test_a_connection_that_ends_takes_an_unsent_cancellation_with_it(monkeypatch):
    """Its end gives up the set-ups on it, so the call is sent again."""

    async def run() -> float:
        rig = Rig(monkeypatch)
        try:
            await rig.start()
            await rig.offer()
            await rig.let_cancellation_wait()
            rig.first_stream().abort()
            ended_ms = rig.now_ms
            await rig.until_sent_again()
            return rig.sent_ms[1] - ended_ms
        finally:
            rig.close()

    assert run_coroutine(run()) >= RULES.release_ms
