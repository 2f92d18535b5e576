"""Test rig for the call servers' side: decision module, exchange, connections on real sockets, and a clock.

The test controls the clock, which stands still between two steps.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections.abc import AsyncIterator

from conftest import SETTINGS
from race_conditions import ID, WAIT_S

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

STEP_MS = 20.0
CALL_MS = 9000.0
UNREAD_BYTES = 500_000


class FakeCallerSide:
    """A callers' side that only records rejected calls."""

    def __init__(self) -> None:
        self.rejected: list[str] = []

    def is_reachable(self, origin) -> bool:
        return True

    def answer(self, *_) -> None: ...

    def reject(self, origin, call_id, *_) -> None:
        self.rejected.append(call_id)

    def release(self, *_) -> None: ...

    def wait_for_delivery(self, *_) -> bool:
        return False

    def remove_call(self, *_) -> None: ...


class ServerSideRig:
    """The decision module, the exchange and the servers' side on real sockets, with a clock set by the test.

    ``given_up_ms`` is the time at which the first server could know that the call's set-up was given up;
    ``sent_ms`` holds the time at which each set-up was written.
    """

    def __init__(self, monkeypatch, resend_ms: float = 60_000.0) -> None:
        self.now_ms = 1_000_000.0
        self.given_up_ms: float | None = None
        self.sent_ms: list[float] = []
        self.servers_sent_to: list[str] = []
        self.scheduler = Scheduler(TimerQueue(), clock=lambda: self.now_ms)
        controller = Controller(SETTINGS, 1)
        self.exchange = Exchange(self.scheduler, controller.handle, Counters(), 100, 1e6)
        limits = ConnectionLimits(conn_idle_ms=60_000.0, connect_timeout_ms=15_000.0, max_open=100)
        self.servers = Servers(self.exchange, limits, resend_ms, BufferBudget(1e8), LoadReportReader([]))
        self.exchange.attach_servers(self.servers)
        self.callers = FakeCallerSide()
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
                self._record_given_up()

        def recorded_shut_down(stream: ServerStream) -> None:
            shut_down(stream)
            if self.servers_sent_to and stream.peer.server_id == self.servers_sent_to[0]:
                self._record_given_up()

        monkeypatch.setattr(ServerStream, "write", recorded_write)
        monkeypatch.setattr(ServerStream, "_shut_down_socket", recorded_shut_down)

    def _record_given_up(self) -> None:
        if self.given_up_ms is None:
            self.given_up_ms = self.now_ms

    async def start(self) -> None:
        """List both servers and wait until they are connected."""
        self.list_servers()
        await self.accept()

    def list_servers(self) -> None:
        entries = [
            Endpoint(name, f"127.0.0.1:{listener.getsockname()[1]}", lifecycle="ready")
            for name, listener in self.listeners.items()
        ]
        self.scheduler.begin_iteration()
        self.servers.update_endpoints(True, entries)

    async def accept(self) -> None:
        """Accept a connection at each server."""
        loop = asyncio.get_running_loop()
        for name, listener in self.listeners.items():
            listener.settimeout(WAIT_S)
            self.peers[name], _ = await loop.run_in_executor(None, listener.accept)
            self.peers[name].settimeout(WAIT_S)
        while self.exchange.counters["sockets.servers"] < len(self.listeners):
            await asyncio.sleep(0.001)

    async def step(self, ms: float = STEP_MS) -> None:
        """Advance the clock and run one iteration to its end."""
        self.now_ms += ms
        self.scheduler.begin_iteration()
        for _ in range(20):
            await asyncio.sleep(0)

    async def offer(self) -> None:
        """Offer a call and check that it is sent at once."""
        self.offer_call()
        await self.step(0.0)
        assert len(self.sent_ms) == 1

    def offer_call(self, pause_ms: float = 0.0) -> None:
        """Offer a call in an iteration in which the process was paused for ``pause_ms`` before."""
        expires_ms = self.now_ms + CALL_MS
        call = CallRecord(ID, "low", "7f3a", -1, False, expires_ms, b"v=0 offer", "caller")
        self.scheduler.begin_iteration()
        self.now_ms += pause_ms
        self.exchange.offer(call)

    async def wait_until_sent_again(self) -> None:
        async with asyncio.timeout(WAIT_S):
            while len(self.sent_ms) < 2:
                await self.step()

    async def block_cancellation(self) -> None:
        """Have the call cancelled on a connection that the server does not read: the CANCEL stays unsent."""
        stream = self.first_stream()
        stream.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        stream.write(b"x" * UNREAD_BYTES)
        async with asyncio.timeout(WAIT_S):
            while not self.exchange.counters["sent.cancels"]:
                await self.step()
        assert stream.unsent

    def peers_have_data(self, name: str) -> bool:
        """Whether data has arrived at a server that it has not read."""
        return bool(select.select([self.peers[name]], [], [], 0.0)[0])

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


@contextlib.asynccontextmanager
async def offered_call(monkeypatch) -> AsyncIterator[ServerSideRig]:
    """A rig with one call, which was sent to its first server."""
    rig = ServerSideRig(monkeypatch)
    try:
        await rig.start()
        await rig.offer()
        yield rig
    finally:
        rig.close()
