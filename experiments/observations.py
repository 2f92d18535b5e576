"""What is observed during one experiment run, as times in seconds since its start."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from verification.spending import Trace

MS = 1000.0  # in a second


class CallResult(NamedTuple):
    """One call; ``took_s`` counts from when it was due to come, not from when it could be sent."""

    due_s: float
    outcome: str
    took_s: float


class ColdServer(NamedTuple):
    """What a cold server can do: from ``initial_fraction`` of its capacity at its start to all of it."""

    start_s: float
    initial_fraction: float
    warm_up_s: float
    overload_factor: float  # more than so many times its capacity, for ``overload_s``, and it fails
    overload_s: float


class BudgetTrace(NamedTuple):
    """A budget of the fleet, with the trace of every process that ever ran; rates in units a second."""

    total_per_s: float
    leased_per_s: float
    burst_ms: float
    traces: list[Trace]
    start_ms: float  # the run's start on the traces' clock

    def spent_at_s(self) -> list[float]:
        """When each unit was spent, in seconds since the start."""
        return [(at - self.start_ms) / MS for trace in self.traces for at in trace.spent]


@dataclass
class Observations:
    """One run of one variant; lists of times are in no order."""

    proxies: int
    capacity_per_s: float  # of each server
    started_at_s: list[float] = field(default_factory=list)  # when each proxy listened
    polled_at_s: list[float] = field(default_factory=list)  # when service discovery was polled
    listed_at_s: list[float] = field(default_factory=list)  # when a proxy was sent its first list
    connected_at_s: dict[str, list[float]] = field(default_factory=dict)  # by server, when each was accepted
    open_connections: dict[str, int] = field(default_factory=dict)  # by server, at the end
    set_ups_at_s: dict[str, list[float]] = field(default_factory=dict)  # by server, when each was received
    calls: list[CallResult] = field(default_factory=list)
    cold_servers: dict[str, ColdServer] = field(default_factory=dict)  # by name
    memory_mb: list[float] = field(default_factory=list)  # of each proxy, at the end
    cpu_s: list[float] = field(default_factory=list)  # of each proxy, at the end
    loop_lag_ms: list[float] = field(default_factory=list)  # of the loop that measures, each 10 ms
    budgets: dict[str, BudgetTrace] = field(default_factory=dict)  # those that were traced
