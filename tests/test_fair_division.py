"""Tests of the fair division of a budget."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from canvasplank.fleet.fair_division import divide

DEMANDS = st.dictionaries(st.integers(1, 999), st.none() | st.integers(0, 10**6), max_size=40)


class TestFairDivision:
    """Quotas of a total, by demand."""

    @given(st.integers(0, 10**6), DEMANDS)
    def test_less_than_one_unit_per_quota_remains_undivided(self, total, demands):
        quotas = divide(total, dict(sorted(demands.items())))
        assert quotas.keys() == demands.keys() and all(quota >= 0 for quota in quotas.values())
        assert sum(quotas.values()) <= total
        assert not demands or total - sum(quotas.values()) < len(demands)

    @given(st.integers(1, 10**6), DEMANDS)
    def test_each_quota_is_at_least_the_smaller_of_the_demand_and_an_even_quota(self, total, demands):
        quotas = divide(total, demands)
        even = total // len(demands) if demands else 0
        for key, demand in demands.items():
            assert quotas[key] >= min(even, even if demand is None else demand)

    @pytest.mark.parametrize(
        ("demands", "quotas"),
        [
            ({}, {}),
            ({1: None}, {1: 60}),
            ({1: None, 2: None}, {1: 30, 2: 30}),
            ({1: 100, 2: 0, 3: 0}, {1: 56, 2: 2, 3: 2}),  # idle members keep only the floor
            ({1: 100, 2: 100, 3: 5}, {1: 27, 2: 28, 3: 5}),
            ({1: 10, 2: 10, 3: 10}, {1: 20, 2: 20, 3: 20}),  # the surplus is spread evenly
        ],
    )
    def test_examples(self, demands, quotas):
        assert divide(60, demands) == quotas
