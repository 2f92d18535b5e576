"""Tests of simultaneous starts and of failing service discovery, simulated and with processes."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from contextlib import asynccontextmanager

import pytest

from canvasplank.codecs import sse
from canvasplank.codecs.errors import BadMessageError
from canvasplank.cold_start.extension import load
from canvasplank.cold_start.poll_backoff import MAX_BACKOFF_MS, MAX_RETRY_AFTER_MS, PollBackoff
from canvasplank.config.configuration import ConfigurationError
from emulators.callers import Callers
from emulators.fleet import fleet
from emulators.front import passes_health_test
from emulators.link import Link
from emulators.server import CallServer
from verification.spending import max_count_in_window

FLEET_FILE = """backend = "sqlite"
path = "{path}"
proxies_most = 64
lease_ms = 1500.0
renew_ms = 300.0
[[budget]]
name = "all"
kind = "set-ups"
whole_per_s = 100.0
"""
WAIT_S = 30.0


def create_backoffs(count, **rates):
    rates = {"polls_per_s": 30.0, "initial_polls_per_s": 75.0} | rates
    return [PollBackoff(lambda: count, rng=random.Random(seed), **rates) for seed in range(count)]


def poll_times(backoffs, for_ms):
    """Return the times of the polls of proxies that start together, while every poll fails."""
    times = []
    for backoff in backoffs:
        at = backoff.initial_delay()
        while at < for_ms:
            times.append(at)
            at += backoff.retry_delay()
    return sorted(times)


class TestPollBackoff:
    """The delays between polls, simulated for hundreds of proxies without processes."""

    @pytest.mark.parametrize("count", [100, 300, 1000, 5000])
    def test_the_fleet_poll_rate_does_not_grow_with_the_fleet(self, count):
        period_ms = 1000 * count / 30
        settling_ms, measured_ms = 4 * period_ms, 10 * period_ms
        times = poll_times(create_backoffs(count), settling_ms + measured_ms)
        measured = [at for at in times if at > settling_ms]
        assert 0.85 * 30 <= 1000 * len(measured) / measured_ms <= 1.15 * 30
        # The polls of the first second are 75 first polls and 30 others.
        assert max_count_in_window(times, 100.0) <= 26 and max_count_in_window(times, 1000.0) <= 140
        after_the_first = [at for at in times if at > 1000 * count / 75]
        assert max_count_in_window(after_the_first, 1000.0) <= 60

    @pytest.mark.parametrize("count", [100, 300, 5000])
    def test_no_delay_is_much_longer_than_the_poll_period(self, count):
        """With delays from 0 to 2 periods, one proxy detected discovery's recovery only after 20 s."""
        period_ms = 1000 * count / 30
        for backoff in create_backoffs(count)[:100]:
            backoff.initial_delay()
            waits = [backoff.retry_delay() for _ in range(20)]
            assert max(waits) <= 1.25 * period_ms and min(waits[1:]) >= 0.75 * period_ms

    def test_polls_are_spread_after_all_streams_break_at_once(self):
        backoffs = create_backoffs(300)
        for backoff in backoffs:
            backoff.initial_delay()
            backoff.retry_delay()
            backoff.reset()
        waits = sorted(backoff.retry_delay() for backoff in backoffs)
        assert max_count_in_window(waits, 1000.0) <= 45 and waits[-1] <= 10_000.0

    def test_a_small_fleet_uses_exponential_backoff_with_jitter(self):
        [backoff] = create_backoffs(1)
        waits = [backoff.retry_delay() for _ in range(40)]
        assert max(waits) <= MAX_BACKOFF_MS and min(waits[5:]) >= MAX_BACKOFF_MS / 2 and len(set(waits)) == 40
        backoff.reset()
        assert backoff.retry_delay() <= 100.0

    def test_an_early_poll_is_allowed_once_a_poll_period(self):
        [backoff] = create_backoffs(300)[:1]
        assert backoff.early_poll_delay(0.0) <= 4000.0
        assert backoff.early_poll_delay(9_000.0) is None and backoff.early_poll_delay(10_001.0) is not None

    def test_retry_after_is_honoured_and_the_polls_after_it_are_spread(self):
        waits = sorted(backoff.retry_delay(0.0, retry_after_ms=4000.0) for backoff in create_backoffs(300))
        assert waits[0] >= 4000.0 and max_count_in_window(waits, 100.0) <= 24
        assert (
            create_backoffs(300)[0].retry_delay(0.0, retry_after_ms=1e9) <= MAX_RETRY_AFTER_MS + 20_000.0
        ), "a long Retry-After is limited"

    def test_no_early_poll_before_retry_after_has_passed(self):
        [backoff] = create_backoffs(1)
        backoff.retry_delay(1000.0, retry_after_ms=4000.0)
        assert backoff.early_poll_delay(4999.0) is None and backoff.early_poll_delay(5000.0) is not None


@pytest.mark.parametrize(
    ("headers", "wait_ms"),
    [
        ("Retry-After: 3", 3000.0),
        ("retry-after:  7 ", 7000.0),
        ("Retry-After: Tue, 01 Dec 2026 10:00:05 GMT\r\nDate: Tue, 01 Dec 2026 10:00:01 GMT", 4000.0),
        ("Retry-After: Tue, 01 Dec 2026 10:00:00 GMT\r\nDate: Tue, 01 Dec 2026 10:00:01 GMT", 0.0),  # past
        ("Retry-After: Tue, 01 Dec 2026 10:00:05 GMT", 0.0),  # no Date header to compare with
        # No time zone.
        ("Retry-After: Tue, 01 Dec 2026 10:00:05\r\nDate: Tue, 01 Dec 2026 10:00:01 GMT", 0.0),
        ("Retry-After: soon", 0.0),
        ("Retry-After: -4", 0.0),
        ("Retry-After: \u0664", 0.0),
        ("Server: board", 0.0),
    ],
)
def test_retry_after_of_a_rejected_poll(headers, wait_ms):
    parser = sse.Parser()
    with pytest.raises(BadMessageError, match="not a success"):
        list(parser.feed(f"HTTP/1.1 503 Busy\r\n{headers}\r\n\r\n".encode("latin-1", "replace")))
    assert parser.retry_after_ms == wait_ms


def test_first_connections_are_spread_but_immediate_if_a_call_needs_one(tmp_path):
    """Twelve processes start with the endpoint list; without a delay all would connect at once."""
    count, per_s = 12, 4.0
    (tmp_path / "starting.toml").write_text(f"connections_per_s = {per_s}\n")

    async def run():
        server = CallServer("s-0", capacity_per_s=1000.0)
        async with fleet(tmp_path, [server], instances=count) as started:
            await asyncio.gather(
                *(
                    started.proxy(f"n{n}", n, CANVASPLANK_STARTING=str(tmp_path / "starting.toml"))
                    for n in range(count)
                )
            )
            callers = Callers(seed=1)
            await callers.add_proxy(started.proxies[0].address)
            made = callers.place(time.time())
            await callers.wait_until_answered(WAIT_S)
            assert made.outcome == "served" and made.took_s < 1.0
            async with asyncio.timeout(WAIT_S):
                while server.connections < count:
                    await asyncio.sleep(0.02)
            spread_s = server.accepted[-1] - server.accepted[0]
            assert spread_s >= 0.4 * count / per_s, server.accepted
            await callers.stop()

    asyncio.run(run())


def test_an_invalid_file_is_reported(tmp_path):
    (tmp_path / "starting.toml").write_text("polls_per_s = -1")
    with pytest.raises(ConfigurationError, match=r"starting .*Expected `float` >= 0"):
        load(str(tmp_path / "starting.toml"))


class SimultaneousStart:
    """Processes that start together without an endpoint list, and their polls of service discovery."""

    def __init__(self, folder, started, environment) -> None:
        self.folder, self.started, self.environment = folder, started, environment
        self.discovery = started.discovery
        started.endpoints_in_configuration = False  # only discovery names the servers

    async def start(self, names) -> None:
        await asyncio.gather(
            *(self.started.proxy(name, seed, **self.environment) for seed, name in enumerate(names))
        )

    def alive(self) -> int:
        return sum(proxy.process.returncode is None for proxy in self.started.proxies)

    def polls_since(self, at: float) -> list[float]:
        return [poll for poll in self.discovery.polls if poll > at]

    async def wait_for_connections(self, count: int) -> float:
        """Wait until the server has ``count`` connections; returns the time waited, in seconds."""
        started = now_s()
        async with asyncio.timeout(WAIT_S):
            while self.started.servers[0].connections < count:
                await asyncio.sleep(0.05)
        return now_s() - started


def now_s() -> float:
    return asyncio.get_running_loop().time()


@asynccontextmanager
async def simultaneous_start(folder, count, polls_per_s, with_fleet_store=False):
    """Yield a ``SimultaneousStart`` whose processes are configured with the fleet's poll rate."""
    (folder / "starting.toml").write_text(
        f"polls_per_s = {polls_per_s}\nfirst_per_s = 24.0\nready_with_list = true\n"
    )
    environment = {"CANVASPLANK_STARTING": str(folder / "starting.toml")}
    if with_fleet_store:
        (folder / "fleet.toml").write_text(FLEET_FILE.format(path=folder / "fleet.db"))
        environment["CANVASPLANK_FLEET"] = str(folder / "fleet.toml")
    async with fleet(folder, [CallServer("s-0", capacity_per_s=1000.0)], instances=count) as started:
        yield SimultaneousStart(folder, started, environment)


@pytest.mark.parametrize("with_fleet_store", [False, True], ids=["without fleet store", "with fleet store"])
def test_twenty_four_processes_limit_polls_of_a_failing_discovery_and_detect_its_recovery(
    tmp_path, with_fleet_store
):
    """A quarter of the processes crash repeatedly meanwhile."""
    count, polls_per_s = 24, 8.0

    async def run():
        async with simultaneous_start(tmp_path, count, polls_per_s, with_fleet_store) as processes:
            processes.discovery.closes_connections = True
            await processes.start([f"n{n}" for n in range(count)])
            for round_number in range(3):  # a crash loop adds only its first polls
                killed = [p for p in processes.started.proxies if p.process.returncode is None][:6]
                await asyncio.gather(*(p.stop(signal.SIGKILL) for p in killed))
                await processes.start([f"c{round_number}{n}" for n in range(6)])
            started = now_s()
            await asyncio.sleep(5.0)
            # 24 processes send 8 polls per second; with exponential backoff alone they would send 30.
            assert len(processes.polls_since(started)) / 5.0 <= 1.75 * polls_per_s
            assert max_count_in_window(sorted(processes.discovery.polls), 0.1) <= 12
            processes.discovery.closes_connections = False
            recovered_s = now_s()
            recovery_s = await processes.wait_for_connections(count)
            assert max_count_in_window(processes.polls_since(recovered_s), 0.1) <= 12, (
                "the recovery causes no burst of polls"
            )
            assert recovery_s <= (5.0 if with_fleet_store else 2 * count / polls_per_s + 2.0)
            settled = len(processes.discovery.polls)
            await asyncio.sleep(2.0)
            assert len(processes.discovery.polls) <= settled + 1, "a connected proxy does not poll"

    asyncio.run(run())


def test_processes_cut_off_from_discovery_are_not_ready_and_poll_at_the_fleet_rate(tmp_path):
    """Half of the processes are cut off; they connect once the link is restored."""
    count, polls_per_s = 24, 8.0

    async def run():
        async with simultaneous_start(tmp_path, count, polls_per_s) as processes:
            cut_link = Link(processes.discovery.address)
            await cut_link.start()
            processes.started.discovery_for = lambda name: (
                (cut_link if name[0] == "f" else processes.discovery).address
            )
            cut_link.cut()
            await processes.start([f"{'nf'[n % 2]}{n}" for n in range(count)])
            await processes.wait_for_connections(count // 2)
            started, connections_before = now_s(), cut_link.connections
            await asyncio.sleep(4.0)
            assert len(processes.polls_since(started)) <= 2, "a connected proxy does not poll"
            assert (cut_link.connections - connections_before) / 4.0 <= 1.75 * polls_per_s
            assert {
                proxy.name: await passes_health_test(proxy.address) for proxy in processes.started.proxies[:8]
            } == {proxy.name: proxy.name[0] == "n" for proxy in processes.started.proxies[:8]}
            cut_link.heal()
            assert await processes.wait_for_connections(count) <= 2 * count / polls_per_s + 2.0
            await cut_link.stop()

    asyncio.run(run())


def test_discovery_that_stalls_and_then_sends_retry_after_is_not_polled_before(tmp_path):
    count, polls_per_s = 12, 8.0

    async def run():
        async with simultaneous_start(tmp_path, count, polls_per_s) as processes:
            processes.discovery.stalled = True
            await processes.start([f"n{n}" for n in range(count)])
            started = now_s()
            await asyncio.sleep(4.0)
            assert len(processes.polls_since(started)) / 4.0 <= 1.75 * polls_per_s
            processes.discovery.stalled, processes.discovery.busy_s = False, 60
            await asyncio.sleep(2 * count / polls_per_s + 2.0)  # each has Retry-After or has timed out
            started = now_s()
            await asyncio.sleep(2.0)
            assert not processes.polls_since(started)

    asyncio.run(run())
