"""Runs one variant of an experiment on real proxy processes, with the emulators in this process."""

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
from experiments.observations import MS_PER_S, BudgetTrace, CallResult, Observations
from experiments.plan import Experiment, FaultKind, Variant
from experiments.process_usage import processor_time_s, resident_mb
from experiments.proxy_processes import ProxyProcesses
from verification.spending import read_trace

LAG_INTERVAL_S = 0.01
LAST_ANSWERS_TIMEOUT_S = 4.0  # for calls that are unanswered when the load ends


class ExperimentRun:
    """One run of a variant at one size with one seed; ``running_fleet`` has the started emulators."""

    def __init__(
        self, experiment: Experiment, variant: Variant, size: int, seed: int, running_fleet: Fleet
    ) -> None:
        self._experiment, self._variant, self._fleet = experiment, variant, running_fleet
        self._callers = Callers(seed, pools=len(running_fleet.servers))
        self._observations = Observations(size, experiment.servers.capacity_per_s)
        self._tasks = Tasks()
        self._start_s = asyncio.get_running_loop().time()
        rng = random.Random(seed)
        names = [f"n{number}" for number in range(size)]
        cut_off_fraction = next(
            (fault.fraction for fault in experiment.faults if fault.kind is FaultKind.PROXIES_CUT_OFF), 0.0
        )
        cut_off = set(rng.sample(names, round(cut_off_fraction * len(names))))
        self._processes = ProxyProcesses(running_fleet, variant, self._callers, names, cut_off)
        self._faults = FaultInjector(
            running_fleet,
            self._processes,
            self._observations,
            rng,
            self._now_s,
            self._start_proxy,
            self._tasks,
        )

    def _now_s(self) -> float:
        """Seconds since the start of the run."""
        return asyncio.get_running_loop().time() - self._start_s

    async def run(self) -> Observations:
        """Start the processes, offer the load and inject the faults; return the observations."""
        duration_s = self._experiment.duration_s
        await self._processes.start_environment()
        self._tasks.keep(self._measure_loop_lag())
        for fault in self._experiment.faults:
            self._tasks.keep(self._faults.inject(fault))
        await asyncio.sleep(0)  # so that a fault with a start time of 0 s begins before the first process
        load = self._tasks.keep(self._callers.offer(self._experiment.calls_per_s, duration_s))
        for name in self._processes.names:
            self._start_proxy(name)
        await asyncio.sleep(max(0.0, duration_s - self._now_s()))
        await load
        await self._callers.wait_until_answered(LAST_ANSWERS_TIMEOUT_S)
        self._collect()
        await self._tasks.end()
        await self._callers.stop()
        await self._processes.stop_environment()
        return self._observations

    def _start_proxy(self, name: str) -> None:
        """Start the proxy of this name in a task of its own."""
        self._tasks.keep(self._processes.start(name, self._on_proxy_listening))

    def _on_proxy_listening(self) -> None:
        self._observations.started_at_s.append(self._now_s())

    async def _measure_loop_lag(self) -> None:
        """Record the lag of this process's event loop, which bounds the accuracy of every recorded time."""
        while True:
            sleep_start_s = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            self._observations.loop_lag_ms.append(
                (time.monotonic() - sleep_start_s - LAG_INTERVAL_S) * MS_PER_S
            )

    # ------------------------------------------------------------------------------------ observations

    def _since_start(self, loop_times_s: list[float]) -> list[float]:
        return [at - self._start_s for at in loop_times_s]

    def _collect(self) -> None:
        """Copy what the emulators, logs and processes recorded into the observations."""
        observations, start_unix_s = self._observations, time.time() - self._now_s()
        observations.polled_at_s = self._since_start(self._fleet.discovery.polls)
        observations.listed_at_s = self._since_start(self._fleet.discovery.first_listed)
        for server in self._fleet.servers:
            observations.connected_at_s[server.name] = self._since_start(server.accepted)
            observations.open_connections[server.name] = server.connections
            observations.set_ups_at_s[server.name] = self._since_start(server.set_ups_at_s)
        observations.calls = [
            CallResult(each.due_s - start_unix_s, each.outcome, each.took_s)
            for each in self._callers.calls.values()
        ]
        if (self._variant.fleet or {}).get("trace"):
            self._collect_budgets(load_fleet_settings(str(next(self._fleet.folder.glob("fleet-*.toml")))))
        for proxy in self._processes.proxies.values():
            with contextlib.suppress(OSError):
                observations.memory_mb.append(resident_mb(proxy.process.pid))
                observations.cpu_s.append(processor_time_s(proxy.process.pid))

    def _collect_budgets(self, settings: BudgetSettings) -> None:
        """Read the traces of the budgets from the logs of all processes, ended ones included."""
        start_ms = boottime_ms() - self._now_s() * MS_PER_S
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
        async with fleet(Path(folder), servers, instances=size) as running_fleet:
            running_fleet.endpoints_in_configuration = False  # the proxies start without an endpoint list
            return await ExperimentRun(experiment, variant, size, seed, running_fleet).run()
