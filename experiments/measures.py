"""Computes the figures of one experiment run from its observations; times are seconds since its start."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from experiments.observations import BudgetTrace, CallResult, ColdServer, Observations
from verification.spending import max_count_in_window, max_leased_per_s, max_window_excess

HISTOGRAM_MAX_MS, HISTOGRAM_DIGITS = 60_000, 3
US_PER_MS = 1000
STEADY_FRACTION, STEADY_WINDOW_S = 0.95, 2.0  # service is steady with this fraction served in every window
INITIAL_POLLS_S = 4.0  # the first polls count as ended this long after the start of the last proxy


class Figure(NamedTuple):
    """One measured value in ``unit``, empty for a count or a fraction; a value of None was never reached."""

    name: str
    unit: str
    value: float | None


def histogram(values_ms: Sequence[float]) -> HdrHistogram:
    """Return a histogram of these values, recorded in microseconds with three significant digits."""
    found = HdrHistogram(1, HISTOGRAM_MAX_MS * US_PER_MS, HISTOGRAM_DIGITS)
    for value in values_ms:
        found.record_value(max(1, int(value * US_PER_MS)))
    return found


def percentile(values_ms: Sequence[float], percent: float) -> float | None:
    """Return a percentile of these values in milliseconds; None without values."""
    return histogram(values_ms).get_value_at_percentile(percent) / US_PER_MS if values_ms else None


def per_second(times: Sequence[float], duration_s: float) -> list[int]:
    """Return how many of these times, in seconds, fall into each second of the run."""
    counts = [0] * int(duration_s)
    for at in times:
        if 0 <= at < len(counts):
            counts[int(at)] += 1
    return counts


def served_fractions(calls: Sequence[CallResult], duration_s: float) -> list[float | None]:
    """Return the fraction served of the calls due in each second; None for a second without calls."""
    due = per_second([call.due_s for call in calls], duration_s)
    served = per_second([call.due_s for call in calls if call.outcome == "served"], duration_s)
    return [served_count / count if count else None for served_count, count in zip(served, due, strict=True)]


def steady_since_s(calls: Sequence[CallResult], duration_s: float) -> float | None:
    """Return the time of the first call after the last bad window; None: service never became steady.

    A window of ``STEADY_WINDOW_S`` with less than ``STEADY_FRACTION`` served is bad. One begins at each call:
    fixed windows would split a gap that crosses an edge between them.
    """
    ordered = sorted(calls)
    complete = [call for call in ordered if call.due_s < duration_s - STEADY_WINDOW_S]
    last_bad_s = None
    last, served = 0, 0
    for first, call in enumerate(complete):
        while last < len(ordered) and ordered[last].due_s < call.due_s + STEADY_WINDOW_S:
            served += ordered[last].outcome == "served"
            last += 1
        if served < STEADY_FRACTION * (last - first):
            last_bad_s = call.due_s
        served -= call.outcome == "served"
    return next((call.due_s for call in complete if last_bad_s is None or call.due_s > last_bad_s), None)


def worst_cold_load(set_ups: Sequence[float], cold: ColdServer, capacity_per_s: float) -> float:
    """Return the highest load of a cold server in any window of ``overload_s``, over the load it can bear.

    Above 1 the server fails. The capacity at the beginning of a window counts, as it only grows.
    """
    times = sorted(at for at in set_ups if at >= cold.start_s)
    worst, last = 0.0, 0
    for first, start_s in enumerate(times):
        while last < len(times) and times[last] < start_s + cold.overload_s:
            last += 1
        elapsed_fraction = min(1.0, (start_s - cold.start_s) / cold.warm_up_s)
        capacity_now_per_s = capacity_per_s * (
            cold.initial_fraction + (1 - cold.initial_fraction) * elapsed_fraction
        )
        count = last - first
        if count > 1:  # a single set-up cannot overload a server
            worst = max(worst, count / (cold.overload_factor * capacity_now_per_s * cold.overload_s))
    return worst


def compute_figures(observations: Observations, duration_s: float, recovered_s: float | None) -> list[Figure]:
    """Return all figures of one run.

    ``recovered_s`` is the end of the last fault of service discovery; None without such a fault.
    """
    figures = [Figure("all are up after", "s", max(observations.started_at_s, default=None))]
    figures += _discovery_figures(observations, recovered_s)
    figures += _server_figures(observations)
    figures += _call_figures(observations, duration_s)
    for name, budget in observations.budgets.items():
        figures += _budget_figures(name, budget, duration_s)
    return figures + _process_figures(observations)


def _server_figures(observations: Observations) -> list[Figure]:
    open_connections = observations.open_connections.values()
    accepted = max(
        (max_count_in_window(sorted(times), 1.0) for times in observations.connected_at_s.values()), default=0
    )
    set_ups = max(
        (max_count_in_window(sorted(times), 0.1) for times in observations.set_ups_at_s.values()), default=0
    )
    figures = [
        Figure("connections at a server, most in 1 s", "", accepted),
        Figure("connections at a server at the end, most", "", max(open_connections, default=0)),
        Figure("connections in all at the end", "", sum(open_connections)),
        Figure("set-ups at a server, most in 0.1 s", "", set_ups),
    ]
    if observations.cold_servers:
        worst = max(
            worst_cold_load(observations.set_ups_at_s.get(name, ()), cold, observations.capacity_per_s)
            for name, cold in observations.cold_servers.items()
        )
        figures.append(Figure("load of a cold server, over what it bears, worst", "", worst))
    return figures


def _process_figures(observations: Observations) -> list[Figure]:
    """Return the memory and processor time of the proxies, and the lag of the measuring event loop."""
    figures = []
    for name, unit, values in (
        ("memory of a proxy, mean", "MB", observations.memory_mb),
        ("processor time of a proxy, mean", "s", observations.cpu_s),
    ):
        if values:
            figures.append(Figure(name, unit, sum(values) / len(values)))
    if observations.loop_lag_ms:
        figures += [
            Figure("the rig's own loop was late, 99 %", "ms", percentile(observations.loop_lag_ms, 99.0)),
            Figure("the rig's own loop was late, most", "ms", max(observations.loop_lag_ms)),
        ]
    return figures


def _discovery_figures(observations: Observations, recovered_s: float | None) -> list[Figure]:
    """Return the poll rates and, after a fault of service discovery, when the proxies had a list again."""
    polls = sorted(observations.polled_at_s)
    figures = [
        Figure("polls, most in 0.1 s", "", max_count_in_window(polls, 0.1)),
        Figure("polls, most in 1 s", "", max_count_in_window(polls, 1.0)),
    ]
    if recovered_s is None:
        return figures
    start_s = max(observations.started_at_s, default=0.0) + INITIAL_POLLS_S
    if start_s < recovered_s:
        polls_per_s = sum(start_s <= at < recovered_s for at in polls) / (recovered_s - start_s)
        figures.append(Figure("polls a second while the board is in trouble", "a second", polls_per_s))
    after = [at for at in polls if at >= recovered_s]
    listed = sorted(at for at in observations.listed_at_s if at >= recovered_s)
    for fraction in (0.5, 0.95, 1.0):
        needed = max(1, round(fraction * observations.proxies))
        delay_s = listed[needed - 1] - recovered_s if len(listed) >= needed else None
        figures.append(Figure(f"{fraction:.0%} have the list after its return", "s", delay_s))
    return [*figures, Figure("polls after its return, most in 0.1 s", "", max_count_in_window(after, 0.1))]


def _budget_figures(name: str, budget: BudgetTrace, duration_s: float) -> list[Figure]:
    """Return the use of a budget as fractions of its limits; above 1 the budget was violated."""
    processes = max(1, sum(bool(trace.spent) for trace in budget.traces))
    return [
        Figure(
            f"budget {name}: shares at any instant, most, over what may be leased",
            "",
            max_leased_per_s(budget.traces) / budget.leased_per_s if budget.leased_per_s else 0.0,
        ),
        Figure(
            f"budget {name}: spent past the whole in any window, over one unit a process",
            "",
            max_window_excess(budget.traces, budget.total_per_s, budget.burst_ms) / processes,
        ),
        Figure(
            f"budget {name}: spent of the whole",
            "",
            len(budget.spent_at_s()) / (budget.total_per_s * duration_s),
        ),
    ]


def _call_figures(observations: Observations, duration_s: float) -> list[Figure]:
    if not observations.calls:
        return []
    took_ms = [call.took_s * 1000 for call in observations.calls if call.outcome == "served"]
    served = len(took_ms) / len(observations.calls)
    return [
        Figure("served of all calls", "", served),
        Figure("95 % are served from", "s", steady_since_s(observations.calls, duration_s)),
        Figure("set-up time, 50 %", "ms", percentile(took_ms, 50.0)),
        Figure("set-up time, 99 %", "ms", percentile(took_ms, 99.0)),
    ]
