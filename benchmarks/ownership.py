"""Measures task leadership with worker processes: ``python -m benchmarks.ownership FOLDER [RECORDS]``.

The results are printed and written to ``ownership.csv`` in the folder:

- the time until the tasks have a new leader after the old one was killed, frozen or told to stop;
- the load of an idle worker on the store;
- set-up times of a proxy with and without a concurrent export;
- the number of calls in the exported files, for RECORDS records that were written while leaders crashed.
"""

from __future__ import annotations

import asyncio
import contextlib
import csv
import os
import random
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path

from canvasplank.database.errors import DatabaseUnavailableError
from canvasplank.fleet.postgresql import Postgresql as FleetPostgresql
from canvasplank.store.postgresql import Postgresql
from canvasplank.store.records import CallOutcome
from canvasplank.worker import usage_ledger
from emulators.callers import Callers
from emulators.fleet import fleet
from emulators.postgresql import PostgresqlEmulator
from emulators.server import CallServer

ROOT = Path(__file__).parent.parent
FLEET_SETTINGS = """backend = "postgresql"
dsn = "{dsn}"
proxies_most = 16
[[budget]]
name = "all"
kind = "set-ups"
whole_per_s = 80.0
"""
WORKER_SETTINGS = """folder = "{folder}"
period_ms = 1000
grace_ms = 200.0
look_ms = 200.0
repeat_ms = 300.0
"""
BATCH_SIZE = 500  # records

Result = tuple[str, str, str, object]  # what, variant, unit, value


class Cluster:
    """A PostgreSQL emulator, and workers that use it with the leases of ``deploy/fleet.toml``."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.export_folder = folder, folder / "out"
        self.export_folder.mkdir()
        self.store = PostgresqlEmulator(folder)
        self.workers: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, dsn: str = "") -> None:
        """Write the settings, and open the database at ``dsn``; if that is empty, that of the emulator."""
        await self.store.start()
        dsn = dsn or self.store.dsn
        (self.folder / "fleet.toml").write_text(FLEET_SETTINGS.format(dsn=dsn))
        (self.folder / "work.toml").write_text(WORKER_SETTINGS.format(folder=self.export_folder))
        self.fleet = FleetPostgresql(dsn, 30.0)
        await self.fleet.open()
        self.records = Postgresql(dsn, 30.0)
        await self.records.open()
        await self.fleet.migrate(usage_ledger.SCHEMA)

    async def start_worker(self, name: str) -> None:
        """Start a worker process."""
        with (self.folder / f"{name}.log").open("wb") as log:
            self.workers[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "canvasplank",
                "worker",
                "--fleet",
                str(self.folder / "fleet.toml"),
                "--work",
                str(self.folder / "work.toml"),
                "--name",
                name,
                cwd=ROOT,
                stderr=log,
                env=os.environ | {"CANVASPLANK_LOG": "json"},
            )

    async def leaders(self) -> dict[str, str]:
        """Return the names of the leaders, by task."""
        state = await self.fleet.read_state()
        return {
            name: state.members[task.owner].name
            for name, task in state.tasks.items()
            if task.owner in state.members
        }

    async def wait_until_leader(self, name: str) -> float:
        """Wait until this worker leads all tasks; return the time that this took in seconds."""
        start_s = time.monotonic()
        while set((await self.leaders()).values()) != {name}:
            await asyncio.sleep(0.02)
        return time.monotonic() - start_s

    async def stop(self) -> None:
        """Kill the workers, and close the database."""
        for process in self.workers.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        await self.fleet.close()
        await self.records.close()
        await self.store.stop()


async def measure_takeover() -> list[Result]:
    """Measure when a second worker leads all tasks, after SIGKILL, SIGSTOP or SIGTERM to the first one."""
    results: list[Result] = []
    for event, signal_number in {
        "killed": signal.SIGKILL,
        "frozen": signal.SIGSTOP,
        "told to stop": signal.SIGTERM,
    }.items():
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster(Path(folder))
            await cluster.start()
            await cluster.start_worker("old")
            await cluster.wait_until_leader("old")
            await cluster.start_worker("new")
            await asyncio.sleep(3.0)
            commits = cluster.store.commits
            await asyncio.sleep(4.0)
            if signal_number is signal.SIGKILL:
                worker_per_s = (cluster.store.commits - commits) / 8  # two workers in four seconds
                results.append(("transactions of an idle worker", "", "a second", worker_per_s))
            cluster.workers["old"].send_signal(signal_number)
            results.append(
                ("a new owner after the old one was", event, "s", await cluster.wait_until_leader("new"))
            )
            await cluster.stop()
    return results


async def measure_exactly_once(count: int) -> list[Result]:
    """Count the calls exported, of records written while leaders are killed and responses are lost."""
    with tempfile.TemporaryDirectory() as folder:
        cluster, rng, crashes = Cluster(Path(folder)), random.Random(11), 0
        await cluster.start()
        await cluster.start_worker("w0")
        for first in range(0, count, BATCH_SIZE):
            now_ms = int(time.time() * 1000)
            batch = [
                CallOutcome(f"{n:016x}", "n0", now_ms - n % 3000, "low", "served", "s", 1, now_ms)
                for n in range(first, min(count, first + BATCH_SIZE))
            ]
            if rng.random() < 0.3:
                cluster.store.faults.drop_after_commit = 1
            for _ in range(2 if rng.random() < 0.2 else 1):  # a committed batch may be written again
                await _write_until_committed(cluster, batch)
            if rng.random() < 0.15:
                newest = f"w{crashes}"
                cluster.workers[newest].send_signal(signal.SIGKILL)
                crashes += 1
                await cluster.start_worker(f"w{crashes}")
            await asyncio.sleep(0.05)
        cluster.store.faults.drop_after_commit = 0
        deadline_s = time.monotonic() + 60
        while time.monotonic() < deadline_s and (
            count_exported(cluster.export_folder) < count or await _has_unexported(cluster)
        ):
            await asyncio.sleep(0.5)
        results = [
            (
                "records written, exported",
                f"{crashes} owners killed",
                "",
                f"{count}, {count_exported(cluster.export_folder)}",
            ),
            ("files", "", "", len(list(cluster.export_folder.glob("*.csv")))),
        ]
        await cluster.stop()
        return results


async def measure_set_up_times(exporting: bool) -> list[Result]:
    """Measure set-up times; with ``exporting``, a worker meanwhile closes and exports 100,000 records."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder))
        database = await _start_database(folder)
        await cluster.start((await database.stdout.readline()).decode().strip())
        now_ms = int(time.time() * 1000) - 5000
        await cluster.records.write(
            [
                CallOutcome(f"{n:016x}", "n0", now_ms - n, "low", "served", "s", 1, now_ms)
                for n in range(100_000)
            ]
        )
        server = CallServer("s-0", capacity_per_s=5000.0, hold_ms=50.0, lines=100_000)
        async with fleet(Path(folder), [server], instances=1) as proxies:
            proxy = await proxies.proxy("n0", 1)
            callers = Callers(seed=5)
            await callers.add_proxy(proxy.address)
            if exporting:
                await cluster.start_worker("w0")
            await callers.offer(100.0, 10.0)
            await callers.wait_until_answered(4.0)
            times_ms = sorted(
                1000 * call.took_s for call in callers.calls.values() if call.outcome == "served"
            )
            exported_calls = count_exported(cluster.export_folder)
            await callers.stop()
        await cluster.stop()
        database.kill()
        await database.wait()
        variant = f"{exported_calls} records exported meanwhile"
        return [
            ("set-up time: median", variant, "ms", statistics.median(times_ms)),
            ("set-up time: 99 %", variant, "ms", times_ms[int(0.99 * len(times_ms))]),
            ("set-ups served", variant, "of all", len(times_ms) / len(callers.calls)),
        ]


async def _write_until_committed(cluster: Cluster, batch: list[CallOutcome]) -> None:
    while True:
        try:
            await cluster.records.write(batch)
        except DatabaseUnavailableError:
            await cluster.records.open()
        else:
            return


async def _start_database(folder: str) -> asyncio.subprocess.Process:
    """Start the emulator as a process of its own; in this one its work would delay the callers."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "emulators.postgresql",
        folder,
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )


async def _has_unexported(cluster: Cluster) -> bool:
    with contextlib.suppress(DatabaseUnavailableError):
        return bool(await cluster.fleet.read(usage_ledger.SELECT_UNEXPORTED))
    await cluster.fleet.open()
    return True


def count_exported(folder: Path) -> int:
    """Return the number of calls in all exported files."""
    return sum(int(line["calls"]) for path in folder.glob("*.csv") for line in csv.DictReader(path.open()))


async def measure(count: int) -> list[Result]:
    """Run all benchmarks one after another."""
    return [
        *await measure_takeover(),
        *await measure_set_up_times(False),
        *await measure_set_up_times(True),
        *await measure_exactly_once(count),
    ]


def main(folder: str, count: str = "100000") -> None:
    """Run all benchmarks, print the results and write them to ``ownership.csv``."""
    results = asyncio.run(measure(int(count)))
    for row in results:
        print(*row, sep="\t", flush=True)
    with (Path(folder) / "ownership.csv").open("w", newline="") as file:
        csv.writer(file).writerows([("what", "variant", "unit", "value"), *results])


if __name__ == "__main__":
    main(*sys.argv[1:])
