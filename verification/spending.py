"""Checks the logs of all processes: together they must not exceed a budget.

There are two invariants. At every instant, the leased shares of all processes sum to no more than what may
be leased; a share counts until its lease ends or the process logs another share. In every window, all
processes together spend no more units than the budget's total allows for the window, plus its burst, plus one
unit for each process.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

MILLI = 1000.0  # logged rates are in thousandths of a unit a second, logged times in ms


@dataclass(slots=True)
class ProcessTrace:
    """The budget events of one process: times in ms of ``CLOCK_BOOTTIME``, rates in units a second."""

    process: str
    unleased_per_s: float = 0.0  # the unleased quota
    shares: list[tuple[float, float, float]] = field(default_factory=list)  # start, end and rate of each
    spent: list[float] = field(default_factory=list)  # the time of each unit


def read_trace(path: Path, budget: str) -> ProcessTrace:
    """Read the events of one budget from a log of JSON lines.

    A line that is incomplete, for example after SIGKILL, is skipped.
    """
    trace = ProcessTrace(path.stem)
    for line in path.read_text().splitlines():
        try:
            event = json.loads(line)
        except ValueError:
            continue
        if event.get("event") == "budget.share" and event["budget"] == budget:
            trace.unleased_per_s = event["own"] / MILLI
            if trace.shares:  # the previous share ends at this event at the latest
                start_ms, until_ms, share = trace.shares[-1]
                trace.shares[-1] = start_ms, min(until_ms, event["at_ms"]), share
            trace.shares.append((event["at_ms"], event["until_ms"], event["share"] / MILLI))
        elif event.get("event") == "budget.spent" and budget in event["budgets"]:
            trace.spent.append(event["at_ms"])
    return trace


def max_leased_per_s(traces: Iterable[ProcessTrace]) -> float:
    """Return the maximum, over all instants, of the sum of the leased shares, in units a second."""
    changes: list[tuple[float, float]] = []
    for trace in traces:
        for start_ms, until_ms, share in trace.shares:
            if until_ms > start_ms:
                changes += [(start_ms, share), (until_ms, -share)]
    current = maximum = 0.0
    for _, change in sorted(changes):  # at the same instant, shares end before others start
        current += change
        maximum = max(maximum, current)
    return maximum


def max_window_excess(traces: Iterable[ProcessTrace], total_per_s: float, burst_ms: float) -> float:
    """Return the maximum, over all windows, of the units spent in excess of the total and the burst.

    The invariant allows an excess of one unit for each process, which the process may have saved up.
    """
    spent_ms = sorted(at_ms for trace in traces for at_ms in trace.spent)
    # The window from unit i to unit j has j - i + 1 units. With allowed(n), what the total allows up to the
    # time of unit n, its excess is (j + 1 - allowed(j)) - (i - allowed(i)). Of all windows that end with
    # unit j, the one with the minimum of i - allowed(i) therefore has the largest excess.
    worst, minimum = float("-inf"), float("inf")
    for index, at_ms in enumerate(spent_ms):
        allowed = total_per_s * at_ms / MILLI
        minimum = min(minimum, index - allowed)
        worst = max(worst, index + 1 - allowed - minimum)
    return worst - total_per_s * burst_ms / MILLI if spent_ms else 0.0


def used_per_s(traces: Iterable[ProcessTrace], start_ms: float, end_ms: float) -> float:
    """Return the units a second that all processes spent from ``start_ms`` (included) to ``end_ms`` (not)."""
    count = sum(start_ms <= at_ms < end_ms for trace in traces for at_ms in trace.spent)
    return count * MILLI / (end_ms - start_ms)


def max_count_in_window(times: Sequence[float], window: float) -> int:
    """Return the maximum number of ``times``, which are sorted, in any window of the length ``window``."""
    maximum = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        maximum = max(maximum, last - first + 1)
    return maximum
