"""What a store of record costs the calls: set-up times and records with it well, stalled, failing and away.

``python -m benchmarks.store_latency [--seeds N] [--at-once N]``

Each play has stand-in call servers, callers that come whatever happens, a proxy and a store: none, an SQLite
file, or the stand-in PostgreSQL that is well, says nothing for 5 s, resets its connection once a second
before or after a commit by turns, or is away for 5 s.  Times are from when a call was due.
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

from emulators.callers import Callers, Try
from emulators.fleet import ROOT, fleet
from emulators.postgresql.shared_data import DATA_FILE
from emulators.server import CallServer

FOR_S, TROUBLE_AT_S, TROUBLE_S = 12.0, 3.0, 5.0
SETTLE_S = 10.0
ROWS = "SELECT call_id, class_name, final FROM call_outcome"


@dataclass(frozen=True)
class Load:
    """How many calls come, and what the servers can do."""

    name: str
    capacity_per_s: float
    rate_per_s: float


LOADS = (Load("120 %", 20.0, 72.0), Load("light work", 1000.0, 300.0))


@dataclass(frozen=True)
class Played:
    """One play."""

    calls: int
    served: int
    median_ms: float
    p99_ms: float
    most_ms: float
    records: int
    twice: int
    wrong: int  # calls without a record, or with another class or answer than their caller got


class Database:
    """The stand-in in a process of its own: in this one, its work would show in the callers' times."""

    async def start(self, folder: Path) -> str:
        """Start it; gives its DSN."""
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

    def tell(self, command: str) -> None:
        """Have something go wrong there, or right again."""
        self._process.stdin.write(f"{command}\n".encode())

    async def stop(self) -> None:
        """End it."""
        self._process.stdin.close()
        await self._process.wait()


async def _nothing(_: Database) -> None:
    pass


async def _stall(database: Database) -> None:
    await asyncio.sleep(TROUBLE_AT_S)
    database.tell("stalled 1")
    await asyncio.sleep(TROUBLE_S)
    database.tell("stalled 0")


async def _drop(database: Database) -> None:
    for turn in range(int(FOR_S) - 1):
        database.tell("drop_after_commit 1" if turn % 2 else "drop_before_commit 1")
        await asyncio.sleep(1.0)


async def _away(database: Database) -> None:
    await asyncio.sleep(TROUBLE_AT_S)
    database.tell(f"restart {TROUBLE_S}")


Trouble = Callable[[Database], Awaitable[None]]
STORES: dict[str, Trouble | None] = {
    "none": None,
    "SQLite": None,
    "PostgreSQL": _nothing,
    "PostgreSQL stalled 5 s": _stall,
    "PostgreSQL resets by turns": _drop,
    "PostgreSQL away 5 s": _away,
}


async def play(seed: int, load: Load, store: str) -> Played:
    """One play, and its records held against what the callers got."""
    with tempfile.TemporaryDirectory() as name:
        folder, database = Path(name), Database()
        dsn = await database.start(folder)
        path = folder / ("outcomes.db" if store == "SQLite" else DATA_FILE)
        text = (
            f'backend = "sqlite"\npath = "{path}"\n'
            if store == "SQLite"
            else f'backend = "postgresql"\ndsn = "{dsn}"\n'
        )
        (folder / "store.toml").write_text(text)
        more = {} if store == "none" else {"CANVASPLANK_STORE": str(folder / "store.toml")}
        tries = await _calls(seed, load, folder, more, STORES[store], database)
        await database.stop()
        rows: list[tuple] = []
        if store != "none":
            with closing(sqlite3.connect(path)) as kept:
                rows = kept.execute(ROWS).fetchall()
        return _judged(tries, rows)


async def _calls(
    seed: int, load: Load, folder: Path, more: dict[str, str], trouble: Trouble | None, database: Database
) -> list[Try]:
    servers = [CallServer(f"s-{n}", load.capacity_per_s, hold_ms=1000.0, lines=2000) for n in range(3)]
    async with fleet(folder, servers, 1) as world:
        proxy = await world.proxy("n0", seed, **more)
        callers = Callers(seed, pools=len(servers))
        await callers.add_proxy(proxy.address)
        beside = asyncio.ensure_future(trouble(database)) if trouble is not None else None
        await callers.offer(load.rate_per_s, FOR_S)
        if beside is not None:
            await beside
        await callers.settled(SETTLE_S)
        await callers.stop()
        await proxy.stop()
        return list(callers.tries.values())


def _judged(tries: list[Try], rows: list[tuple]) -> Played:
    kept = {call_id: (class_name, final) for call_id, class_name, final in rows}
    times = sorted(1000 * t.took_s for t in tries if t.outcome == "served")
    wrong = sum(kept.get(t.id) != (t.kind.name, t.outcome) for t in tries) if rows else 0
    return Played(
        len(tries),
        len(times),
        statistics.median(times),
        times[int(0.99 * len(times))],
        times[-1],
        len(rows),
        len(rows) - len(kept),
        wrong,
    )


async def _all(seeds: int, at_once: int) -> dict[tuple[str, str], list[Played]]:
    gate = asyncio.Semaphore(at_once)

    async def one(seed: int, load: Load, store: str) -> tuple[tuple[str, str], Played]:
        async with gate:
            return (load.name, store), await play(seed, load, store)

    results: dict[tuple[str, str], list[Played]] = {}
    plays = [one(seed, load, store) for load in LOADS for store in STORES for seed in range(1, seeds + 1)]
    for key, played in await asyncio.gather(*plays):
        results.setdefault(key, []).append(played)
    return results


@click.command()
@click.option("--seeds", default=2, help="Worlds played with each store.")
@click.option("--at-once", default=3, help="Plays side by side.")
def main(seeds: int, at_once: int) -> None:
    """Play and print the table."""
    print("| load | store | calls | served | median | 99 % | most | records | twice | missing or wrong |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for (load, store), some in asyncio.run(_all(seeds, at_once)).items():

        def total(name: str, some: list[Played] = some) -> int:
            return sum(getattr(p, name) for p in some)

        names = ("median_ms", "p99_ms", "most_ms")
        times = [statistics.mean(getattr(p, name) for p in some) for name in names]
        print(
            f"| {load} | {store} | {total('calls')} | {total('served')} | "
            + " | ".join(f"{ms:.1f} ms" for ms in times)
            + f" | {total('records')} | {total('twice')} | {total('wrong')} |"
        )


if __name__ == "__main__":
    main()
