"""What is observed during one experiment run, as times in seconds since its start."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from verification.spending import Trace

MS = 1000.0


class CallResult(NamedTuple):
    """One call; its wait counts from when it was due to come, not from when it could be sent."""

    due_s: float
    outcome: str
    took_s: float


class ColdServer(NamedTuple):
    """What a cold server can do: from ``share`` of its capacity at the start to all of it."""

    start_s: float
    initial_fraction: float
    warm_up_s: float
    overload_factor: float  # more than so many times that, for ``overload_s``, and it falls over
    overload_s: float


class BudgetTrace(NamedTuple):
    """A budget of the whole fleet, and what every process that ever ran said of it."""

    total_per_s: float
    leased_per_s: float
    burst_ms: float
    traces: list[Trace]
    start_ms: float  # the play's start on the traces' clock

    def spent_at_s(self) -> list[float]:
        """When each unit was, in seconds since the start."""
        return [(at - self.start_ms) / MS for trace in self.traces for at in trace.spent]


@dataclass
class Observations:
    """One play of one variant."""

    proxies: int
    capacity_per_s: float  # of each server
    started_at_s: list[float] = field(default_factory=list)  # when each proxy listened
    polled_at_s: list[float] = field(default_factory=list)
    listed_at_s: list[float] = field(default_factory=list)  # when the board gave a proxy its list
    connected_at_s: dict[str, list[float]] = field(default_factory=dict)  # by server, when each was accepted
    open_connections: dict[str, int] = field(default_factory=dict)
    set_ups_at_s: dict[str, list[float]] = field(default_factory=dict)  # by server, when each came
    calls: list[CallResult] = field(default_factory=list)
    cold_servers: dict[str, ColdServer] = field(default_factory=dict)
    memory_mb: list[float] = field(default_factory=list)  # of each proxy, at the end
    cpu_s: list[float] = field(default_factory=list)
    loop_lag_ms: list[float] = field(default_factory=list)  # how late the rig's own loop was, each 10 ms
    budgets: dict[str, BudgetTrace] = field(default_factory=dict)  # those that were traced
