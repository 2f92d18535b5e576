"""Measures the warm start of an instance that joins while a call server is slow.

``python -m benchmarks.learning_join [--seeds N] [--at-once N]``

Two instances with three call servers get an open-loop load of calls. One server slows down, and some
seconds later a third instance starts and gets its share of the calls. Each seed is run twice: the new
instance starts with a snapshot of a running instance, or without one. The table shows the service level of
the new instance in its first 5 s and after them, and that of the running instances at the same times.
"""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import click

from emulators.callers import Callers, PlacedCall, service_level
from emulators.fleet import Fleet, fleet, free_port
from emulators.server import CallServer

CAPACITY_PER_S = 20.0
RUNNING_INSTANCES = 2
WARM_UP_S = 8.0  # from the start to the slowdown
SLOWDOWN_S = 4.0  # from the start of the slowdown to the join, or to its end with ``--mend``
MEASURED_S = 15.0  # from the join to the end of the measurement
FIRST_PERIOD_S = 5.0  # the new instance should be steady by its end


@dataclass(frozen=True)
class JoinResult:
    """The result of one run, in the first period after the join (``_first``) and after that (``_later``)."""

    new_first: float  # service level of the new instance
    new_later: float
    running_first: float  # service level of the running instances
    running_later: float
    late: int  # calls that the new instance served later than their objective
    lost: int  # calls of the new instance that were lost or given up
    steady_after_s: float  # until the new instance was steady, see ``_steady_after_s``

    @staticmethod
    def from_calls(calls: list[PlacedCall], joined_s: float, new: str) -> JoinResult:
        """Return the result of the calls due after the join; ``new`` is the address of the new instance."""
        since = [call for call in calls if call.due_s >= joined_s]
        first = [call for call in since if call.due_s < joined_s + FIRST_PERIOD_S]
        later = [call for call in since if call.due_s >= joined_s + FIRST_PERIOD_S]

        def level(period: list[PlacedCall], *, of_new: bool) -> float:
            return service_level([call for call in period if (call.proxy == new) is of_new])

        at_new = [call for call in since if call.proxy == new]
        return JoinResult(
            level(first, of_new=True),
            level(later, of_new=True),
            level(first, of_new=False),
            level(later, of_new=False),
            late=sum(call.outcome == "served" and call.took_s > call.kind.aim_s for call in at_new),
            lost=sum(call.outcome in ("lost", "given_up") for call in at_new),
            steady_after_s=_steady_after_s(since, joined_s, new),
        )


STEADY_WINDOW_S = 2.0
STEADY_TOLERANCE = 0.15


def _steady_after_s(since: list[PlacedCall], joined_s: float, new: str) -> float:
    """Return the seconds from the join to the start of the first window in which the new instance is steady.

    It is steady if its service level is at most ``STEADY_TOLERANCE`` below that of the others.
    """
    for number in range(int(MEASURED_S - STEADY_WINDOW_S) + 1):
        start_s = joined_s + number
        window = [call for call in since if start_s <= call.due_s < start_s + STEADY_WINDOW_S]
        own, others = ([call for call in window if (call.proxy == new) is of_new] for of_new in (True, False))
        if not own or not others or service_level(own) >= service_level(others) - STEADY_TOLERANCE:
            return float(number)
    return MEASURED_S


async def _start_running_instances(instances: Fleet, seed: int, snapshot_address: str) -> list[str]:
    """Start the instances, the first of which serves snapshots; return their addresses."""
    path = instances.folder / "running.toml"
    path.write_text(f'listen = "{snapshot_address}"\n')
    first = await instances.proxy("n0", seed * 10, CANVASPLANK_LEARNING=str(path))
    rest = [await instances.proxy(f"n{n}", seed * 10 + n) for n in range(1, RUNNING_INSTANCES)]
    return [first.address, *(proxy.address for proxy in rest)]


async def run_join(
    seed: int, with_snapshot: bool, rate_per_s: float, slowdown: float, recovered_s: float | None
) -> JoinResult:
    """Do one run; with ``recovered_s`` the slowdown ends that many seconds before the join."""
    servers = [CallServer(f"s-{n}", CAPACITY_PER_S, hold_ms=2000.0) for n in range(3)]
    with tempfile.TemporaryDirectory() as folder:
        async with fleet(Path(folder), servers, RUNNING_INSTANCES + 1) as instances:
            snapshot_address = f"127.0.0.1:{free_port()}"
            callers = Callers(seed, pools=len(servers))
            for address in await _start_running_instances(instances, seed, snapshot_address):
                await callers.add_proxy(address)
            total_s = WARM_UP_S + SLOWDOWN_S + (recovered_s or 0.0) + MEASURED_S + 2.0
            load = asyncio.ensure_future(callers.offer(rate_per_s, total_s))
            await asyncio.sleep(WARM_UP_S)
            servers[seed % 3].speed = 1.0 / slowdown
            await asyncio.sleep(SLOWDOWN_S)
            if recovered_s is not None:
                servers[seed % 3].speed = 1.0
                await asyncio.sleep(recovered_s)
            settings_path = Path(folder) / "joining.toml"
            settings_path.write_text(f'peer = "{snapshot_address}"\n')
            environment = {"CANVASPLANK_LEARNING": str(settings_path)} if with_snapshot else {}
            new = await instances.proxy("new", seed * 10 + 9, **environment)
            await callers.add_proxy(new.address)
            joined_s = time.time()
            await load
            await callers.wait_until_answered(5.0)
            result = JoinResult.from_calls(
                [call for call in callers.calls.values() if call.due_s < joined_s + MEASURED_S],
                joined_s,
                new.address,
            )
            await callers.stop()
            return result


async def _run_all(
    runs: list[tuple[int, bool]], at_once: int, rate_per_s: float, slowdown: float, recovered_s: float | None
) -> list[JoinResult]:
    limit = asyncio.Semaphore(at_once)

    async def run_one(seed: int, with_snapshot: bool) -> JoinResult:
        async with limit:
            return await run_join(seed, with_snapshot, rate_per_s, slowdown, recovered_s)

    return await asyncio.gather(*(run_one(*each) for each in runs))


@click.command()
@click.option("--seeds", default=6, help="Number of seeds, each run with a snapshot and without.")
@click.option("--at-once", default=4, help="Concurrent runs.")
@click.option("--rate", default=45.0, help="Calls a second in total.")
@click.option("--slow", default=3.8, help="Factor by which one server slows down.")
@click.option("--mend", type=float, default=None, help="End the slowdown this many seconds before the join.")
def main(seeds: int, at_once: int, rate: float, slow: float, mend: float | None) -> None:
    """Run the benchmark and print the table."""
    runs = [(seed, with_snapshot) for seed in range(1, seeds + 1) for with_snapshot in (False, True)]
    with contextlib.suppress(KeyboardInterrupt):
        results = dict(zip(runs, asyncio.run(_run_all(runs, at_once, rate, slow, mend)), strict=True))
        print(
            "| seed | snapshot | new, first 5 s | new, later | running, first 5 s | running, later "
            "| late | lost | steady after |"
        )
        print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        for (seed, with_snapshot), result in results.items():
            snapshot = "with" if with_snapshot else "without"
            print(
                f"| {seed} | {snapshot} | {result.new_first:.3f} | {result.new_later:.3f} "
                f"| {result.running_first:.3f} | {result.running_later:.3f} "
                f"| {result.late} | {result.lost} | {result.steady_after_s:.0f} s |"
            )
        for with_snapshot in (False, True):
            selected = [result for (_, fetched), result in results.items() if fetched is with_snapshot]
            first, later = (
                statistics.mean(each)
                for each in zip(*((result.new_first, result.new_later) for result in selected), strict=True)
            )
            print(
                f"mean, {'with' if with_snapshot else 'without'} snapshot: "
                f"first 5 s {first:.3f}, later {later:.3f}, late {sum(result.late for result in selected)}, "
                f"steady after at most {max(result.steady_after_s for result in selected):.0f} s"
            )


if __name__ == "__main__":
    main()
