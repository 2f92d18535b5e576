"""The bucket of a server and the rate rule: cuts, growth, overdue answers, load reports."""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import SETTINGS, Gateway, ready, sent_to, settings
from policy_helpers import load_report

from canvasplank import interface as api
from canvasplank.interface import Outcome
from canvasplank.policy import leaky_bucket, rate_control, server_observations
from canvasplank.policy.leaky_bucket import LeakyBucket


class TestBucket:
    """ND1621's leaky bucket."""

    def test_a_bucket_without_limit_empties_at_once(self):
        bucket = LeakyBucket(0, 0.0)
        bucket.add()
        bucket.leak(1, leaky_bucket.NEVER)
        assert bucket.fill == 0

    def test_leaks_at_its_rate_and_not_below_zero(self):
        bucket = LeakyBucket(0, 0.5)
        bucket.add()
        assert bucket.fill == pytest.approx(2.0)
        bucket.rate = 4.0
        bucket.leak(250, leaky_bucket.NEVER)
        assert bucket.fill == pytest.approx(1.0)
        bucket.leak(450, 300)
        assert bucket.fill == pytest.approx(0.8), "only the time up to 300 counts"
        bucket.leak(10_000, leaky_bucket.NEVER)
        assert bucket.fill == 0

    def test_admits_up_to_the_threshold_itself(self):
        bucket = LeakyBucket(0, -leaky_bucket.INITIAL_FILL)
        assert bucket.admits(leaky_bucket.SPLASH)
        assert not bucket.admits(leaky_bucket.SPLASH - 0.01)

    def test_fill_is_capped(self):
        bucket = LeakyBucket(0, 0.0)
        for _ in range(100):
            bucket.add()
        assert bucket.fill == leaky_bucket.MAX_FILL

    def test_thresholds_rise_with_weight_and_stay_below_the_cap(self):
        assert leaky_bucket.SPLASH <= leaky_bucket.LOWEST_THRESHOLD
        assert leaky_bucket.LOWEST_THRESHOLD < leaky_bucket.HIGHEST_THRESHOLD < leaky_bucket.MAX_FILL


class TestRate:
    """The rate rule."""

    def full_after(self, count):
        g = Gateway()
        g.servers(ready("a", 0))
        g.serve_calls("a", 0, count, gap_ms=100)
        call_id, _ = g.call(first=0)
        g.advance_to(g.now + 50)
        g.full(call_id, "a")
        return g

    def test_drops_to_the_answered_calls_of_the_last_second(self):
        assert self.full_after(30).controller._servers["a"].rate.bucket.rate == pytest.approx(9, abs=1.01)

    def test_never_below_one_call_a_second(self):
        assert self.full_after(0).controller._servers["a"].rate.bucket.rate == rate_control.MIN_RATE_PER_S

    def test_a_second_with_few_answers_does_not_set_the_rate(self):
        """After a steady load, a cut in a second with one answer uses the rate of a longer span."""
        g = Gateway()
        g.servers(ready("a", 0))
        g.serve_calls("a", 0, 8, gap_ms=250)
        g.advance_to(g.now + 950)
        call_id, _ = g.call(first=0)
        g.advance_to(g.now + 40)
        g.full(call_id, "a")
        assert g.controller._servers["a"].rate.bucket.rate > 1.5

    def test_one_congestion_cuts_once(self, gateway):
        ids = [gateway.call(first=0)[0] for _ in range(3)]
        gateway.advance_to(60)
        gateway.full(ids[0], "a")
        rate = gateway.controller._servers["a"].rate.bucket.rate
        gateway.advance_to(120)
        gateway.full(ids[1], "a")
        assert gateway.controller._servers["a"].rate.bucket.rate == rate

    def test_grows_in_quiet_seconds(self):
        g = self.full_after(0)
        g.call(first=0, expires_ms=g.now + 20_000)
        g.advance_to(g.now + 100)
        before = g.controller._servers["a"].rate.bucket.rate
        g.servers(ready("a", 0), kind=api.ListKind.CHANGES)
        g.advance_to(g.now + 3000)
        g.servers(ready("a", 0), kind=api.ListKind.CHANGES)
        assert g.controller._servers["a"].rate.bucket.rate >= before

    def test_slow_answers_count_as_an_early_full(self, gateway):
        call_id, _ = gateway.call(first=0)
        gateway.advance_to(400)
        gateway.answer(call_id, "a", waited_ms=390)
        assert gateway.controller._servers["a"].rate.bucket.rate < leaky_bucket.NEVER


class TestOverdueAnswers:
    """Missing and late answers."""

    def test_nothing_leaks_while_answers_are_overdue(self, gateway):
        """A congested or silent server gets at most a full bucket; the rest goes elsewhere."""
        for _ in range(12):
            gateway.call(first=0)
            gateway.advance_to(gateway.now + 60)
        to_a = sum("a" in sent_to([a]) for _, a in gateway.action_log)
        assert to_a <= leaky_bucket.MAX_FILL + 5

    @pytest.mark.parametrize(
        ("waits", "cut"), [((40, 390), False), ((40, 390, 40, 390), False), ((40, 390, 390), True)]
    )
    def test_only_two_slow_answers_in_a_row_cut_the_rate(self, gateway, waits, cut):
        """When a single slow answer cut the rate, a busy gateway withheld calls from idle servers."""
        for waited_ms in waits:
            gateway.serve_calls("a", 0, 1, gap_ms=400, waited_ms=waited_ms)
        assert (gateway.controller._servers["a"].rate.bucket.rate < leaky_bucket.NEVER) is cut

    def test_a_single_overdue_answer_is_no_congestion(self, gateway):
        gateway.serve_calls("a", 0, 4)
        gateway.call(first=0)
        gateway.advance_to(gateway.now + 450)
        assert gateway.controller._servers["a"].rate.bucket.rate == leaky_bucket.NEVER

    @pytest.mark.parametrize(("full", "rate"), [(False, 4.5), (True, 3.0)])
    def test_prompt_answers_undo_a_cut_unless_a_full_confirmed_it(self, gateway, full, rate):
        server = gateway.controller._servers["a"]
        gateway.serve_calls("a", 0, 1)
        server.rate.bucket.rate, server.rate.rate_before_cut = 3.0, leaky_bucket.NEVER
        server.rate.quiet_since_ms = leaky_bucket.NEVER
        if full:
            gateway.full(gateway.call(first=0)[0], "a")
            server.rate.bucket.rate, server.rate.quiet_since_ms = 3.0, leaky_bucket.NEVER
        gateway.serve_calls("a", 0, server_observations.MIN_ANSWERS + 1, gap_ms=400)
        assert server.rate.bucket.rate == rate

    def test_lost_set_ups_do_not_halt_the_bucket(self, gateway):
        """A responding server with set-ups on a dead connection got no further set-ups."""
        gateway.servers(ready("a", 0))
        gateway.serve_calls("a", 0, 4)
        server = gateway.controller._servers["a"]
        server.rate.bucket.rate = 1.0
        for _ in range(3):
            gateway.call(first=0, expires_ms=gateway.now + 9000)
        for _ in range(50):
            gateway.advance_to(gateway.now + 100)
            server.last_received_ms = gateway.now
        assert sent_to(gateway.call(first=0)[1]) == ["a"]

    def test_a_higher_weight_has_a_higher_threshold(self):
        """With the bucket above the low threshold, only the call of high weight is sent."""
        g = Gateway()
        g.servers(ready("a", 0))
        bucket = g.controller._servers["a"].rate.bucket
        bucket.rate = rate_control.MIN_RATE_PER_S
        bucket.fill = leaky_bucket.HIGHEST_THRESHOLD - leaky_bucket.SPLASH
        assert not sent_to(g.call("low")[1])
        assert sent_to(g.call("high")[1]) == ["a"]


class TestNewlyMet:
    """The first late answer of a day cut rates to the minimum, where they stayed for most of the day."""

    @pytest.mark.parametrize(
        ("sign", "rate"), [("late", 10), ("no line", 10), ("full", rate_control.MIN_RATE_PER_S)]
    )
    def test_only_a_full_processor_cuts_it_below_an_even_share(self, sign, rate):
        classes = tuple(replace(c, hold_ms=2000.0) for c in SETTINGS.classes)
        g = Gateway(settings(classes=classes))
        g.servers(ready("a", 0))
        g.handle(api.CircuitsReported("a", 80, 80))
        call_id, _ = g.call(first=0)
        g.advance_to(400 if sign == "late" else 100)
        if sign == "late":  # the first answer, so no earlier one came in time
            g.answer(call_id, "a", waited_ms=400)
        else:
            g.end(call_id, "a", Outcome.FULL, processor_full=sign == "full")
        assert g.controller._servers["a"].rate.bucket.rate == pytest.approx(rate)

    def test_a_round_trip_is_not_congestion(self):
        """With half the first resend at 62 ms, a server 60 ms away was taken for congested."""
        g = Gateway(settings(resend_ms=125))
        g.servers(ready("a", 0))
        g.serve_calls("a", 0, 20, gap_ms=100, waited_ms=55)
        call_id, _ = g.call(first=0)
        g.advance_to(g.now + 70)
        g.answer(call_id, "a", waited_ms=70)
        assert g.controller._servers["a"].rate.bucket.rate == leaky_bucket.NEVER


class TestReports:
    """Load reports of servers."""

    @pytest.mark.parametrize(
        "reported", [None, load_report(), load_report(0.0), load_report(20.0, wait_ms=900.0)]
    )
    def test_a_report_without_a_capacity_changes_nothing(self, gateway, reported):
        call_id, _ = gateway.call()
        gateway.answer(call_id, "a")
        server = gateway.controller._servers["a"]
        gateway.end(call_id, "a", Outcome.ENDED, finished=True, report=reported)
        assert server.capacity_per_s is None and server.even_share_per_s() is None

    def test_a_report_sets_the_even_share_below_that_by_circuits(self, gateway):
        gateway.handle(api.CircuitsReported("a", 200, 200))
        settings_of = gateway.controller._settings
        server = gateway.controller._servers["a"]
        gateway.handle(api.ProbeAnswered("a", answered=True, report=load_report(8.0)))
        assert server.even_share_per_s() == pytest.approx(8.0 / settings_of.instances)

    def test_a_report_from_before_a_slowdown_does_not_leave_a_rate_open(self, gateway):
        gateway.serve_calls("a", 0, 8)
        gateway.handle(api.ProbeAnswered("a", answered=True, report=load_report(50.0)))
        for _ in range(4):
            gateway.call(first=0)
            gateway.advance_to(gateway.now + 100)
        gateway.advance_to(gateway.now + 1000)
        assert gateway.controller._servers["a"].rate.bucket.rate < 50.0
