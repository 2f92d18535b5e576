"""Measures fleet-wide budgets with proxy processes and emulators: ``python -m benchmarks.budgets FOLDER``.

The results are written to ``budgets.csv`` and to a chart in the folder:

- the time until a joining proxy has its share, and until the share of a killed proxy is in use again;
- how much of the total is used while one proxy has nine tenths of the demand, against equal static quotas;
- the load of the store by the number of proxies;
- set-up times with budgets off, on, and with the store stalled;
- the invariants of ``verification.spending`` under a schedule of faults over many processes.

The labels of the results must not change, so that runs can be compared.
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
from typing import NamedTuple

from canvasplank.counters import Counters
from canvasplank.fleet.budget_limiter import BudgetKind
from canvasplank.fleet.config import Budget, FleetSettings
from canvasplank.fleet.lease_renewer import LeaseRenewer
from emulators.budgets import BudgetFleet, Plan
from emulators.callers import Callers
from emulators.fleet import fleet
from emulators.postgresql import PostgresqlEmulator
from emulators.server import CallServer
from verification.spending import max_leased_per_s, max_window_excess, read_trace, used_per_s

PLAN = Plan(total_per_s=160.0, reserve_fraction=0.1, max_members=128, lease_ms=3000.0, renew_ms=1000.0)
REACHED_FRACTION = 0.8  # a share counts as reached from this fraction of the share that is due
CONCURRENT_STARTS = 8


class Measurement(NamedTuple):
    """One line of the results; the field names are the header of ``budgets.csv``."""

    what: str
    variant: str
    unit: str
    value: float


@asynccontextmanager
async def deploy(
    plan: Plan, count: int, *, without_budgets: bool = False
) -> AsyncIterator[tuple[BudgetFleet, Callers]]:
    """Run ``count`` proxies on a PostgreSQL emulator in this process."""
    with tempfile.TemporaryDirectory() as folder:
        store = PostgresqlEmulator(Path(folder))
        await store.start()
        server = CallServer("s-0", capacity_per_s=5000.0, hold_ms=50.0, lines=100_000)
        async with fleet(Path(folder), [server], instances=count) as started:
            callers = Callers(seed=5)
            deployment = BudgetFleet(started, plan, callers, store)
            try:
                if without_budgets:
                    for number in range(count):
                        proxy = await started.proxy(f"n{number}", number)
                        await callers.add_proxy(proxy.address)
                else:
                    for first in range(0, count, CONCURRENT_STARTS):
                        last = min(count, first + CONCURRENT_STARTS)
                        await deployment.start([f"n{n}" for n in range(first, last)])
                yield deployment, callers
            finally:
                await callers.stop()
                await deployment.stop()
        await store.stop()


def last_share(deployment: BudgetFleet, name: str) -> float:
    """Return the share that a proxy logged last, in units a second."""
    shares = read_trace(deployment.proxies[name].log, "all").shares
    return shares[-1][2] if shares else 0.0


async def wait_until(condition: Callable[[], bool], timeout_s: float = 30.0) -> float:
    """Wait until a condition holds, or ``timeout_s`` at most; return the time that this took in seconds."""
    start_s = time.monotonic()
    while not condition() and time.monotonic() < start_s + timeout_s:
        await asyncio.sleep(0.05)
    return time.monotonic() - start_s


async def measure_join_and_kill(count: int) -> list[Measurement]:
    """Measure until a new proxy has four fifths of an even share, and others as much of a killed one's."""
    async with deploy(PLAN, count) as (deployment, callers):
        load = asyncio.create_task(callers.offer(2 * PLAN.total_per_s, 120.0))
        leased_per_s = PLAN.total_per_s * (1 - PLAN.reserve_fraction)
        names = list(deployment.proxies)
        await wait_until(
            lambda: all(last_share(deployment, n) > REACHED_FRACTION * leased_per_s / count for n in names)
        )
        start_s = time.monotonic()
        await deployment.start_proxy("late")
        started_s = time.monotonic() - start_s
        joined_s = await wait_until(
            lambda: last_share(deployment, "late") >= REACHED_FRACTION * leased_per_s / (count + 1)
        )
        others = [n for n in names if n != "n0"]
        before = sum(last_share(deployment, n) for n in others)
        killed_share = last_share(deployment, "n0")
        await deployment.stop_proxy("n0", signal.SIGKILL)
        used_s = await wait_until(
            lambda: (
                sum(last_share(deployment, n) for n in others)
                >= before + REACHED_FRACTION * killed_share * (len(others) / (len(others) + 1))
            )
        )
        load.cancel()
        size = f"{count} proxies"
        return [
            Measurement("joining: started", size, "s", started_s),
            Measurement("joining: has its share", size, "s", joined_s),
            Measurement("dead: its share is used again", size, "s", used_s),
        ]


async def measure_skewed_demand(static: bool) -> list[Measurement]:
    """Measure how much of the total is used while one of eight proxies has nine tenths of the calls."""
    plan = replace(PLAN, reserve_fraction=1.0 if static else PLAN.reserve_fraction, max_members=8)
    async with deploy(plan, 8) as (deployment, callers):
        busiest = deployment.proxies["n0"].address
        # Callers choose an entry at random; 63 of the 70 entries, nine tenths, are the busiest proxy.
        callers.proxies = [busiest] * 63 + list(callers.proxies)[1:]
        load = asyncio.create_task(callers.offer(PLAN.total_per_s, 14.0))
        await asyncio.sleep(13.5)
        traces = [read_trace(path, "all") for path in deployment.logs()]
        newest = max(trace.spent[-1] for trace in traces)
        used = used_per_s(traces, newest - 6000, newest)
        load.cancel()
        variant = "equal static parts" if static else "shares by demand"
        return [Measurement("one of eight has 9/10 of 160 calls/s: used", variant, "calls/s", used)]


async def measure_store_load(count: int) -> list[Measurement]:
    """Measure transactions a second and CPU time with ``count`` lease renewers in one process."""
    with tempfile.TemporaryDirectory() as folder:
        store = PostgresqlEmulator(Path(folder))
        await store.start()
        settings = FleetSettings(
            "postgresql", count, [Budget("all", BudgetKind.SET_UPS, 10.0 * count)], dsn=store.dsn
        )
        renewers = [LeaseRenewer(settings, f"n{n}", n, Counters()) for n in range(count)]
        for renewer in renewers:
            renewer.start()
        await asyncio.sleep(8.0)
        commits, start_s = store.commits, time.monotonic()
        usage_before = resource.getrusage(resource.RUSAGE_SELF)
        await asyncio.sleep(6.0)
        elapsed_s = time.monotonic() - start_s
        usage = resource.getrusage(resource.RUSAGE_SELF)
        per_s = (store.commits - commits) / elapsed_s
        cpu_s = usage.ru_utime + usage.ru_stime - usage_before.ru_utime - usage_before.ru_stime
        cpu_ms = 1000 * cpu_s / elapsed_s / per_s
        joined = sum(renewer.holder.incarnation is not None for renewer in renewers)
        for renewer in renewers:
            renewer._task.cancel()
        await store.stop()
        size = f"{count} proxies"
        return [
            Measurement("store: transactions", size, "a second", per_s),
            Measurement("store: members", size, "", joined),
            Measurement("store: per proxy", size, "a second", per_s / count),
            Measurement("store: stand-in and client together", size, "ms of processor a transaction", cpu_ms),
        ]


async def measure_set_up_times(variant: str) -> list[Measurement]:
    """Measure set-up times with budgets off, on, or the store stalled; the budget is large enough for all."""
    plan = replace(PLAN, total_per_s=4000.0, max_members=4, reserve_fraction=0.5)
    async with deploy(plan, 4, without_budgets=variant == "off") as (deployment, callers):
        await asyncio.sleep(2.0)
        deployment.store.faults.stalled = variant == "store stalled"
        await callers.offer(200.0, 8.0)
        await callers.wait_until_answered(4.0)
        times_ms = sorted(1000 * call.took_s for call in callers.calls.values() if call.outcome == "served")
        deployment.store.faults.stalled = False
        return [
            Measurement("set-up time: median", variant, "ms", statistics.median(times_ms)),
            Measurement("set-up time: 99 %", variant, "ms", times_ms[int(0.99 * len(times_ms))]),
            Measurement("set-ups served", variant, "of all", len(times_ms) / len(callers.calls)),
        ]


async def inject_faults(deployment: BudgetFleet, count: int) -> None:
    """Freeze, cut off and kill proxies, stall and restart the store, then restart half the proxies at once.

    An eighth each is frozen, cut off from the store, cut off from its responses only, and killed.
    """
    await asyncio.sleep(6.0)
    frozen = [f"n{n}" for n in range(0, count, 8)]
    for name in frozen:
        deployment.proxies[name].freeze()
    for name in [f"n{n}" for n in range(1, count, 8)]:
        deployment.links[name].cut()
    for name in [f"n{n}" for n in range(2, count, 8)]:
        deployment.links[name].cut("back")
    killed = [f"n{n}" for n in range(3, count, 8)]
    await asyncio.gather(*(deployment.stop_proxy(name, signal.SIGKILL) for name in killed))
    await deployment.start(killed)
    await asyncio.sleep(5.0)
    for name in frozen:
        deployment.proxies[name].unfreeze()
    for link in deployment.links.values():
        link.heal()
    deployment.store.faults.stalled = True
    await asyncio.sleep(10.0)
    deployment.store.faults.stalled = False
    await deployment.store.restart(1.0)
    await asyncio.sleep(8.0)
    await asyncio.gather(*(deployment.stop_proxy(f"n{n}", signal.SIGKILL) for n in range(count // 2)))
    for first in range(0, count // 2, CONCURRENT_STARTS):
        await deployment.start([f"n{n}" for n in range(first, first + CONCURRENT_STARTS)])
    await asyncio.sleep(8.0)


async def measure_faults(count: int) -> list[Measurement]:
    """Check the invariants over the traces of all processes, under a schedule of faults."""
    async with deploy(PLAN, count) as (deployment, callers):
        load = asyncio.create_task(callers.offer(2 * PLAN.total_per_s, 300.0))
        await inject_faults(deployment, count)
        load.cancel()
        traces = [read_trace(path, "all") for path in deployment.logs()]
        size = f"{count} proxies, {len(traces)} processes"
        return [
            Measurement(
                "faults: most that shares summed to",
                size,
                f"of {PLAN.total_per_s * 0.9:g} a second",
                max_leased_per_s(traces),
            ),
            Measurement(
                "faults: worst window over the whole",
                size,
                f"units, {len(traces)} allowed",
                max_window_excess(traces, PLAN.total_per_s, PLAN.burst_ms),
            ),
            Measurement("faults: units spent", size, "", float(sum(len(trace.spent) for trace in traces))),
        ]


def draw_chart(measurements: list[Measurement], path: Path) -> None:
    """Draw the use of the total, the load of the store and the time until a share is reached."""
    import matplotlib

    matplotlib.use("svg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, 3, figsize=(12, 3.2))
    for axis, suffix, title in zip(
        axes,
        ("used", "store: transactions", "has its share"),
        (
            "used of 160/s, nine tenths at one proxy",
            "store: transactions a second",
            "joining proxy has its share after, s",
        ),
        strict=True,
    ):
        shown = [each for each in measurements if each.what.endswith(suffix)]
        axis.bar([each.variant for each in shown], [each.value for each in shown], color="#4477aa", width=0.5)
        axis.set_title(title, fontsize=9)
        axis.tick_params(labelsize=8)
    figure.tight_layout()
    figure.savefig(path)


async def measure() -> list[Measurement]:
    """Run all benchmarks one after another, and print their results."""
    measurements: list[Measurement] = []
    benchmarks: list[Callable[[], Awaitable[list[Measurement]]]] = [
        *(partial(measure_join_and_kill, count) for count in (8, 32)),
        *(partial(measure_skewed_demand, static) for static in (True, False)),
        *(partial(measure_store_load, count) for count in (8, 64, 256)),
        *(partial(measure_set_up_times, variant) for variant in ("off", "on", "store stalled")),
        partial(measure_faults, 64),
    ]
    for benchmark in benchmarks:
        results = await benchmark()
        for each in results:
            print(*each, sep="\t", flush=True)
        measurements += results
    return measurements


def main(folder: str) -> None:
    """Run all benchmarks, and write the table and the chart into the folder."""
    measurements = asyncio.run(measure())
    with (Path(folder) / "budgets.csv").open("w", newline="") as file:
        csv.writer(file).writerows([Measurement._fields, *measurements])
    draw_chart(measurements, Path(folder) / "budgets.svg")


if __name__ == "__main__":
    main(*sys.argv[1:])
