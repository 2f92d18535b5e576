"""Routing of calls, failures, unexpected events, and the state kept about calls."""

from __future__ import annotations

import pytest
from conftest import LOW, SETTINGS, Gateway, draining, gone, ready, sent_to, settings
from policy_helpers import circuits_report, final_answers

from canvasplank import interface as api
from canvasplank.interface import Outcome
from canvasplank.policy import controller, leaky_bucket, rate_control


class TestRoute:
    """Calls go to the preferred pool, else to the one of two other servers with fewer pending set-ups."""

    def test_preferred_pool_while_it_admits(self, gateway):
        for first, server in ((0, "a"), (1, "b"), (0, "a")):
            assert sent_to(gateway.call(first=first)[1]) == [server]

    def test_a_class_goes_only_to_its_pools(self):
        g = Gateway(settings(classes=(LOW, api.CallClass("b-only", 1000, 6000, 1, 0, pools=(1,)))))
        g.servers(ready("a", 0), ready("b", 1))
        assert sent_to(g.call("b-only", first=0)[1]) == ["b"]

    def test_of_two_others_the_one_with_fewer_pending_set_ups(self):
        g = Gateway()
        g.servers(draining("a", 0), ready("b", 1), ready("c", 2))
        for _ in range(2):
            g.call(first=1)
            g.advance_to(g.now + 50)
        assert sent_to(g.call(first=0)[1]) == ["c"]

    def test_a_full_server_is_passed_over_at_once(self, gateway):
        call_id, _ = gateway.call(first=0)
        gateway.advance_to(100)
        assert sent_to(gateway.full(call_id, "a")) in (["a"], ["b"])
        sent = [sent_to(gateway.call(first=0)[1]) for _ in range(6)]
        assert ["b"] in sent, "calls that the cut bucket does not admit go to the other server"


class TestFailures:
    """Servers that quickly fail all or some set-ups, as in past incidents."""

    @pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.NO_CONNECTION])
    def test_another_server_comes_first_and_the_same_one_last(self, gateway, outcome):
        call_id, _ = gateway.call(first=0)
        assert sent_to(gateway.end(call_id, "a", outcome)) == ["b"]
        gateway.servers(gone("b", 1), kind=api.ListKind.CHANGES)
        if outcome is Outcome.ERROR:
            assert sent_to(gateway.end(call_id, "b", outcome)) == ["a"]

    def test_a_failure_without_work_does_not_fill_the_bucket(self, gateway):
        bucket = gateway.controller._servers["a"].rate.bucket
        for outcome, left in ((Outcome.ERROR, 0.0), (Outcome.RESET, leaky_bucket.SPLASH)):
            bucket.rate, bucket.fill = rate_control.MIN_RATE_PER_S, 0.0
            call_id, _ = gateway.call(first=0)
            gateway.end(call_id, "a", outcome)
            assert bucket.fill == pytest.approx(left, abs=0.01)

    def test_no_free_circuit_cuts_as_a_full_processor_does(self, gateway):
        """Without the cut, every call tried a server without free circuits, mostly in vain."""
        call_id, _ = gateway.call(first=0)
        gateway.end(call_id, "a", Outcome.FULL, processor_full=False)
        assert gateway.controller._servers["a"].rate.bucket.rate == rate_control.MIN_RATE_PER_S

    def test_a_call_without_attempts_left_is_refused_at_once(self):
        g = Gateway(settings(max_attempts=2))
        g.servers(ready("a", 0), ready("b", 1))
        call_id, _ = g.call(first=0)
        g.end(call_id, "a", Outcome.ERROR)
        [refusal] = final_answers(g.end(call_id, "b", Outcome.ERROR))
        assert refusal.call_id == call_id and 1000 <= refusal.retry_after_ms <= 2000

    def test_refused_callers_get_different_retry_after_times(self):
        waits = set()
        g = Gateway(settings(max_attempts=1))
        g.servers(ready("a", 0))
        for _ in range(5):
            call_id, _ = g.call(first=0)
            waits |= {a.retry_after_ms for a in final_answers(g.end(call_id, "a", Outcome.ERROR))}
        assert len(waits) == 5

    def test_callers_without_retry_after_support_get_none(self):
        g = Gateway(settings(max_attempts=1, retry_after_max_ms=None))
        g.servers(ready("a", 0))
        call_id, _ = g.call(first=0)
        assert final_answers(g.end(call_id, "a", Outcome.ERROR)) == [api.Refuse(call_id, None)]


class TestUnexpectedEvents:
    """Unexpected events, and the bounds on the state that is kept."""

    def test_events_about_unknown_calls_and_servers_are_ignored(self, gateway):
        for event in (
            api.Established("no call", 0, "a", 10),
            api.Established("no call", 0, "no server", 10),
            api.AttemptEnded("no call", 0, "no server", Outcome.TIMED_OUT, finished=True),
            api.CallAbandoned("no call"),
            api.TimerFired("no timer"),
            api.ProbeAnswered("no server", answered=True),
        ):
            assert not [a for a in gateway.handle(event) if not isinstance(a, api.SetTimer)]

    def test_an_outcome_reported_twice_starts_no_second_attempt(self, gateway):
        call_id, _ = gateway.call(first=0)
        first = api.AttemptEnded(call_id, 0, "a", Outcome.ERROR, finished=False)
        assert sent_to(gateway.handle(first)) == ["b"]
        assert not sent_to(gateway.handle(first))
        gateway.handle(api.Established(call_id, 0, "a", 10))
        assert call_id in gateway.controller._calls, "an answer to an ended attempt is ignored"

    def test_a_served_call_is_not_remembered_for_a_redial(self, gateway):
        call_id, _ = gateway.call(first=0, number="7")
        gateway.answer(call_id, "a")
        gateway.end(call_id, "a", Outcome.ENDED, finished=True)
        assert not gateway.controller._queue.redials

    def test_calls_at_a_removed_server_move_to_another(self, gateway):
        call_id, _ = gateway.call(first=0)
        gateway.servers(gone("a", 0), kind=api.ListKind.CHANGES)
        seen = gateway.advance_to(gateway.now + 700)
        assert [a for a in seen if isinstance(a, api.Cancel)] == [api.Cancel(call_id, 0)]
        gateway.end(call_id, "a", Outcome.CANCELLED)
        assert sent_to(gateway.advance_to(gateway.now + 400)) == ["b"]

    def test_a_clock_that_steps_back_is_tolerated(self, gateway):
        gateway.advance_to(1000)
        call_id, _ = gateway.call(expires_ms=1500)
        gateway.now = 200
        gateway.answer(call_id, "a")
        gateway.now = 900
        assert sent_to(gateway.call(expires_ms=1500)[1]) == ["a"]

    def test_the_same_call_twice_is_one_call(self, gateway):
        gateway.call(id="x")
        assert not sent_to(gateway.call(id="x")[1])

    def test_state_of_ended_calls_and_vanished_servers_is_freed(self, gateway):
        for _ in range(20):
            call_id, actions = gateway.call(number=None)
            server = sent_to(actions)[0]
            gateway.advance_to(gateway.now + 50)
            gateway.answer(call_id, server)
            gateway.end(call_id, server, Outcome.ENDED, finished=True)
        gateway.servers()
        controller = gateway.controller
        assert not controller._calls and not controller._established and not controller._servers

    def test_queued_calls_are_bounded_and_the_lowest_weight_is_refused(self, monkeypatch):
        monkeypatch.setattr(controller, "MAX_QUEUED_CALLS", 3)
        g = Gateway()
        queued = [g.call("high")[0] for _ in range(2)]
        refused = []
        for _ in range(4):
            refused += [a.call_id for a in final_answers(g.call("low")[1])]
        assert len(refused) == 3 and not set(queued) & set(refused)

    def test_same_events_same_actions(self):
        def run(seed):
            g = Gateway(seed=seed)
            g.servers(draining("x", 0), ready("a", 1), ready("b", 2), ready("c", 3))
            for _ in range(50):
                g.call(first=0)
                g.advance_to(g.now + 30)
            return g.action_log

        assert run(3) == run(3)
        assert run(3) != run(4)


class TestShortDeadlines:
    """Calls with a wait of only 100 ms failed 27 ms early, most of them before an answer could arrive."""

    @pytest.mark.parametrize(("wait_ms", "fails_ms"), [(100, 80), (3000, 2965)])
    def test_a_short_wait_is_used_up_to_its_last_tenth(self, gateway, wait_ms, fails_ms):
        started_at_ms = gateway.now
        gateway.call(first=0, expires_ms=started_at_ms + wait_ms)
        gateway.advance_to(started_at_ms + wait_ms)
        assert [at - started_at_ms for at, action in gateway.action_log if isinstance(action, api.Fail)] == [
            fails_ms
        ]


class TestIdle:
    """A gateway with nothing to do sets no timers."""

    def test_an_idle_gateway_sets_no_timer(self, gateway):
        gateway.serve_calls("a", 0, 3)
        gateway.advance_to(gateway.now + 2000)
        before = sum(isinstance(a, api.SetTimer) for _, a in gateway.action_log)
        gateway.advance_to(gateway.now + 60_000)
        gateway.handle(circuits_report("a", 100))
        assert not gateway.timers
        assert sum(isinstance(a, api.SetTimer) for _, a in gateway.action_log) == before

    def test_queued_calls_set_few_timers(self):
        g = Gateway()
        for _ in range(50):
            g.call(expires_ms=10_000)
        g.advance_to(9000)
        assert sum(isinstance(a, api.SetTimer) for _, a in g.action_log) <= 12

    def test_redials_are_kept_in_the_order_of_their_last_entry(self):
        """A redial moves to the end but keeps the first call's arrival; the oldest entry is removed first."""
        g = Gateway()
        for number in ("1", "2", "1", "3"):
            g.call(number=number, expires_ms=g.now)
            g.advance_to(g.now + 100)
        unserved = g.controller._queue.redials
        assert [key for key, _ in unserved] == ["2", "1", "3"]
        added_ms = [at for _, at, _ in unserved.values()]
        assert added_ms == sorted(added_ms) and unserved["1", "low"][0] == 0
        g.advance_to(SETTINGS.classes[0].deadline_ms + 250)
        g.call(number="4", expires_ms=g.now)
        assert [key for key, _ in unserved] == ["3", "4"]


class TestUnusualInputs:
    """Inputs that are legal but unusual."""

    def test_a_server_listed_twice_is_one_server_as_last_listed(self):
        g = Gateway()
        g.servers(ready("a", 0), api.Server("a", 0, api.ServerState.DRAINING))
        assert not sent_to(g.call()[1])

    def test_a_preferred_pool_without_servers(self, gateway):
        assert len(sent_to(gateway.call(first=99)[1])) == 1

    def test_a_server_with_a_start_in_the_future_is_cold(self, gateway):
        gateway.servers(ready("a", 0, started_ms=gateway.now + 5000), kind=api.ListKind.CHANGES)
        sent = []
        for _ in range(20):
            sent += sent_to(gateway.call(first=0)[1])
            gateway.advance_to(gateway.now + 50)
        assert sent.count("a") <= 1

    def test_an_outcome_from_a_removed_server(self, gateway):
        call_id, _ = gateway.call(first=0)
        gateway.servers(ready("b", 1))
        assert sent_to(gateway.end(call_id, "a", Outcome.ERROR)) == ["b"]

    def test_a_clock_that_jumps_ahead(self, gateway):
        call_id, _ = gateway.call(first=0)
        gateway.now += 3_600_000
        gateway.call(first=1)
        gateway.advance_to(gateway.now + 100)
        assert [a.call_id for _, a in gateway.action_log if isinstance(a, api.Fail)] == [call_id]
