"""Race conditions on connections to call servers, each forced on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import time

import msgspec
import pytest
from exchange_replay import Replay
from race_conditions import ID, WAIT_S, run_coroutine, set_up
from server_side import CALL_MS, ServerSideRig

from canvasplank import interface as api
from canvasplank.codecs import sip
from canvasplank.config.discovery_events import Endpoint
from canvasplank.config.platform_settings import ConnectionLimits, LoadReportReader
from canvasplank.counters import Counters
from canvasplank.exchange.call_records import CallRecord
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.release_retransmission import CONFIRMATION_WINDOW_MS
from canvasplank.network.servers import Servers
from canvasplank.network.stream import BufferBudget
from canvasplank.runtime.scheduler import Scheduler, TimerQueue


@pytest.fixture
def replay(tmp_path):
    replay = Replay(tmp_path)
    yield replay
    replay.stop()


def test_the_deadline_sent_on_a_late_connection_is_the_remaining_time(replay):
    """The server was sent the time that remained before the connection came up, and could work too long."""
    replay.step('settings {"ceilings": {"connect_timeout_ms": 15000.0}}')
    replay.step("listed b unresponsive")
    replay.start()
    replay.caller("1").stream.sendall(set_up(wait_ms=9000))
    replay.step("wait 1100")
    replay.step("server b accepts_late")
    server = replay.peers["server b"]
    server.stream.settimeout(WAIT_S)
    while b"X-Deadline" not in server.received:
        server.received += server.stream.recv(65536)
    assert int(re.search(rb"X-Deadline: (\d+)", server.received)[1]) <= 9000 - 1100


def test_set_ups_sent_on_a_restart_notification_go_to_the_new_process():
    """The set-up went out on the half-open connection to the old process, which was then aborted."""

    async def run() -> tuple[bytes, bytes]:
        scheduler, loop = (
            Scheduler(TimerQueue(), clock=lambda: time.time() * 1000),
            asyncio.get_running_loop(),
        )
        call = CallRecord(ID, "low", "7f3a", 0, False, float("inf"), b"v=0 offer", None)
        decide = lambda now_ms, event: (  # noqa: E731
            [api.SetUp(ID, "s-a", 9000)] if isinstance(event, api.ServerList) and exchange.open_calls else []
        )
        exchange = Exchange(scheduler, decide, Counters(), 100, 1e6)
        limits = ConnectionLimits(conn_idle_ms=60_000.0, connect_timeout_ms=15_000.0, max_open=100)
        servers = Servers(exchange, limits, 500.0, BufferBudget(1e6), LoadReportReader([]))
        exchange.attach_servers(servers)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(WAIT_S)
            entry = Endpoint("s-a", f"127.0.0.1:{listener.getsockname()[1]}", lifecycle="ready")
            servers.update_endpoints(True, [entry])
            old, _ = await loop.run_in_executor(None, listener.accept)
            while exchange.counters["sockets.servers"] == 0:
                await asyncio.sleep(0.005)
            exchange.offer(call)
            scheduler.begin_iteration()
            servers.update_endpoints(
                False, [msgspec.structs.replace(entry, started_at_ms=scheduler.now_ms + 1)]
            )
            new, _ = await loop.run_in_executor(None, listener.accept)
            new.settimeout(WAIT_S)
            received = await loop.run_in_executor(None, new.recv, 65536)
            old.settimeout(WAIT_S)
            with contextlib.suppress(ConnectionResetError):
                return await loop.run_in_executor(None, old.recv, 65536), received
            return b"", received

    to_old, to_new = run_coroutine(run())
    assert to_old == b""
    assert b"INVITE" in to_new


@pytest.mark.parametrize("report_interval_ms", [500.0, 3_000.0, 6_000.0])
def test_a_server_that_reports_less_often_keeps_its_connection(report_interval_ms: float):
    """With reports every 3 s, a timeout fitted to one deployment replaced the connection every 2.5 s."""

    async def run() -> int:
        now_ms, writers = [0.0], []
        scheduler = Scheduler(TimerQueue(), clock=lambda: now_ms[0])
        exchange = Exchange(scheduler, lambda _, event: [], Counters(), 100, 1e6)
        servers = Servers(
            exchange,
            ConnectionLimits(15_000.0, 60_000.0, 100),
            500.0,
            BufferBudget(1e6),
            LoadReportReader(["free", "size"]),
        )
        exchange.attach_servers(servers)
        notify = sip.request("NOTIFY", "lines", ID, 1, {"X-Gauges": "free:12;size:40"})

        def on_connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            writer.write(notify)

        server = await asyncio.start_server(on_connected, "127.0.0.1", 0)
        servers.update_endpoints(
            True, [Endpoint("s-a", f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "ready")]
        )
        async with asyncio.timeout(WAIT_S):
            while not writers:
                await asyncio.sleep(0.005)
            for step in range(1, 401):  # 40 s
                now_ms[0] += 100.0
                if step * 100.0 % report_interval_ms == 0:
                    for writer in writers:
                        writer.write(notify)
                for _ in range(3):
                    scheduler.begin_iteration()
                    await asyncio.sleep(0.001)
        for writer in writers:
            writer.close()
        server.close()
        return len(writers)

    assert asyncio.run(run()) <= 3, "two replacements are made until the interval is known"


def test_a_hang_is_detected_if_a_set_up_is_sent_as_its_connection_comes_up(monkeypatch):
    """The connection came up and the set-up was sent at one clock reading; the set-up counted as answered."""

    async def run() -> int:
        rig = ServerSideRig(monkeypatch, resend_ms=500.0)
        try:
            rig.list_servers()
            rig.offer_call()
            await rig.accept()
            assert len(rig.sent_ms) == 1
            for _ in range(35):  # 700 ms: the resend time, and one interval between two checks
                await rig.step()
            return rig.exchange.counters["sockets.servers_quiet"]
        finally:
            rig.close()

    assert run_coroutine(run()) == 1


def test_the_deadline_sent_is_the_remaining_time_after_a_pause_in_the_iteration(monkeypatch):
    """The server was sent the time that remained when the iteration began, and could work too long."""
    pause_ms = 400.0

    async def run() -> bytes:
        rig = ServerSideRig(monkeypatch)
        try:
            await rig.start()
            rig.offer_call(pause_ms)
            await rig.step(0.0)
            peer = rig.peers[rig.first_server]
            return await asyncio.get_running_loop().run_in_executor(None, peer.recv, 65536)
        finally:
            rig.close()

    received = run_coroutine(run())
    assert int(re.search(rb"X-Deadline: (\d+)", received)[1]) <= CALL_MS - pause_ms


def test_a_release_sent_after_a_pause_in_the_iteration_is_sent_again(monkeypatch):
    """The release was recorded with the iteration's start time, and counted as read long ago."""

    async def run() -> dict[str, object]:
        rig = ServerSideRig(monkeypatch)
        try:
            await rig.start()
            peer = rig.servers._peers["s-a"]
            rig.scheduler.begin_iteration()
            rig.now_ms += 2 * CONFIRMATION_WINDOW_MS
            peer.send_release(ID, 16)
            await rig.step(0.0)
            rig.peers["s-a"].sendall(sip.request("OPTIONS", "load", ID, 1))
            answer = await asyncio.get_running_loop().run_in_executor(None, rig.peers["s-a"].recv, 65536)
            assert b"BYE" in answer
            await rig.step(0.0)
            peer.connect_after_ms = float("inf")
            peer.current.abort()
            await rig.step(0.0)
            return peer.pending_releases
        finally:
            rig.close()

    assert list(run_coroutine(run())) == [ID]
