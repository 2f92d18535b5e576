"""Runs one variant of an experiment on real processes of the program, beside emulators in this process."""

from __future__ import annotations

import asyncio
import contextlib
import random
import tempfile
import time
from pathlib import Path

from canvasplank.fleet.config import FleetSettings as BudgetSettings
from canvasplank.fleet.config import load_fleet_settings
from canvasplank.fleet.lease_renewer import boottime_ms
from emulators.callers import Callers
from emulators.fleet import Fleet, fleet
from emulators.server import CallServer
from emulators.tasks import Tasks
from experiments.fault_injection import FaultInjector
from experiments.observations import MS, BudgetTrace, CallResult, Observations
from experiments.plan import Experiment, FaultKind, Variant
from experiments.process_usage import processor_time_s, resident_mb
from experiments.proxy_processes import ProxyProcesses
from verification.spending import read_trace

LAG_INTERVAL_S = 0.01
LAST_ANSWERS_TIMEOUT_S = 4.0  # for calls that are open when the load ends


class ExperimentRun:
    """One run: a variant at one size and seed, over a started fleet of emulators."""

    def __init__(
        self, experiment: Experiment, variant: Variant, size: int, seed: int, started: Fleet
    ) -> None:
        self._experiment, self._variant, self._fleet = experiment, variant, started
        self._callers = Callers(seed, pools=len(started.servers))
        self._observations = Observations(size, experiment.servers.capacity_per_s)
        self._tasks = Tasks()
        self._start_s = asyncio.get_running_loop().time()
        rng = random.Random(seed)
        names = [f"n{number}" for number in range(size)]
        cut_off_fraction = next(
            (fault.fraction for fault in experiment.faults if fault.kind is FaultKind.PROXIES_CUT_OFF), 0.0
        )
        cut_off = set(rng.sample(names, round(cut_off_fraction * len(names))))
        self._processes = ProxyProcesses(started, variant, self._callers, names, cut_off)
        self._faults = FaultInjector(
            started, self._processes, self._observations, rng, self._now_s, self._start_proxy, self._tasks
        )

    def _now_s(self) -> float:
        """Seconds since the start of the run."""
        return asyncio.get_running_loop().time() - self._start_s

    async def run(self) -> Observations:
        """Start the processes, offer the load, inject the faults; return what was observed."""
        duration_s = self._experiment.duration_s
        await self._processes.start_surroundings()
        self._tasks.keep(self._measure_loop_lag())
        for fault in self._experiment.faults:
            self._tasks.keep(self._faults.inject(fault))
        await asyncio.sleep(0)  # a fault that begins at 0 s is there before the first process
        load = self._tasks.keep(self._callers.offer(self._experiment.calls_per_s, duration_s))
        for name in self._processes.names:
            self._start_proxy(name)
        await asyncio.sleep(max(0.0, duration_s - self._now_s()))
        await load
        await self._callers.settled(LAST_ANSWERS_TIMEOUT_S)
        self._collect()
        await self._tasks.end()
        await self._callers.stop()
        await self._processes.stop_surroundings()
        return self._observations

    def _start_proxy(self, name: str) -> None:
        """Start the proxy of this name, beside everything else."""
        self._tasks.keep(self._processes.start(name, self._on_proxy_listening))

    def _on_proxy_listening(self) -> None:
        self._observations.started_at_s.append(self._now_s())

    async def _measure_loop_lag(self) -> None:
        """How late this process's own loop wakes: what it notes is no more exact than that."""
        while True:
            slept_at_s = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            self._observations.loop_lag_ms.append((time.monotonic() - slept_at_s - LAG_INTERVAL_S) * MS)

    # ------------------------------------------------------------------------------------ observations

    def _since_start(self, loop_times_s: list[float]) -> list[float]:
        return [at - self._start_s for at in loop_times_s]

    def _collect(self) -> None:
        """Take from the emulators, the logs and the processes what they have noted."""
        observations, start_unix_s = self._observations, time.time() - self._now_s()
        observations.polled_at_s = self._since_start(self._fleet.discovery.polls)
        observations.listed_at_s = self._since_start(self._fleet.discovery.first_listed)
        for server in self._fleet.servers:
            observations.connected_at_s[server.name] = self._since_start(server.accepted)
            observations.open_connections[server.name] = server.connections
            observations.set_ups_at_s[server.name] = self._since_start(server.set_ups_at_s)
        observations.calls = [
            CallResult(each.due_s - start_unix_s, each.outcome, each.took_s)
            for each in self._callers.tries.values()
        ]
        if (self._variant.fleet or {}).get("trace"):
            self._collect_budgets(load_fleet_settings(str(next(self._fleet.folder.glob("fleet-*.toml")))))
        for proxy in self._processes.proxies.values():
            with contextlib.suppress(OSError):
                observations.memory_mb.append(resident_mb(proxy.process.pid))
                observations.cpu_s.append(processor_time_s(proxy.process.pid))

    def _collect_budgets(self, settings: BudgetSettings) -> None:
        """Read the traces of the budgets from the logs of every process that ever ran."""
        start_ms = boottime_ms() - self._now_s() * MS
        for each in settings.budget:
            traces = [read_trace(proxy.log, each.name) for proxy in self._fleet.proxies]
            leased_per_s = each.total_per_s * (1 - each.reserve_fraction)
            self._observations.budgets[each.name] = BudgetTrace(
                each.total_per_s, leased_per_s, settings.burst_ms, traces, start_ms
            )


async def run(experiment: Experiment, variant: Variant, size: int, seed: int) -> Observations:
    """Run one variant at one size with one seed, in a temporary folder."""
    plan = experiment.servers
    servers = [
        CallServer(f"s-{n}", plan.capacity_per_s, plan.hold_ms, lines=plan.lines) for n in range(plan.count)
    ]
    with tempfile.TemporaryDirectory() as folder:
        async with fleet(Path(folder), servers, instances=size) as started:
            started.in_configuration = False  # the proxies start without an endpoint list
            return await ExperimentRun(experiment, variant, size, seed, started).run()
