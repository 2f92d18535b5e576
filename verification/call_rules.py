"""The rules of the service, checked over what the peers of a deployment saw (``CallTrace``).

A time limit is extended by the platform's 50 ms and by the lateness of the observer's own event loop: what it
noted may have happened so much earlier.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from verification.call_trace import Answer, CallerCall, CallTrace, Drain, End, ServerAttempt, ServerCall

SLACK_S = 0.05  # the platform's, on every time limit
RELEASE_LIMIT_S = 1.0  # for a release to be passed on
UNSENDABLE_RELEASE_LIMIT_S = 8.0  # where there was no connection to send it on
DRAINED_AFTER_S = 4.0  # from then on a quiesced process holds no connection idle and says no
DRAIN_REQUEST_S = 2.0  # nor one with a set-up as young as this
RESUMED_WITHIN_S = 2.0  # a process says yes so long after its resume
MAX_DESCRIPTOR_GROWTH = 3
MAX_MEMORY_GROWTH_MB = 8.0
TRACEBACK = "Traceback (most recent call last)"
RELEASE_WAIT_ENDS = (End.CANCELLED, End.DISCONNECTED)


class Violation(NamedTuple):
    """One broken rule."""

    rule: str
    text: str
    call_id: str | None = None


def check_final_answers(trace: CallTrace) -> Iterator[Violation]:
    """Each call gets one final answer, by its caller's deadline, and its connection does not end before."""
    allowance_s = SLACK_S + trace.max_lateness_s
    for call in trace.calls.values():
        if len(call.answers) > 1:
            answers = ", ".join(answer.value for _, answer in call.answers)
            yield Violation("answers", f"call {call.call_id} got {answers}", call.call_id)
        if call.lost_s is not None:
            lost_ms = 1000 * (call.lost_s - call.sent_s)
            text = f"call {call.call_id}: its connection ended unanswered, {lost_ms:.0f} ms after its set-up"
            yield Violation("lost", text, call.call_id)
        elif not call.answers and _waited_in_vain(call, allowance_s, trace.ended_s):
            yield Violation("unanswered", f"call {call.call_id} got no final answer", call.call_id)
        elif call.answers and call.answers[0][0] > call.deadline_s + allowance_s:
            late_ms = 1000 * (call.answers[0][0] - call.deadline_s)
            text = f"call {call.call_id} was answered {late_ms:.0f} ms after its deadline"
            yield Violation("late", text, call.call_id)


def _waited_in_vain(call: CallerCall, allowance_s: float, ended_s: float) -> bool:
    """Whether its caller waited to its deadline, and did not end the call before."""
    waited_until_s = ended_s if call.abandoned_s is None else call.abandoned_s
    return waited_until_s > call.deadline_s + allowance_s


def check_served_by_a_server(trace: CallTrace) -> Iterator[Violation]:
    """A call is served only by a server's answer."""
    established = {each.call_id for each in trace.established}
    for call in trace.calls.values():
        if call.served_s is not None and call.call_id not in established:
            yield Violation("made up", f"call {call.call_id} was served by no server", call.call_id)


def check_attempts(trace: CallTrace) -> Iterator[Violation]:
    """No two attempts of a call at once, and the release wait after one that was given up."""
    by_call: dict[str, list[ServerAttempt]] = defaultdict(list)
    for attempt in trace.attempts:
        by_call[attempt.call_id].append(attempt)
    for call_id, attempts in by_call.items():
        if call_id in trace.calls and trace.calls[call_id].resent:
            continue  # two processes may have it, and neither knows of the other's
        attempts.sort(key=lambda attempt: attempt.received_s)
        for index, later in enumerate(attempts[1:], 1):
            for earlier in attempts[:index]:
                yield from _check_pair(trace, earlier, later)


def _check_pair(trace: CallTrace, earlier: ServerAttempt, later: ServerAttempt) -> Iterator[Violation]:
    allowance_s = SLACK_S + trace.max_lateness_s
    where = f"call {earlier.call_id} at {earlier.server} and {later.server}"
    if earlier.ended_s is None or earlier.ended_s > later.received_s + allowance_s:
        yield Violation("two attempts", f"{where} at once", earlier.call_id)
    elif earlier.end in RELEASE_WAIT_ENDS:
        waited_s = later.received_s - earlier.ended_s
        if waited_s < trace.release_wait_s - allowance_s:
            text = f"{where}: sent again {1000 * waited_s:.0f} ms after the first was given up"
            yield Violation("release wait", text, earlier.call_id)


def check_drained_servers(trace: CallTrace) -> Iterator[Violation]:
    """Nothing new to a server past the grace after the notification that it drains or is gone."""
    allowance_s = trace.drain_grace_s + SLACK_S + trace.max_lateness_s
    for told in trace.told:
        for attempt in trace.attempts:
            if attempt.server == told.server and told.at_s + allowance_s < attempt.received_s < told.until_s:
                late_ms = 1000 * (attempt.received_s - told.at_s)
                text = f"call {attempt.call_id} went to {told.server} {late_ms:.0f} ms after its notification"
                yield Violation("drained server", text, attempt.call_id)


def check_releases(trace: CallTrace) -> Iterator[Violation]:
    """The end of an established call reaches the other side within its limit."""
    for served in trace.established:
        call = trace.calls.get(served.call_id)
        if call is None:
            continue
        ended_s = _end_by_server_s(call, served)
        limit_s = _release_limit_s(trace, ended_s)
        if ended_s is not None and ended_s + limit_s < trace.ended_s:
            told_s = min(call.releases_s, default=None)
            if told_s is None or told_s > ended_s + limit_s:
                text = f"call {call.call_id} was ended by {served.server}, and its caller was not told"
                yield Violation("release to caller", text, call.call_id)
        given_up_s = call.abandoned_s
        limit_s = _limit_to_server_s(trace, served.server, given_up_s)
        if given_up_s is not None and served.cut_s is None:
            due_s = max(given_up_s, served.established_s) + limit_s
            ended_s = min(served.released_by_server_s or trace.ended_s, trace.ended_s)
            if due_s < ended_s and (served.released_by_proxy_s or float("inf")) > due_s:
                text = f"call {call.call_id} was ended by its caller, and {served.server} was not told"
                yield Violation("release to server", text, call.call_id)


def _release_limit_s(trace: CallTrace, ended_s: float | None) -> float:
    """For the release of a call that ended then to reach its caller."""
    due_s = (ended_s or 0.0) + RELEASE_LIMIT_S
    unsendable = any(ended_s is not None and ended_s <= at_s <= due_s for at_s in trace.unconnected_s)
    limit_s = UNSENDABLE_RELEASE_LIMIT_S if unsendable else RELEASE_LIMIT_S
    return limit_s + SLACK_S + trace.max_lateness_s


def _limit_to_server_s(trace: CallTrace, server: str, given_up_s: float | None) -> float:
    """For the release of a call that its caller ended then to reach the server."""
    at_s = given_up_s or 0.0
    disturbed = any(
        each.server == server and each.from_s <= at_s + RELEASE_LIMIT_S and at_s <= each.until_s
        for each in trace.disturbed
    )
    limit_s = UNSENDABLE_RELEASE_LIMIT_S if disturbed else RELEASE_LIMIT_S
    return limit_s + SLACK_S + trace.max_lateness_s


def _end_by_server_s(call: CallerCall, served: ServerCall) -> float | None:
    """When its server released a call that its caller took for established: as early as that is known."""
    ends_s = (served.release_written_s, served.released_by_server_s)
    return next((at_s for at_s in ends_s if at_s is not None and _is_standing(call, at_s)), None)


def _is_standing(call: CallerCall, at_s: float) -> bool:
    """Whether its caller takes the call for established at this time."""
    ended_s = min([*call.releases_s, call.abandoned_s or float("inf")], default=float("inf"))
    return call.served_s is not None and call.served_s <= at_s < ended_s


def check_door(trace: CallTrace) -> Iterator[Violation]:
    """A connection is never refused while a process is ready."""
    for at_s in trace.refused_connections_s:
        yield Violation("door", f"a connection was refused at {at_s:.3f} while a process was ready")


def check_drains(trace: CallTrace) -> Iterator[Violation]:
    """A quiesced process sends its callers away, says no, and says yes again once resumed."""
    for drain in trace.drains:
        yield from _check_drain(trace, drain)


def _check_drain(trace: CallTrace, drain: Drain) -> Iterator[Violation]:
    allowance_s = SLACK_S + trace.max_lateness_s
    due_s = drain.from_s + DRAINED_AFTER_S + allowance_s
    for answer in trace.readiness:
        if answer.process == drain.process and answer.ready and due_s < answer.at_s < drain.until_s:
            yield Violation("drain", f"{drain.process} said that it is ready in its drain")
            break
    for held in trace.held:
        during = held.process == drain.process and due_s < held.at_s < drain.until_s
        idle = held.request_age_s is None and not held.established
        # Where a set-up was open at every moment, each is owed its answer there.
        could_end = due_s < held.free_s < held.at_s - allowance_s
        young = held.request_age_s is not None and held.request_age_s < DRAIN_REQUEST_S and could_end
        if during and (idle or young):
            state = "an idle connection" if idle else "a connection with a new set-up"
            yield Violation("drain", f"{drain.process} held {state} in its drain")
            break
    resumed_by_s = drain.until_s + RESUMED_WITHIN_S + allowance_s
    if drain.resumed and resumed_by_s < trace.ended_s:
        since = [a for a in trace.readiness if a.process == drain.process and a.at_s >= drain.until_s]
        if since and not any(answer.ready and answer.at_s <= resumed_by_s for answer in since):
            yield Violation("resume", f"{drain.process} did not say that it is ready after its resume")


def check_processes(trace: CallTrace) -> Iterator[Violation]:
    """Processes end only when told, with status 0 and before SIGKILL, log no traceback, and do not grow."""
    for process in trace.processes:
        if TRACEBACK in process.log:
            yield Violation(
                "traceback", f"{process.name}: {process.log[process.log.index(TRACEBACK) :][:2000]}"
            )
        if process.killed:
            yield Violation("exit", f"{process.name} was still running when SIGKILL came")
        elif process.exit_status is not None and (process.exit_status != 0 or process.terminated_s is None):
            yield Violation("exit", f"{process.name} ended with {process.exit_status}")
        if process.first_usage is not None and process.last_usage is not None:
            descriptors = process.last_usage[0] - process.first_usage[0]
            memory_mb = process.last_usage[1] - process.first_usage[1]
            if descriptors > MAX_DESCRIPTOR_GROWTH:
                yield Violation("descriptors", f"{process.name} holds {descriptors} more than at its start")
            if memory_mb > MAX_MEMORY_GROWTH_MB:
                yield Violation("memory", f"{process.name} holds {memory_mb:.1f} MB more than at its start")


RULES: tuple[Callable[[CallTrace], Iterator[Violation]], ...] = (
    check_final_answers,
    check_served_by_a_server,
    check_attempts,
    check_drained_servers,
    check_releases,
    check_door,
    check_drains,
    check_processes,
)


def check(trace: CallTrace) -> list[Violation]:
    """All violations of all rules."""
    return [violation for rule in RULES for violation in rule(trace)]


def count_answers(trace: CallTrace) -> dict[Answer, int]:
    """How many calls got each answer first."""
    counts = dict.fromkeys(Answer, 0)
    for call in trace.calls.values():
        if call.answers:
            counts[call.answers[0][1]] += 1
    return counts
