"""Observations of one experiment run; times are seconds since its start unless noted otherwise."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from verification.spending import ProcessTrace

MS_PER_S = 1000.0


class CallResult(NamedTuple):
    """The outcome of one call; ``took_s`` counts from when the call was due, not from when it was sent."""

    due_s: float
    outcome: str
    took_s: float


class ColdServer(NamedTuple):
    """A server whose capacity grows from ``initial_fraction`` at its start to all of it in ``warm_up_s``."""

    start_s: float
    initial_fraction: float
    warm_up_s: float
    # The server fails when its load exceeds ``overload_factor`` times its capacity for ``overload_s``.
    overload_factor: float
    overload_s: float


class BudgetTrace(NamedTuple):
    """A budget of the fleet and its trace from each process of the run; rates are in units a second."""

    total_per_s: float
    leased_per_s: float
    burst_ms: float
    traces: list[ProcessTrace]
    start_ms: float  # start of the run on the clock of the traces

    def spent_at_s(self) -> list[float]:
        """Return the time at which each unit was spent, in seconds since the start of the run."""
        return [(at - self.start_ms) / MS_PER_S for trace in self.traces for at in trace.spent]


@dataclass
class Observations:
    """The observations of one run of one variant; lists of times are unsorted."""

    proxies: int
    capacity_per_s: float  # of each server
    started_at_s: list[float] = field(default_factory=list)  # when each proxy began to listen
    polled_at_s: list[float] = field(default_factory=list)  # when service discovery was polled
    listed_at_s: list[float] = field(default_factory=list)  # when a proxy was sent its first list
    connected_at_s: dict[str, list[float]] = field(default_factory=dict)  # by server, when each was accepted
    open_connections: dict[str, int] = field(default_factory=dict)  # by server, at the end
    set_ups_at_s: dict[str, list[float]] = field(default_factory=dict)  # by server, when each was received
    calls: list[CallResult] = field(default_factory=list)
    cold_servers: dict[str, ColdServer] = field(default_factory=dict)  # by server
    memory_mb: list[float] = field(default_factory=list)  # of each proxy, at the end
    cpu_s: list[float] = field(default_factory=list)  # of each proxy, at the end
    loop_lag_ms: list[float] = field(default_factory=list)  # of the measuring event loop, each 10 ms
    budgets: dict[str, BudgetTrace] = field(default_factory=dict)  # by name; only traced budgets
