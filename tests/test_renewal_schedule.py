"""Tests of the pauses between requests to the store."""

from __future__ import annotations

import random

import pytest

from canvasplank.fleet.renewal_schedule import RenewalSchedule


class TestRenewalSchedule:
    """Pauses after responses and failures."""

    @pytest.mark.parametrize("fleet", [8, 400])
    def test_retries_of_a_fleet_are_spread_out(self, fleet):
        schedules = [RenewalSchedule(1000.0, random.Random(seed)) for seed in range(fleet)]
        for schedule in schedules:
            for _ in range(6):
                last_ms = schedule.after_failure(fleet)
                assert 0 <= last_ms <= max(2000.0, 20.0 * fleet)
        pauses = sorted(schedule.after_failure(fleet) for schedule in schedules)
        max_at_once = max(sum(at <= other < at + 100 for other in pauses) for at in pauses)
        assert max_at_once <= max(4, fleet // 8)

    def test_a_few_eager_pauses_are_followed_by_steady_ones(self):
        schedule = RenewalSchedule(1000.0, random.Random(1))
        pauses = [schedule.after_response(8, eager=True) for _ in range(9)]
        assert max(pauses[:6]) <= 200.0 and min(pauses[6:]) >= 850.0

    def test_eager_pauses_grow_when_hundreds_join_at_once(self):
        """Without this, 300 proxies sent 2,000 requests per second to a store that executes about 300 per
        second, and each proxy waited 14 s.
        """
        schedules = [RenewalSchedule(1000.0, random.Random(seed)) for seed in range(300)]
        pauses = [schedule.after_response(300, eager=True) for schedule in schedules]
        assert min(pauses) >= 700.0 and max(pauses) <= 1000.0

    def test_eager_pauses_do_not_grow_when_a_few_tens_join_at_once(self):
        """With 20 ms per member, 32 proxies that joined at once got their shares only after 8 s."""
        schedule = RenewalSchedule(1000.0, random.Random(1))
        assert max(schedule.after_response(32, eager=True) for _ in range(6)) <= 200.0
