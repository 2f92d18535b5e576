"""Silence detection: silent servers and trials, lost set-ups, standstills of the gateway."""

from __future__ import annotations

from conftest import Gateway, ready, sent_to, settings
from policy_helpers import circuits_report, large_fleet_settings

from canvasplank import interface as api
from canvasplank.interface import Outcome
from canvasplank.policy import leaky_bucket


class TestSilence:
    """Nothing is received from a server for too long."""

    def test_silence_is_detected_and_the_server_tried_again(self, gateway):
        gateway.serve_calls("a", 0, 4)
        lost = [gateway.call(first=0)[0] for _ in range(2)]
        start = gateway.now
        seen = gateway.advance_to(start + 900)
        assert any(isinstance(a, api.Log) and "silent" in a.text for a in seen)
        assert {a.call_id for a in seen if isinstance(a, api.Cancel)} == set(lost)
        for call_id in lost:
            gateway.end(call_id, "a", Outcome.CANCELLED)
        moved = gateway.advance_to(start + 1400)
        assert sent_to(moved) == ["b", "b"], "the calls move after their release time"
        tried = []
        for _ in range(40):
            tried += sent_to(gateway.call(first=0)[1])
            tried += sent_to(gateway.advance_to(gateway.now + 200))
        assert 1 <= tried.count("a") <= 8, "a silent server gets few trials"

    def test_calls_are_still_sent_when_every_server_is_silent(self):
        g = Gateway()
        g.servers(ready("a", 0))
        for _ in range(60):
            g.call(first=0)
            g.advance_to(g.now + 200)
        late = [a for when, a in g.action_log if when > 4000 and isinstance(a, api.SetUp)]
        assert late


class TestTrials:
    """Trials of a silent server."""

    def silent(self, instances: int) -> Gateway:
        g = Gateway(large_fleet_settings(instances))
        g.servers(ready("a", 0), ready("b", 1))
        for name in ("a", "b"):
            g.handle(circuits_report(name, 400))
        g.answer_delays_ms = {"b": 40}
        g.call(first=0)
        g.advance_to(g.now + 1500)
        assert g.controller._servers["a"].silence.silent
        return g

    def tried(self, g: Gateway, class_name: str, seconds: int = 20) -> int:
        mark = len(g.action_log)
        for _ in range(seconds * 2):
            g.call(class_name, first=1)
            g.advance_to(g.now + 500)
        return sum("a" in sent_to([a]) for _, a in g.action_log[mark:])

    def test_all_gateways_together_try_no_more_than_a_few(self):
        """200 gateways tried a congested server more often than it could answer."""
        assert self.tried(self.silent(4), "low") >= 4
        assert sum(self.tried(self.silent(250), "low", 10) for _ in range(3)) <= 2

    def test_calls_above_the_lowest_weight_make_no_trials(self):
        assert self.tried(self.silent(4), "high") == 0

    def test_a_restart_in_the_list_ends_a_silence(self):
        g = self.silent(250)
        g.servers(ready("a", 0, started_ms=g.now), kind=api.ListKind.CHANGES)
        server = g.controller._servers["a"]
        assert not server.silence.silent and server.slow_start.until_ms > g.now


def test_trials_do_not_cut_the_rate_of_a_silent_server():
    g = Gateway()
    g.servers(ready("a", 0))
    g.serve_calls("a", 0, 24, gap_ms=100)
    g.call(expires_ms=g.now + 1000)
    g.advance_to(g.now + 900)
    rate = g.controller._servers["a"].rate.bucket.rate
    g.advance_to(g.now + 600)
    _, actions = g.call()
    assert sent_to(actions) == ["a"] and rate > 5
    g.advance_to(g.now + 2500)
    assert g.controller._servers["a"].rate.bucket.rate >= rate


def test_a_silent_server_is_tried_on_the_scale_of_the_first_resend():
    g = Gateway(settings(resend_ms=125))
    g.servers(ready("a", 0))
    g.call(expires_ms=g.now + 300)
    g.advance_to(500)
    _, actions = g.call()
    assert sent_to(actions) == ["a"]


class TestLostSetUps:
    """Some set-ups are never answered while later ones are, as in a recorded run."""

    def lossy(self) -> tuple[Gateway, str]:
        g = Gateway()
        g.servers(ready("a", 0), ready("b", 1))
        g.serve_calls("a", 0, 8)
        lost, _ = g.call(expires_ms=g.now + 8000)
        g.advance_to(g.now + 200)
        g.serve_calls("a", 0, 2)
        return g, lost

    def test_an_overtaken_set_up_is_cancelled(self):
        g, lost = self.lossy()
        g.advance_to(g.now + 200)
        assert api.Cancel(lost, 0) in [action for _, action in g.action_log]

    def test_one_or_two_unanswered_set_ups_are_not_congestion(self):
        g, _ = self.lossy()
        g.call()
        g.advance_to(g.now + 400)
        assert g.controller._servers["a"].rate.bucket.rate == leaky_bucket.NEVER


class TestStandstill:
    """The gateway did not run for a while, and then reads all events at one instant."""

    def stall(self, ms: float) -> tuple[Gateway, list[str]]:
        g = Gateway()
        g.servers(ready("a", 0), ready("b", 1))
        g.serve_calls("a", 0, 4)
        ids = [g.call(first=0)[0] for _ in range(2)]
        g.now += ms  # no timer fires meanwhile
        return g, ids

    def test_late_answers_are_not_blamed_on_the_server(self):
        g, ids = self.stall(1800)
        for call_id in ids:
            g.answer(call_id, "a", waited_ms=1800)
        g.advance_to(g.now + 1000)
        server = g.controller._servers["a"]
        assert not server.silence.silent and server.usual_delay_ms < 100 and server.rate.last_cut_ms < 0
        assert not [a for _, a in g.action_log if isinstance(a, api.Cancel)]

    def test_the_first_event_of_a_batch_is_not_the_whole_batch(self):
        g, ids = self.stall(1800)
        g.call(first=1)
        assert not g.controller._servers["a"].silence.silent
        for call_id in ids:
            g.answer(call_id, "a", waited_ms=1800)
        g.advance_to(g.now + 500)
        assert not g.controller._servers["a"].silence.silent

    def test_a_server_without_answers_in_the_batch_is_silent(self):
        g, _ = self.stall(1800)
        g.call(first=1)
        g.advance_to(g.now + 100)
        assert g.controller._servers["a"].silence.silent

    def test_a_call_past_its_deadline_is_not_sent(self):
        g, _ = self.stall(1800)
        g.action_log.clear()
        _, actions = g.call(first=1, expires_ms=g.now - 300)
        assert [type(a) for a in actions if not isinstance(a, api.SetTimer)] == [api.Fail]
