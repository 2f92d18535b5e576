"""What a play showed, as figures: pure functions of when things happened, in seconds since the start."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from verification.spending import Trace, most_in, most_shared, worst_window

MS = 1000.0
LONGEST_MS, DIGITS = 60_000, 3
STEADY_SHARE, STEADY_S = 0.95, 2.0  # served of what came in every window so long
TROUBLE_SETTLES_S = 4.0  # after the last is up: first polls are over


class Call(NamedTuple):
    """One call; its wait counts from when it was due to come, not from when it could be sent."""

    due_s: float
    outcome: str
    took_s: float


class Cold(NamedTuple):
    """What a cold server can do: from ``share`` of its capacity at the start to all of it."""

    began_s: float
    share: float
    warm_s: float
    multiple: float  # more than so many times that, for ``span_s``, and it falls over
    span_s: float


class Budget(NamedTuple):
    """A budget of the whole fleet, and what every process that ever ran said of it."""

    whole_per_s: float
    leased_per_s: float
    burst_ms: float
    traces: list[Trace]
    began_ms: float  # the play's start on the traces' clock

    def spent(self) -> list[float]:
        """When each unit was, in seconds since the start."""
        return [(at - self.began_ms) / MS for trace in self.traces for at in trace.spent]


@dataclass
class Observed:
    """One play of one variant."""

    proxies: int
    capacity_per_s: float  # of each server
    up: list[float] = field(default_factory=list)  # when each proxy listened
    polls: list[float] = field(default_factory=list)
    told: list[float] = field(default_factory=list)  # when the board gave a proxy its list
    connections: dict[str, list[float]] = field(default_factory=dict)  # by server, when each was accepted
    open_at_end: dict[str, int] = field(default_factory=dict)
    set_ups: dict[str, list[float]] = field(default_factory=dict)  # by server, when each came
    calls: list[Call] = field(default_factory=list)
    cold: dict[str, Cold] = field(default_factory=dict)
    memory_mb: list[float] = field(default_factory=list)  # of each proxy, at the end
    cpu_s: list[float] = field(default_factory=list)
    late_ms: list[float] = field(default_factory=list)  # how late the rig's own loop was, each 10 ms
    budgets: dict[str, Budget] = field(default_factory=dict)  # those that were traced


class Figure(NamedTuple):
    """One thing measured; ``value`` None: it did not come to be."""

    what: str
    unit: str
    value: float | None


def histogram(values_ms: Sequence[float]) -> HdrHistogram:
    """Of milliseconds, to three digits."""
    found = HdrHistogram(1, LONGEST_MS * 1000, DIGITS)
    for value in values_ms:
        found.record_value(max(1, int(value * 1000)))
    return found


def percentile(values_ms: Sequence[float], share: float) -> float | None:
    """Of milliseconds; None: there are none."""
    return histogram(values_ms).get_value_at_percentile(share) / 1000 if values_ms else None


def per_second(times: Sequence[float], for_s: float) -> list[int]:
    """How many in each whole second."""
    counts = [0] * int(for_s)
    for at in times:
        if 0 <= at < len(counts):
            counts[int(at)] += 1
    return counts


def served_share(calls: Sequence[Call], for_s: float) -> list[float | None]:
    """Of the calls due in each second, those that were served; None: there were none."""
    due = per_second([call.due_s for call in calls], for_s)
    served = per_second([call.due_s for call in calls if call.outcome == "served"], for_s)
    return [good / asked if asked else None for good, asked in zip(served, due, strict=True)]


def steady_from(calls: Sequence[Call], for_s: float) -> float | None:
    """Since when ``STEADY_SHARE`` of the calls were served in every window of ``STEADY_S``; None: never.

    Windows begin with each call, so that no window's edge hides a gap.
    """
    ordered = sorted(calls)
    whole = [call for call in ordered if call.due_s < for_s - STEADY_S]  # whose windows end within the time
    bad_from = None
    last, served = 0, 0
    for first, call in enumerate(whole):
        while last < len(ordered) and ordered[last].due_s < call.due_s + STEADY_S:
            served += ordered[last].outcome == "served"
            last += 1
        if served < STEADY_SHARE * (last - first):
            bad_from = call.due_s
        served -= call.outcome == "served"
    return next((call.due_s for call in whole if bad_from is None or call.due_s > bad_from), None)


def worst_load(set_ups: Sequence[float], cold: Cold, capacity_per_s: float) -> float:
    """The most set-ups in any ``span_s``, over what the cold server could do in it; past 1 it falls over.

    Over the multiple that it bears; what it can do at the window's beginning counts, as it only grows.
    """
    times = sorted(at for at in set_ups if at >= cold.began_s)
    worst, last = 0.0, 0
    for first, began_s in enumerate(times):
        while last < len(times) and times[last] < began_s + cold.span_s:
            last += 1
        age = min(1.0, (began_s - cold.began_s) / cold.warm_s)
        can_per_s = capacity_per_s * (cold.share + (1 - cold.share) * age)
        count = last - first
        if count > 1:  # one alone is no load
            worst = max(worst, count / (cold.multiple * can_per_s * cold.span_s))
    return worst


def figures(seen: Observed, for_s: float, back_s: float | None) -> list[Figure]:
    """Every figure of one play; ``back_s``: when the board was back, where it was in trouble."""
    rows = [Figure("all are up after", "s", max(seen.up, default=None))]
    rows += _of_the_board(seen, back_s)
    accepted = max((most_in(sorted(times), 1.0) for times in seen.connections.values()), default=0)
    rows += [
        Figure("connections at a server, most in 1 s", "", accepted),
        Figure("connections at a server at the end, most", "", max(seen.open_at_end.values(), default=0)),
        Figure("connections in all at the end", "", sum(seen.open_at_end.values())),
        Figure(
            "set-ups at a server, most in 0.1 s",
            "",
            max((most_in(sorted(t), 0.1) for t in seen.set_ups.values()), default=0),
        ),
    ]
    if seen.cold:
        rows.append(
            Figure(
                "load of a cold server, over what it bears, worst",
                "",
                max(
                    worst_load(seen.set_ups.get(name, ()), cold, seen.capacity_per_s)
                    for name, cold in seen.cold.items()
                ),
            )
        )
    rows += _of_the_calls(seen, for_s)
    rows += [figure for name, budget in seen.budgets.items() for figure in _of_a_budget(name, budget, for_s)]
    for what, unit, values in (
        ("memory of a proxy, mean", "MB", seen.memory_mb),
        ("processor time of a proxy, mean", "s", seen.cpu_s),
    ):
        if values:
            rows.append(Figure(what, unit, sum(values) / len(values)))
    if seen.late_ms:
        rows += [
            Figure("the rig's own loop was late, 99 %", "ms", percentile(seen.late_ms, 99.0)),
            Figure("the rig's own loop was late, most", "ms", max(seen.late_ms)),
        ]
    return rows


def _of_the_board(seen: Observed, back_s: float | None) -> list[Figure]:
    polls = sorted(seen.polls)
    rows = [
        Figure("polls, most in 0.1 s", "", most_in(polls, 0.1)),
        Figure("polls, most in 1 s", "", most_in(polls, 1.0)),
    ]
    if back_s is None:
        return rows
    began_s = max(seen.up, default=0.0) + TROUBLE_SETTLES_S
    if began_s < back_s:
        lasting = sum(began_s <= at < back_s for at in polls) / (back_s - began_s)
        rows.append(Figure("polls a second while the board is in trouble", "a second", lasting))
    after = [at for at in polls if at >= back_s]
    told = sorted(at for at in seen.told if at >= back_s)
    for share in (0.5, 0.95, 1.0):
        needed = max(1, round(share * seen.proxies))
        heard = told[needed - 1] - back_s if len(told) >= needed else None
        rows.append(Figure(f"{share:.0%} have the list after its return", "s", heard))
    return [*rows, Figure("polls after its return, most in 0.1 s", "", most_in(after, 0.1))]


def _of_a_budget(name: str, budget: Budget, for_s: float) -> list[Figure]:
    """The proofs, each as a part of what is allowed: past 1 it does not hold."""
    processes = max(1, sum(bool(trace.spent) for trace in budget.traces))
    return [
        Figure(
            f"budget {name}: shares at any instant, most, over what may be leased",
            "",
            most_shared(budget.traces) / budget.leased_per_s if budget.leased_per_s else 0.0,
        ),
        Figure(
            f"budget {name}: spent past the whole in any window, over one unit a process",
            "",
            worst_window(budget.traces, budget.whole_per_s, budget.burst_ms) / processes,
        ),
        Figure(f"budget {name}: spent of the whole", "", len(budget.spent()) / (budget.whole_per_s * for_s)),
    ]


def _of_the_calls(seen: Observed, for_s: float) -> list[Figure]:
    if not seen.calls:
        return []
    took_ms = [call.took_s * 1000 for call in seen.calls if call.outcome == "served"]
    served = len(took_ms) / len(seen.calls)
    return [
        Figure("served of all calls", "", served),
        Figure("95 % are served from", "s", steady_from(seen.calls, for_s)),
        Figure("set-up time, 50 %", "ms", percentile(took_ms, 50.0)),
        Figure("set-up time, 99 %", "ms", percentile(took_ms, 99.0)),
    ]
