"""Measures fleet-wide budgets on processes and stand-ins: ``python -m benchmarks.budgets FOLDER``.

Writes ``budgets.csv`` and a chart into the folder: how soon a joining proxy has its share and a dead one's is
used again, what is used of the whole while one proxy has most of the demand (against equal static parts), the
store's load by the number of proxies, set-up times, and a schedule of faults over many processes, proved.
"""

from __future__ import annotations

import asyncio
import csv
import resource
import signal
import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial
from pathlib import Path

from canvasplank.counters import Counters
from canvasplank.fleet.config import Budget, Fleet
from canvasplank.fleet.lease_renewer import LeaseRenewer
from emulators.budgets import BudgetFleet, Plan
from emulators.callers import Callers
from emulators.fleet import fleet
from emulators.postgresql import PostgresqlStandIn
from emulators.server import CallServer
from verification.spending import most_shared, read_trace, used_per_s, worst_window

PLAN = Plan(whole_per_s=160.0, kept_back=0.1, most=128, lease_ms=3000.0, renew_ms=1000.0)
Row = tuple[str, str, str, float]


@asynccontextmanager
async def sharing(plan: Plan, count: int, *, off: bool = False) -> AsyncIterator[tuple[BudgetFleet, Callers]]:
    """So many proxies on a stand-in PostgreSQL in this process."""
    with tempfile.TemporaryDirectory() as folder:
        store = PostgresqlStandIn(Path(folder))
        await store.start()
        server = CallServer("s-0", capacity_per_s=5000.0, hold_ms=50.0, lines=100_000)
        async with fleet(Path(folder), [server], instances=count) as started:
            callers = Callers(seed=5)
            shared = BudgetFleet(started, plan, callers, store)
            try:
                if off:
                    for number in range(count):
                        proxy = await started.proxy(f"n{number}", number)
                        await callers.add_proxy(proxy.address)
                else:
                    for first in range(0, count, 8):
                        await shared.start([f"n{n}" for n in range(first, min(count, first + 8))])
                yield shared, callers
            finally:
                await callers.stop()
                await shared.stop()
        await store.stop()


def share(shared: BudgetFleet, name: str) -> float:
    """What a proxy told last of its share, a second."""
    shares = read_trace(shared.proxies[name].log, "all").shares
    return shares[-1][2] if shares else 0.0


async def until(holds: Callable[[], bool], most_s: float = 30.0) -> float:
    """How long until it holds."""
    began = time.monotonic()
    while not holds() and time.monotonic() < began + most_s:
        await asyncio.sleep(0.05)
    return time.monotonic() - began


async def joining_and_dying(count: int) -> list[Row]:
    """How soon a newcomer has four fifths of an even part, and a dead one's share is with the others."""
    async with sharing(PLAN, count) as (shared, callers):
        load = asyncio.create_task(callers.offer(2 * PLAN.whole_per_s, 120.0))
        whole = PLAN.whole_per_s * (1 - PLAN.kept_back)
        names = list(shared.proxies)
        await until(lambda: all(share(shared, n) > 0.8 * whole / count for n in names))
        began = time.monotonic()
        await shared.proxy("late")
        started_s = time.monotonic() - began
        joined_s = await until(lambda: share(shared, "late") >= 0.8 * whole / (count + 1))
        others = [n for n in names if n != "n0"]
        before = sum(share(shared, n) for n in others)
        gone = share(shared, "n0")
        await shared.end("n0", signal.SIGKILL)
        used_s = await until(
            lambda: (
                sum(share(shared, n) for n in others)
                >= before + 0.8 * gone * (len(others) / (len(others) + 1))
            )
        )
        load.cancel()
        size = f"{count} proxies"
        return [
            ("joining: started", size, "s", started_s),
            ("joining: has its share", size, "s", joined_s),
            ("dead: its share is used again", size, "s", used_s),
        ]


async def skewed(static: bool) -> list[Row]:
    """What is used of the whole while one of eight proxies has nine tenths of the calls."""
    plan = replace(PLAN, kept_back=1.0 if static else PLAN.kept_back, most=8)
    async with sharing(plan, 8) as (shared, callers):
        flooded = shared.proxies["n0"].address
        callers.proxies = [flooded] * 63 + list(callers.proxies)[1:]  # nine tenths, and a tenth for the rest
        load = asyncio.create_task(callers.offer(PLAN.whole_per_s, 14.0))
        await asyncio.sleep(13.5)
        traces = [read_trace(path, "all") for path in shared.logs()]
        newest = max(trace.spent[-1] for trace in traces)
        used = used_per_s(traces, newest - 6000, newest)
        load.cancel()
        variant = "equal static parts" if static else "shares by demand"
        return [("one of eight has 9/10 of 160 calls/s: used", variant, "calls/s", used)]


async def store_load(count: int) -> list[Row]:
    """Transactions a second and processor time, with this many agents in one process."""
    with tempfile.TemporaryDirectory() as folder:
        store = PostgresqlStandIn(Path(folder))
        await store.start()
        settings = Fleet("postgresql", count, [Budget("all", "set-ups", 10.0 * count)], dsn=store.dsn)
        agents = [LeaseRenewer(settings, f"n{n}", n, Counters()) for n in range(count)]
        for agent in agents:
            agent.start()
        await asyncio.sleep(8.0)
        commits, began = store.commits, time.monotonic()
        cpu = resource.getrusage(resource.RUSAGE_SELF)
        await asyncio.sleep(6.0)
        spent_s = time.monotonic() - began
        after = resource.getrusage(resource.RUSAGE_SELF)
        per_s = (store.commits - commits) / spent_s
        cpu_ms = 1000 * (after.ru_utime + after.ru_stime - cpu.ru_utime - cpu.ru_stime) / spent_s / per_s
        joined = sum(agent.holder.incarnation is not None for agent in agents)
        for agent in agents:
            agent._task.cancel()
        await store.stop()
        size = f"{count} proxies"
        return [
            ("store: transactions", size, "a second", per_s),
            ("store: members", size, "", joined),
            ("store: per proxy", size, "a second", per_s / count),
            ("store: stand-in and client together", size, "ms of processor a transaction", cpu_ms),
        ]


async def set_up_times(variant: str) -> list[Row]:
    """Set-up times with budgets off, on, and with the store stalled; the budget itself holds nothing back."""
    plan = replace(PLAN, whole_per_s=4000.0, most=4, kept_back=0.5)
    async with sharing(plan, 4, off=variant == "off") as (shared, callers):
        await asyncio.sleep(2.0)
        shared.store.faults.stalled = variant == "store stalled"
        await callers.offer(200.0, 8.0)
        await callers.settled(4.0)
        took = sorted(1000 * t.took_s for t in callers.tries.values() if t.outcome == "served")
        shared.store.faults.stalled = False
        return [
            ("set-up time: median", variant, "ms", statistics.median(took)),
            ("set-up time: 99 %", variant, "ms", took[int(0.99 * len(took))]),
            ("set-ups served", variant, "of all", len(took) / len(callers.tries)),
        ]


async def faults(count: int) -> list[Row]:
    """A schedule of faults over many processes, proved by what every one of them said."""
    async with sharing(PLAN, count) as (shared, callers):
        load = asyncio.create_task(callers.offer(2 * PLAN.whole_per_s, 300.0))
        await asyncio.sleep(6.0)
        some = [f"n{n}" for n in range(0, count, 8)]
        for name in some:
            shared.proxies[name].freeze()
        for name in [f"n{n}" for n in range(1, count, 8)]:
            shared.links[name].cut()
        for name in [f"n{n}" for n in range(2, count, 8)]:
            shared.links[name].cut("back")
        killed = [f"n{n}" for n in range(3, count, 8)]
        await asyncio.gather(*(shared.end(name, signal.SIGKILL) for name in killed))
        await shared.start(killed)
        await asyncio.sleep(5.0)
        for name in some:
            shared.proxies[name].wake()
        for link in shared.links.values():
            link.heal()
        shared.store.faults.stalled = True
        await asyncio.sleep(10.0)
        shared.store.faults.stalled = False
        await shared.store.restart(1.0)
        await asyncio.sleep(8.0)
        await asyncio.gather(*(shared.end(f"n{n}", signal.SIGKILL) for n in range(count // 2)))
        for first in range(0, count // 2, 8):
            await shared.start([f"n{n}" for n in range(first, first + 8)])
        await asyncio.sleep(8.0)
        load.cancel()
        traces = [read_trace(path, "all") for path in shared.logs()]
        size = f"{count} proxies, {len(traces)} processes"
        return [
            (
                "faults: most that shares summed to",
                size,
                f"of {PLAN.whole_per_s * 0.9:g} a second",
                most_shared(traces),
            ),
            (
                "faults: worst window over the whole",
                size,
                f"units, {len(traces)} allowed",
                worst_window(traces, PLAN.whole_per_s, PLAN.burst_ms),
            ),
            ("faults: units spent", size, "", float(sum(len(trace.spent) for trace in traces))),
        ]


def chart(rows: list[Row], path: Path) -> None:
    """The two comparisons that a picture tells best."""
    import matplotlib

    matplotlib.use("svg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, 3, figsize=(12, 3.2))
    for axis, what, title in zip(
        axes,
        ("used", "store: transactions", "has its share"),
        (
            "used of 160/s, nine tenths at one proxy",
            "store: transactions a second",
            "joining proxy has its share after, s",
        ),
        strict=True,
    ):
        found = [(variant, value) for name, variant, _, value in rows if name.endswith(what)]
        axis.bar([variant for variant, _ in found], [value for _, value in found], color="#4477aa", width=0.5)
        axis.set_title(title, fontsize=9)
        axis.tick_params(labelsize=8)
    figure.tight_layout()
    figure.savefig(path)


async def measure() -> list[Row]:
    """Everything, one after another."""
    rows: list[Row] = []
    plays: list[Callable[[], Awaitable[list[Row]]]] = [
        *(partial(joining_and_dying, count) for count in (8, 32)),
        *(partial(skewed, static) for static in (True, False)),
        *(partial(store_load, count) for count in (8, 64, 256)),
        *(partial(set_up_times, variant) for variant in ("off", "on", "store stalled")),
        partial(faults, 64),
    ]
    for what in plays:
        found = await what()
        for row in found:
            print(*row, sep="\t", flush=True)
        rows += found
    return rows


def main(folder: str) -> None:
    """Measure, and write the table and the chart."""
    rows = asyncio.run(measure())
    with (Path(folder) / "budgets.csv").open("w", newline="") as file:
        csv.writer(file).writerows([("what", "variant", "unit", "value"), *rows])
    chart(rows, Path(folder) / "budgets.svg")


if __name__ == "__main__":
    main(*sys.argv[1:])
