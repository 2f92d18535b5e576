"""Formats the result of a soak run: a summary line and, for a failure, the details to diagnose it."""

from __future__ import annotations

import re

from experiments.soak.scenario import Scenario
from verification.call_rules import Violation, check, count_answers
from verification.call_trace import CallTrace, ServerCall

MAX_VIOLATIONS = 8  # printed per run
# Server events are printed from this long before a release until this long after it.
EVENTS_BEFORE_S, EVENTS_AFTER_S = 1.0, 1.2
LOG_LINE = re.compile(r"\d{4}-\d\d-\d\d ")  # a log line begins with its date, a counter line does not


def evaluate(scenario: Scenario, trace: CallTrace) -> tuple[str, list[Violation]]:
    """Check the rules; return a summary line and the violations."""
    violations = check(trace)
    answers = ", ".join(f"{count} {answer.value}" for answer, count in count_answers(trace).items())
    state = f"{len(violations)} violations" if violations else "no violations"
    lateness_ms = 1000 * trace.max_lateness_s
    line = f"seed {scenario.seed}: {state}; {len(trace.calls)} calls: {answers}; {scenario.describe()}"
    return f"{line}; event loop lag at most {lateness_ms:.0f} ms", violations


def describe_failure(scenario: Scenario, trace: CallTrace, violations: list[Violation]) -> str:
    """Return the violations, the command to repeat the run, the timeline of one call, and the logs."""
    lines = [f"  {violation.rule}: {violation.text}" for violation in violations[:MAX_VIOLATIONS]]
    lines.append(f"  to repeat: python -m experiments.soak --seed {scenario.seed}")
    call_id = next((v.call_id for v in violations if v.call_id is not None), None)
    if call_id is not None:
        lines += [f"  call {call_id}:", *(f"    {line}" for line in call_timeline(trace, call_id))]
    for process in trace.processes:
        lines.append(f"  log of {process.name}:")
        lines += [f"    {line}" for line in process.log.splitlines() if _is_relevant(line, call_id)]
    return "\n".join(lines)


def call_timeline(trace: CallTrace, call_id: str) -> list[str]:
    """Return the events of one call at all its peers, in order of time."""
    events: list[tuple[float, str]] = []
    if (call := trace.calls.get(call_id)) is not None:
        events.append((call.sent_s, "caller sends the set-up" + (", again" if call.resent else "")))
        events.append((call.deadline_s, "caller's deadline"))
        events += [
            (at_s, f"caller receives the final answer: {answer.value}") for at_s, answer in call.answers
        ]
        events += [(at_s, "caller receives a release") for at_s in call.releases_s]
        events += call.exchanges
        events += [(at_s, text) for at_s, text in _caller_end_events(trace, call_id) if at_s is not None]
    for attempt in trace.attempts:
        if attempt.call_id == call_id:
            events.append((attempt.received_s, f"{attempt.server} receives the set-up"))
            if attempt.ended_s is not None and attempt.end is not None:
                events.append((attempt.ended_s, f"{attempt.server}: {attempt.end.value}"))
    for established in trace.established:
        if established.call_id == call_id:
            server = established.server
            ends = [
                (established.released_by_server_s, f"{server} releases the call"),
                (established.released_by_proxy_s, f"{server} receives a release"),
                (established.server_gone_s, f"{server} stops and cuts the call"),
            ]
            events += [(at_s, text) for at_s, text in ends if at_s is not None]
            events += _connection_events(trace, established)
    first_s = min((at_s for at_s, _ in events), default=0.0)
    return [f"{at_s:.3f} (+{at_s - first_s:.3f}) {text}" for at_s, text in sorted(events)]


def _connection_events(trace: CallTrace, established: ServerCall) -> list[tuple[float, str]]:
    """Return the events on the server's connections around its release of the call."""
    released_s = established.release_written_s
    if released_s is None:
        return []
    return [
        (each.at_s, f"{each.server}, {each.text}{' of this call' if each.call_id else ''}")
        for each in trace.server_events
        if each.server == established.server
        and each.call_id in ("", established.call_id)
        and released_s - EVENTS_BEFORE_S <= each.at_s <= released_s + EVENTS_AFTER_S
    ]


def _caller_end_events(trace: CallTrace, call_id: str) -> list[tuple[float | None, str]]:
    call = trace.calls[call_id]
    return [(call.ended_by_caller_s, "caller ends the call"), (call.lost_s, "caller's connection ends")]


def _is_relevant(line: str, call_id: str | None) -> bool:
    """Return whether a line is a log line or names the call; the counters at the end of a log are not."""
    return (call_id is not None and call_id in line) or LOG_LINE.match(line) is not None
