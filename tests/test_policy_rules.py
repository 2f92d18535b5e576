"""Rules 1, 2, 3 and 5 case by case, and invalid settings."""

from __future__ import annotations

import pytest
from conftest import HIGH, LOW, RULES, SETTINGS, Gateway, draining, gone, ready, sent_to, settings
from policy_helpers import final_answers

from canvasplank import interface as api
from canvasplank.interface import Outcome
from canvasplank.policy import Controller


class TestRules:
    """The five rules, by number."""

    def test_1_final_answer_before_the_deadline(self, gateway):
        without_servers = Gateway()
        for g in (gateway, without_servers):
            call_id, _ = g.call(expires_ms=g.now + 1000)
            due = g.now + 1000
            g.advance_to(due + 500)
            final = [(when, a) for when, a in g.action_log if isinstance(a, api.Refuse | api.Fail)]
            assert [a.call_id for _, a in final] == [call_id]
            assert final[0][0] <= due

    def test_1_an_unknown_class_is_refused_at_once(self, gateway):
        call_id, actions = gateway.call("no such class")
        assert [a.call_id for a in final_answers(actions)] == [call_id]

    def test_1_after_a_cancel_that_crossed_the_answer_a_final_answer_is_pending(self, gateway):
        """A call that was established came back as cancelled and unfinished, and got no final answer."""
        call_id, _ = gateway.call()
        gateway.advance_to(50)
        gateway.answer(call_id, "a")
        gateway.end(call_id, "a", Outcome.CANCELLED)
        seen = gateway.advance_to(4000)
        assert sent_to(seen)[:1] or final_answers(seen)
        assert [a.call_id for _, a in gateway.action_log if isinstance(a, api.Fail | api.Refuse)] == [call_id]

    def test_2_one_attempt_at_a_time_and_no_more_than_allowed(self, gateway):
        call_id, _ = gateway.call()
        for _ in range(10):
            call = gateway.controller._calls.get(call_id)
            if call is None or call.server is None:
                break
            gateway.advance_to(gateway.now + 20)
            gateway.full(call_id, call.server.entry.id)
        assert gateway.attempts[call_id] + 1 <= SETTINGS.max_attempts

    @pytest.mark.parametrize("reported", [draining("a", 0), gone("a", 0)])
    def test_3_no_set_up_to_a_server_listed_as_draining_or_gone(self, gateway, reported):
        gateway.servers(reported, kind=api.ListKind.CHANGES)
        for _ in range(3):
            assert sent_to(gateway.call(first=0)[1]) == ["b"]
            gateway.advance_to(gateway.now + 50)

    def test_3_absent_from_a_complete_list_is_gone(self, gateway):
        gateway.servers(ready("b", 1))
        assert sent_to(gateway.call(first=0)[1]) == ["b"]

    @pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED])
    def test_5_release_is_awaited(self, gateway, outcome):
        call_id, _ = gateway.call()
        gateway.advance_to(100)
        assert not sent_to(gateway.end(call_id, "a", outcome))
        assert not sent_to(gateway.advance_to(100 + RULES.release_ms))
        assert len(sent_to(gateway.advance_to(100 + RULES.release_ms + 100))) == 1

    @pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.ERROR, Outcome.NO_CONNECTION])
    def test_5_other_outcomes_need_no_wait(self, gateway, outcome):
        call_id, _ = gateway.call()
        gateway.advance_to(100)
        assert len(sent_to(gateway.end(call_id, "a", outcome))) == 1


class TestSettings:
    """Invalid settings."""

    @pytest.mark.parametrize(
        ("change", "name"),
        [
            ({"instances": 0}, "instances"),
            ({"classes": ()}, "classes"),
            ({"classes": (LOW, LOW)}, "classes"),
            ({"max_attempts": 0}, "max_attempts"),
            ({"tick_ms": -1}, "tick_ms"),
            ({"tick_ms": float("nan")}, "tick_ms"),
            ({"resend_ms": 0}, "resend_ms"),
            ({"over_quota_weight": None}, "over_quota_worth"),
        ],
    )
    def test_an_invalid_setting_is_named(self, change, name):
        with pytest.raises(api.SettingsError, match=name):
            settings(**change)

    def test_invalid_rules_and_classes_are_named(self):
        with pytest.raises(api.SettingsError, match="cold_share"):
            api.Rules(1, 1, 1, 0, 1, 1, 1)
        with pytest.raises(api.SettingsError, match="aim_ms"):
            api.CallClass("x", 0, 1, 1, 0)
        with pytest.raises(api.SettingsError, match="hold_ms"):
            api.CallClass("x", 1, 1, 1, 0, hold_ms=0)

    def test_a_controller_works_without_optional_figures(self):
        g = Gateway(api.Settings(instances=1, classes=(HIGH,), rules=RULES, max_attempts=1, tick_ms=0))
        g.servers(ready("a", 0))
        assert isinstance(g.controller, Controller)
        assert sent_to(g.call("high")[1]) == ["a"]
