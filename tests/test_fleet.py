"""What size changes: many gateways in front of a few servers, each with a small part of the calls.

Every test here counts what gateways send; none measures time spent.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import HIGH, LOW, RULES, SETTINGS, Gateway, gone, ready, sent_to, settings

from canvasplank import interface as api
from canvasplank.interface import Outcome
from canvasplank.policy import leaky_bucket
from canvasplank.policy import server as server_module

CLASSES = tuple(replace(c, hold_ms=8000.0) for c in (LOW, HIGH))


def large(instances: int = 250, **more) -> api.Settings:
    return settings(instances=instances, classes=CLASSES, **more)


def lines(server: str, count: float, free: float | None = None) -> api.CircuitsReported:
    return api.CircuitsReported(server, count if free is None else free, count)


def fleet(instances: int) -> list[Gateway]:
    return [Gateway(large(instances), seed=seed) for seed in range(instances)]


def offer(gateways: list[Gateway], seconds: float, calls_per_s: float, weights=None, does=None):
    """Calls spread over the gateways by weight; gives the times of set-ups to server a.

    ``does`` tells how many calls a second the server can do at a time; it answers in turn.  None: silent.
    """
    sent: list[float] = []
    weights = weights or [1.0] * len(gateways)
    total, credit = sum(weights), [(index * 0.618) % 1 for index in range(len(gateways))]  # not in step
    start = free_at = gateways[0].now
    for step in range(int(seconds * 20)):
        now = start + step * 50
        for index, g in enumerate(gateways):
            mark = len(g.done)
            g.until(now)
            credit[index] += calls_per_s / 20 * weights[index] / total
            while credit[index] >= 1:
                credit[index] -= 1
                g.call(expires_ms=now + 3000)
            for when, action in g.done[mark:]:
                if isinstance(action, api.SetUp) and action.server_id == "a":
                    sent.append(when)
                    if does:
                        free_at = max(free_at, now) + 1000 / does(now)
                        g.due.append((max(free_at, now + 40), action.call_id, "a"))
    return sorted(sent)


class TestColdServerAndTheFleet:
    """Rule 4 is about all gateways together: their set-ups are summed."""

    CAPACITY = 60.0  # calls a second of the warm server; it has lines for that and holds them 8 s

    def present(self, age_ms: float) -> float:
        """What it can do so long after its start, growing evenly."""
        grown = min(1.0, max(0.0, age_ms) / RULES.warm_within_ms)
        return self.CAPACITY * (RULES.cold_share + (1 - RULES.cold_share) * grown)

    def within_limit(self, sent: list[float], born: float) -> bool:
        """No span from any set-up on holds more than the multiple of what the server can do at that time."""
        span, budget = RULES.overload_span_ms, RULES.overload_multiple * RULES.overload_span_ms / 1000
        return all(sum(at <= s < at + span for s in sent) <= budget * self.present(at - born) for at in sent)

    @pytest.mark.parametrize("instances", [1, 7, 250])
    @pytest.mark.parametrize("uneven", [False, True])
    @pytest.mark.parametrize("known", [False, True])
    def test_a_restart_is_not_pushed_over(self, instances, uneven, known):
        """Also with all the calls of a busy fleet, uneven gateways, and a server known from before."""
        gateways = fleet(instances)
        weights = [1 + 9 * (i % 5 == 0) if uneven else 1 for i in range(instances)]
        for g in gateways:
            g.servers(ready("a", 0) if known else ready("b", 1))
            if known:
                g.tell(lines("a", self.CAPACITY * 8))
        if known:
            offer(gateways, 6, self.CAPACITY * 0.9, weights, does=lambda now: self.CAPACITY)
        born = gateways[0].now
        for g in gateways:
            g.servers(ready("a", 0, started_ms=born), kind=api.ListKind.CHANGES)
            g.tell(lines("a", self.CAPACITY * 8))
        sent = offer(gateways, 6, self.CAPACITY * 1.5, weights, does=lambda now: self.present(now - born))
        assert sent, "it is used"
        assert self.within_limit(sent, born)

    @pytest.mark.parametrize("instances", [7, 250])
    def test_a_return_from_silence_before_the_list_tells(self, instances):
        """It dies, slowly or not, and is back cold: the trials of all together stay within its budget."""
        gateways = fleet(instances)
        for g in gateways:
            g.servers(ready("a", 0))
            g.tell(lines("a", self.CAPACITY * 8))
        offer(gateways, 6, self.CAPACITY * 0.9, does=lambda now: self.CAPACITY)
        silent = offer(gateways, 10, self.CAPACITY * 0.9)
        back = [at for at in silent if at > silent[0] + 6000]  # by then each has seen for itself
        assert self.within_limit(back, gateways[0].now), "trials alone"
        born = gateways[0].now
        sent = offer(gateways, 4, self.CAPACITY * 0.9, does=lambda now: self.present(now - born))
        assert self.within_limit(sent, born)


class TestPart:
    """A gateway's part of the one call a second."""

    def cut_rate(self, g: Gateway) -> float:
        call_id, _ = g.call()
        g.until(g.now + 20)
        g.full(call_id, "a")
        return g.controller._servers["a"].rate.bucket.rate

    def test_a_small_fleet_keeps_the_call_a_second(self):
        for told in (False, True):
            g = Gateway(large(4))
            g.servers(ready("a", 0))
            if told:
                g.tell(lines("a", 400))
            assert self.cut_rate(g) == server_module.MIN_RATE_PER_S

    @pytest.mark.parametrize("count", [40, 400, 4000])
    def test_floors_of_a_large_fleet_sum_to_less_than_the_server_carries(self, count):
        """Found on the first busy day at full size: floors summed to several servers."""
        g = Gateway(large())
        g.servers(ready("a", 0))
        g.tell(lines("a", count))
        carries = count / 8.0
        assert 0 < self.cut_rate(g) * 250 <= carries / 2

    def test_without_told_lines_the_second_is_shared_by_count(self):
        g = Gateway(large())
        g.servers(ready("a", 0))
        assert self.cut_rate(g) * 250 == pytest.approx(server_module.MIN_RATE_GATEWAYS)

    def test_no_bucket_opens_wider_than_some_even_shares(self):
        """A bucketful of every gateway is seconds of work; it must leak no faster than it is wanted."""
        g = Gateway(large())
        g.servers(ready("a", 0))
        g.tell(lines("a", 200))
        g.until(1000)
        sent = []
        for _ in range(20):
            sent += sent_to(g.call()[1])
            g.until(g.now + 20)
        assert 1 <= len(sent) <= 2

    def test_a_gateway_that_gets_many_calls_earns_a_wider_bucket(self):
        g = Gateway(large())
        g.servers(ready("a", 0))
        g.tell(lines("a", 800))
        g.steady("a", 0, 60, gap_ms=100)
        g.done.clear()
        g.steady("a", 0, 20, gap_ms=100)
        assert sum("a" in sent_to([a]) for _, a in g.done) >= 18

    @pytest.mark.parametrize("told", [(-1, 5), (3, 0), (0, -4), (1, float("inf")), (1, float("nan"))])
    def test_absurd_lines_are_no_measure(self, told):
        g = Gateway(large())
        g.servers(ready("a", 0))
        g.tell(api.CircuitsReported("a", *told))
        g.tell(api.CircuitsReported("no server", 1, 1))
        assert sent_to(g.call()[1]) == ["a"]

    def test_second_choices_go_by_size_in_a_large_fleet_only(self):
        """Found in if96e53: the load of a large server passed evenly to small ones buried them."""
        for instances, low, high in ((4, 60, 140), (250, 0, 30)):
            small = 0
            for seed in range(200):
                g = Gateway(large(instances), seed=seed)
                g.servers(ready("a", 0), ready("b", 1), ready("c", 2))
                for name, count in (("a", 100), ("b", 2000), ("c", 2000)):
                    g.tell(lines(name, count if instances > 4 else 2000))
                g.until(50)
                small += sent_to(g.call(first=9)[1]) == ["a"]
            assert low <= small <= high


class TestTrials:
    """Trials of a silent server."""

    def silent(self, instances: int) -> Gateway:
        g = Gateway(large(instances))
        g.servers(ready("a", 0), ready("b", 1))
        for name in ("a", "b"):
            g.tell(lines(name, 400))
        g.alive = {"b": 40}
        g.call(first=0)
        g.until(g.now + 1500)
        assert g.controller._servers["a"].silence.silent
        return g

    def tried(self, g: Gateway, class_name: str, seconds: int = 20) -> int:
        mark = len(g.done)
        for _ in range(seconds * 2):
            g.call(class_name, first=1)
            g.until(g.now + 500)
        return sum("a" in sent_to([a]) for _, a in g.done[mark:])

    def test_all_gateways_together_try_as_a_few_would(self):
        """Found on grown days: 200 gateways tried a jammed server more often than it could answer."""
        assert self.tried(self.silent(4), "low") >= 4
        assert sum(self.tried(self.silent(250), "low", 10) for _ in range(3)) <= 2

    def test_calls_of_more_than_the_least_worth_try_nothing(self):
        assert self.tried(self.silent(4), "high") == 0

    def test_a_restart_that_the_list_tells_ends_a_silence(self):
        g = self.silent(250)
        g.servers(ready("a", 0, started_ms=g.now), kind=api.ListKind.CHANGES)
        view = g.controller._servers["a"]
        assert not view.silence.silent and view.slow_start.until_ms > g.now


class TestStandstill:
    """This gateway stood still, and then finds everything at one instant."""

    def stall(self, ms: float) -> tuple[Gateway, list[str]]:
        g = Gateway()
        g.servers(ready("a", 0), ready("b", 1))
        g.steady("a", 0, 4)
        ids = [g.call(first=0)[0] for _ in range(2)]
        g.now += ms  # no timer rings meanwhile
        return g, ids

    def test_late_answers_tell_nothing_of_the_server(self):
        g, ids = self.stall(1800)
        for call_id in ids:
            g.answer(call_id, "a", waited_ms=1800)
        g.until(g.now + 1000)
        view = g.controller._servers["a"]
        assert not view.silence.silent and view.usual_delay_ms < 100 and view.rate.last_cut_ms < 0
        assert not [a for _, a in g.done if isinstance(a, api.Cancel)]

    def test_the_first_event_of_a_batch_is_not_all_the_news(self):
        g, ids = self.stall(1800)
        g.call(first=1)
        assert not g.controller._servers["a"].silence.silent
        for call_id in ids:
            g.answer(call_id, "a", waited_ms=1800)
        g.until(g.now + 500)
        assert not g.controller._servers["a"].silence.silent

    def test_what_did_not_come_with_the_batch_is_silence_after_all(self):
        g, _ = self.stall(1800)
        g.call(first=1)
        g.until(g.now + 100)
        assert g.controller._servers["a"].silence.silent

    def test_what_is_past_its_time_is_not_sent(self):
        g, _ = self.stall(1800)
        g.done.clear()
        _, actions = g.call(first=1, expires_ms=g.now - 300)
        assert [type(a) for a in actions if not isinstance(a, api.SetTimer)] == [api.Fail]


class TestWork:
    """What a gateway does when nothing is due: nothing."""

    def test_an_idle_gateway_sets_no_timer(self, gateway):
        gateway.steady("a", 0, 3)
        gateway.until(gateway.now + 2000)
        before = sum(isinstance(a, api.SetTimer) for _, a in gateway.done)
        gateway.until(gateway.now + 60_000)
        gateway.tell(lines("a", 100))
        assert not gateway.timers
        assert sum(isinstance(a, api.SetTimer) for _, a in gateway.done) == before

    def test_held_calls_wait_for_the_next_room_not_for_the_clock(self):
        g = Gateway()
        for _ in range(50):
            g.call(expires_ms=10_000)
        g.until(9000)
        assert sum(isinstance(a, api.SetTimer) for _, a in g.done) <= 12

    def test_the_memory_of_redials_is_in_the_order_of_the_notes(self):
        """A redial is noted anew with its old first try; what was noted first still goes first."""
        g = Gateway()
        for number in ("1", "2", "1", "3"):
            g.call(number=number, expires_ms=g.now)
            g.until(g.now + 100)
        unserved = g.controller._queue.redials
        assert [key for key, _ in unserved] == ["2", "1", "3"]
        noted = [at for _, at, _ in unserved.values()]
        assert noted == sorted(noted) and unserved["1", "low"][0] == 0
        g.until(SETTINGS.classes[0].deadline_ms + 250)
        g.call(number="4", expires_ms=g.now)
        assert [key for key, _ in unserved] == ["3", "4"]


class TestOddInputs:
    """What a gateway of the users' own may bring."""

    def test_a_server_listed_twice_is_one_server_as_last_told(self):
        g = Gateway()
        g.servers(ready("a", 0), api.Server("a", 0, api.ServerState.DRAINING))
        assert not sent_to(g.call()[1])

    def test_a_first_choice_that_no_server_has(self, gateway):
        assert len(sent_to(gateway.call(first=99)[1])) == 1

    def test_a_start_in_the_future_is_a_cold_server(self, gateway):
        gateway.servers(ready("a", 0, started_ms=gateway.now + 5000), kind=api.ListKind.CHANGES)
        sent = []
        for _ in range(20):
            sent += sent_to(gateway.call(first=0)[1])
            gateway.until(gateway.now + 50)
        assert sent.count("a") <= 1

    def test_an_outcome_of_a_server_that_has_left(self, gateway):
        call_id, _ = gateway.call(first=0)
        gateway.servers(ready("b", 1))
        assert sent_to(gateway.end(call_id, "a", Outcome.ERROR)) == ["b"]

    def test_a_clock_that_jumps_ahead(self, gateway):
        call_id, _ = gateway.call(first=0)
        gateway.now += 3_600_000
        gateway.call(first=1)
        gateway.until(gateway.now + 100)
        assert [a.call_id for _, a in gateway.done if isinstance(a, api.Fail)] == [call_id]


class TestASuccessor:
    """A server that takes the place of one that is gone, met with calls held for it."""

    def test_has_the_lines_of_its_pool_until_it_tells_its_own(self):
        g = Gateway(large(instances=3))
        g.servers(ready("a", 0))
        g.tell(lines("a", 176))
        g.servers(gone("a", 0), kind=api.ListKind.CHANGES)
        for _ in range(30):
            g.call()
        g.until(g.now + 1000)
        mark = len(g.done)
        g.servers(ready("b", 0), kind=api.ListKind.CHANGES)
        g.until(g.now + 50)
        assert 1 <= len(sent_to([action for _, action in g.done[mark:]])) <= 4

    def test_remembered_lines_are_bounded(self):
        g = Gateway(large(instances=3))
        for pool in range(server_module.MAX_POOLS + 5):
            g.servers(ready("a", pool))
            g.tell(lines("a", 10))
            g.servers(gone("a", pool))
        assert len(g.controller._context.pool_reports) == server_module.MAX_POOLS


def test_trials_do_not_cut_the_rate_of_a_silent_server():
    g = Gateway()
    g.servers(ready("a", 0))
    g.steady("a", 0, 24, gap_ms=100)
    g.call(expires_ms=g.now + 1000)
    g.until(g.now + 900)
    rate = g.controller._servers["a"].rate.bucket.rate
    g.until(g.now + 600)
    _, actions = g.call()
    assert sent_to(actions) == ["a"] and rate > 5
    g.until(g.now + 2500)
    assert g.controller._servers["a"].rate.bucket.rate >= rate


def test_a_silent_server_is_tried_on_the_scale_of_the_first_resend():
    g = Gateway(settings(resend_ms=125))
    g.servers(ready("a", 0))
    g.call(expires_ms=g.now + 300)
    g.until(500)
    _, actions = g.call()
    assert sent_to(actions) == ["a"]


class TestAServerThatLosesSetUps:
    """Some set-ups are never answered while others sent later are, as on a day that was recorded."""

    def lossy(self) -> tuple[Gateway, str]:
        g = Gateway()
        g.servers(ready("a", 0), ready("b", 1))
        g.steady("a", 0, 8)
        lost, _ = g.call(expires_ms=g.now + 8000)
        g.until(g.now + 200)
        g.steady("a", 0, 2)
        return g, lost

    def test_an_overtaken_set_up_moves(self):
        g, lost = self.lossy()
        g.until(g.now + 200)
        assert api.Cancel(lost, 0) in [action for _, action in g.done]

    def test_one_or_two_unanswered_are_no_pressure(self):
        g, _ = self.lossy()
        g.call()
        g.until(g.now + 400)
        assert g.controller._servers["a"].rate.bucket.rate == leaky_bucket.NEVER
