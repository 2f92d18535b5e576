"""Plays one variant of an experiment on real processes of the program, beside stand-ins in this process."""

from __future__ import annotations

import asyncio
import contextlib
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
from experiments.observations import MS, BudgetTrace, CallResult, ColdServer, Observations
from experiments.plan import Experiment, Fault, Variant
from experiments.process_usage import processor_time_s, resident_mb
from verification.spending import read_trace

COLD_START_RULES = ("cold_share", "warm_within_ms", "tip_multiple", "overload_for_ms")  # a cold server's
LAG_INTERVAL_S = 0.01
LAST_ANSWERS_TIMEOUT_S = 4.0
PROXY_NICENESS = 10
HEALTH_TESTS_PER_S = 200.0  # of all proxies together: the rig has other things to do


class ExperimentRun:
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
        self.discovery_link = Link(self.discovery.address)  # to the board, for those that are cut off from it
        self.observations = Observations(size, experiment.servers.capacity_per_s)
        self._tasks = Tasks()
        self._start_s = asyncio.get_running_loop().time()
        self._start_count = 0
        self._store: PostgresqlStandIn | None = None
        self._store_links: dict[str, Link] = {}  # from each proxy to the store
        self._cut_off_names = self._sample(
            self._names,
            next((fault.fraction for fault in experiment.faults if fault.kind == "proxies-cut-off"), 0.0),
        )
        # Guards what is noted against hundreds of starts that keep the rig from its clock: it comes first.
        started.nice = PROXY_NICENESS
        started.discovery_for = self._discovery_address

    def _discovery_address(self, name: str) -> str:
        return (self.discovery_link if name in self._cut_off_names else self.discovery).address

    def now_s(self) -> float:
        """Since the start."""
        return asyncio.get_running_loop().time() - self._start_s

    async def _extension_files(self, name: str) -> dict[str, str]:
        """The files of the parts that this variant switches on, as the proxy of this name has them."""
        environment = {}
        if self.variant.cold_start is not None:
            environment["CANVASPLANK_STARTING"] = self._settings_file("starting", self.variant.cold_start)
        if self.variant.fleet is not None:
            settings = {**self.variant.fleet, **await self._store_settings(name)}
            environment["CANVASPLANK_FLEET"] = self._settings_file(f"fleet-{name}", settings)
            environment["CANVASPLANK_LOG"] = "json"
        return environment

    def _settings_file(self, name: str, settings: dict[str, Any]) -> str:
        """The same for every start of a play, so it is written once.

        Guards against a process that reads it while it is written for the next one: it found nothing in it,
        which switches the part off, and of 300 started at once 273 went unpaced.
        """
        path = self.fleet.folder / f"{name}.toml"
        if not path.exists():
            path.write_text(tomli_w.dumps(settings))
        return str(path)

    async def _store_settings(self, name: str) -> dict[str, str]:
        if self._store is None:
            return {"path": str(self.fleet.folder / "fleet.db")}
        dsn = urlsplit(self._store.dsn)
        if name not in self._store_links:
            self._store_links[name] = Link(f"{dsn.hostname}:{dsn.port}")
            await self._store_links[name].start()
        return {"dsn": dsn._replace(netloc=f"{dsn.username}@{self._store_links[name].address}").geturl()}

    def _sample(self, names: list[str], fraction: float) -> set[str]:
        return set(self.random.sample(names, round(fraction * len(names))))

    async def run(self) -> Observations:
        """Everything; gives what was observed."""
        await self.discovery_link.start()
        if (self.variant.fleet or {}).get("backend") == "postgresql":
            self._store = PostgresqlStandIn(self.fleet.folder)
            await self._store.start()
        self._tasks.keep(self._measure_loop_lag())
        for fault in self.experiment.faults:
            self._tasks.keep(self._inject(fault))
        await asyncio.sleep(0)  # what begins at nought is there before the first process
        load = self._tasks.keep(self.callers.offer(self.experiment.calls_per_s, self.experiment.duration_s))
        for number in range(self.size):
            self._tasks.keep(self._start(f"n{number}", number))
        await asyncio.sleep(max(0.0, self.experiment.duration_s - self.now_s()))
        await load
        await self.callers.settled(LAST_ANSWERS_TIMEOUT_S)
        self._collect()
        await self._tasks.end()
        await self.callers.stop()
        for link in (self.discovery_link, *self._store_links.values()):
            await link.stop()
        if self._store is not None:
            await self._store.stop()
        return self.observations

    async def _start(self, name: str, seed: int) -> None:
        self._start_count += 1  # each start has files and a log of its own, under the one name
        tag, environment = f"{name}.{self._start_count}", await self._extension_files(name)
        proxy = await self.fleet.proxy(tag, seed, EDGE_NAME=name, **environment)
        self.proxies[name] = proxy
        self.observations.started_at_s.append(self.now_s())
        await until_passed(proxy.address, self.size / HEALTH_TESTS_PER_S)
        await self.callers.add_proxy(proxy.address)

    async def _measure_loop_lag(self) -> None:
        while True:
            slept_at_s = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            self.observations.loop_lag_ms.append((time.monotonic() - slept_at_s - LAG_INTERVAL_S) * MS)

    # ------------------------------------------------------------------------------------ faults

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.start_s - self.now_s()))
        begin, end = self._actions(fault)
        await begin()
        await asyncio.sleep(max(0.0, fault.end_s - self.now_s()))
        await end()

    def _actions(self, fault: Fault) -> tuple[Callable[[], Awaitable], Callable[[], Awaitable]]:
        """How a fault begins and how it ends."""
        discovery = self.discovery
        match fault.kind:
            case "board-closes":
                return _set(discovery, in_trouble=True), _set(discovery, in_trouble=False)
            case "board-stalls":
                return _set(discovery, stalled=True), _set(discovery, stalled=False)
            case "board-busy":
                return _set(discovery, busy_s=fault.retry_after_s), _set(discovery, busy_s=None)
            case "board-away":
                return discovery.stop, discovery.start
            case "proxies-cut-off":
                return _call(self.discovery_link.cut), _call(self.discovery_link.heal)
            case "proxies-cut-off-store" | "proxies-deaf-store":
                directions = ("back",) if fault.kind == "proxies-deaf-store" else ()
                names = self._sample(self._names, fault.fraction)
                return _call(self._cut_off, names, directions), _call(self._heal, names)
            case "store-stalls":
                return _set(self._store_faults, stalled=True), _set(self._store_faults, stalled=False)
            case "store-restarts":
                return (lambda: self._store.restart(fault.duration_s)), _call(list)
            case "proxies-frozen":
                names = self._sample(self._names, fault.fraction)
                return _call(self._each, names, Proxy.freeze), _call(self._each, names, Proxy.wake)
            case "proxies-killed":
                names = self._sample(self._names, fault.fraction)
                return (lambda: self._kill(names)), (lambda: self._restart(names))
            case "servers-silent":
                names = self._sample([server.name for server in self.servers], fault.fraction)
                return _call(self._silence, names, True), _call(self._silence, names, False)
        names = self._sample([server.name for server in self.servers], fault.fraction)
        return (lambda: self._restart_cold(names)), _call(list)

    def _each(self, names: set[str], what: Callable[[Proxy], None]) -> None:
        for name in names & set(self.proxies):
            with contextlib.suppress(ProcessLookupError):
                what(self.proxies[name])

    async def _kill(self, names: set[str]) -> None:
        for proxy in [self.proxies.pop(name) for name in names & set(self.proxies)]:
            if proxy.address in self.callers.proxies:
                self.callers.drop_proxy(proxy.address)
            await proxy.stop(signal.SIGKILL)

    async def _restart(self, names: set[str]) -> None:
        for name in sorted(names - set(self.proxies)):
            self._tasks.keep(self._start(name, int(name[1:])))

    @property
    def _store_faults(self) -> Faults:
        return self._store.faults

    def _cut_off(self, names: set[str], directions: tuple[str, ...]) -> None:
        for name in names & set(self._store_links):
            self._store_links[name].cut(*directions)

    def _heal(self, names: set[str]) -> None:
        for name in names & set(self._store_links):
            self._store_links[name].heal()

    def _silence(self, names: set[str], silent: bool) -> None:
        for server in self.servers:
            if server.name in names:
                server.silent = silent

    async def _restart_cold(self, names: set[str]) -> None:
        rules = self.fleet.settings["rules"]
        share, warm_ms, multiple, span_ms = (rules[name] for name in COLD_START_RULES)
        for server in self.servers:
            if server.name in names:
                self.observations.cold_servers[server.name] = ColdServer(
                    self.now_s(), share, warm_ms / MS, multiple, span_ms / MS
                )
                self._tasks.keep(server.begin_cold(share, warm_ms / MS))
        await asyncio.sleep(0)  # each says since when
        await self.fleet.list(*self.servers)

    # ------------------------------------------------------------------------------------ what was seen

    def _since_start(self, times: list[float]) -> list[float]:
        return [at - self._start_s for at in times]

    def _collect(self) -> None:
        observations, began_unix_s = self.observations, time.time() - self.now_s()
        observations.polled_at_s = self._since_start(self.discovery.polls)
        observations.listed_at_s = self._since_start(self.discovery.first_told)
        for server in self.servers:
            observations.connected_at_s[server.name] = self._since_start(server.accepted)
            observations.open_connections[server.name] = server.connections
            observations.set_ups_at_s[server.name] = self._since_start(server.came)
        observations.calls = [
            CallResult(t.due_s - began_unix_s, t.outcome, t.took_s) for t in self.callers.tries.values()
        ]
        if (self.variant.fleet or {}).get("trace"):
            self._collect_budgets(load_fleet(str(next(self.fleet.folder.glob("fleet-*.toml")))))
        for proxy in self.proxies.values():
            with contextlib.suppress(OSError):
                observations.memory_mb.append(resident_mb(proxy.process.pid))
                observations.cpu_s.append(processor_time_s(proxy.process.pid))

    def _collect_budgets(self, settings: Budgets) -> None:
        """What every process that ever ran has said of them."""
        began_ms = steady_ms() - self.now_s() * MS
        for each in settings.budget:
            traces = [read_trace(proxy.log, each.name) for proxy in self.fleet.proxies]
            leased_per_s = each.total_per_s * (1 - each.reserve_fraction)
            self.observations.budgets[each.name] = BudgetTrace(
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


async def run(experiment: Experiment, variant: Variant, size: int, seed: int) -> Observations:
    """One variant at one size."""
    plan = experiment.servers
    servers = [
        CallServer(f"s-{n}", plan.capacity_per_s, plan.hold_ms, lines=plan.lines) for n in range(plan.count)
    ]
    with tempfile.TemporaryDirectory() as folder:
        async with fleet(Path(folder), servers, instances=size) as started:
            started.in_configuration = False  # none knows anything
            return await ExperimentRun(experiment, variant, size, seed, started).run()
