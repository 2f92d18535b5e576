"""Eight processes of the program that share one budget, and faults between them and the store."""

from __future__ import annotations

import asyncio
import signal
from contextlib import asynccontextmanager

import pytest

from canvasplank.fleet.lease_renewer import steady_ms
from emulators.budgets import BudgetFleet, Plan
from emulators.callers import Callers
from emulators.fleet import fleet
from emulators.postgresql import PostgresqlStandIn
from emulators.server import CallServer
from emulators.tasks import Tasks
from verification.spending import Trace, most_shared, read_trace, used_per_s, worst_window

NAMES = [f"n{number}" for number in range(8)]
PLAN = Plan()
LEASED_PER_S = PLAN.whole_per_s * (1 - PLAN.kept_back)
OFFERED_PER_S = 160.0  # twice the whole: everybody would use all that it may
WAIT_S = 20.0
USED_LEAST = 50  # units: with fewer a proof that nothing went past the whole tells little


@asynccontextmanager
async def sharing(folder, on_postgresql: bool):
    """Eight proxies under twice the load that their budget allows."""
    server = CallServer("s-0", capacity_per_s=5000.0, hold_ms=50.0, lines=100_000)
    store = PostgresqlStandIn(folder) if on_postgresql else None
    if store is not None:
        await store.start()
    async with fleet(folder, [server], instances=len(NAMES)) as started:
        callers = Callers(seed=3)
        shared, tasks = BudgetFleet(started, PLAN, callers, store), Tasks()
        try:
            await shared.start(NAMES)
            tasks.keep(callers.offer(OFFERED_PER_S, 60.0))
            yield shared
        finally:
            await tasks.end()
            await callers.stop()
            await shared.stop()
    if store is not None:
        await store.stop()


async def until(holds, shared, what):
    """Wait, within bounds, until the shares that the proxies told last are so."""
    try:
        async with asyncio.timeout(WAIT_S):
            while not holds(shares(shared)):
                await asyncio.sleep(0.05)
    except TimeoutError:
        pytest.fail(f"{what}: {shares(shared)}")


def said(shared) -> list[Trace]:
    """What every process that ever ran has said of the budget."""
    return [read_trace(path, "all") for path in shared.logs()]


def shares(shared) -> dict[str, float]:
    """What each living proxy told last of its share, a second."""
    traces = {name: read_trace(proxy.log, "all") for name, proxy in shared.proxies.items()}
    return {name: trace.shares[-1][2] for name, trace in traces.items() if trace.shares}


async def proved(shared) -> None:
    """No instant and no window over the whole, by what every process said, once enough was used to tell."""
    async with asyncio.timeout(WAIT_S):
        while sum(len(trace.spent) for trace in said(shared)) <= USED_LEAST:
            await asyncio.sleep(0.05)
    traces = said(shared)
    assert most_shared(traces) <= LEASED_PER_S + 1e-6
    own = sum(trace.own for trace in traces if trace.spent or trace.shares)
    assert own <= PLAN.whole_per_s * PLAN.kept_back + 1e-6
    assert worst_window(traces, PLAN.whole_per_s, PLAN.burst_ms) <= len(traces)


def all_have(least_per_s, *names):
    return lambda now: all(now.get(name, 0.0) >= least_per_s for name in names or NAMES)


async def kill_and_reuse(shared):
    """A killed one's share is used again, by its successor under the same name among others."""
    await until(all_have(4.0), shared, "all")
    await shared.end("n0", signal.SIGKILL)
    await shared.proxy("n0")
    await until(all_have(4.0, "n0"), shared, "the successor")


async def freeze_past_the_lease(shared):
    """A frozen one's share goes to the others; woken, it joins anew and did no harm."""
    await until(all_have(4.0), shared, "all")
    frozen = shared.proxies["n1"]
    frozen.freeze()
    others = [name for name in NAMES if name != "n1"]
    await until(all_have(8.4, *others), shared, "a seventh each")
    frozen.wake()
    await until(lambda now: 4.0 <= now["n1"] <= 8.2 and frozen.text().count("fleet.in") >= 2, shared, "again")


async def cut_off(shared, *ways):
    """One that is cut off falls to its part of what is kept back; the others get the rest."""
    await until(all_have(4.0), shared, "all")
    shared.links["n2"].cut(*ways)
    others = [name for name in NAMES if name != "n2"]
    await until(all_have(8.4, *others), shared, "a seventh each")
    spent = len(read_trace(shared.proxies["n2"].log, "all").spent)
    await asyncio.sleep(3.0)
    more = len(read_trace(shared.proxies["n2"].log, "all").spent) - spent
    assert 0 < more <= 3.0 * 0.5 + 2, "its part of what is kept back: half a call a second"
    shared.links["n2"].heal()
    await until(all_have(4.0, "n2"), shared, "again")


async def reset_after_commit(shared):
    """Commits whose answers are lost with their connections, again and again."""
    for _ in range(6):
        shared.store.faults.drop_after_commit = 3
        await asyncio.sleep(0.4)
        for link in list(shared.links.values())[::2]:
            link.reset()
    shared.store.faults.drop_after_commit = 0
    shared.store.faults.serialization_failures = 3
    await until(all_have(4.0), shared, "all, in the end")


async def store_stalls(shared):
    """The store stalls for longer than a lease, then restarts: all on what is kept back, then shares."""
    await until(all_have(4.0), shared, "all")
    shared.store.faults.stalled = True
    await asyncio.sleep(PLAN.lease_ms / 1000)  # no request is out any more that might bring a share
    lapsed = max(until for trace in said(shared) for _, until, _ in trace.shares)
    # A part of what is kept back is a unit in two seconds here: so long may a proxy wait for its first.
    async with asyncio.timeout(WAIT_S):
        while steady_ms() < lapsed + 3000 or not used_per_s(said(shared), lapsed, steady_ms()):
            await asyncio.sleep(0.05)
    now, traces = steady_ms(), said(shared)
    own_per_s, for_s = sum(trace.own for trace in traces), (now - lapsed) / 1000
    assert used_per_s(traces, lapsed, now) * for_s <= own_per_s * for_s + len(traces), "one saved up each"
    shared.store.faults.stalled = False
    await shared.store.restart(0.5)
    await until(all_have(4.0), shared, "again")


async def mass_join(shared):
    """All of them killed and started at once, under the names of the dead."""
    await until(all_have(4.0), shared, "all")
    await asyncio.sleep(1.0)
    await asyncio.gather(*(shared.end(name, signal.SIGKILL) for name in NAMES))
    await shared.start(NAMES)
    await until(all_have(4.0), shared, "all, once the dead ones' leases are over")


async def one_leaves(shared):
    """One that is told to stop gives its share back at once, not after a lease."""
    await until(all_have(4.0), shared, "all")
    await shared.end("n3", signal.SIGTERM)
    others = [name for name in NAMES if name != "n3"]
    await until(all_have(8.4, *others), shared, "a seventh each")
    assert not any("fleet.removed" in proxy.text() for proxy in shared.proxies.values())


@pytest.mark.parametrize("on_postgresql", [False, True], ids=["sqlite", "postgresql"])
@pytest.mark.parametrize("fault", [kill_and_reuse, freeze_past_the_lease])
def test_the_sum_holds_on_either_store(tmp_path, fault, on_postgresql):
    play(tmp_path, fault, on_postgresql)


@pytest.mark.parametrize("fault", [cut_off, reset_after_commit, store_stalls, mass_join, one_leaves])
def test_the_sum_holds_through_faults_of_the_store(tmp_path, fault):
    play(tmp_path, fault, True)


def test_the_sum_holds_while_answers_are_cut_off_and_requests_arrive(tmp_path):
    play(tmp_path, lambda shared: cut_off(shared, "back"), True)


def play(folder, fault, on_postgresql):
    async def run():
        async with sharing(folder, on_postgresql) as shared:
            await fault(shared)
            await proved(shared)

    asyncio.run(run())
