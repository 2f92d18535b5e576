"""A new call server takes the address of one that has gone: the calls of both are released in time."""

from __future__ import annotations

import asyncio
import time

import pytest
from race_conditions import WAIT_S, run_coroutine
from server_side import ServerSideRig

from canvasplank.codecs import sip
from canvasplank.config.discovery_events import Endpoint
from canvasplank.exchange.call_records import CallRecord
from canvasplank.network.peer_table import GONE_CHECK_INTERVAL_MS
from emulators.callers import Callers
from emulators.fleet import fleet
from emulators.server import CallServer

RELEASED_WITHIN_S = 8.05  # from a call's end to the release to its caller
HOLD_MS = 600_000.0  # no server of these tests ends a call by itself, unless it says so
CALLS = 6
REPORT_INTERVAL_MS = 500.0


@pytest.mark.parametrize("told_after_s", [0.3, 2.0])
@pytest.mark.parametrize("drains", [True, False], ids=["drained before", "not drained"])
def test_calls_of_a_server_whose_address_another_takes_are_released(tmp_path, drains, told_after_s):
    """The new server's reports on a connection of the old one's passed for a sign of life of the old one."""

    async def run() -> list[float | None]:
        other = CallServer("s-other", 200.0, hold_ms=HOLD_MS)
        old = CallServer("s-old", 200.0, hold_ms=HOLD_MS)
        new = CallServer("s-new", 200.0, hold_ms=HOLD_MS)
        async with fleet(tmp_path, [other, old], 1) as deployment:
            proxy = await deployment.proxy("n0", 1)
            callers = Callers(1, pools=2)
            await callers.add_proxy(proxy.address)
            while len(old.established) < CALLS:
                callers.place(time.time())
                await asyncio.sleep(0.05)
            await callers.wait_until_answered(WAIT_S)
            if drains:
                await deployment.list(other, old, draining=[old])
                await asyncio.sleep(0.3)
            standing = [callers.calls[call_id] for call_id in old.established]
            await old.die()
            ended_s = time.time()
            await asyncio.sleep(told_after_s / 2)
            await new.start_at(old.address)
            await asyncio.sleep(told_after_s / 2)
            deployment.servers.append(new)
            await deployment.list(other, new)
            while time.time() < ended_s + RELEASED_WITHIN_S and not all(call.released_s for call in standing):
                await asyncio.sleep(0.02)
            await callers.stop()
            return [call.released_s and call.released_s - ended_s for call in standing]

    waits_s = asyncio.run(run())
    assert len(waits_s) >= CALLS
    assert all(wait_s is not None and wait_s <= RELEASED_WITHIN_S for wait_s in waits_s), waits_s


def entry(name: str, port: int, lifecycle: str = "ready") -> Endpoint:
    return Endpoint(name, f"127.0.0.1:{port}", lifecycle=lifecycle)


class ReplacedServer:
    """A server ``s-a`` whose process has ended, and the process that has taken its address since."""

    def __init__(self, monkeypatch) -> None:
        self.rig = ServerSideRig(monkeypatch)
        self.port = self.rig.listeners["s-a"].getsockname()[1]

    async def start(self) -> None:
        """End the process of ``s-a``, and have the proxy connect to the process that comes after it."""
        await self.rig.start()
        self.rig.peers["s-a"].close()
        await self.reconnect("s-a")

    async def reconnect(self, name: str) -> None:
        """Accept the next connection at the address, and keep it under a name."""
        listener = self.rig.listeners["s-a"]
        listener.setblocking(False)
        connected = self.rig.exchange.counters["sockets.servers"]
        async with asyncio.timeout(WAIT_S):
            while self.rig.exchange.counters["sockets.servers"] == connected:
                await self.rig.step()
            self.rig.peers[name], _ = await asyncio.get_running_loop().sock_accept(listener)

    def establish(self, call_id: str, server_id: str) -> None:
        """Have a call established at a server."""
        call = CallRecord(call_id, "low", "7f3a", 0, False, self.rig.now_ms + 9000.0, b"v=0", "caller")
        table = self.rig.exchange._table
        table.add(call)
        table.establish(call, server_id, self.rig.now_ms)

    async def report(self, name: str) -> None:
        """Send a report of circuits on a connection."""
        self.rig.peers[name].sendall(sip.request("NOTIFY", "lines", "0" * 16, 1, {"X-Gauges": "free:1"}))
        await self.rig.step(REPORT_INTERVAL_MS)

    def update(self, *entries: Endpoint) -> None:
        self.rig.scheduler.begin_iteration()
        self.rig.servers.update_endpoints(False, list(entries))


def test_the_release_of_a_call_of_the_new_server_on_a_connection_of_the_old_is_passed_on(monkeypatch):
    """The call was established under the new server's id: its release passed for that of another attempt."""
    call_id = "ab" * 8

    async def run() -> bool:
        replaced = ReplacedServer(monkeypatch)
        rig = replaced.rig
        try:
            await replaced.start()
            replaced.update(entry("s-new", replaced.port))
            await replaced.reconnect("s-new")
            replaced.establish(call_id, "s-new")
            release = sip.request("BYE", "caller", call_id, 2, {"Reason": "Q.850;cause=16"})
            rig.peers["s-a"].sendall(release)
            await rig.step()
            await asyncio.sleep(0.05)
            await rig.step()
            return rig.exchange.is_established_at(call_id, "s-new")
        finally:
            rig.close()

    assert run_coroutine(run()) is False


def test_a_server_that_is_gone_from_the_list_and_still_sends_releases_its_calls_itself(monkeypatch):
    """Its connection has lasted since before: it is the same process, whose calls have not ended."""
    call_id = "ab" * 8

    async def run() -> list[bool]:
        replaced = ReplacedServer(monkeypatch)
        rig = replaced.rig
        try:
            await rig.start()
            replaced.establish(call_id, "s-a")
            replaced.update(entry("s-a", replaced.port, "gone"), entry("s-new", replaced.port))
            seen = []
            for _ in range(20):
                await replaced.report("s-a")
                seen.append(rig.exchange.is_established_at(call_id, "s-a"))
            for _ in range(20):
                await rig.step(GONE_CHECK_INTERVAL_MS)
            return [all(seen), rig.exchange.is_established_at(call_id, "s-a")]
        finally:
            rig.close()

    assert run_coroutine(run()) == [True, False]


def test_no_set_up_under_the_old_id_reaches_the_new_process(tmp_path):
    """Set-ups for a server that had ended went to the process at its address, until the list told."""

    async def run() -> tuple[int, int]:
        other = CallServer("s-other", 200.0, hold_ms=HOLD_MS)
        old = CallServer("s-old", 200.0, hold_ms=HOLD_MS)
        new = CallServer("s-new", 200.0, hold_ms=HOLD_MS)
        async with fleet(tmp_path, [other, old], 1) as deployment:
            proxy = await deployment.proxy("n0", 1)
            callers = Callers(1, pools=2)
            await callers.add_proxy(proxy.address)
            await callers.offer(20.0, 1.0)
            await old.die()
            await asyncio.sleep(0.2)
            await new.start_at(old.address)
            deployment.servers.append(new)
            await callers.offer(20.0, 2.0)
            before_told = new.set_ups
            await deployment.list(other, new)
            await callers.offer(20.0, 1.0)
            await callers.wait_until_answered(WAIT_S)
            await callers.stop()
            return before_told, new.set_ups - before_told

    before_told, after = asyncio.run(run())
    assert before_told == 0
    assert after > 0
