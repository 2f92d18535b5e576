"""Injects the faults of an experiment into a run, each at its start time and for its duration."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from emulators.fleet import Fleet
from emulators.tasks import Tasks
from experiments.observations import MS_PER_S, ColdServer, Observations
from experiments.plan import DISCOVERY_FAULTS, SERVER_FAULTS, STORE_FAULTS, Fault, FaultKind
from experiments.proxy_processes import ProxyProcesses

# Platform settings that describe a server that has just started, in the order of ``ColdServer``'s fields.
COLD_SERVER_RULES = ("cold_share", "warm_within_ms", "tip_multiple", "overload_for_ms")

Action = Callable[[], Awaitable[object]]


class FaultActions(NamedTuple):
    """The actions that begin and end a fault."""

    begin: Action
    end: Action


class FaultInjector:
    """Applies faults to the emulators, the links and the processes of one run.

    ``now_s`` returns the seconds since the run's start; ``restart`` starts the proxy of a name again. The
    proxies or servers that a fault affects are sampled from ``rng`` when it begins.
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
        """Begin the fault at its start time, and end it after its duration."""
        await asyncio.sleep(max(0.0, fault.start_s - self._now_s()))
        begin, end = self._actions_of(fault)
        await begin()
        await asyncio.sleep(max(0.0, fault.end_s - self._now_s()))
        await end()

    def _actions_of(self, fault: Fault) -> FaultActions:
        if fault.kind in DISCOVERY_FAULTS:
            return self._discovery_actions(fault)
        if fault.kind in STORE_FAULTS:
            return self._store_actions(fault)
        if fault.kind in SERVER_FAULTS:
            return self._server_actions(fault)
        return self._proxy_actions(fault)

    def _discovery_actions(self, fault: Fault) -> FaultActions:
        discovery = self._fleet.discovery
        match fault.kind:
            case FaultKind.DISCOVERY_CLOSES:
                return FaultActions(
                    _setter(discovery, "closes_connections", True),
                    _setter(discovery, "closes_connections", False),
                )
            case FaultKind.DISCOVERY_STALLS:
                return FaultActions(_setter(discovery, "stalled", True), _setter(discovery, "stalled", False))
            case FaultKind.DISCOVERY_BUSY:
                return FaultActions(
                    _setter(discovery, "busy_s", fault.retry_after_s), _setter(discovery, "busy_s", None)
                )
        return FaultActions(discovery.stop, discovery.start)

    def _store_actions(self, fault: Fault) -> FaultActions:
        store, processes = self._processes.store, self._processes
        assert store is not None, "the plan allows these faults only for fleets on PostgreSQL"
        match fault.kind:
            case FaultKind.STORE_STALLS:
                return FaultActions(
                    _setter(store.faults, "stalled", True), _setter(store.faults, "stalled", False)
                )
            case FaultKind.STORE_RESTARTS:
                return FaultActions(lambda: store.restart(fault.duration_s), _do_nothing)
        names = self._sample(processes.names, fault.fraction)
        directions = ("back",) if fault.kind is FaultKind.PROXIES_DEAF_STORE else ()
        return FaultActions(
            _as_action(lambda: processes.cut_off_store(names, directions)),
            _as_action(lambda: processes.reconnect_store(names)),
        )

    def _server_actions(self, fault: Fault) -> FaultActions:
        names = self._sample([server.name for server in self._fleet.servers], fault.fraction)
        if fault.kind is FaultKind.SERVERS_SILENT:
            return FaultActions(
                _as_action(lambda: self._set_silent(names, True)),
                _as_action(lambda: self._set_silent(names, False)),
            )
        return FaultActions(lambda: self._restart_cold(names), _do_nothing)

    def _proxy_actions(self, fault: Fault) -> FaultActions:
        processes = self._processes
        if fault.kind is FaultKind.PROXIES_CUT_OFF:  # its proxies were sampled before the first start
            return FaultActions(
                _as_action(processes.discovery_link.cut), _as_action(processes.discovery_link.heal)
            )
        names = self._sample(processes.names, fault.fraction)
        if fault.kind is FaultKind.PROXIES_FROZEN:
            return FaultActions(
                _as_action(lambda: processes.freeze(names)), _as_action(lambda: processes.unfreeze(names))
            )
        return FaultActions(lambda: processes.kill(names), _as_action(lambda: self._restart_killed(names)))

    def _sample(self, names: list[str], fraction: float) -> set[str]:
        return set(self._rng.sample(names, round(fraction * len(names))))

    def _restart_killed(self, names: set[str]) -> None:
        for name in sorted(names - self._processes.proxies.keys()):
            self._restart(name)

    def _set_silent(self, names: set[str], silent: bool) -> None:
        for server in self._fleet.servers:
            if server.name in names:
                server.silent = silent

    async def _restart_cold(self, names: set[str]) -> None:
        """Make these servers as slow as just started ones, and publish their new start times."""
        rules = self._fleet.settings["rules"]
        fraction, warm_up_ms, factor, overload_ms = (rules[name] for name in COLD_SERVER_RULES)
        for server in self._fleet.servers:
            if server.name in names:
                self._observations.cold_servers[server.name] = ColdServer(
                    self._now_s(), fraction, warm_up_ms / MS_PER_S, factor, overload_ms / MS_PER_S
                )
                self._tasks.keep(server.start_cold(fraction, warm_up_ms / MS_PER_S))
        await asyncio.sleep(0)  # so that each server sets its start time before the list is published
        await self._fleet.list(*self._fleet.servers)


def _setter(emulator: object, field_name: str, value: object) -> Action:
    """Return an action that sets a public field of an emulator, one that may change while it runs."""

    async def change() -> None:
        setattr(emulator, field_name, value)

    return change


def _as_action(function: Callable[[], object]) -> Action:
    """Wrap a synchronous function as an action."""

    async def run() -> None:
        function()

    return run


async def _do_nothing() -> None:
    """End a fault whose begin action also ends it."""
