"""Slow start: rule 4 for one gateway, budgets, and servers that replace others."""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import LOW, RULES, SETTINGS, Gateway, gone, ready, sent_to, settings
from policy_helpers import circuits_report, large_fleet_settings, load_report

from canvasplank import interface as api
from canvasplank.interface import Outcome
from canvasplank.policy import server as server_module
from canvasplank.policy import server_observations


class TestRule4:
    """A cold server has a budget."""

    @pytest.mark.parametrize("cause", ["new", "restarted"])
    def test_4_a_cold_server_of_unknown_size_gets_one_call_a_second_from_all(self, cause):
        """One call a second from every gateway overloaded a small server."""
        g = Gateway()
        g.servers(ready("a", 0) if cause == "restarted" else ready("b", 1))
        g.advance_to(5000)
        g.servers(ready("a", 0, started_ms=4000), kind=api.ListKind.CHANGES)
        for _ in range(80):
            g.call(first=0)
            g.advance_to(g.now + 50)
        sent = sum("a" in sent_to([a]) for _, a in g.action_log)
        assert 1 <= sent <= 4000 / 1000 / SETTINGS.instances + 1

    def test_4_a_cold_server_gets_more_as_it_answers(self):
        g = Gateway(settings(classes=(replace(LOW, hold_ms=8000.0),)))
        g.servers(ready("a", 0))
        g.handle(api.CircuitsReported("a", 500, 500))
        g.serve_calls("a", 0, 40, gap_ms=100)
        g.servers(ready("a", 0, started_ms=g.now), kind=api.ListKind.CHANGES)
        g.action_log.clear()
        g.serve_calls("a", 0, 40, gap_ms=100)
        sent = sum("a" in sent_to([a]) for _, a in g.action_log)
        assert 8 <= sent <= 30
        g.advance_to(g.now + RULES.warm_within_ms)
        g.action_log.clear()
        g.serve_calls("a", 0, 40, gap_ms=100)
        assert sum("a" in sent_to([a]) for _, a in g.action_log) >= 38

    @pytest.mark.parametrize("late", [True, False])
    def test_4_a_server_back_from_silence_is_cold_unless_it_answers_an_earlier_set_up(self, gateway, late):
        server = gateway.controller._servers["a"]
        call_id, _ = gateway.call(first=0)
        gateway.advance_to(1300)
        assert server.silence.silent
        if late:
            gateway.answer(call_id, "a")
        else:
            gateway.answer_delays_ms = {"a": 40, "b": 40}
            gateway.end(call_id, "a", Outcome.CANCELLED)
            for _ in range(10):
                gateway.advance_to(gateway.now + 300)
                gateway.call(first=0)
        assert not server.silence.silent
        assert (server.slow_start.until_ms > gateway.now) is not late


class TestBudget:
    """The budget of a cold server, by the source of its capacity."""

    @pytest.mark.parametrize(
        ("reported", "max_fraction"),
        [
            (None, server_module.POOL_REPORT_FRACTION * RULES.cold_share),
            (30.0, server_module.FRESH_REPORT_FRACTION),
        ],
        ids=["predecessor's report", "own report"],
    )
    def test_the_budget_of_a_cold_successor_over_all_gateways_is_within_the_rule(
        self, gateway, reported, max_fraction
    ):
        gateway.handle(api.ProbeAnswered("a", answered=True, report=load_report(100.0)))
        gateway.servers(gone("a", 0), ready("c", 0, started_ms=gateway.now))
        server = gateway.controller._servers["c"]
        if reported:
            gateway.handle(api.ProbeAnswered("c", answered=True, report=load_report(reported)))
        sum_of_all = server.slow_start.rate_per_s() * SETTINGS.instances
        assert sum_of_all == pytest.approx(
            max_fraction * RULES.overload_multiple * (reported or 100.0), rel=0.01
        )
        assert sum_of_all < RULES.overload_multiple * (reported or RULES.cold_share * 100.0)

    def test_a_report_from_before_a_restart_is_not_used_as_a_fresh_one(self, gateway):
        gateway.handle(api.ProbeAnswered("a", answered=True, report=load_report(100.0)))
        gateway.servers(ready("a", 0, started_ms=gateway.now + 1), ready("b", 1))
        rate = gateway.controller._servers["a"].slow_start.rate_per_s()
        assert rate * SETTINGS.instances < RULES.overload_multiple * RULES.cold_share * 100.0

    def test_answers_raise_the_budget_of_a_cold_server_with_any_multiple(self):
        """With a multiple of 2, the budget fell below the rate that the server had just answered."""
        g = Gateway(settings(rules=replace(RULES, overload_multiple=2.0)))
        g.servers(ready("a", 0, started_ms=0.0))
        server = g.controller._servers["a"]
        server.answered_ms.extend(g.now + server_observations.ANSWER_WINDOW_MS * i / 40 for i in range(40))
        g.now = server_observations.ANSWER_WINDOW_MS - 100
        g.controller.handle(g.now, api.CallAbandoned("nobody"))
        assert server.slow_start.rate_per_s() > server.window_rate_per_s() > 0


class TestSuccessor:
    """A server replaces one that is gone, while calls wait for it."""

    def test_has_the_circuits_of_its_pool_until_it_reports_its_own(self):
        g = Gateway(large_fleet_settings(instances=3))
        g.servers(ready("a", 0))
        g.handle(circuits_report("a", 176))
        g.servers(gone("a", 0), kind=api.ListKind.CHANGES)
        for _ in range(30):
            g.call()
        g.advance_to(g.now + 1000)
        mark = len(g.action_log)
        g.servers(ready("b", 0), kind=api.ListKind.CHANGES)
        g.advance_to(g.now + 50)
        assert 1 <= len(sent_to([action for _, action in g.action_log[mark:]])) <= 4

    def test_remembered_reports_are_bounded(self):
        g = Gateway(large_fleet_settings(instances=3))
        for pool in range(server_observations.MAX_POOLS + 5):
            g.servers(ready("a", pool))
            g.handle(circuits_report("a", 10))
            g.servers(gone("a", pool))
        assert len(g.controller._context.pool_reports) == server_observations.MAX_POOLS
