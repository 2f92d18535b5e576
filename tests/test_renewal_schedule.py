"""The pauses between requests to the store."""

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

    def test_a_few_eager_pauses_and_then_steady_ones(self):
        schedule = RenewalSchedule(1000.0, random.Random(1))
        pauses = [schedule.after_response(8, eager=True) for _ in range(9)]
        assert max(pauses[:6]) <= 200.0 and min(pauses[6:]) >= 850.0

    def test_hundreds_that_join_at_once_are_not_eager_together(self):
        """300 proxies sent 2,000 requests a second to a store that does some 300, and each waited 14 s."""
        schedules = [RenewalSchedule(1000.0, random.Random(seed)) for seed in range(300)]
        pauses = [schedule.after_response(300, eager=True) for schedule in schedules]
        assert min(pauses) >= 700.0 and max(pauses) <= 1000.0

    def test_a_few_tens_are_as_eager_as_one(self):
        """At 20 ms for each, 32 that joined at once took 8 s to have their shares."""
        schedule = RenewalSchedule(1000.0, random.Random(1))
        assert max(schedule.after_response(32, eager=True) for _ in range(6)) <= 200.0
