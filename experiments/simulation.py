"""Simulates a run of thousands of proxies without processes, as callbacks on a simulated clock.

Every proxy runs the program's own ``Controller``, ``PollBackoff`` and ``RendezvousSubset``.
Service discovery, the call servers, the callers and the network between them are models.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

import msgspec

from canvasplank import interface as api
from canvasplank.cold_start.extension import ColdStartSettings
from canvasplank.config.discovery_events import Endpoint
from canvasplank.config.platform_settings import read_settings
from emulators.fleet import service_settings
from experiments.observations import MS_PER_S, CallResult, ColdServer, Observations
from experiments.plan import Experiment, FaultKind, Variant
from experiments.simulated_environment import EventClock, SimulatedDiscovery, SimulatedServer
from experiments.simulated_proxy import OPEN, SimulatedProxy

START_SPREAD_MS = 1000.0  # the proxies start at random times within this
CALLER_TIMEOUT_MS = 3200.0  # from a call's arrival to its deadline


class Simulation:
    """One simulated run: the proxies, the models of their environment, and the calls."""

    def __init__(self, experiment: Experiment, variant: Variant, size: int, seed: int) -> None:
        self._experiment, self._rng = experiment, random.Random(seed)
        self.clock, self.discovery = EventClock(), SimulatedDiscovery(experiment.faults)
        plan = experiment.servers
        self.observations = Observations(size, plan.capacity_per_s)
        self.servers = {
            f"s-{n}": SimulatedServer(f"s-{n}", plan.capacity_per_s, plan.hold_ms, self.clock)
            for n in range(plan.count)
        }
        options = service_settings(size, plan.count, plan.hold_ms)
        self._restart_cold(options["rules"])
        settings = read_settings(options)
        cold_start = (
            None if variant.cold_start is None else msgspec.convert(variant.cold_start, ColdStartSettings)
        )
        self._ready_proxies: list[SimulatedProxy] = []  # they get new calls
        self._proxies = [SimulatedProxy(self, number, settings, cold_start, seed) for number in range(size)]
        self._classes = [each.name for each in settings.classes]
        self._calls: dict[str, CallResult] = {}

    def _restart_cold(self, rules: Mapping[str, float]) -> None:
        """Sample the cold servers; the platform's rules define how slow they are and for how long."""
        for fault in self._experiment.faults:
            if fault.kind is FaultKind.SERVERS_COLD:
                sampled = self._rng.sample(sorted(self.servers), round(fault.fraction * len(self.servers)))
                for name in sampled:
                    self.servers[name].cold = self.observations.cold_servers[name] = ColdServer(
                        fault.start_s,
                        rules["cold_share"],
                        rules["warm_within_ms"] / MS_PER_S,
                        rules["tip_multiple"],
                        rules["overload_for_ms"] / MS_PER_S,
                    )

    def on_ready(self, proxy: SimulatedProxy) -> None:
        """Mark this proxy as ready for calls."""
        self._ready_proxies.append(proxy)

    def endpoints(self) -> list[Endpoint]:
        """Return the current endpoint list of service discovery."""
        listed = []
        for cell, server in enumerate(self.servers.values()):
            cold = server.cold
            start_ms = 0.0 if cold is None else cold.start_s * MS_PER_S
            started_ms = start_ms if start_ms <= self.clock.now_ms else 0.0
            listed.append(Endpoint(server.name, "127.0.0.1:1", "ready", cell, started_ms))
        return listed

    def end_call(self, call_id: str, outcome: str) -> None:
        """Record the final answer of a call; a later one is ignored."""
        call = self._calls[call_id]
        if call.outcome == OPEN:
            self._calls[call_id] = CallResult(call.due_s, outcome, self.clock.now_ms / MS_PER_S - call.due_s)

    def run(self) -> Observations:
        """Run until the load has ended and the last deadline has passed; return the observations."""
        for proxy in self._proxies:
            self.clock.call_later(self._rng.uniform(0.0, START_SPREAD_MS), proxy.start)
        if self._experiment.calls_per_s > 0:
            self._schedule_call()
        self.clock.run(self._experiment.duration_s * MS_PER_S + CALLER_TIMEOUT_MS)
        observations = self.observations
        observations.polled_at_s = self.discovery.polled_at_s
        observations.listed_at_s = self.discovery.listed_at_s
        for name, server in self.servers.items():
            observations.connected_at_s[name] = server.connected_at_s
            observations.set_ups_at_s[name] = server.set_ups_at_s
            observations.open_connections[name] = len(server.connected_at_s)
        observations.calls = list(self._calls.values())
        return observations

    def _schedule_call(self) -> None:
        delay_ms = MS_PER_S * self._rng.expovariate(self._experiment.calls_per_s)
        if self.clock.now_ms + delay_ms < self._experiment.duration_s * MS_PER_S:
            self.clock.call_later(delay_ms, self._on_arrival)

    def _on_arrival(self) -> None:
        """Schedule the next call; send this one to a random ready proxy, or count it as lost without one."""
        self._schedule_call()
        now_ms = self.clock.now_ms
        call_id = f"{len(self._calls):016x}"
        self._calls[call_id] = CallResult(now_ms / MS_PER_S, OPEN, 0.0)
        if not self._ready_proxies:
            self.end_call(call_id, "lost")
            return
        self._rng.choice(self._ready_proxies).call(
            api.Call(
                call_id,
                self._rng.choice(self._classes),
                now_ms + CALLER_TIMEOUT_MS,
                preferred_pool=self._rng.randrange(len(self.servers)),
            )
        )


def run(experiment: Experiment, variant: Variant, size: int, seed: int) -> Observations:
    """Simulate one variant at one size with one seed."""
    return Simulation(experiment, variant, size, seed).run()
