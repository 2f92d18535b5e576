"""Retries: redials, busy numbers, and tenants' quotas."""

from __future__ import annotations

import pytest
from conftest import LOW, SETTINGS, Gateway, ready, sent_to, settings
from policy_helpers import end_as_number_busy, final_answers

from canvasplank import interface as api
from canvasplank.policy import call_queue


class TestRedials:
    """Callers that dial the same number again."""

    def test_a_redial_ranks_by_the_first_call(self):
        g = Gateway()
        g.call(number="77", expires_ms=500)
        g.advance_to(2000)
        g.call(number="77", id="redial")
        g.call(number="78", id="fresh")
        g.servers(ready("a", 0))
        assert [a.call_id for _, a in g.action_log if isinstance(a, api.SetUp)][:1] == ["fresh"]

    @pytest.mark.parametrize("second", [{"number": "78"}, {"number": "77", "replaces_cut_call": True}, {}])
    def test_other_calls_rank_by_their_own_start(self, second):
        g = Gateway()
        g.call(number="77", expires_ms=500)
        g.advance_to(2000)
        call_id, _ = g.call(**second)
        call, target_ms = g.controller._calls[call_id], 2000 + LOW.target_ms
        assert call.first_ms + LOW.target_ms == target_ms
        assert call.weight(target_ms - 1) == LOW.weight > call.weight(target_ms)

    def test_memory_is_bounded(self, monkeypatch):
        monkeypatch.setattr(call_queue, "MAX_REDIALS", 50)
        g = Gateway()
        for number in range(300):
            g.call(number=str(number), expires_ms=g.now)
        assert len(g.controller._queue.redials) <= 51


class TestBusyNumbers:
    """A flood of calls to one number with few lines must not affect other calls."""

    def test_refusal_at_once_with_a_random_wait_and_no_other_server_tried(self, gateway):
        call_id, _ = gateway.call(number="few-lines")
        actions = end_as_number_busy(gateway, call_id)
        assert not sent_to(actions)
        waits = [final_answers(actions)[0].retry_after_ms]
        waits += [final_answers(gateway.call(number="few-lines")[1])[0].retry_after_ms for _ in range(20)]
        max_wait_ms = SETTINGS.retry_after_max_ms
        assert max_wait_ms / 2 <= min(waits) < max(waits) <= max_wait_ms and len(set(waits)) > 10

    def test_one_call_at_a_time_tries_again_after_a_doubling_backoff(self, gateway):
        call_id, _ = gateway.call(number="few-lines")
        end_as_number_busy(gateway, call_id)
        gap_ms = call_queue.INITIAL_BUSY_MS
        for _ in range(6):
            assert final_answers(gateway.call(number="few-lines")[1])
            gateway.advance_to(gateway.now + gap_ms)
            tries = [gateway.call(number="few-lines") for _ in range(5)]
            assert sum(bool(sent_to(actions)) for _, actions in tries) == 1
            end_as_number_busy(gateway, tries[0][0])
            gap_ms = min(2 * gap_ms, call_queue.MAX_BUSY_MS)

    def test_an_established_call_ends_the_backoff(self, gateway):
        call_id, _ = gateway.call(number="few-lines")
        end_as_number_busy(gateway, call_id)
        gateway.advance_to(gateway.now + call_queue.INITIAL_BUSY_MS)
        call_id, _ = gateway.call(number="few-lines")
        gateway.answer(call_id, "a")
        assert sent_to(gateway.call(number="few-lines")[1])

    def test_other_numbers_and_calls_without_one_go_on(self, gateway):
        call_id, _ = gateway.call(number="few-lines")
        end_as_number_busy(gateway, call_id)
        for number in ("other", None):
            call_id, actions = gateway.call(number=number)
            assert sent_to(actions) == ["a"]
            gateway.answer(call_id, "a")
        assert final_answers(end_as_number_busy(gateway, gateway.call(number=None)[0])), (
            "answered all the same"
        )

    def test_busy_numbers_are_bounded(self, gateway):
        for number in range(call_queue.MAX_BUSY_NUMBERS + 50):
            call_id, actions = gateway.call(number=str(number))
            end_as_number_busy(gateway, call_id, *sent_to(actions))
        assert len(gateway.controller._queue.busy_numbers) == call_queue.MAX_BUSY_NUMBERS


class TestTenants:
    """Tenants with quotas."""

    TENANTS = (api.Tenant("big", 9.0), api.Tenant("small", 1.0))

    def weights(self, tenants):
        g = Gateway(settings(tenants=self.TENANTS, over_quota_weight=0.2))
        weights = []
        for tenant in tenants:
            call_id, _ = g.call(tenant=tenant)
            weights.append(g.controller._calls[call_id].weight(g.now))
            g.advance_to(g.now + 100)
        return weights

    def test_calls_over_quota_weigh_less(self):
        weights = self.weights(["big", "small"] * 50)
        assert set(weights[0::2]) == {1.0}, "this tenant is below its quota"
        assert weights[21::2].count(0.2) == pytest.approx(40 * 0.8, abs=2), (
            "half of the traffic, with a quota of a tenth"
        )

    def test_calls_within_quota_weigh_in_full(self):
        assert set(self.weights((["big"] * 9 + ["small"]) * 10)) == {1.0}

    @pytest.mark.parametrize("unknown", [None, "nobody"])
    def test_an_unknown_tenant_has_no_quota_to_exceed(self, unknown):
        assert set(self.weights([unknown] * 30)) == {1.0}

    def test_a_redial_keeps_the_quota_weight_of_the_first_call(self):
        g = Gateway(settings(tenants=self.TENANTS, over_quota_weight=0.2))
        for _ in range(30):
            call_id, _ = g.call(tenant="small", number="n")
            quota_weight = g.controller._calls[call_id].quota_weight
            g.handle(api.CallAbandoned(call_id))
        assert quota_weight == 1.0, "thirty redials use the credit of one call"
