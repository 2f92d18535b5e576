"""The pauses between requests to the store."""

from __future__ import annotations

import random

import pytest

from canvasplank.fleet.renewal_schedule import RenewalSchedule


class TestPace:
    """When to ask next."""

    @pytest.mark.parametrize("fleet", [8, 400])
    def test_a_store_that_comes_back_meets_the_fleet_spread_out(self, fleet):
        paces = [RenewalSchedule(1000.0, random.Random(seed)) for seed in range(fleet)]
        for pace in paces:
            for _ in range(6):
                last_ms = pace.after_failure(fleet)
                assert 0 <= last_ms <= max(2000.0, 20.0 * fleet)
        pauses = sorted(pace.after_failure(fleet) for pace in paces)
        most_at_once = max(sum(at <= other < at + 100 for other in pauses) for at in pauses)
        assert most_at_once <= max(4, fleet // 8)

    def test_it_is_eager_a_few_times_and_then_steady(self):
        pace = RenewalSchedule(1000.0, random.Random(1))
        pauses = [pace.after_answer(8, eager=True) for _ in range(9)]
        assert max(pauses[:6]) <= 200.0 and min(pauses[6:]) >= 850.0

    def test_hundreds_that_join_at_once_are_not_eager_together(self):
        """300 of them asked 2,000 times a second of a store that does some 300, and each waited 14 s."""
        paces = [RenewalSchedule(1000.0, random.Random(seed)) for seed in range(300)]
        pauses = [pace.after_answer(300, eager=True) for pace in paces]
        assert min(pauses) >= 700.0 and max(pauses) <= 1000.0

    def test_a_few_tens_are_as_eager_as_one(self):
        """At 20 ms for each, 32 that joined at once took 8 s to have what they may use of the whole."""
        pace = RenewalSchedule(1000.0, random.Random(1))
        assert max(pace.after_answer(32, eager=True) for _ in range(6)) <= 200.0
