"""Many gateways that share a few servers, each with a small part of the calls.

The tests count set-ups; none measures run time.
"""

from __future__ import annotations

import pytest
from conftest import RULES, Gateway, ready, sent_to
from policy_helpers import circuits_report, large_fleet_settings

from canvasplank import interface as api
from canvasplank.policy import rate_control, server_observations


def fleet(instances: int) -> list[Gateway]:
    return [Gateway(large_fleet_settings(instances), seed=seed) for seed in range(instances)]


def offer(gateways: list[Gateway], seconds: float, calls_per_s: float, weights=None, service_rate=None):
    """Spread calls over the gateways by weight; return the times of set-ups to server a.

    ``service_rate`` returns the calls a second of the server at a time (ms); it answers in order.  None: the
    server is silent.
    """
    sent: list[float] = []
    weights = weights or [1.0] * len(gateways)
    total, credit = sum(weights), [(index * 0.618) % 1 for index in range(len(gateways))]  # spread over time
    start = free_at = gateways[0].now
    for step in range(int(seconds * 20)):
        now = start + step * 50
        for index, g in enumerate(gateways):
            mark = len(g.action_log)
            g.advance_to(now)
            credit[index] += calls_per_s / 20 * weights[index] / total
            while credit[index] >= 1:
                credit[index] -= 1
                g.call(expires_ms=now + 3000)
            for when, action in g.action_log[mark:]:
                if isinstance(action, api.SetUp) and action.server_id == "a":
                    sent.append(when)
                    if service_rate:
                        free_at = max(free_at, now) + 1000 / service_rate(now)
                        g.due.append((max(free_at, now + 40), action.call_id, "a"))
    return sorted(sent)


class TestColdServerAndTheFleet:
    """Rule 4 limits the sum of the set-ups of all gateways."""

    CAPACITY = 60.0  # calls/s of the warm server, which has circuits for that at 8 s a call

    def capacity_at(self, age_ms: float) -> float:
        """Return the server's capacity at this age; it grows evenly."""
        grown = min(1.0, max(0.0, age_ms) / RULES.warm_within_ms)
        return self.CAPACITY * (RULES.cold_share + (1 - RULES.cold_share) * grown)

    def within_limit(self, sent: list[float], started_ms: float) -> bool:
        """Return whether no span after a set-up has more than the allowed multiple of the capacity then."""
        span, budget = RULES.overload_span_ms, RULES.overload_multiple * RULES.overload_span_ms / 1000
        return all(
            sum(at <= s < at + span for s in sent) <= budget * self.capacity_at(at - started_ms)
            for at in sent
        )

    @pytest.mark.parametrize("instances", [1, 7, 250])
    @pytest.mark.parametrize("uneven", [False, True])
    @pytest.mark.parametrize("known", [False, True])
    def test_a_restarted_server_is_not_overloaded(self, instances, uneven, known):
        """This holds for busy fleets, for gateways with uneven traffic and for a server known before."""
        gateways = fleet(instances)
        weights = [1 + 9 * (i % 5 == 0) if uneven else 1 for i in range(instances)]
        for g in gateways:
            g.servers(ready("a", 0) if known else ready("b", 1))
            if known:
                g.handle(circuits_report("a", self.CAPACITY * 8))
        if known:
            offer(gateways, 6, self.CAPACITY * 0.9, weights, service_rate=lambda now: self.CAPACITY)
        started_ms = gateways[0].now
        for g in gateways:
            g.servers(ready("a", 0, started_ms=started_ms), kind=api.ListKind.CHANGES)
            g.handle(circuits_report("a", self.CAPACITY * 8))
        sent = offer(
            gateways,
            6,
            self.CAPACITY * 1.5,
            weights,
            service_rate=lambda now: self.capacity_at(now - started_ms),
        )
        assert sent, "it is used"
        assert self.within_limit(sent, started_ms)

    @pytest.mark.parametrize("instances", [7, 250])
    def test_a_return_from_silence_before_the_list_shows_it(self, instances):
        """A server fails and is back cold: the trials of all gateways together stay within its budget."""
        gateways = fleet(instances)
        for g in gateways:
            g.servers(ready("a", 0))
            g.handle(circuits_report("a", self.CAPACITY * 8))
        offer(gateways, 6, self.CAPACITY * 0.9, service_rate=lambda now: self.CAPACITY)
        silent = offer(gateways, 10, self.CAPACITY * 0.9)
        back = [at for at in silent if at > silent[0] + 6000]  # by then each gateway has found it silent
        assert self.within_limit(back, gateways[0].now), "trials alone"
        started_ms = gateways[0].now
        sent = offer(
            gateways, 4, self.CAPACITY * 0.9, service_rate=lambda now: self.capacity_at(now - started_ms)
        )
        assert self.within_limit(sent, started_ms)


class TestFleetFraction:
    """The fraction of the minimum rate that each gateway has."""

    def cut_rate(self, g: Gateway) -> float:
        call_id, _ = g.call()
        g.advance_to(g.now + 20)
        g.full(call_id, "a")
        return g.controller._servers["a"].rate.bucket.rate

    def test_a_small_fleet_has_the_whole_minimum_rate(self):
        for reported in (False, True):
            g = Gateway(large_fleet_settings(4))
            g.servers(ready("a", 0))
            if reported:
                g.handle(circuits_report("a", 400))
            assert self.cut_rate(g) == rate_control.MIN_RATE_PER_S

    @pytest.mark.parametrize("count", [40, 400, 4000])
    def test_minimum_rates_of_a_large_fleet_sum_to_less_than_the_server_carries(self, count):
        """In a full-size fleet, the minimum rates added up to the capacity of several servers."""
        g = Gateway(large_fleet_settings())
        g.servers(ready("a", 0))
        g.handle(circuits_report("a", count))
        carries = count / 8.0
        assert 0 < self.cut_rate(g) * 250 <= carries / 2

    def test_without_reported_circuits_the_minimum_rate_is_divided_by_the_number_of_gateways(self):
        g = Gateway(large_fleet_settings())
        g.servers(ready("a", 0))
        assert self.cut_rate(g) * 250 == pytest.approx(server_observations.MIN_RATE_GATEWAYS)

    def test_no_bucket_leaks_faster_than_some_even_shares(self):
        """A full bucket of every gateway is seconds of work, so none may leak faster than the demand."""
        g = Gateway(large_fleet_settings())
        g.servers(ready("a", 0))
        g.handle(circuits_report("a", 200))
        g.advance_to(1000)
        sent = []
        for _ in range(20):
            sent += sent_to(g.call()[1])
            g.advance_to(g.now + 20)
        assert 1 <= len(sent) <= 2

    def test_answers_raise_the_leak_bound_of_a_gateway_with_many_calls(self):
        g = Gateway(large_fleet_settings())
        g.servers(ready("a", 0))
        g.handle(circuits_report("a", 800))
        g.serve_calls("a", 0, 60, gap_ms=100)
        g.action_log.clear()
        g.serve_calls("a", 0, 20, gap_ms=100)
        assert sum("a" in sent_to([a]) for _, a in g.action_log) >= 18

    @pytest.mark.parametrize("reported", [(-1, 5), (3, 0), (0, -4), (1, float("inf")), (1, float("nan"))])
    def test_invalid_circuits_are_ignored(self, reported):
        g = Gateway(large_fleet_settings())
        g.servers(ready("a", 0))
        g.handle(api.CircuitsReported("a", *reported))
        g.handle(api.CircuitsReported("no server", 1, 1))
        assert sent_to(g.call()[1]) == ["a"]

    def test_second_choices_go_by_size_in_a_large_fleet_only(self):
        """With an even choice, the load of large servers overloaded small ones (seen in if96e53)."""
        for instances, low, high in ((4, 60, 140), (250, 0, 30)):
            small = 0
            for seed in range(200):
                g = Gateway(large_fleet_settings(instances), seed=seed)
                g.servers(ready("a", 0), ready("b", 1), ready("c", 2))
                for name, count in (("a", 100), ("b", 2000), ("c", 2000)):
                    g.handle(circuits_report(name, count if instances > 4 else 2000))
                g.advance_to(50)
                small += sent_to(g.call(first=9)[1]) == ["a"]
            assert low <= small <= high
