"""Measures set-up times with a store of record, and the records that it holds after faults of the store.

``python -m benchmarks.store_latency [--seeds N] [--at-once N]``

Each run has emulated call servers, callers with an open-loop load, a proxy and a store. The store is none,
an SQLite file, or the emulated PostgreSQL, which is available, stalls for 5 s, is down for 5 s, or resets its
connection once a second, alternately before and after a commit. Times count from when a call was due.
"""

from __future__ import annotations

import asyncio
import sqlite3
import statistics
import sys
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path

import click

from emulators.callers import Callers, PlacedCall
from emulators.fleet import ROOT, fleet
from emulators.postgresql.shared_data import DATA_FILE
from emulators.server import CallServer

LOAD_S = 12.0
FAULT_AT_S = 3.0  # after the start of the load
FAULT_S = 5.0
ANSWER_TIMEOUT_S = 10.0  # for the calls that are open at the end of the load
Record = tuple[str, str, str]  # call id, class and final answer

SELECT_RECORDS = "SELECT call_id, class_name, final FROM call_outcome"


@dataclass(frozen=True)
class Load:
    """The rate of calls in total, and the capacity of each server."""

    name: str
    capacity_per_s: float
    rate_per_s: float


LOADS = (Load("120 %", 20.0, 72.0), Load("light work", 1000.0, 300.0))


@dataclass(frozen=True)
class Measurement:
    """The result of one run."""

    calls: int
    served: int
    median_ms: float
    p99_ms: float
    max_ms: float
    records: int
    duplicates: int
    wrong: int  # calls without a record, or whose record has another class or answer than the caller's


class EmulatorProcess:
    """The PostgreSQL emulator as a process of its own; in this one, its work would delay the callers."""

    async def start(self, folder: Path) -> str:
        """Start the process; return the DSN of its database."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "emulators.postgresql",
            str(folder),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        return (await self._process.stdout.readline()).decode().strip()

    def command(self, command: str) -> None:
        """Send a command (see ``emulators.postgresql.__main__``)."""
        self._process.stdin.write(f"{command}\n".encode())

    async def stop(self) -> None:
        """Close its standard input, and wait for its end."""
        self._process.stdin.close()
        await self._process.wait()


async def _no_fault(_: EmulatorProcess) -> None:
    pass


async def _stall(database: EmulatorProcess) -> None:
    await asyncio.sleep(FAULT_AT_S)
    database.command("stalled 1")
    await asyncio.sleep(FAULT_S)
    database.command("stalled 0")


async def _reset_connections(database: EmulatorProcess) -> None:
    for second in range(int(LOAD_S) - 1):
        database.command("drop_after_commit 1" if second % 2 else "drop_before_commit 1")
        await asyncio.sleep(1.0)


async def _restart(database: EmulatorProcess) -> None:
    await asyncio.sleep(FAULT_AT_S)
    database.command(f"restart {FAULT_S}")


FaultSchedule = Callable[[EmulatorProcess], Awaitable[None]]
STORES: dict[str, FaultSchedule | None] = {
    "none": None,
    "SQLite": None,
    "PostgreSQL": _no_fault,
    "PostgreSQL stalled 5 s": _stall,
    "PostgreSQL resets by turns": _reset_connections,
    "PostgreSQL down 5 s": _restart,
}


async def measure(seed: int, load: Load, store: str) -> Measurement:
    """Do one run, and compare the records with the answers that the callers received."""
    with tempfile.TemporaryDirectory() as name:
        folder, database = Path(name), EmulatorProcess()
        dsn = await database.start(folder)
        path = folder / ("outcomes.db" if store == "SQLite" else DATA_FILE)
        settings = (
            f'backend = "sqlite"\npath = "{path}"\n'
            if store == "SQLite"
            else f'backend = "postgresql"\ndsn = "{dsn}"\n'
        )
        (folder / "store.toml").write_text(settings)
        environment = {} if store == "none" else {"CANVASPLANK_STORE": str(folder / "store.toml")}
        calls = await _place_calls(seed, load, folder, environment, STORES[store], database)
        await database.stop()
        rows: list[Record] = []
        if store != "none":
            with closing(sqlite3.connect(path)) as records:
                rows = records.execute(SELECT_RECORDS).fetchall()
        return _compare(calls, rows)


async def _place_calls(
    seed: int,
    load: Load,
    folder: Path,
    environment: dict[str, str],
    schedule: FaultSchedule | None,
    database: EmulatorProcess,
) -> list[PlacedCall]:
    servers = [CallServer(f"s-{n}", load.capacity_per_s, hold_ms=1000.0, lines=2000) for n in range(3)]
    async with fleet(folder, servers, 1) as proxies:
        proxy = await proxies.proxy("n0", seed, **environment)
        callers = Callers(seed, pools=len(servers))
        await callers.add_proxy(proxy.address)
        fault_task = asyncio.ensure_future(schedule(database)) if schedule is not None else None
        await callers.offer(load.rate_per_s, LOAD_S)
        if fault_task is not None:
            await fault_task
        await callers.wait_until_answered(ANSWER_TIMEOUT_S)
        await callers.stop()
        await proxy.stop()
        return list(callers.calls.values())


def _compare(calls: list[PlacedCall], rows: list[Record]) -> Measurement:
    recorded = {call_id: (class_name, final) for call_id, class_name, final in rows}
    times_ms = sorted(1000 * call.took_s for call in calls if call.outcome == "served")
    wrong = sum(recorded.get(call.id) != (call.kind.name, call.outcome) for call in calls) if rows else 0
    return Measurement(
        len(calls),
        len(times_ms),
        statistics.median(times_ms),
        times_ms[int(0.99 * len(times_ms))],
        times_ms[-1],
        len(rows),
        len(rows) - len(recorded),
        wrong,
    )


async def _run_all(seeds: int, at_once: int) -> dict[tuple[str, str], list[Measurement]]:
    limit = asyncio.Semaphore(at_once)

    async def run_one(seed: int, load: Load, store: str) -> tuple[tuple[str, str], Measurement]:
        async with limit:
            return (load.name, store), await measure(seed, load, store)

    results: dict[tuple[str, str], list[Measurement]] = {}
    runs = [run_one(seed, load, store) for load in LOADS for store in STORES for seed in range(1, seeds + 1)]
    for key, measurement in await asyncio.gather(*runs):
        results.setdefault(key, []).append(measurement)
    return results


@click.command()
@click.option("--seeds", default=2, help="Number of seeds, each run with every load and store.")
@click.option("--at-once", default=3, help="Concurrent runs.")
def main(seeds: int, at_once: int) -> None:
    """Run the benchmark and print the table."""
    print("| load | store | calls | served | median | 99 % | max | records | duplicates | missing or wrong |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for (load, store), measurements in asyncio.run(_run_all(seeds, at_once)).items():

        def total(name: str, measurements: list[Measurement] = measurements) -> int:
            return sum(getattr(measurement, name) for measurement in measurements)

        names = ("median_ms", "p99_ms", "max_ms")
        times_ms = [statistics.mean(getattr(each, name) for each in measurements) for name in names]
        print(
            f"| {load} | {store} | {total('calls')} | {total('served')} | "
            + " | ".join(f"{time_ms:.1f} ms" for time_ms in times_ms)
            + f" | {total('records')} | {total('duplicates')} | {total('wrong')} |"
        )


if __name__ == "__main__":
    main()
