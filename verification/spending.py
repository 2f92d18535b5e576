"""Checks, over the traces of all processes, that they kept to a budget together.

Two invariants, each checked over every instant or window.  Shares: the leased shares of all processes, each
until its lease ends or the process logs another, sum to no more than what may be leased.  Units: in every
window the units spent by all processes are no more than the total allows for it, its burst, and one unit for
each process.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

THOUSANDTHS = 1000.0


@dataclass(slots=True)
class Trace:
    """The budget events of one process; times in ms on the machine's steady clock, rates a second."""

    process: str
    own: float = 0.0  # its unleased quota
    shares: list[tuple[float, float, float]] = field(default_factory=list)  # from, until, share
    spent: list[float] = field(default_factory=list)  # a time for each unit


def read_trace(path: Path, budget: str) -> Trace:
    """The trace in a process's log of JSON lines; a line that is cut short, as by a kill, is skipped."""
    trace = Trace(path.stem)
    for line in path.read_text().splitlines():
        try:
            event = json.loads(line)
        except ValueError:
            continue
        if event.get("event") == "budget.share" and event["budget"] == budget:
            trace.own = event["own"] / THOUSANDTHS
            if trace.shares:  # the share before ends at this event, at the latest
                start_ms, until_ms, share = trace.shares[-1]
                trace.shares[-1] = start_ms, min(until_ms, event["at_ms"]), share
            trace.shares.append((event["at_ms"], event["until_ms"], event["share"] / THOUSANDTHS))
        elif event.get("event") == "budget.spent" and budget in event["budgets"]:
            trace.spent.append(event["at_ms"])
    return trace


def most_shared(traces: Iterable[Trace]) -> float:
    """The maximum, over all instants, of the sum of the leased shares, a second."""
    changes: list[tuple[float, float]] = []
    for trace in traces:
        for start_ms, until_ms, share in trace.shares:
            if until_ms > start_ms:
                changes += [(start_ms, share), (until_ms, -share)]
    current = maximum = 0.0
    for _, change in sorted(changes):  # at one instant a share that ends comes before one that starts
        current += change
        maximum = max(maximum, current)
    return maximum


def worst_window(traces: Iterable[Trace], total_per_s: float, burst_ms: float) -> float:
    """The maximum, over all windows, of the units spent beyond what the total and the burst allow for it.

    No more than the number of processes is within the invariant: each may spend a unit that it has saved up.
    """
    spent_ms = sorted(at_ms for trace in traces for at_ms in trace.spent)
    # From the i-th unit to the j-th there are j - i + 1 units.  Its excess is the difference of
    # two values, each a number of units less what the total allows up to its time; the first is the minimum.
    worst, minimum = float("-inf"), float("inf")
    for place, at_ms in enumerate(spent_ms):
        allowed = total_per_s * at_ms / THOUSANDTHS
        minimum = min(minimum, place - allowed)
        worst = max(worst, place + 1 - allowed - minimum)
    return worst - total_per_s * burst_ms / THOUSANDTHS if spent_ms else 0.0


def used_per_s(traces: Iterable[Trace], start_ms: float, end_ms: float) -> float:
    """Units a second that all processes together spent from ``start_ms`` until before ``end_ms``."""
    count = sum(start_ms <= at_ms < end_ms for trace in traces for at_ms in trace.spent)
    return count * THOUSANDTHS / (end_ms - start_ms)


def most_in(times: Sequence[float], window: float) -> int:
    """The maximum number of these times, which are sorted, in any window of this length."""
    maximum = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        maximum = max(maximum, last - first + 1)
    return maximum
