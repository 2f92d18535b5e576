"""Proves from the processes' own traces that they kept a budget together.

Two proofs, each over every instant or window.  Shares: what all processes said that they may use, each until
its lease ends or its next word, sums to no more than the whole.  Units: in every window what they spent
together is no more than the whole allows for it, its burst, and one unit for each process.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

THOUSANDTHS = 1000.0


@dataclass(slots=True)
class Trace:
    """What one process said; times in ms on the machine's steady clock."""

    process: str
    own: float = 0.0  # its part of what is kept back, a second
    shares: list[tuple[float, float, float]] = field(default_factory=list)  # from, until, a second
    spent: list[float] = field(default_factory=list)


def read_trace(path: Path, budget: str) -> Trace:
    """The trace in a process's log of JSON lines; a last line that is cut short is a killed process's."""
    trace = Trace(path.stem)
    for line in path.read_text().splitlines():
        try:
            said = json.loads(line)
        except ValueError:
            continue
        if said.get("event") == "budget.share" and said["budget"] == budget:
            trace.own = said["own"] / THOUSANDTHS
            if trace.shares:  # the one before ends with this word, at the latest
                began, until, share = trace.shares[-1]
                trace.shares[-1] = began, min(until, said["at_ms"]), share
            trace.shares.append((said["at_ms"], said["until_ms"], said["share"] / THOUSANDTHS))
        elif said.get("event") == "budget.spent" and budget in said["budgets"]:
            trace.spent.append(said["at_ms"])
    return trace


def most_shared(traces: Iterable[Trace]) -> float:
    """The most that the leased shares ever summed to, a second."""
    edges: list[tuple[float, float]] = []
    for trace in traces:
        for began, until, share in trace.shares:
            if until > began:
                edges += [(began, share), (until, -share)]
    total = most = 0.0
    for _, change in sorted(edges):  # at one instant what ends comes first
        total += change
        most = max(most, total)
    return most


def worst_window(traces: Iterable[Trace], whole_per_s: float, burst_ms: float) -> float:
    """The most units spent in any window past what the whole allows for it, its burst included.

    No more than the number of processes is within the bound: each may spend a unit it has saved up.
    """
    spent = sorted(at for trace in traces for at in trace.spent)
    # Units up to the j-th, less the whole's for the time up to it: from i to j there are (j - i + 1) units.
    worst, least = float("-inf"), float("inf")
    for place, at in enumerate(spent):
        least = min(least, place - whole_per_s * at / THOUSANDTHS)
        worst = max(worst, place + 1 - whole_per_s * at / THOUSANDTHS - least)
    return worst - whole_per_s * burst_ms / THOUSANDTHS if spent else 0.0


def used_per_s(traces: Iterable[Trace], began_ms: float, ended_ms: float) -> float:
    """Units a second that all spent together in this time."""
    count = sum(began_ms <= at < ended_ms for trace in traces for at in trace.spent)
    return count * THOUSANDTHS / (ended_ms - began_ms)


def most_in(times: Sequence[float], window: float) -> int:
    """The most of these times, which are sorted, in any window."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        most = max(most, last - first + 1)
    return most
