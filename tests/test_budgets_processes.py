"""Tests of eight proxy processes that share one budget, with faults between them and the store."""

from __future__ import annotations

import asyncio
import signal
from contextlib import asynccontextmanager

import pytest

from canvasplank.fleet.lease_renewer import boottime_ms
from emulators.budgets import BudgetFleet, Plan
from emulators.callers import Callers
from emulators.fleet import fleet
from emulators.postgresql import PostgresqlEmulator
from emulators.server import CallServer
from emulators.tasks import Tasks
from verification.memberships import read_history
from verification.spending import ProcessTrace, max_leased_per_s, max_window_excess, read_trace, used_per_s

NAMES = [f"n{number}" for number in range(8)]
PLAN = Plan()
LEASED_PER_S = PLAN.total_per_s * (1 - PLAN.reserve_fraction)
OFFERED_PER_S = 160.0  # twice the total, so that every proxy uses its whole allowance
WAIT_S = 20.0
MIN_UNITS_SPENT = 50  # with fewer, the invariants would hardly be tested
# The leasable 64/s are 8/s each for eight proxies, and 9.1/s each for seven.  Once all eight have EVEN_PER_S,
# the other seven cannot all have SEVENTH_PER_S before the lease of the eighth has ended.
EVEN_PER_S = 7.5
SEVENTH_PER_S = 8.4


@asynccontextmanager
async def overloaded_fleet(folder, on_postgresql: bool):
    """Run eight proxies under twice the load that their budget allows."""
    server = CallServer("s-0", capacity_per_s=5000.0, hold_ms=50.0, lines=100_000)
    store = PostgresqlEmulator(folder) if on_postgresql else None
    if store is not None:
        await store.start()
    async with fleet(folder, [server], instances=len(NAMES)) as started:
        callers = Callers(seed=3)
        budget_fleet, tasks = BudgetFleet(started, PLAN, callers, store), Tasks()
        try:
            await budget_fleet.start(NAMES)
            tasks.keep(callers.offer(OFFERED_PER_S, 60.0))
            yield budget_fleet
        finally:
            await tasks.end()
            await callers.stop()
            await budget_fleet.stop()
    if store is not None:
        await store.stop()


async def wait_for_shares(condition, budget_fleet, what):
    """Wait until the condition holds for the last logged shares of the proxies; fail after ``WAIT_S``."""
    try:
        async with asyncio.timeout(WAIT_S):
            while not condition(shares(budget_fleet)):
                await asyncio.sleep(0.05)
    except TimeoutError:
        pytest.fail(f"{what}: {shares(budget_fleet)}")


def traces_of(budget_fleet) -> list[ProcessTrace]:
    """Return the budget's traces of all processes, including those that have ended."""
    return [read_trace(path, "all") for path in budget_fleet.logs()]


def shares(budget_fleet) -> dict[str, float]:
    """Return the last logged share of each running proxy, in units per second."""
    traces = {name: read_trace(proxy.log, "all") for name, proxy in budget_fleet.proxies.items()}
    return {name: trace.shares[-1][2] for name, trace in traces.items() if trace.shares}


async def check_invariants(budget_fleet) -> None:
    """Wait until enough units are spent, then check the traces of all processes.

    No sum of shares at any instant and no use in any window may exceed the total, and no member may have been
    removed before its lease expired.
    """
    async with asyncio.timeout(WAIT_S):
        while sum(len(trace.spent) for trace in traces_of(budget_fleet)) <= MIN_UNITS_SPENT:
            await asyncio.sleep(0.05)
    traces = traces_of(budget_fleet)
    assert max_leased_per_s(traces) <= LEASED_PER_S + 1e-6
    unleased_per_s = sum(trace.unleased_per_s for trace in traces if trace.spent or trace.shares)
    assert unleased_per_s <= PLAN.total_per_s * PLAN.reserve_fraction + 1e-6
    assert max_window_excess(traces, PLAN.total_per_s, PLAN.burst_ms) <= len(traces)
    assert not read_history(budget_fleet.logs()).removed_too_early()


def all_have(min_per_s, *names):
    return lambda now: all(now.get(name, 0.0) >= min_per_s for name in names or NAMES)


async def kill_and_restart(budget_fleet):
    """A killed proxy's share is granted again, also to its successor of the same name."""
    await wait_for_shares(all_have(4.0), budget_fleet, "all")
    await budget_fleet.stop_proxy("n0", signal.SIGKILL)
    await budget_fleet.start_proxy("n0")
    await wait_for_shares(all_have(4.0, "n0"), budget_fleet, "the successor")


async def suspend_past_the_lease(budget_fleet):
    """A suspended proxy's share is granted to the others; after it resumes, it rejoins."""
    await wait_for_shares(all_have(EVEN_PER_S), budget_fleet, "all")
    suspended = budget_fleet.proxies["n1"]
    suspended.freeze()
    others = [name for name in NAMES if name != "n1"]
    await wait_for_shares(all_have(SEVENTH_PER_S, *others), budget_fleet, "a seventh each")
    suspended.unfreeze()
    await wait_for_shares(
        lambda now: 4.0 <= now["n1"] <= 8.2 and suspended.text().count("fleet.in") >= 2, budget_fleet, "again"
    )


async def cut_off(budget_fleet, *ways):
    """A proxy that is cut off from the store has only its unleased quota; the others get its share."""
    await wait_for_shares(all_have(EVEN_PER_S), budget_fleet, "all")
    budget_fleet.links["n2"].cut(*ways)
    others = [name for name in NAMES if name != "n2"]
    await wait_for_shares(all_have(SEVENTH_PER_S, *others), budget_fleet, "a seventh each")
    now_ms, before = boottime_ms(), read_trace(budget_fleet.proxies["n2"].log, "all")
    _, expired_ms, _ = before.shares[-1]
    assert expired_ms <= now_ms, "its lease ended before the others got its share"
    await asyncio.sleep(3.0)
    more = read_trace(budget_fleet.proxies["n2"].log, "all").spent[len(before.spent) :]
    assert 0 < len(more) <= 3.0 * 0.5 + 2, f"it spent its unleased quota of 0.5/s: {more} since {now_ms}"
    budget_fleet.links["n2"].heal()
    await wait_for_shares(all_have(4.0, "n2"), budget_fleet, "again")


async def reset_after_commit(budget_fleet):
    """Connections are lost several times between a commit and its response."""
    for _ in range(6):
        budget_fleet.store.faults.drop_after_commit = 3
        await asyncio.sleep(0.4)
        for link in list(budget_fleet.links.values())[::2]:
            link.reset()
    budget_fleet.store.faults.drop_after_commit = 0
    budget_fleet.store.faults.serialization_failures = 3
    await wait_for_shares(all_have(4.0), budget_fleet, "all, after the faults")


async def stall_and_restart(budget_fleet):
    """The store stalls for longer than a lease, so that only unleased quotas are left, and then restarts."""
    await wait_for_shares(all_have(4.0), budget_fleet, "all")
    budget_fleet.store.faults.stalled = True
    await asyncio.sleep(PLAN.lease_ms / 1000)  # after this no request that might grant a share is in flight
    expired_ms = max(until_ms for trace in traces_of(budget_fleet) for _, until_ms, _ in trace.shares)
    # The unleased quota is one unit per two seconds, so a proxy may wait that long for its first unit.
    async with asyncio.timeout(WAIT_S):
        while boottime_ms() < expired_ms + 3000 or not used_per_s(
            traces_of(budget_fleet), expired_ms, boottime_ms()
        ):
            await asyncio.sleep(0.05)
    now_ms, traces = boottime_ms(), traces_of(budget_fleet)
    unleased_per_s, for_s = sum(trace.unleased_per_s for trace in traces), (now_ms - expired_ms) / 1000
    assert used_per_s(traces, expired_ms, now_ms) * for_s <= unleased_per_s * for_s + len(traces), (
        "each proxy may use its unleased quota and one unit left in its token bucket"
    )
    budget_fleet.store.faults.stalled = False
    await budget_fleet.store.restart(0.5)
    await wait_for_shares(all_have(4.0), budget_fleet, "again")


async def mass_join(budget_fleet):
    """All proxies are killed at once and restarted together under the same names."""
    await wait_for_shares(all_have(4.0), budget_fleet, "all")
    await asyncio.sleep(1.0)
    await asyncio.gather(*(budget_fleet.stop_proxy(name, signal.SIGKILL) for name in NAMES))
    await budget_fleet.start(NAMES)
    await wait_for_shares(all_have(4.0), budget_fleet, "all, once the killed ones' leases have expired")


async def shut_down(budget_fleet):
    """A proxy that is stopped gracefully releases its share at once, not only when its lease expires."""
    await wait_for_shares(all_have(4.0), budget_fleet, "all")
    stopped = budget_fleet.proxies["n3"].log.stem
    await budget_fleet.stop_proxy("n3", signal.SIGTERM)
    others = [name for name in NAMES if name != "n3"]
    await wait_for_shares(all_have(SEVENTH_PER_S, *others), budget_fleet, "a seventh each")
    # Other members may have been removed, if a busy machine delayed the store's responses past their leases.
    history = read_history(budget_fleet.logs())
    assert not history.was_removed(history.last_membership(stopped)), history


@pytest.mark.parametrize("on_postgresql", [False, True], ids=["sqlite", "postgresql"])
@pytest.mark.parametrize("fault", [kill_and_restart, suspend_past_the_lease])
def test_shares_never_exceed_the_total_on_either_store(tmp_path, fault, on_postgresql):
    run_with(tmp_path, fault, on_postgresql)


@pytest.mark.parametrize("fault", [cut_off, reset_after_commit, stall_and_restart, mass_join, shut_down])
def test_shares_never_exceed_the_total_during_faults_of_the_store(tmp_path, fault):
    run_with(tmp_path, fault, True)


def test_shares_never_exceed_the_total_while_only_responses_are_lost(tmp_path):
    run_with(tmp_path, lambda budget_fleet: cut_off(budget_fleet, "back"), True)


def run_with(folder, fault, on_postgresql):
    async def run():
        async with overloaded_fleet(folder, on_postgresql) as budget_fleet:
            await fault(budget_fleet)
            await check_invariants(budget_fleet)

    asyncio.run(run())
