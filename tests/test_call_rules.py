"""Tests of the rules of the service: each change to a valid trace breaks exactly one rule."""

from __future__ import annotations

import pytest

from verification.call_rules import Violation, check
from verification.call_trace import (
    Answer,
    CallerCall,
    CallTrace,
    DisturbedPeriod,
    Drain,
    DrainNotification,
    End,
    HeldConnection,
    ProcessLife,
    Readiness,
    ServerAttempt,
    ServerCall,
)

ID = "aa" * 8


def valid_trace() -> CallTrace:
    """A call cancelled at one server, established at another and released; a drain; a process that exits."""
    trace = CallTrace(release_wait_s=0.2, drain_grace_s=0.25, ended_s=30.0)
    trace.calls[ID] = CallerCall(ID, 1.0, 4.0, answers=[(2.0, Answer.SERVED)], releases_s=[5.1])
    trace.attempts = [
        ServerAttempt(ID, "a", 1.0, 1.5, End.CANCELLED),
        ServerAttempt(ID, "b", 1.71, 1.99, End.ANSWERED),
    ]
    trace.established = [ServerCall(ID, "b", 1.99, released_by_server_s=5.0)]
    trace.drain_notifications = [DrainNotification("b", 1.5, 9.0)]
    trace.drains = [Drain("p", 10.0, 16.0, resumed=True)]
    trace.readiness = [Readiness("p", 15.0, False), Readiness("p", 17.0, True)]
    trace.held = [HeldConnection("p", 15.0, None, True)]
    trace.processes = [
        ProcessLife("p", 0.0, terminated_s=20.0, exit_status=0, first_usage=(10, 20.0), last_usage=(12, 21.0))
    ]
    return trace


def answered_twice(t: CallTrace) -> None:
    t.calls[ID].answers.append((2.1, Answer.FAILED))


def answered_late(t: CallTrace) -> None:
    t.calls[ID].deadline_s = 1.9


def not_answered(t: CallTrace) -> None:
    t.calls[ID].answers.clear()


def given_up_after_the_deadline(t: CallTrace) -> None:
    t.calls[ID].answers, t.calls[ID].ended_by_caller_s, t.calls[ID].deadline_s = [], 4.3, 4.0


def connection_lost(t: CallTrace) -> None:
    t.calls[ID].lost_s = 1.2


def established_at_no_server(t: CallTrace) -> None:
    t.established.clear()


def attempts_overlap(t: CallTrace) -> None:
    t.attempts[0].ended_s = 1.8


def attempt_never_ends(t: CallTrace) -> None:
    t.attempts[0].ended_s = None


def sent_again_early(t: CallTrace) -> None:
    t.attempts[0].ended_s = 1.6


def sent_again_early_after_a_disconnect(t: CallTrace) -> None:
    t.attempts[0].ended_s, t.attempts[0].end = 1.6, End.DISCONNECTED


def sent_to_drained_server(t: CallTrace) -> None:
    t.drain_notifications = [DrainNotification("b", 1.4, 9.0)]


def no_release_to_caller(t: CallTrace) -> None:
    t.calls[ID].releases_s.clear()


def late_release_to_caller(t: CallTrace) -> None:
    t.calls[ID].releases_s = [6.2]


def written_release_lost(t: CallTrace) -> None:
    t.established[0].release_written_s, t.established[0].released_by_server_s = 5.0, None
    t.calls[ID].releases_s.clear()


def written_release_passed_late(t: CallTrace) -> None:
    """The proxy read the release on a second connection, long after it was written on the first."""
    t.established[0].release_written_s = 3.9


def release_observed_but_written_before_the_answer_arrived(t: CallTrace) -> None:
    t.established[0].release_written_s = 1.995
    t.calls[ID].releases_s.clear()


def no_release_to_server(t: CallTrace) -> None:
    t.calls[ID].ended_by_caller_s, t.calls[ID].releases_s = 3.0, []
    t.established[0].released_by_server_s = None


def late_release_to_server(t: CallTrace) -> None:
    no_release_to_server(t)
    t.established[0].released_by_proxy_s = 4.5


def connection_refused(t: CallTrace) -> None:
    t.refused_connections_s.append(3.0)


def ready_in_drain(t: CallTrace) -> None:
    t.readiness[0] = Readiness("p", 15.0, True)


def idle_connection_in_drain(t: CallTrace) -> None:
    t.held[0] = HeldConnection("p", 15.0, None, False)


def new_set_up_in_drain(t: CallTrace) -> None:
    t.held[0] = HeldConnection("p", 15.0, 0.2, True)


def not_ready_after_resume(t: CallTrace) -> None:
    t.readiness[1] = Readiness("p", 18.5, True)


def traceback_logged(t: CallTrace) -> None:
    t.processes[0].log = "Traceback (most recent call last):"


def killed(t: CallTrace) -> None:
    t.processes[0].killed = True


def nonzero_exit_status(t: CallTrace) -> None:
    t.processes[0].exit_status = 1


def exit_without_sigterm(t: CallTrace) -> None:
    t.processes[0].terminated_s = None


def descriptors_grow(t: CallTrace) -> None:
    t.processes[0].last_usage = (40, 21.0)


def memory_grows(t: CallTrace) -> None:
    t.processes[0].last_usage = (12, 40.0)


BROKEN_RULE_BY_CHANGE = {
    answered_twice: "answers",
    answered_late: "late",
    not_answered: "unanswered",
    given_up_after_the_deadline: "unanswered",
    connection_lost: "lost",
    established_at_no_server: "made up",
    attempts_overlap: "two attempts",
    attempt_never_ends: "two attempts",
    sent_again_early: "release wait",
    sent_again_early_after_a_disconnect: "release wait",
    sent_to_drained_server: "drained server",
    no_release_to_caller: "release to caller",
    late_release_to_caller: "release to caller",
    written_release_lost: "release to caller",
    written_release_passed_late: "release to caller",
    release_observed_but_written_before_the_answer_arrived: "release to caller",
    no_release_to_server: "release to server",
    late_release_to_server: "release to server",
    connection_refused: "door",
    ready_in_drain: "drain",
    idle_connection_in_drain: "drain",
    new_set_up_in_drain: "drain",
    not_ready_after_resume: "resume",
    traceback_logged: "traceback",
    killed: "exit",
    nonzero_exit_status: "exit",
    exit_without_sigterm: "exit",
    descriptors_grow: "descriptors",
    memory_grows: "memory",
}


def broken_rules(violations: list[Violation]) -> set[str]:
    return {violation.rule for violation in violations}


def test_a_valid_trace_breaks_no_rule():
    assert check(valid_trace()) == []


@pytest.mark.parametrize(
    ("change", "rule"), BROKEN_RULE_BY_CHANGE.items(), ids=lambda each: getattr(each, "__name__", each)
)
def test_each_change_breaks_one_rule(change, rule):
    changed = valid_trace()
    change(changed)
    assert broken_rules(check(changed)) == {rule}


@pytest.mark.parametrize(("age_s", "rules"), [(1.9, {"drain"}), (2.1, set())])
def test_a_connection_is_held_during_a_drain_only_for_set_ups_that_are_not_recent(age_s, rules):
    """A connection that always had an open set-up was excused, although the platform's page excuses none."""
    busy = valid_trace()
    busy.held[0] = HeldConnection("p", 15.0, age_s, True)
    assert broken_rules(check(busy)) == rules


def test_a_release_to_an_unreachable_server_has_more_time():
    cut_off = valid_trace()
    no_release_to_server(cut_off)
    cut_off.disturbed = [DisturbedPeriod("b", 2.5, 5.0)]
    cut_off.established[0].released_by_proxy_s = 5.5
    assert check(cut_off) == []


def test_time_limits_are_extended_by_the_lateness_of_the_observer():
    """An event that was recorded late may have happened in time."""
    late = valid_trace()
    sent_again_early(late)
    late.max_lateness_s = 0.1
    assert check(late) == []
