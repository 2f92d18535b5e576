"""A new instance joins during a slowdown, with a snapshot from a running one or without.

``python -m benchmarks.learning_join [--seeds N] [--at-once N]``

Three call servers, two running instances and an open load of callers.  One server slows, and some seconds
later a third instance starts and gets its share of the callers.  Each seed is run twice, the new instance
with a running one's snapshot and without; the table has the service that callers of the new instance got in
its first 5 s and after them, and beside it that of the running instances at the same times.
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

from emulators.callers import Callers, Try, service
from emulators.fleet import Fleet, fleet, free_port
from emulators.server import CallServer

CAPACITY_PER_S = 20.0
RUNNING = 2
WARM_S, SLOW_S, AFTER_S = 8.0, 4.0, 15.0  # until the slowdown, until the join, measured after it
FIRST_S = 5.0  # by when the new instance should be steady


@dataclass(frozen=True)
class JoinResult:
    """One run: service of the new instance's callers and of the others, in its first seconds and later."""

    new_first: float
    new_later: float
    old_first: float
    old_later: float
    late: int
    lost: int
    steady_after_s: float  # until its service was no more clearly worse than the running ones'

    @staticmethod
    def of(tries: list[Try], joined_s: float, new: str) -> JoinResult:
        """From what became of the calls due after the join."""
        since = [t for t in tries if t.due_s >= joined_s]
        first = [t for t in since if t.due_s < joined_s + FIRST_S]
        later = [t for t in since if t.due_s >= joined_s + FIRST_S]

        def served(some: list[Try], *, by_new: bool) -> float:
            return service([t for t in some if (t.proxy == new) is by_new])

        mine = [t for t in since if t.proxy == new]
        return JoinResult(
            served(first, by_new=True),
            served(later, by_new=True),
            served(first, by_new=False),
            served(later, by_new=False),
            late=sum(t.outcome == "served" and t.took_s > t.kind.aim_s for t in mine),
            lost=sum(t.outcome in ("lost", "given_up") for t in mine),
            steady_after_s=_steady_after(since, joined_s, new),
        )


STEADY_SPAN_S, STEADY_LESS = 2.0, 0.15


def _steady_after(since: list[Try], joined_s: float, new: str) -> float:
    """How long after the join its service stayed ``STEADY_LESS`` or more below the others', in seconds."""
    for number in range(int(AFTER_S - STEADY_SPAN_S) + 1):
        span_start_s = joined_s + number
        in_span = [t for t in since if span_start_s <= t.due_s < span_start_s + STEADY_SPAN_S]
        mine, others = ([t for t in in_span if (t.proxy == new) is by_new] for by_new in (True, False))
        if not mine or not others or service(mine) >= service(others) - STEADY_LESS:
            return float(number)
    return AFTER_S


async def _start_running(world: Fleet, seed: int, view: str) -> list[str]:
    path = world.folder / "running.toml"
    path.write_text(f'listen = "{view}"\n')
    first = await world.proxy("n0", seed * 10, CANVASPLANK_LEARNING=str(path))
    rest = [await world.proxy(f"n{n}", seed * 10 + n) for n in range(1, RUNNING)]
    return [first.address, *(proxy.address for proxy in rest)]


async def run_join(
    seed: int, with_snapshot: bool, rate_per_s: float, slow: float, mend_s: float | None
) -> JoinResult:
    """One run; with ``mend_s`` the slowdown ends that many seconds before the join."""
    servers = [CallServer(f"s-{n}", CAPACITY_PER_S, hold_ms=2000.0) for n in range(3)]
    with tempfile.TemporaryDirectory() as folder:
        async with fleet(Path(folder), servers, RUNNING + 1) as world:
            view = f"127.0.0.1:{free_port()}"
            callers = Callers(seed, pools=len(servers))
            for address in await _start_running(world, seed, view):
                await callers.add_proxy(address)
            total_s = WARM_S + SLOW_S + (mend_s or 0.0) + AFTER_S + 2.0
            load = asyncio.ensure_future(callers.offer(rate_per_s, total_s))
            await asyncio.sleep(WARM_S)
            servers[seed % 3].speed = 1.0 / slow
            await asyncio.sleep(SLOW_S)
            if mend_s is not None:
                servers[seed % 3].speed = 1.0
                await asyncio.sleep(mend_s)
            joining = Path(folder) / "joining.toml"
            joining.write_text(f'peer = "{view}"\n')
            more = {"CANVASPLANK_LEARNING": str(joining)} if with_snapshot else {}
            new = await world.proxy("new", seed * 10 + 9, **more)
            await callers.add_proxy(new.address)
            joined_s = time.time()
            await load
            await callers.settled(5.0)
            result = JoinResult.of(
                [t for t in callers.tries.values() if t.due_s < joined_s + AFTER_S], joined_s, new.address
            )
            await callers.stop()
            return result


async def _run_all(
    runs: list[tuple[int, bool]], at_once: int, rate: float, slow: float, mend_s: float | None
) -> list[JoinResult]:
    gate = asyncio.Semaphore(at_once)

    async def run_one(seed: int, with_snapshot: bool) -> JoinResult:
        async with gate:
            return await run_join(seed, with_snapshot, rate, slow, mend_s)

    return await asyncio.gather(*(run_one(*each) for each in runs))


@click.command()
@click.option("--seeds", default=6, help="Worlds played, each with asking and without.")
@click.option("--at-once", default=4, help="Plays side by side.")
@click.option("--rate", default=45.0, help="Calls a second in all.")
@click.option("--slow", default=3.8, help="How many times slower one server gets.")
@click.option("--mend", type=float, default=None, help="End the slowdown so many seconds before the join.")
def main(seeds: int, at_once: int, rate: float, slow: float, mend: float | None) -> None:
    """Play and print the table."""
    runs = [(seed, with_snapshot) for seed in range(1, seeds + 1) for with_snapshot in (False, True)]
    with contextlib.suppress(KeyboardInterrupt):
        results = dict(zip(runs, asyncio.run(_run_all(runs, at_once, rate, slow, mend)), strict=True))
        print(
            "| seed | asked | new, first 5 s | new, later | running, first 5 s | running, later "
            "| late | lost | steady after |"
        )
        print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        for (seed, with_snapshot), p in results.items():
            whom = "a running one" if with_snapshot else "no one"
            print(
                f"| {seed} | {whom} | {p.new_first:.3f} | {p.new_later:.3f} | {p.old_first:.3f} "
                f"| {p.old_later:.3f} | {p.late} | {p.lost} | {p.steady_after_s:.0f} s |"
            )
        for with_snapshot in (False, True):
            some = [p for (_, fetched), p in results.items() if fetched is with_snapshot]
            first, later = (
                statistics.mean(each)
                for each in zip(*((p.new_first, p.new_later) for p in some), strict=True)
            )
            print(
                f"mean, {'asked' if with_snapshot else 'alone'}: first 5 s {first:.3f}, later {later:.3f}, "
                f"late {sum(p.late for p in some)}, "
                f"steady after at most {max(p.steady_after_s for p in some):.0f} s"
            )


if __name__ == "__main__":
    main()
