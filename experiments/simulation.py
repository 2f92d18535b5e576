"""The same decisions without processes, for thousands of proxies: a heap of events on a clock of its own.

Every proxy here has the module's ``Controller``, the ``PollBackoff`` and the ``RendezvousSubset`` of the
program itself; what is made up is the board, the servers' processors, the callers and the way between them.
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
from experiments.measures import Call, Cold, Observed
from experiments.plan import DISCOVERY, Experiment, Fault, Variant

MS = 1000.0
WAY_MS = 1.0  # one way, between any two
STARTS_WITHIN_MS = 1000.0  # all proxies are up after so long
HANGS_MS = 1500.0  # a board that says nothing is left after so long
WAIT_MS = 3200.0  # of a caller
FULL_MS = 2500.0  # a processor turns set-ups away past this wait ...
REJECT_SHARE = 0.2  # ... for so much of their work
REFUSED, FAILED, SERVED, OPEN = "refused", "failed", "served", "open"


class Clock:
    """Events in their order."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()

    def after(self, wait_ms: float, what: Callable[[], None]) -> None:
        """Have it done."""
        heapq.heappush(self._heap, (self.now_ms + max(0.0, wait_ms), next(self._number), what))

    def run(self, until_ms: float) -> None:
        """Do all that is due by then."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, what = heapq.heappop(self._heap)
            what()


@dataclass
class Processor:
    """One call server: a line of work, that turns set-ups away once the line is long."""

    name: str
    capacity_per_s: float
    hold_ms: float
    clock: Clock
    cold: Cold | None = None
    free_ms: float = 0.0
    came: list[float] = field(default_factory=list)
    accepted: list[float] = field(default_factory=list)

    def _work_ms(self) -> float:
        speed = 1.0
        if self.cold is not None:
            age = (self.clock.now_ms / MS - self.cold.began_s) / self.cold.warm_s
            speed = self.cold.share + (1 - self.cold.share) * min(1.0, max(0.0, age))
        return MS / self.capacity_per_s / speed

    def take(self, answer: Callable[[bool], None]) -> None:
        """A set-up has come; ``answer`` says whether it stands."""
        now_ms = self.clock.now_ms
        self.came.append(now_ms / MS)
        stands = self.free_ms - now_ms <= FULL_MS
        self.free_ms = max(self.free_ms, now_ms) + self._work_ms() * (1.0 if stands else REJECT_SHARE)
        self.clock.after((self.free_ms if stands else now_ms) - now_ms + WAY_MS, lambda: answer(stands))


class Discovery:
    """What a poll comes to at any time."""

    def __init__(self, faults: list[Fault]) -> None:
        self._faults = [fault for fault in faults if fault.what in DISCOVERY]
        self.polls: list[float] = []
        self.told: list[float] = []

    def asked(self, now_s: float) -> Fault | None:
        """The trouble that this poll meets; None: it is told the list."""
        trouble = next((f for f in self._faults if f.at_s <= now_s < f.ends_s), None)
        if trouble is None or trouble.what != "board-away":  # nobody listens to note it
            self.polls.append(now_s)
        if trouble is None:
            self.told.append(now_s)
        return trouble


class DoublingWaits:
    """As it is without a pace: the program's doubling waits, without chance."""

    def __init__(self) -> None:
        self._next_ms = FIRST_MS

    def initial_delay(self) -> float:
        """See ``PollBackoff``."""
        return 0.0

    def retry_delay(self, now_ms: float = 0.0, retry_after_ms: float = 0.0) -> float:
        """See ``PollBackoff``."""
        wait_ms, self._next_ms = self._next_ms, min(MOST_MS, 2 * self._next_ms)
        return wait_ms


class Proxy:
    """One proxy: its decisions, and what carries them out here."""

    def __init__(
        self, world: World, number: int, settings: api.Settings, starting: Starting | None, seed: int
    ) -> None:
        self._world, self._clock = world, world.clock
        self._rng = random.Random(seed * 100_003 + number)
        self._starting, self._count = starting, settings.instances
        self._controller = Controller(settings, self._rng.getrandbits(32))
        self._attempts: dict[str, int] = {}
        self._out: dict[str, int] = {}  # attempts that nobody has ended, by call
        if starting is None or not starting.polls_per_s:
            self._backoff: PollBackoff | DoublingWaits = DoublingWaits()
        else:
            first_per_s = starting.first_per_s or starting.polls_per_s
            self._backoff = PollBackoff(lambda: self._count, starting.polls_per_s, first_per_s, self._rng)
        self._subset = RendezvousSubset(
            f"n{number}", (None,), starting.servers_per_proxy if starting else 0, lambda _: False
        )
        self._connected: set[str] = set()
        self._server_of: dict[str, str] = {}  # of each call's latest attempt

    def start(self) -> None:
        """It is up; callers may come at once, or where a pace is set, once it has a list."""
        self._world.seen.up.append(self._clock.now_ms / MS)
        if self._starting is None or not self._starting.ready_with_list:
            self._world.ready.append(self)
        self._clock.after(self._backoff.initial_delay(), self._poll)

    def _poll(self) -> None:
        trouble = self._world.discovery.asked(self._clock.now_ms / MS)
        if trouble is None:
            self._clock.after(2 * WAY_MS, self._told)
            return
        retry_after_ms = trouble.wait_s * MS if trouble.what == "board-busy" else 0.0
        hangs_ms = HANGS_MS if trouble.what == "board-stalls" else 0.0
        self._clock.after(
            hangs_ms + self._backoff.retry_delay(self._clock.now_ms, retry_after_ms), self._poll
        )

    def _told(self) -> None:
        kept = self._subset.select(True, self._world.instances())
        if self._starting is not None and self._starting.ready_with_list:
            self._world.ready.append(self)
        for instance in kept:
            per_s = self._starting.connections_per_s if self._starting else 0.0
            spread_ms = self._rng.uniform(0.0, MS * self._count / per_s) if per_s else 0.0
            self._clock.after(spread_ms, lambda name=instance.instance_id: self._connect(name))
        self._tell(api.ServerList(api.ListKind.COMPLETE, tuple(self._entered(i) for i in kept)))

    def _entered(self, instance: Endpoint) -> api.Server:
        server = to_server(instance)
        senders = self._subset.senders(server.pool, self._count)
        begin = self._starting.initial_rate_per_s if self._starting else 0.0
        return api.Server(
            server.id,
            server.pool,
            server.state,
            server.started_ms,
            senders,
            begin / (senders or self._count) if begin else None,
        )

    def _connect(self, name: str) -> None:
        if name not in self._connected:
            self._connected.add(name)
            self._world.processors[name].accepted.append(self._clock.now_ms / MS)

    def call(self, call: api.Call) -> None:
        """A caller's set-up."""
        self._tell(call)

    def _tell(self, event: api.Event) -> None:
        for action in self._controller.handle(self._clock.now_ms, event):
            match action:
                case api.SetTimer(after_ms, token):
                    self._clock.after(after_ms, lambda token=token: self._tell(api.TimerFired(token)))
                case api.SetUp(call_id, server_id, _):
                    self._send(call_id, server_id)
                case api.Cancel(call_id, attempt):
                    self._clock.after(
                        0.0,
                        lambda call_id=call_id, attempt=attempt: self._ended(
                            call_id, attempt, api.Outcome.CANCELLED
                        ),
                    )
                case api.Refuse(call_id, _):
                    self._world.end(call_id, REFUSED)
                case api.Fail(call_id):
                    self._world.end(call_id, FAILED)

    def _send(self, call_id: str, server_id: str) -> None:
        self._connect(server_id)
        attempt = self._attempts[call_id] = self._attempts.get(call_id, -1) + 1
        self._out[call_id] = attempt
        self._server_of[call_id] = server_id
        sent_ms = self._clock.now_ms
        processor = self._world.processors[server_id]

        def answer(stands: bool) -> None:
            if not stands:
                self._ended(call_id, attempt, api.Outcome.FULL)
            elif self._out.pop(call_id, None) == attempt:  # what was given up is taken back
                self._world.end(call_id, SERVED)
                self._tell(api.Established(call_id, attempt, server_id, self._clock.now_ms - sent_ms))
                self._clock.after(
                    processor.hold_ms,
                    lambda: self._tell(
                        api.AttemptEnded(call_id, attempt, server_id, api.Outcome.ENDED, finished=True)
                    ),
                )

        self._clock.after(WAY_MS, lambda: processor.take(answer))

    def _ended(self, call_id: str, attempt: int, outcome: api.Outcome) -> None:
        """An attempt came to nothing; told once."""
        if self._out.get(call_id) == attempt:
            del self._out[call_id]
            self._tell(
                api.AttemptEnded(
                    call_id,
                    attempt,
                    self._server_of[call_id],
                    outcome,
                    finished=False,
                    processor_full=outcome is api.Outcome.FULL,
                )
            )


class World:
    """Everything in one simulated play."""

    def __init__(self, experiment: Experiment, variant: Variant, size: int, seed: int) -> None:
        self._experiment, self._rng = experiment, random.Random(seed)
        self.clock, self.discovery = Clock(), Discovery(experiment.fault)
        plan = experiment.servers
        self.seen = Observed(size, plan.capacity_per_s)
        self.processors = {
            f"s-{n}": Processor(f"s-{n}", plan.capacity_per_s, plan.hold_ms, self.clock)
            for n in range(plan.count)
        }
        options = service_settings(size, plan.count, plan.hold_ms)
        self._cool(options["rules"])
        settings = read_settings(options)
        starting = None if variant.starting is None else msgspec.convert(variant.starting, Starting)
        self.ready: list[Proxy] = []  # whom callers may be sent to
        self._proxies = [Proxy(self, number, settings, starting, seed) for number in range(size)]
        self._classes = [each.name for each in settings.classes]
        self._calls: dict[str, list[Any]] = {}  # due, outcome, took; in seconds

    def _cool(self, rules: Mapping[str, float]) -> None:
        for fault in self._experiment.fault:
            if fault.what == "servers-cold":
                drawn = self._rng.sample(sorted(self.processors), round(fault.part * len(self.processors)))
                for name in drawn:
                    self.processors[name].cold = self.seen.cold[name] = Cold(
                        fault.at_s,
                        rules["cold_share"],
                        rules["warm_within_ms"] / MS,
                        rules["tip_multiple"],
                        rules["overload_for_ms"] / MS,
                    )

    def instances(self) -> list[Endpoint]:
        """The list as the board has it now."""
        told = []
        for cell, processor in enumerate(self.processors.values()):
            cold = processor.cold
            began_ms = 0.0 if cold is None else cold.began_s * MS
            started_ms = began_ms if began_ms <= self.clock.now_ms else 0.0
            told.append(Endpoint(processor.name, "127.0.0.1:1", "ready", cell, started_ms))
        return told

    def end(self, call_id: str, outcome: str) -> None:
        """A call has its final answer."""
        call = self._calls[call_id]
        if call[1] == OPEN:
            call[1:] = outcome, self.clock.now_ms / MS - call[0]

    def play(self) -> Observed:
        """Everything; gives what was seen."""
        for proxy in self._proxies:
            self.clock.after(self._rng.uniform(0.0, STARTS_WITHIN_MS), proxy.start)
        if self._experiment.calls_per_s > 0:
            self._next_call()
        self.clock.run(self._experiment.for_s * MS + WAIT_MS)
        seen = self.seen
        seen.polls, seen.told = self.discovery.polls, self.discovery.told
        for name, processor in self.processors.items():
            seen.connections[name], seen.set_ups[name] = processor.accepted, processor.came
            seen.open_at_end[name] = len(processor.accepted)
        seen.calls = [Call(*call) for call in self._calls.values()]
        return seen

    def _next_call(self) -> None:
        wait_ms = MS * self._rng.expovariate(self._experiment.calls_per_s)
        if self.clock.now_ms + wait_ms < self._experiment.for_s * MS:
            self.clock.after(wait_ms, self._arrive)

    def _arrive(self) -> None:
        """A call at a proxy that is ready, or lost where none is; then the next."""
        self._next_call()
        now_ms = self.clock.now_ms
        call_id = f"{len(self._calls):016x}"
        self._calls[call_id] = [now_ms / MS, OPEN, 0.0]
        if not self.ready:
            self.end(call_id, "lost")
            return
        self._rng.choice(self.ready).call(
            api.Call(
                call_id,
                self._rng.choice(self._classes),
                now_ms + WAIT_MS,
                preferred_pool=self._rng.randrange(len(self.processors)),
            )
        )


def play(experiment: Experiment, variant: Variant, size: int, seed: int) -> Observed:
    """One variant at one size."""
    return World(experiment, variant, size, seed).play()
