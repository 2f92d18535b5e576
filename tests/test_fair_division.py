"""The fair division of a budget."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from canvasplank.fleet.fair_division import divide

wants = st.dictionaries(st.integers(1, 999), st.none() | st.integers(0, 10**6), max_size=40)


class TestDivision:
    """Parts of a whole."""

    @given(st.integers(0, 10**6), wants)
    def test_the_parts_never_sum_to_more_and_leave_next_to_nothing(self, whole, wanted):
        parts = divide(whole, dict(sorted(wanted.items())))
        assert parts.keys() == wanted.keys() and all(part >= 0 for part in parts.values())
        assert sum(parts.values()) <= whole
        assert not wanted or whole - sum(parts.values()) < len(wanted)

    @given(st.integers(1, 10**6), wants)
    def test_nobody_gets_less_than_an_even_part_that_it_wants(self, whole, wanted):
        parts = divide(whole, wanted)
        even = whole // len(wanted) if wanted else 0
        for key, want in wanted.items():
            assert parts[key] >= min(even, even if want is None else want)

    @pytest.mark.parametrize(
        ("wanted", "parts"),
        [
            ({}, {}),
            ({1: None}, {1: 60}),
            ({1: None, 2: None}, {1: 30, 2: 30}),
            ({1: 100, 2: 0, 3: 0}, {1: 56, 2: 2, 3: 2}),  # a flooded one gets what idle ones give up
            ({1: 100, 2: 100, 3: 5}, {1: 27, 2: 28, 3: 5}),
            ({1: 10, 2: 10, 3: 10}, {1: 20, 2: 20, 3: 20}),  # what nobody wants is there before it is wanted
        ],
    )
    def test_examples(self, wanted, parts):
        assert divide(60, wanted) == parts
