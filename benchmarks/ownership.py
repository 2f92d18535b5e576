"""Measures one owner at a time on processes: ``python -m benchmarks.ownership FOLDER [RECORDS]``.

How soon a task has a new owner after its old one was killed, froze, or was told to stop; what an idle worker
asks of the store; and RECORDS records written while owners crash, counted in the exported files.
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

from canvasplank.database.errors import StoreUnavailableError
from canvasplank.fleet.postgresql import Postgresql as FleetPostgresql
from canvasplank.store.postgresql import Postgresql
from canvasplank.store.records import CallOutcome
from canvasplank.worker import usage_ledger
from emulators.callers import Callers
from emulators.fleet import fleet
from emulators.postgresql import PostgresqlStandIn
from emulators.server import CallServer

ROOT = Path(__file__).parent.parent
FLEET = """backend = "postgresql"
dsn = "{dsn}"
proxies_most = 16
[[budget]]
name = "all"
kind = "set-ups"
whole_per_s = 80.0
"""
WORK = """folder = "{folder}"
period_ms = 1000
grace_ms = 200.0
look_ms = 200.0
repeat_ms = 300.0
"""
BATCH = 500


class Play:
    """A stand-in PostgreSQL, and workers on it with the leases of ``deploy/fleet.toml``."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.out = folder, folder / "out"
        self.out.mkdir()
        self.store = PostgresqlStandIn(folder)
        self.workers: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, dsn: str = "") -> None:
        """Begin, on a stand-in of its own or the one at this DSN."""
        await self.store.start()
        dsn = dsn or self.store.dsn
        (self.folder / "fleet.toml").write_text(FLEET.format(dsn=dsn))
        (self.folder / "work.toml").write_text(WORK.format(folder=self.out))
        self.fleet = FleetPostgresql(dsn, 30.0)
        await self.fleet.open()
        self.records = Postgresql(dsn, 30.0)
        await self.records.open()
        await self.fleet.migrate(usage_ledger.SCHEMA)

    async def worker(self, name: str) -> None:
        """Start one."""
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

    async def owners(self) -> dict[str, str]:
        """Who owns what, by name."""
        rows = await self.fleet.read_state()
        return {task: rows.members[t.owner].name for task, t in rows.tasks.items() if t.owner in rows.members}

    async def until_owned_by(self, name: str) -> float:
        """How long until one owns everything."""
        began = time.monotonic()
        while set((await self.owners()).values()) != {name}:
            await asyncio.sleep(0.02)
        return time.monotonic() - began

    async def stop(self) -> None:
        """End everything."""
        for process in self.workers.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        await self.fleet.close()
        await self.records.close()
        await self.store.stop()


async def taking_over() -> list[tuple]:
    """After a kill, a freeze, and SIGTERM."""
    rows = []
    for what, how in {
        "killed": signal.SIGKILL,
        "frozen": signal.SIGSTOP,
        "told to stop": signal.SIGTERM,
    }.items():
        with tempfile.TemporaryDirectory() as folder:
            play = Play(Path(folder))
            await play.start()
            await play.worker("old")
            await play.until_owned_by("old")
            await play.worker("new")
            await asyncio.sleep(3.0)
            commits = play.store.commits
            await asyncio.sleep(4.0)
            if how is signal.SIGKILL:
                each_per_s = (play.store.commits - commits) / 8  # two workers, four seconds
                rows.append(("transactions of an idle worker", "", "a second", each_per_s))
            play.workers["old"].send_signal(how)
            rows.append(("a new owner after the old one was", what, "s", await play.until_owned_by("new")))
            await play.stop()
    return rows


async def exactly_once(count: int) -> list[tuple]:
    """Records written while owners and the writer crash, counted in the files."""
    with tempfile.TemporaryDirectory() as folder:
        play, rng, crashes = Play(Path(folder)), random.Random(11), 0
        await play.start()
        await play.worker("w0")
        for first in range(0, count, BATCH):
            now_ms = int(time.time() * 1000)
            batch = [
                CallOutcome(f"{n:016x}", "n0", now_ms - n % 3000, "low", "served", "s", 1, now_ms)
                for n in range(first, min(count, first + BATCH))
            ]
            if rng.random() < 0.3:
                play.store.faults.drop_after_commit = 1
            for _ in range(2 if rng.random() < 0.2 else 1):  # a batch that was written may come again
                while True:
                    try:
                        await play.records.write(batch)
                        break
                    except StoreUnavailableError:
                        await play.records.open()
            if rng.random() < 0.15:
                newest = f"w{crashes}"
                play.workers[newest].send_signal(signal.SIGKILL)
                crashes += 1
                await play.worker(f"w{crashes}")
            await asyncio.sleep(0.05)
        play.store.faults.drop_after_commit = 0
        until = time.monotonic() + 60
        while time.monotonic() < until and (exported(play.out) < count or await _waits(play)):
            await asyncio.sleep(0.5)
        rows = [
            ("records written, exported", f"{crashes} owners killed", "", f"{count}, {exported(play.out)}"),
            ("files", "", "", len(list(play.out.glob("*.csv")))),
        ]
        await play.stop()
        return rows


async def set_up_times(exporting: bool) -> list[tuple]:
    """Set-up times of a proxy, while a worker beside it closes and exports 100,000 records or not."""
    with tempfile.TemporaryDirectory() as folder:
        play = Play(Path(folder))
        # Guards the measurement against the stand-in's own work, which in this process would hold callers up.
        apart = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "emulators.postgresql",
            folder,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        await play.start((await apart.stdout.readline()).decode().strip())
        now_ms = int(time.time() * 1000) - 5000
        await play.records.write(
            [
                CallOutcome(f"{n:016x}", "n0", now_ms - n, "low", "served", "s", 1, now_ms)
                for n in range(100_000)
            ]
        )
        server = CallServer("s-0", capacity_per_s=5000.0, hold_ms=50.0, lines=100_000)
        async with fleet(Path(folder), [server], instances=1) as started:
            proxy = await started.proxy("n0", 1)
            callers = Callers(seed=5)
            await callers.add_proxy(proxy.address)
            if exporting:
                await play.worker("w0")
            await callers.offer(100.0, 10.0)
            await callers.settled(4.0)
            took = sorted(1000 * t.took_s for t in callers.tries.values() if t.outcome == "served")
            done = exported(play.out)
            await callers.stop()
        await play.stop()
        apart.kill()
        await apart.wait()
        variant = f"{done} records exported meanwhile"
        return [
            ("set-up time: median", variant, "ms", statistics.median(took)),
            ("set-up time: 99 %", variant, "ms", took[int(0.99 * len(took))]),
            ("set-ups served", variant, "of all", len(took) / len(callers.tries)),
        ]


async def _waits(play: Play) -> bool:
    with contextlib.suppress(StoreUnavailableError):
        return bool(await play.fleet.read(usage_ledger.SELECT_UNEXPORTED))
    await play.fleet.open()
    return True


def exported(folder: Path) -> int:
    """Calls in all files."""
    return sum(int(line["calls"]) for path in folder.glob("*.csv") for line in csv.DictReader(path.open()))


async def measure(count: int) -> list[tuple]:
    """Everything, one after another."""
    return [
        *await taking_over(),
        *await set_up_times(False),
        *await set_up_times(True),
        *await exactly_once(count),
    ]


def main(folder: str, count: str = "100000") -> None:
    """Measure, and write the table."""
    rows = asyncio.run(measure(int(count)))
    for row in rows:
        print(*row, sep="\t", flush=True)
    with (Path(folder) / "ownership.csv").open("w", newline="") as file:
        csv.writer(file).writerows([("what", "variant", "unit", "value"), *rows])


if __name__ == "__main__":
    main(*sys.argv[1:])
