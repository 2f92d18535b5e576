"""Plays one variant of an experiment on real processes of the program, beside stand-ins in this process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import tomli_w

from canvasplank.fleet.config import Fleet as Budgets
from canvasplank.fleet.config import load_fleet
from canvasplank.fleet.lease_renewer import steady_ms
from emulators.callers import Callers
from emulators.fleet import Fleet, Proxy, fleet
from emulators.front import until_passed
from emulators.link import Link
from emulators.postgresql import Faults, PostgresqlStandIn
from emulators.server import CallServer
from emulators.tasks import Tasks
from experiments.measures import MS, Budget, Call, Cold, Observed
from experiments.plan import Experiment, Fault, Variant
from verification.spending import read_trace

RULES = ("cold_share", "warm_within_ms", "tip_multiple", "overload_for_ms")  # a cold server's
LATE_LOOK_S = 0.01
LAST_ANSWERS_S = 4.0
PROXIES_NICE = 10
TESTS_PER_S = 200.0  # of all proxies together: the rig has other things to do
KIB_A_MB = 1024.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Stage:
    """One play."""

    def __init__(
        self, experiment: Experiment, variant: Variant, size: int, seed: int, started: Fleet
    ) -> None:
        self.experiment, self.variant, self.size = experiment, variant, size
        self.fleet, self.discovery, self.servers = started, started.discovery, started.servers
        self.random = random.Random(seed)
        self._names = [f"n{number}" for number in range(size)]
        self.callers = Callers(seed, pools=len(started.servers))
        self.proxies: dict[str, Proxy] = {}
        self.far = Link(self.discovery.address)  # to the board, for those that are cut off from it
        self.seen = Observed(size, experiment.servers.capacity_per_s)
        self._tasks = Tasks()
        self._began_s = asyncio.get_running_loop().time()
        self._starts = 0
        self._store: PostgresqlStandIn | None = None
        self._links: dict[str, Link] = {}  # from each proxy to the store
        self._beyond = self._drawn(
            self._names,
            next((fault.part for fault in experiment.fault if fault.what == "proxies-cut-off"), 0.0),
        )
        # Guards what is noted against hundreds of starts that keep the rig from its clock: it comes first.
        started.nice = PROXIES_NICE
        started.discovery_for = lambda name: (self.far if name in self._beyond else self.discovery).address

    def now_s(self) -> float:
        """Since the start."""
        return asyncio.get_running_loop().time() - self._began_s

    async def _parts(self, name: str) -> dict[str, str]:
        """The files of the parts that this variant switches on, as the proxy of this name has them."""
        environment = {}
        if self.variant.starting is not None:
            environment["CANVASPLANK_STARTING"] = self._file("starting", self.variant.starting)
        if self.variant.fleet is not None:
            settings = {**self.variant.fleet, **await self._store_as_seen_by(name)}
            environment["CANVASPLANK_FLEET"] = self._file(f"fleet-{name}", settings)
            environment["CANVASPLANK_LOG"] = "json"
        return environment

    def _file(self, name: str, settings: dict[str, Any]) -> str:
        """The same for every start of a play, so it is written once.

        Guards against a process that reads it while it is written for the next one: it found nothing in it,
        which switches the part off, and of 300 started at once 273 went unpaced.
        """
        path = self.fleet.folder / f"{name}.toml"
        if not path.exists():
            path.write_text(tomli_w.dumps(settings))
        return str(path)

    async def _store_as_seen_by(self, name: str) -> dict[str, str]:
        if self._store is None:
            return {"path": str(self.fleet.folder / "fleet.db")}
        where = urlsplit(self._store.dsn)
        if name not in self._links:
            self._links[name] = Link(f"{where.hostname}:{where.port}")
            await self._links[name].start()
        return {"dsn": where._replace(netloc=f"{where.username}@{self._links[name].address}").geturl()}

    def _drawn(self, names: list[str], part: float) -> set[str]:
        return set(self.random.sample(names, round(part * len(names))))

    async def play(self) -> Observed:
        """Everything; gives what was seen."""
        await self.far.start()
        if (self.variant.fleet or {}).get("backend") == "postgresql":
            self._store = PostgresqlStandIn(self.fleet.folder)
            await self._store.start()
        self._tasks.keep(self._watch_the_rig())
        for fault in self.experiment.fault:
            self._tasks.keep(self._inflict(fault))
        await asyncio.sleep(0)  # what begins at nought is there before the first process
        load = self._tasks.keep(self.callers.offer(self.experiment.calls_per_s, self.experiment.for_s))
        for number in range(self.size):
            self._tasks.keep(self._start(f"n{number}", number))
        await asyncio.sleep(max(0.0, self.experiment.for_s - self.now_s()))
        await load
        await self.callers.settled(LAST_ANSWERS_S)
        self._note()
        await self._tasks.end()
        await self.callers.stop()
        for link in (self.far, *self._links.values()):
            await link.stop()
        if self._store is not None:
            await self._store.stop()
        return self.seen

    async def _start(self, name: str, seed: int) -> None:
        self._starts += 1  # each start has files and a log of its own, under the one name
        tag, environment = f"{name}.{self._starts}", await self._parts(name)
        proxy = await self.fleet.proxy(tag, seed, EDGE_NAME=name, **environment)
        self.proxies[name] = proxy
        self.seen.up.append(self.now_s())
        await until_passed(proxy.address, self.size / TESTS_PER_S)
        await self.callers.add_proxy(proxy.address)

    async def _watch_the_rig(self) -> None:
        while True:
            asked = time.monotonic()
            await asyncio.sleep(LATE_LOOK_S)
            self.seen.late_ms.append((time.monotonic() - asked - LATE_LOOK_S) * MS)

    # ------------------------------------------------------------------------------------ faults

    async def _inflict(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self.now_s()))
        begin, end = self._ways(fault)
        await begin()
        await asyncio.sleep(max(0.0, fault.ends_s - self.now_s()))
        await end()

    def _ways(self, fault: Fault) -> tuple[Callable[[], Awaitable], Callable[[], Awaitable]]:
        """How a fault begins and how it ends."""
        discovery = self.discovery
        match fault.what:
            case "board-closes":
                return _set(discovery, in_trouble=True), _set(discovery, in_trouble=False)
            case "board-stalls":
                return _set(discovery, stalled=True), _set(discovery, stalled=False)
            case "board-busy":
                return _set(discovery, busy_s=fault.wait_s), _set(discovery, busy_s=None)
            case "board-away":
                return discovery.stop, discovery.start
            case "proxies-cut-off":
                return _call(self.far.cut), _call(self.far.heal)
            case "proxies-cut-off-store" | "proxies-deaf-store":
                ways = ("back",) if fault.what == "proxies-deaf-store" else ()
                drawn = self._drawn(self._names, fault.part)
                return _call(self._cut_off, drawn, ways), _call(self._reach_again, drawn)
            case "store-stalls":
                return _set(self._store_faults, stalled=True), _set(self._store_faults, stalled=False)
            case "store-restarts":
                return (lambda: self._store.restart(fault.for_s)), _call(list)
            case "proxies-frozen":
                drawn = self._drawn(self._names, fault.part)
                return _call(self._each, drawn, Proxy.freeze), _call(self._each, drawn, Proxy.wake)
            case "proxies-killed":
                drawn = self._drawn(self._names, fault.part)
                return (lambda: self._kill(drawn)), (lambda: self._revive(drawn))
            case "servers-silent":
                drawn = self._drawn([server.name for server in self.servers], fault.part)
                return _call(self._silence, drawn, True), _call(self._silence, drawn, False)
        drawn = self._drawn([server.name for server in self.servers], fault.part)
        return (lambda: self._cool(drawn)), _call(list)

    def _each(self, names: set[str], what: Callable[[Proxy], None]) -> None:
        for name in names & set(self.proxies):
            with contextlib.suppress(ProcessLookupError):
                what(self.proxies[name])

    async def _kill(self, names: set[str]) -> None:
        for proxy in [self.proxies.pop(name) for name in names & set(self.proxies)]:
            if proxy.address in self.callers.proxies:
                self.callers.drop_proxy(proxy.address)
            await proxy.stop(signal.SIGKILL)

    async def _revive(self, names: set[str]) -> None:
        for name in sorted(names - set(self.proxies)):
            self._tasks.keep(self._start(name, int(name[1:])))

    @property
    def _store_faults(self) -> Faults:
        return self._store.faults

    def _cut_off(self, names: set[str], ways: tuple[str, ...]) -> None:
        for name in names & set(self._links):
            self._links[name].cut(*ways)

    def _reach_again(self, names: set[str]) -> None:
        for name in names & set(self._links):
            self._links[name].heal()

    def _silence(self, names: set[str], silent: bool) -> None:
        for server in self.servers:
            if server.name in names:
                server.silent = silent

    async def _cool(self, names: set[str]) -> None:
        rules = self.fleet.settings["rules"]
        share, warm_ms, multiple, span_ms = (rules[name] for name in RULES)
        for server in self.servers:
            if server.name in names:
                self.seen.cold[server.name] = Cold(self.now_s(), share, warm_ms / MS, multiple, span_ms / MS)
                self._tasks.keep(server.begin_cold(share, warm_ms / MS))
        await asyncio.sleep(0)  # each says since when
        await self.fleet.list(*self.servers)

    # ------------------------------------------------------------------------------------ what was seen

    def _since(self, times: list[float]) -> list[float]:
        return [at - self._began_s for at in times]

    def _note(self) -> None:
        seen, began_unix_s = self.seen, time.time() - self.now_s()
        seen.polls, seen.told = self._since(self.discovery.polls), self._since(self.discovery.first_told)
        for server in self.servers:
            seen.connections[server.name] = self._since(server.accepted)
            seen.open_at_end[server.name] = server.connections
            seen.set_ups[server.name] = self._since(server.came)
        seen.calls = [Call(t.due_s - began_unix_s, t.outcome, t.took_s) for t in self.callers.tries.values()]
        if (self.variant.fleet or {}).get("trace"):
            self._note_budgets(load_fleet(str(next(self.fleet.folder.glob("fleet-*.toml")))))
        for proxy in self.proxies.values():
            with contextlib.suppress(OSError):
                seen.memory_mb.append(_resident_mb(proxy.process.pid))
                seen.cpu_s.append(_processor_s(proxy.process.pid))

    def _note_budgets(self, settings: Budgets) -> None:
        """What every process that ever ran has said of them."""
        began_ms = steady_ms() - self.now_s() * MS
        for each in settings.budget:
            traces = [read_trace(proxy.log, each.name) for proxy in self.fleet.proxies]
            leased_per_s = each.total_per_s * (1 - each.reserve_fraction)
            self.seen.budgets[each.name] = Budget(
                each.total_per_s, leased_per_s, settings.burst_ms, traces, began_ms
            )


def _set(thing: object, **values: object) -> Callable[[], Awaitable]:
    async def change() -> None:
        for name, value in values.items():
            setattr(thing, name, value)

    return change


def _call(what: Callable, *arguments: object) -> Callable[[], Awaitable]:
    async def run() -> None:
        what(*arguments)

    return run


def _resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB_A_MB
    return 0.0


def _processor_s(pid: int) -> float:
    user, system = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


async def play(experiment: Experiment, variant: Variant, size: int, seed: int) -> Observed:
    """One variant at one size."""
    plan = experiment.servers
    servers = [
        CallServer(f"s-{n}", plan.capacity_per_s, plan.hold_ms, lines=plan.lines) for n in range(plan.count)
    ]
    with tempfile.TemporaryDirectory() as folder:
        async with fleet(Path(folder), servers, instances=size) as started:
            started.in_configuration = False  # none knows anything
            return await Stage(experiment, variant, size, seed, started).play()
