"""The same decisions without processes, for thousands of proxies: a heap of events on a clock of its own.

Every proxy here has the module's ``Controller``, the ``PollBackoff`` and the ``RendezvousSubset`` of the
program itself; what is made up is the board, the servers' servers, the callers and the way between them.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from canvasplank import interface as api
from canvasplank.cold_start.extension import Starting
from canvasplank.cold_start.poll_backoff import FIRST_MS, MOST_MS, PollBackoff
from canvasplank.cold_start.rendezvous_subset import RendezvousSubset
from canvasplank.config.discovery_events import Endpoint, to_server
from canvasplank.config.platform_settings import read_settings
from canvasplank.policy import Controller
from emulators.fleet import service_settings
from experiments.measures import CallResult, ColdServer, Observations
from experiments.plan import DISCOVERY_FAULTS, Experiment, Fault, Variant

MS = 1000.0
ONE_WAY_DELAY_MS = 1.0  # one way, between any two
START_SPREAD_MS = 1000.0  # all proxies are up after so long
STALLED_POLL_TIMEOUT_MS = 1500.0  # a board that says nothing is left after so long
CALLER_TIMEOUT_MS = 3200.0  # of a caller
MAX_QUEUE_DELAY_MS = 2500.0  # a processor turns set-ups away past this wait ...
REJECTION_COST_FRACTION = 0.2  # ... for so much of their work
REFUSED, FAILED, SERVED, OPEN = "refused", "failed", "served", "open"


class EventClock:
    """Events in their order."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Have it done."""
        heapq.heappush(self._heap, (self.now_ms + max(0.0, delay_ms), next(self._number), callback))

    def run(self, until_ms: float) -> None:
        """Do all that is due by then."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._heap)
            callback()


@dataclass
class SimulatedServer:
    """One call server: a line of work, that turns set-ups away once the line is long."""

    name: str
    capacity_per_s: float
    hold_ms: float
    clock: EventClock
    cold: ColdServer | None = None
    idle_at_ms: float = 0.0
    set_ups_at_s: list[float] = field(default_factory=list)
    connected_at_s: list[float] = field(default_factory=list)

    def _service_time_ms(self) -> float:
        speed = 1.0
        if self.cold is not None:
            age = (self.clock.now_ms / MS - self.cold.start_s) / self.cold.warm_up_s
            speed = self.cold.initial_fraction + (1 - self.cold.initial_fraction) * min(1.0, max(0.0, age))
        return MS / self.capacity_per_s / speed

    def set_up(self, on_answer: Callable[[bool], None]) -> None:
        """A set-up has come; ``on_answer`` is told whether it is accepted."""
        now_ms = self.clock.now_ms
        self.set_ups_at_s.append(now_ms / MS)
        accepted = self.idle_at_ms - now_ms <= MAX_QUEUE_DELAY_MS
        cost_fraction = 1.0 if accepted else REJECTION_COST_FRACTION
        self.idle_at_ms = max(self.idle_at_ms, now_ms) + self._service_time_ms() * cost_fraction
        answered_ms = self.idle_at_ms if accepted else now_ms
        self.clock.call_later(answered_ms - now_ms + ONE_WAY_DELAY_MS, lambda: on_answer(accepted))


class SimulatedDiscovery:
    """What a poll comes to at any time."""

    def __init__(self, faults: list[Fault]) -> None:
        self._faults = [fault for fault in faults if fault.kind in DISCOVERY_FAULTS]
        self.polled_at_s: list[float] = []
        self.listed_at_s: list[float] = []

    def poll(self, now_s: float) -> Fault | None:
        """The fault that this poll meets; None: it is told the list."""
        fault = next((f for f in self._faults if f.start_s <= now_s < f.end_s), None)
        if fault is None or fault.kind != "board-away":  # nobody listens to note it
            self.polled_at_s.append(now_s)
        if fault is None:
            self.listed_at_s.append(now_s)
        return fault


class DoublingBackoff:
    """As it is without a pace: the program's doubling waits, without chance."""

    def __init__(self) -> None:
        self._next_ms = FIRST_MS

    def initial_delay(self) -> float:
        """See ``PollBackoff``."""
        return 0.0

    def retry_delay(self, now_ms: float = 0.0, retry_after_ms: float = 0.0) -> float:
        """See ``PollBackoff``."""
        delay_ms, self._next_ms = self._next_ms, min(MOST_MS, 2 * self._next_ms)
        return delay_ms


class SimulatedProxy:
    """One proxy: its decisions, and what carries them out here."""

    def __init__(
        self,
        simulation: Simulation,
        number: int,
        settings: api.Settings,
        starting: Starting | None,
        seed: int,
    ) -> None:
        self._simulation, self._clock = simulation, simulation.clock
        self._rng = random.Random(seed * 100_003 + number)
        self._starting, self._count = starting, settings.instances
        self._controller = Controller(settings, self._rng.getrandbits(32))
        self._attempts: dict[str, int] = {}
        self._open_attempts: dict[str, int] = {}  # attempts that nobody has ended, by call
        if starting is None or not starting.polls_per_s:
            self._backoff: PollBackoff | DoublingBackoff = DoublingBackoff()
        else:
            first_per_s = starting.first_per_s or starting.polls_per_s
            self._backoff = PollBackoff(lambda: self._count, starting.polls_per_s, first_per_s, self._rng)
        self._subset = RendezvousSubset(
            f"n{number}", (None,), starting.servers_per_proxy if starting else 0, lambda _: False
        )
        self._connected: set[str] = set()
        self._server_by_call: dict[str, str] = {}  # of each call's latest attempt

    def start(self) -> None:
        """It is up; callers may come at once, or where a pace is set, once it has a list."""
        self._simulation.observations.started_at_s.append(self._clock.now_ms / MS)
        if self._starting is None or not self._starting.ready_with_list:
            self._simulation.ready_proxies.append(self)
        self._clock.call_later(self._backoff.initial_delay(), self._poll)

    def _poll(self) -> None:
        fault = self._simulation.discovery.poll(self._clock.now_ms / MS)
        if fault is None:
            self._clock.call_later(2 * ONE_WAY_DELAY_MS, self._on_list)
            return
        retry_after_ms = fault.retry_after_s * MS if fault.kind == "board-busy" else 0.0
        timeout_ms = STALLED_POLL_TIMEOUT_MS if fault.kind == "board-stalls" else 0.0
        self._clock.call_later(
            timeout_ms + self._backoff.retry_delay(self._clock.now_ms, retry_after_ms), self._poll
        )

    def _on_list(self) -> None:
        selected = self._subset.select(True, self._simulation.endpoints())
        if self._starting is not None and self._starting.ready_with_list:
            self._simulation.ready_proxies.append(self)
        for endpoint in selected:
            per_s = self._starting.connections_per_s if self._starting else 0.0
            spread_ms = self._rng.uniform(0.0, MS * self._count / per_s) if per_s else 0.0
            self._clock.call_later(spread_ms, lambda name=endpoint.instance_id: self._connect(name))
        self._handle(api.ServerList(api.ListKind.COMPLETE, tuple(self._to_server(i) for i in selected)))

    def _to_server(self, endpoint: Endpoint) -> api.Server:
        server = to_server(endpoint)
        senders = self._subset.senders(server.pool, self._count)
        initial_per_s = self._starting.initial_rate_per_s if self._starting else 0.0
        return api.Server(
            server.id,
            server.pool,
            server.state,
            server.started_ms,
            senders,
            initial_per_s / (senders or self._count) if initial_per_s else None,
        )

    def _connect(self, name: str) -> None:
        if name not in self._connected:
            self._connected.add(name)
            self._simulation.servers[name].connected_at_s.append(self._clock.now_ms / MS)

    def call(self, call: api.Call) -> None:
        """A caller's set-up."""
        self._handle(call)

    def _handle(self, event: api.Event) -> None:
        for action in self._controller.handle(self._clock.now_ms, event):
            match action:
                case api.SetTimer(after_ms, token):
                    self._clock.call_later(after_ms, lambda token=token: self._handle(api.TimerFired(token)))
                case api.SetUp(call_id, server_id, _):
                    self._send(call_id, server_id)
                case api.Cancel(call_id, attempt):
                    self._clock.call_later(
                        0.0,
                        lambda call_id=call_id, attempt=attempt: self._on_attempt_ended(
                            call_id, attempt, api.Outcome.CANCELLED
                        ),
                    )
                case api.Refuse(call_id, _):
                    self._simulation.end_call(call_id, REFUSED)
                case api.Fail(call_id):
                    self._simulation.end_call(call_id, FAILED)

    def _send(self, call_id: str, server_id: str) -> None:
        self._connect(server_id)
        attempt = self._attempts[call_id] = self._attempts.get(call_id, -1) + 1
        self._open_attempts[call_id] = attempt
        self._server_by_call[call_id] = server_id
        sent_ms = self._clock.now_ms
        server = self._simulation.servers[server_id]

        def on_answer(accepted: bool) -> None:
            if not accepted:
                self._on_attempt_ended(call_id, attempt, api.Outcome.FULL)
            elif self._open_attempts.pop(call_id, None) == attempt:  # what was given up is taken back
                self._simulation.end_call(call_id, SERVED)
                self._handle(api.Established(call_id, attempt, server_id, self._clock.now_ms - sent_ms))
                self._clock.call_later(
                    server.hold_ms,
                    lambda: self._handle(
                        api.AttemptEnded(call_id, attempt, server_id, api.Outcome.ENDED, finished=True)
                    ),
                )

        self._clock.call_later(ONE_WAY_DELAY_MS, lambda: server.set_up(on_answer))

    def _on_attempt_ended(self, call_id: str, attempt: int, outcome: api.Outcome) -> None:
        """An attempt came to nothing; told once."""
        if self._open_attempts.get(call_id) == attempt:
            del self._open_attempts[call_id]
            self._handle(
                api.AttemptEnded(
                    call_id,
                    attempt,
                    self._server_by_call[call_id],
                    outcome,
                    finished=False,
                    processor_full=outcome is api.Outcome.FULL,
                )
            )


class Simulation:
    """Everything in one simulated play."""

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
        starting = None if variant.cold_start is None else msgspec.convert(variant.cold_start, Starting)
        self.ready_proxies: list[SimulatedProxy] = []  # whom callers may be sent to
        self._proxies = [SimulatedProxy(self, number, settings, starting, seed) for number in range(size)]
        self._classes = [each.name for each in settings.classes]
        self._calls: dict[str, list[Any]] = {}  # due, outcome, took; in seconds

    def _restart_cold(self, rules: Mapping[str, float]) -> None:
        for fault in self._experiment.faults:
            if fault.kind == "servers-cold":
                sampled = self._rng.sample(sorted(self.servers), round(fault.fraction * len(self.servers)))
                for name in sampled:
                    self.servers[name].cold = self.observations.cold_servers[name] = ColdServer(
                        fault.start_s,
                        rules["cold_share"],
                        rules["warm_within_ms"] / MS,
                        rules["tip_multiple"],
                        rules["overload_for_ms"] / MS,
                    )

    def endpoints(self) -> list[Endpoint]:
        """The list as the board has it now."""
        listed = []
        for cell, server in enumerate(self.servers.values()):
            cold = server.cold
            start_ms = 0.0 if cold is None else cold.start_s * MS
            started_ms = start_ms if start_ms <= self.clock.now_ms else 0.0
            listed.append(Endpoint(server.name, "127.0.0.1:1", "ready", cell, started_ms))
        return listed

    def end_call(self, call_id: str, outcome: str) -> None:
        """A call has its final answer."""
        call = self._calls[call_id]
        if call[1] == OPEN:
            call[1:] = outcome, self.clock.now_ms / MS - call[0]

    def run(self) -> Observations:
        """Everything; gives what was observed."""
        for proxy in self._proxies:
            self.clock.call_later(self._rng.uniform(0.0, START_SPREAD_MS), proxy.start)
        if self._experiment.calls_per_s > 0:
            self._schedule_call()
        self.clock.run(self._experiment.duration_s * MS + CALLER_TIMEOUT_MS)
        observations = self.observations
        observations.polled_at_s = self.discovery.polled_at_s
        observations.listed_at_s = self.discovery.listed_at_s
        for name, server in self.servers.items():
            observations.connected_at_s[name] = server.connected_at_s
            observations.set_ups_at_s[name] = server.set_ups_at_s
            observations.open_connections[name] = len(server.connected_at_s)
        observations.calls = [CallResult(*call) for call in self._calls.values()]
        return observations

    def _schedule_call(self) -> None:
        delay_ms = MS * self._rng.expovariate(self._experiment.calls_per_s)
        if self.clock.now_ms + delay_ms < self._experiment.duration_s * MS:
            self.clock.call_later(delay_ms, self._on_arrival)

    def _on_arrival(self) -> None:
        """A call at a proxy that is ready, or lost where none is; then the next."""
        self._schedule_call()
        now_ms = self.clock.now_ms
        call_id = f"{len(self._calls):016x}"
        self._calls[call_id] = [now_ms / MS, OPEN, 0.0]
        if not self.ready_proxies:
            self.end_call(call_id, "lost")
            return
        self._rng.choice(self.ready_proxies).call(
            api.Call(
                call_id,
                self._rng.choice(self._classes),
                now_ms + CALLER_TIMEOUT_MS,
                preferred_pool=self._rng.randrange(len(self.servers)),
            )
        )


def run(experiment: Experiment, variant: Variant, size: int, seed: int) -> Observations:
    """One variant at one size."""
    return Simulation(experiment, variant, size, seed).run()
