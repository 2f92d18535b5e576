"""Tests of token buckets, demand estimates, and the controller's delay of calls by budgets."""

from __future__ import annotations

import pytest
from conftest import Gateway, ready, sent_to
from fleet_members import join

from canvasplank.fleet.budget_limiter import (
    BudgetKind,
    BudgetLimiter,
    BudgetScope,
    DemandEstimator,
    TokenBucket,
)


class TestBudgetLimiter:
    """Token buckets at allowances, and demand estimates."""

    def test_a_share_yields_no_tokens_after_its_lease_has_ended(self):
        bucket = TokenBucket(250.0, 0.0)
        bucket.refill(10_000.0, unleased_quota=2_000, share=40_000, until_ms=200.0)
        spent = 0
        while bucket.wait_ms(2_000) == 0:
            bucket.spend()
            spent += 1
        assert spent == 1, "the capacity is one unit, since 250 ms at two units per second yield less"

    def test_the_rate_and_the_burst_are_bounded(self):
        bucket, spent = TokenBucket(250.0, 0.0), 0
        for now in range(0, 4000, 5):
            allowance = bucket.refill(float(now), 0, 40_000, 1e9)
            while bucket.wait_ms(allowance) == 0:
                bucket.spend()
                spent += 1
        assert 155 <= spent <= 160
        bucket.refill(60_000.0, 0, 40_000, 1e9)
        for _ in range(10):
            assert bucket.wait_ms(40_000) == 0
            bucket.spend()
        assert bucket.wait_ms(40_000) == pytest.approx(25.0), "the capacity is ten units, those of 250 ms"

    def test_without_an_allowance_the_wait_is_infinite(self):
        assert TokenBucket(250.0, 0.0).wait_ms(0) == float("inf")

    @pytest.mark.parametrize(
        ("kind", "subject", "tenant", "attempt", "server", "covered"),
        [
            ("set-ups", "", None, 0, "s", True),
            ("set-ups", "", "acme", 3, "s", True),
            ("member", "acme", "acme", 0, "s", True),
            ("member", "acme", "acme", 1, "s", False),  # a retry is not covered
            ("member", "acme", "beta", 0, "s", False),
            ("repeats", "", "acme", 0, "s", False),
            ("repeats", "", None, 1, "s", True),
            ("server", "s", None, 1, "s", True),
            ("server", "s", None, 0, "t", False),
        ],
    )
    def test_set_ups_that_a_budget_covers(self, kind, subject, tenant, attempt, server, covered):
        assert BudgetScope(BudgetKind(kind), subject).covers(tenant, attempt, server) is covered

    def test_a_set_up_is_admitted_once_its_budget_has_a_unit(self):
        _, [holder] = join("a")
        limiter = BudgetLimiter(holder, {"b": BudgetScope(BudgetKind.SET_UPS)}, 250.0, 0.0)
        assert not limiter.spend(["b"], 0.0) and limiter.spend(["b"], 100.0)
        assert limiter.spend([], 100.0), "a set-up that no budget covers is not limited"

    def test_the_reported_demand_changes_in_steps_and_grows_if_set_ups_wait(self):
        demand = DemandEstimator()
        assert demand.report(0.0, 10_000) is None

        def report_after(count, now_ms):
            for _ in range(count):
                demand.record_spent()
            return demand.report(now_ms, 10_000)

        assert report_after(8, 1000.0) == 10_000
        assert report_after(7, 2000.0) == 10_000, "within the dead band the report is unchanged"
        demand.record_wait()
        assert report_after(10, 3000.0) == 20_000
        assert report_after(0, 4000.0) == 10_000 and report_after(0, 5000.0) == 5_000, (
            "the report falls by halves"
        )


class TestController:
    """The controller takes units from budgets, and holds a call that a budget delays."""

    def test_only_calls_covered_by_an_exhausted_budget_wait(self):
        spent = []

        def delay(call, attempt, server_id, take):
            if take:
                spent.append((call.id, attempt, server_id))
            return 300.0 if call.tenant == "acme" and g.now < 1000 else 0.0

        g = Gateway(budgets=delay)
        g.servers(ready("a", 0))
        g.answer_delays_ms["a"] = 40
        held_id, actions = g.call(tenant="acme")
        other_id, others = g.call(tenant="beta")
        assert not sent_to(actions) and sent_to(others) == ["a"]
        timers = len(g.timers)
        g.advance_to(900)
        assert len(g.timers) - timers < 12, "the call is retried when the budget may admit it, not each tick"
        assert sent_to(g.advance_to(1400)) == ["a"]
        assert spent == [(other_id, 0, "a"), (held_id, 0, "a")]
