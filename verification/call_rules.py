"""Checks the rules of the service over a trace of what the peers of a deployment observed (``CallTrace``).

Each time limit is extended by the platform's slack of 50 ms and by the maximum lateness of the observer's
event loop, since an event may have happened that much earlier than its recorded time.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from verification.call_trace import Answer, CallerCall, CallTrace, Drain, End, ServerAttempt, ServerCall

SLACK_S = 0.05  # the platform's extension of every time limit
RELEASE_LIMIT_S = 1.0  # time to pass a release on
UNSENDABLE_RELEASE_LIMIT_S = 8.0  # time to pass a release on where no connection could carry it
DRAIN_LIMIT_S = 4.0  # time from a quiesce until a process has no idle connections and reports not ready
MIN_DRAIN_SET_UP_AGE_S = 2.0  # after DRAIN_LIMIT_S, a process holds no connection with a younger set-up
RESUME_LIMIT_S = 2.0  # time from a resume until a process reports ready
MAX_DESCRIPTOR_GROWTH = 3
MAX_MEMORY_GROWTH_MB = 8.0
TRACEBACK = "Traceback (most recent call last)"
RELEASE_WAIT_ENDS = (End.CANCELLED, End.DISCONNECTED)  # ends of an attempt that require the release wait


class Violation(NamedTuple):
    """One broken rule."""

    rule: str
    text: str
    call_id: str | None = None


def check_final_answers(trace: CallTrace) -> Iterator[Violation]:
    """Each call gets one final answer by its caller's deadline, and its connection does not end before."""
    allowance_s = SLACK_S + trace.max_lateness_s
    for call in trace.calls.values():
        if len(call.answers) > 1:
            answers = ", ".join(answer.value for _, answer in call.answers)
            yield Violation("answers", f"call {call.call_id} got {answers}", call.call_id)
        if call.lost_s is not None:
            lost_ms = 1000 * (call.lost_s - call.sent_s)
            text = f"call {call.call_id} lost its connection {lost_ms:.0f} ms after its set-up, unanswered"
            yield Violation("lost", text, call.call_id)
        elif not call.answers and _waited_past_deadline(call, allowance_s, trace.ended_s):
            yield Violation("unanswered", f"call {call.call_id} got no final answer", call.call_id)
        elif call.answers and call.answers[0][0] > call.deadline_s + allowance_s:
            late_ms = 1000 * (call.answers[0][0] - call.deadline_s)
            text = f"call {call.call_id} was answered {late_ms:.0f} ms after its deadline"
            yield Violation("late", text, call.call_id)


def _waited_past_deadline(call: CallerCall, allowance_s: float, trace_ended_s: float) -> bool:
    """Return whether the caller waited until past its deadline, instead of ending the call earlier."""
    waited_until_s = trace_ended_s if call.ended_by_caller_s is None else call.ended_by_caller_s
    return waited_until_s > call.deadline_s + allowance_s


def check_served_by_a_server(trace: CallTrace) -> Iterator[Violation]:
    """A caller is told that its call is established only if a call server established it."""
    established = {each.call_id for each in trace.established}
    for call in trace.calls.values():
        if call.served_s is not None and call.call_id not in established:
            yield Violation("made up", f"call {call.call_id} was established at no server", call.call_id)


def check_attempts(trace: CallTrace) -> Iterator[Violation]:
    """Attempts of a call never overlap, and the release wait passes after one that was given up."""
    by_call: dict[str, list[ServerAttempt]] = defaultdict(list)
    for attempt in trace.attempts:
        by_call[attempt.call_id].append(attempt)
    for call_id, attempts in by_call.items():
        if call_id in trace.calls and trace.calls[call_id].resent:
            continue  # two processes may handle it, each without knowing the other's attempts
        attempts.sort(key=lambda attempt: attempt.received_s)
        for index, later in enumerate(attempts[1:], 1):
            for earlier in attempts[:index]:
                yield from _check_two_attempts(trace, earlier, later)


def _check_two_attempts(
    trace: CallTrace, earlier: ServerAttempt, later: ServerAttempt
) -> Iterator[Violation]:
    allowance_s = SLACK_S + trace.max_lateness_s
    pair = f"attempts of call {earlier.call_id} at {earlier.server} and {later.server}"
    if earlier.ended_s is None or earlier.ended_s > later.received_s + allowance_s:
        yield Violation("two attempts", f"{pair} overlap", earlier.call_id)
    elif earlier.end in RELEASE_WAIT_ENDS:
        waited_s = later.received_s - earlier.ended_s
        if waited_s < trace.release_wait_s - allowance_s:
            text = f"{pair}: the second came {1000 * waited_s:.0f} ms after the first was given up"
            yield Violation("release wait", text, earlier.call_id)


def check_drained_servers(trace: CallTrace) -> Iterator[Violation]:
    """No server gets an attempt later than the grace period after the notification of its drain or end."""
    allowance_s = trace.drain_grace_s + SLACK_S + trace.max_lateness_s
    for notification in trace.drain_notifications:
        for attempt in trace.attempts:
            if (
                attempt.server == notification.server
                and notification.at_s + allowance_s < attempt.received_s < notification.until_s
            ):
                late_ms = 1000 * (attempt.received_s - notification.at_s)
                text = (
                    f"call {attempt.call_id} was sent to {notification.server} "
                    f"{late_ms:.0f} ms after the notification of its drain"
                )
                yield Violation("drained server", text, attempt.call_id)


def check_releases(trace: CallTrace) -> Iterator[Violation]:
    """The release of an established call by one side reaches the other side within the time limit."""
    for served in trace.established:
        call = trace.calls.get(served.call_id)
        if call is None:
            continue
        ended_s = _end_by_server_s(call, served)
        limit_s = _limit_to_caller_s(trace, ended_s)
        if ended_s is not None and ended_s + limit_s < trace.ended_s:
            released_s = min(call.releases_s, default=None)
            if released_s is None or released_s > ended_s + limit_s:
                text = f"call {call.call_id}: its caller got no release in time from {served.server}"
                yield Violation("release to caller", text, call.call_id)
        caller_ended_s = call.ended_by_caller_s
        limit_s = _limit_to_server_s(trace, served.server, caller_ended_s)
        if caller_ended_s is not None and served.server_gone_s is None:
            due_s = max(caller_ended_s, served.established_s) + limit_s
            ended_s = min(served.released_by_server_s or trace.ended_s, trace.ended_s)
            if due_s < ended_s and (served.released_by_proxy_s or float("inf")) > due_s:
                text = f"call {call.call_id}: {served.server} got no release in time from its caller"
                yield Violation("release to server", text, call.call_id)


def _limit_to_caller_s(trace: CallTrace, ended_s: float | None) -> float:
    """Return the time limit for a release by the server at ``ended_s`` to reach the caller."""
    due_s = (ended_s or 0.0) + RELEASE_LIMIT_S
    unsendable = any(ended_s is not None and ended_s <= at_s <= due_s for at_s in trace.no_connection_times_s)
    limit_s = UNSENDABLE_RELEASE_LIMIT_S if unsendable else RELEASE_LIMIT_S
    return limit_s + SLACK_S + trace.max_lateness_s


def _limit_to_server_s(trace: CallTrace, server: str, caller_ended_s: float | None) -> float:
    """Return the time limit for a release by the caller at ``caller_ended_s`` to reach the server."""
    at_s = caller_ended_s or 0.0
    disturbed = any(
        each.server == server and each.from_s <= at_s + RELEASE_LIMIT_S and at_s <= each.until_s
        for each in trace.disturbed
    )
    limit_s = UNSENDABLE_RELEASE_LIMIT_S if disturbed else RELEASE_LIMIT_S
    return limit_s + SLACK_S + trace.max_lateness_s


def _end_by_server_s(call: CallerCall, served: ServerCall) -> float | None:
    """Return the earliest known time at which the server released a call established for its caller."""
    ends_s = (served.release_written_s, served.released_by_server_s)
    return next((at_s for at_s in ends_s if at_s is not None and _is_established(call, at_s)), None)


def _is_established(call: CallerCall, at_s: float) -> bool:
    """Return whether the call is established for its caller at this time."""
    ended_s = min([*call.releases_s, call.ended_by_caller_s or float("inf")], default=float("inf"))
    return call.served_s is not None and call.served_s <= at_s < ended_s


def check_refused_connections(trace: CallTrace) -> Iterator[Violation]:
    """No connection is refused while a process is ready."""
    for at_s in trace.refused_connections_s:
        yield Violation("door", f"a connection was refused at {at_s:.3f} while a process was ready")


def check_drains(trace: CallTrace) -> Iterator[Violation]:
    """A quiesced process closes its callers' connections and reports not ready, then ready once resumed."""
    for drain in trace.drains:
        yield from _check_drain(trace, drain)


def _check_drain(trace: CallTrace, drain: Drain) -> Iterator[Violation]:
    allowance_s = SLACK_S + trace.max_lateness_s
    due_s = drain.from_s + DRAIN_LIMIT_S + allowance_s
    for answer in trace.readiness:
        if answer.process == drain.process and answer.ready and due_s < answer.at_s < drain.until_s:
            yield Violation("drain", f"{drain.process} reported ready during its drain")
            break
    for held in trace.held:
        during = held.process == drain.process and due_s < held.at_s < drain.until_s
        idle = held.request_age_s is None and not held.established
        young = held.request_age_s is not None and held.request_age_s < MIN_DRAIN_SET_UP_AGE_S
        if during and (idle or young):
            state = "an idle connection" if idle else "a connection with a new set-up"
            yield Violation("drain", f"{drain.process} held {state} during its drain")
            break
    resume_due_s = drain.until_s + RESUME_LIMIT_S + allowance_s
    if drain.resumed and resume_due_s < trace.ended_s:
        since = [a for a in trace.readiness if a.process == drain.process and a.at_s >= drain.until_s]
        if since and not any(answer.ready and answer.at_s <= resume_due_s for answer in since):
            yield Violation("resume", f"{drain.process} did not report ready after its resume")


def check_processes(trace: CallTrace) -> Iterator[Violation]:
    """Processes exit only on SIGTERM, with status 0 and before SIGKILL, log no traceback, and do not grow."""
    for process in trace.processes:
        if TRACEBACK in process.log:
            yield Violation(
                "traceback", f"{process.name}: {process.log[process.log.index(TRACEBACK) :][:2000]}"
            )
        if process.killed:
            yield Violation("exit", f"{process.name} did not exit before SIGKILL")
        elif process.exit_status is not None and (process.exit_status != 0 or process.terminated_s is None):
            yield Violation("exit", f"{process.name} ended with {process.exit_status}")
        if process.first_usage is not None and process.last_usage is not None:
            descriptors = process.last_usage[0] - process.first_usage[0]
            memory_mb = process.last_usage[1] - process.first_usage[1]
            if descriptors > MAX_DESCRIPTOR_GROWTH:
                yield Violation("descriptors", f"{process.name} grew by {descriptors} descriptors")
            if memory_mb > MAX_MEMORY_GROWTH_MB:
                yield Violation("memory", f"{process.name} grew by {memory_mb:.1f} MB")


RULES: tuple[Callable[[CallTrace], Iterator[Violation]], ...] = (
    check_final_answers,
    check_served_by_a_server,
    check_attempts,
    check_drained_servers,
    check_releases,
    check_refused_connections,
    check_drains,
    check_processes,
)


def check(trace: CallTrace) -> list[Violation]:
    """Return all violations of all rules."""
    return [violation for rule in RULES for violation in rule(trace)]


def count_answers(trace: CallTrace) -> dict[Answer, int]:
    """Return the number of calls for each final answer; of several answers the first counts."""
    counts = dict.fromkeys(Answer, 0)
    for call in trace.calls.values():
        if call.answers:
            counts[call.answers[0][1]] += 1
    return counts
