"""Models of a proxy's environment: the clock, the call servers and service discovery."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from experiments.observations import MS_PER_S, ColdServer
from experiments.plan import DISCOVERY_FAULTS, Fault, FaultKind

ONE_WAY_DELAY_MS = 1.0  # of every message on the network
MAX_QUEUE_DELAY_MS = 2500.0  # a server with a longer queue delay rejects set-ups
REJECTION_COST_FRACTION = 0.2  # cost of a rejection, as a fraction of a set-up's


class EventClock:
    """Runs callbacks in the order of their due times, and those of one time in the order of scheduling."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` after this delay; a negative delay counts as 0."""
        heapq.heappush(self._heap, (self.now_ms + max(0.0, delay_ms), next(self._sequence), callback))

    def run(self, until_ms: float) -> None:
        """Run all callbacks that are due by ``until_ms``, in simulated time."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._heap)
            callback()


@dataclass
class SimulatedServer:
    """Model of a call server: a processor with a queue, which rejects set-ups while the queue is long."""

    name: str
    capacity_per_s: float
    hold_ms: float
    clock: EventClock
    cold: ColdServer | None = None
    idle_at_ms: float = 0.0
    set_ups_at_s: list[float] = field(default_factory=list)
    connected_at_s: list[float] = field(default_factory=list)

    def _service_time_ms(self) -> float:
        """Return the processor time of a set-up now; it is longer while the server warms up."""
        speed = 1.0
        if self.cold is not None:
            elapsed_fraction = (self.clock.now_ms / MS_PER_S - self.cold.start_s) / self.cold.warm_up_s
            speed = self.cold.initial_fraction + (1 - self.cold.initial_fraction) * min(
                1.0, max(0.0, elapsed_fraction)
            )
        return MS_PER_S / self.capacity_per_s / speed

    def enqueue_set_up(self, on_answer: Callable[[bool], None]) -> None:
        """Queue a set-up; when its answer arrives, ``on_answer`` is called with whether it was accepted."""
        now_ms = self.clock.now_ms
        self.set_ups_at_s.append(now_ms / MS_PER_S)
        accepted = self.idle_at_ms - now_ms <= MAX_QUEUE_DELAY_MS
        cost_fraction = 1.0 if accepted else REJECTION_COST_FRACTION
        self.idle_at_ms = max(self.idle_at_ms, now_ms) + self._service_time_ms() * cost_fraction
        answered_ms = self.idle_at_ms if accepted else now_ms
        self.clock.call_later(answered_ms - now_ms + ONE_WAY_DELAY_MS, lambda: on_answer(accepted))


class SimulatedDiscovery:
    """Model of service discovery: answers a poll with the endpoint list, or with the current fault."""

    def __init__(self, faults: list[Fault]) -> None:
        self._faults = [fault for fault in faults if fault.kind in DISCOVERY_FAULTS]
        self.polled_at_s: list[float] = []
        self.listed_at_s: list[float] = []

    def poll(self, now_s: float) -> Fault | None:
        """Record a poll at this time and return the fault that it meets; None: the poll gets the list."""
        fault = next((f for f in self._faults if f.start_s <= now_s < f.end_s), None)
        # A refused connection is not recorded.
        if fault is None or fault.kind is not FaultKind.DISCOVERY_AWAY:
            self.polled_at_s.append(now_s)
        if fault is None:
            self.listed_at_s.append(now_s)
        return fault
