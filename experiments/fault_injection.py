"""Injects the faults of an experiment into a run: each begins at its time, and ends after its duration."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from emulators.fleet import Fleet
from emulators.tasks import Tasks
from experiments.observations import MS, ColdServer, Observations
from experiments.plan import DISCOVERY_FAULTS, SERVER_FAULTS, STORE_FAULTS, Fault, FaultKind
from experiments.proxy_processes import ProxyProcesses

# The platform's rules for a server that has just started, as ``ColdServer`` has them.
COLD_SERVER_RULES = ("cold_share", "warm_within_ms", "tip_multiple", "overload_for_ms")

Action = Callable[[], Awaitable[object]]


class Effect(NamedTuple):
    """What is done when a fault begins, and when it ends."""

    begin: Action
    end: Action


class FaultInjector:
    """Applies faults to the emulators, the links and the processes of one run.

    ``now_s`` gives seconds since the run's start; ``restart`` starts the proxy of a name again. Which proxies
    or servers a fault hits is sampled from ``rng`` when it begins.
    """

    def __init__(
        self,
        fleet: Fleet,
        processes: ProxyProcesses,
        observations: Observations,
        rng: random.Random,
        now_s: Callable[[], float],
        restart: Callable[[str], object],
        tasks: Tasks,
    ) -> None:
        self._fleet, self._processes, self._observations = fleet, processes, observations
        self._rng, self._now_s, self._restart, self._tasks = rng, now_s, restart, tasks

    async def inject(self, fault: Fault) -> None:
        """Wait for the fault's time, begin it, and end it after its duration."""
        await asyncio.sleep(max(0.0, fault.start_s - self._now_s()))
        begin, end = self._effect(fault)
        await begin()
        await asyncio.sleep(max(0.0, fault.end_s - self._now_s()))
        await end()

    def _effect(self, fault: Fault) -> Effect:
        if fault.kind in DISCOVERY_FAULTS:
            return self._discovery_effect(fault)
        if fault.kind in STORE_FAULTS:
            return self._store_effect(fault)
        if fault.kind in SERVER_FAULTS:
            return self._server_effect(fault)
        return self._proxy_effect(fault)

    def _discovery_effect(self, fault: Fault) -> Effect:
        discovery = self._fleet.discovery
        match fault.kind:
            case FaultKind.DISCOVERY_CLOSES:
                return Effect(_set(discovery, "in_trouble", True), _set(discovery, "in_trouble", False))
            case FaultKind.DISCOVERY_STALLS:
                return Effect(_set(discovery, "stalled", True), _set(discovery, "stalled", False))
            case FaultKind.DISCOVERY_BUSY:
                return Effect(_set(discovery, "busy_s", fault.retry_after_s), _set(discovery, "busy_s", None))
        return Effect(discovery.stop, discovery.start)

    def _store_effect(self, fault: Fault) -> Effect:
        store, processes = self._processes.store, self._processes
        assert store is not None, "the plan allows these faults only for fleets on PostgreSQL"
        match fault.kind:
            case FaultKind.STORE_STALLS:
                return Effect(_set(store.faults, "stalled", True), _set(store.faults, "stalled", False))
            case FaultKind.STORE_RESTARTS:
                return Effect(lambda: store.restart(fault.duration_s), _nothing)
        names = self._sample(processes.names, fault.fraction)
        directions = ("back",) if fault.kind is FaultKind.PROXIES_DEAF_STORE else ()
        return Effect(
            _call(lambda: processes.cut_off_store(names, directions)),
            _call(lambda: processes.reconnect_store(names)),
        )

    def _server_effect(self, fault: Fault) -> Effect:
        names = self._sample([server.name for server in self._fleet.servers], fault.fraction)
        if fault.kind is FaultKind.SERVERS_SILENT:
            return Effect(
                _call(lambda: self._silence(names, True)), _call(lambda: self._silence(names, False))
            )
        return Effect(lambda: self._restart_cold(names), _nothing)

    def _proxy_effect(self, fault: Fault) -> Effect:
        processes = self._processes
        if fault.kind is FaultKind.PROXIES_CUT_OFF:  # whom it hits was sampled before the first start
            return Effect(_call(processes.discovery_link.cut), _call(processes.discovery_link.heal))
        names = self._sample(processes.names, fault.fraction)
        if fault.kind is FaultKind.PROXIES_FROZEN:
            return Effect(_call(lambda: processes.freeze(names)), _call(lambda: processes.wake(names)))
        return Effect(lambda: processes.kill(names), _call(lambda: self._restart_killed(names)))

    def _sample(self, names: list[str], fraction: float) -> set[str]:
        return set(self._rng.sample(names, round(fraction * len(names))))

    def _restart_killed(self, names: set[str]) -> None:
        for name in sorted(names - self._processes.proxies.keys()):
            self._restart(name)

    def _silence(self, names: set[str], silent: bool) -> None:
        for server in self._fleet.servers:
            if server.name in names:
                server.silent = silent

    async def _restart_cold(self, names: set[str]) -> None:
        """Make these servers as slow as just started ones, and have service discovery list them so."""
        rules = self._fleet.settings["rules"]
        fraction, warm_up_ms, factor, overload_ms = (rules[name] for name in COLD_SERVER_RULES)
        for server in self._fleet.servers:
            if server.name in names:
                self._observations.cold_servers[server.name] = ColdServer(
                    self._now_s(), fraction, warm_up_ms / MS, factor, overload_ms / MS
                )
                self._tasks.keep(server.start_cold(fraction, warm_up_ms / MS))
        await asyncio.sleep(0)  # each server sets its start time first
        await self._fleet.list(*self._fleet.servers)


def _set(emulator: object, switch: str, value: object) -> Action:
    """Set a switch of an emulator: these are public fields, meant to be changed while it runs."""

    async def change() -> None:
        setattr(emulator, switch, value)

    return change


def _call(function: Callable[[], object]) -> Action:
    async def run() -> None:
        function()

    return run


async def _nothing() -> None:
    """The end of a fault that ends by itself."""
