"""Every interleaving of the lease protocol, and the invariants over traces."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from canvasplank.fleet import lease_transaction
from canvasplank.fleet.lease_holder import Lease
from canvasplank.fleet.lease_messages import Grant
from canvasplank.fleet.state import FleetState, Member
from verification.leases import TOTAL, Bounds, Explorer
from verification.spending import Trace, most_shared, worst_window


def careless(rows, request, *, drop=()):
    """The ledger without some of its checks."""
    members = dict(rows.members)
    if "seq" in drop and request.incarnation in members:
        members[request.incarnation] = msgspec.structs.replace(members[request.incarnation], seq=-1)
    if "incarnation" in drop and request.incarnation is not None and request.incarnation not in members:
        # Whoever says that it was in the fleet is believed, with what it says that it uses.
        members[request.incarnation] = Member(
            request.incarnation, request.name, -1, request.max_members, request.lease_ms, request.in_use
        )
    if "sign" in drop:
        request = msgspec.structs.replace(
            request,
            expired=tuple(
                msgspec.structs.replace(sign, seq=members[sign.incarnation].seq)
                for sign in request.expired
                if sign.incarnation in members
            ),
        )
    after, answer = lease_transaction.apply(
        FleetState(members, rows.next_incarnation, rows.unreadable), request
    )
    if "order" in drop and answer.incarnation is not None:
        # The store lowers a share first, and its holder hears of it.
        member = after.members[answer.incarnation]
        target = answer.grants["b"].target
        lowered = msgspec.structs.replace(
            member.allocations["b"], held=min(member.allocations["b"].held, target)
        )
        after.members[answer.incarnation] = msgspec.structs.replace(member, allocations={"b": lowered})
        answer = msgspec.structs.replace(answer, grants={"b": Grant(lowered.held, target)})
    return after, answer


def without(*checks):
    return lambda rows, request: careless(rows, request, drop=checks)


class TestEveryInterleaving:
    """The program's own holder, watch and ledger, in every order of steps up to some bounds."""

    SLIPPING = Bounds(ticks=3, requests=2, initial_processes=2, delaying=0)
    LATE = Bounds(ticks=0, requests=3, initial_processes=2)
    THREE = Bounds(ticks=0, requests=2, initial_processes=3, processes=3, delaying=0, clock_slips=0)
    LAPSING = Bounds(ticks=3, requests=2, initial_processes=2, delaying=0, clock_slips=0)

    @pytest.mark.parametrize("bounds", [SLIPPING, LATE, THREE], ids=["clocks slip", "late", "three"])
    def test_nothing_sums_to_more_than_the_whole(self, bounds):
        found = Explorer(Lease(2.0, 1.0, 0.0), bounds).run()
        assert found.path is None and found.complete and found.states > 5_000

    @pytest.mark.parametrize(
        ("lease", "bounds", "apply"),
        [
            (Lease(2.0, 0.0, 0.0), SLIPPING, lease_transaction.apply),
            (Lease(2.0, 1.0, 0.0), LATE, without("order")),
            (Lease(2.0, 1.0, 0.0), LATE, without("seq")),
            (Lease(2.0, 1.0, 0.0), LAPSING, without("incarnation")),
            (Lease(2.0, 1.0, 0.0), LAPSING, without("sign")),
        ],
        ids=[
            "no margin",
            "the store lowers first",
            "late ones count",
            "no incarnation",
            "renewal overlooked",
        ],
    )
    def test_it_finds_the_fault_where_a_check_is_taken_out(self, lease, bounds, apply):
        assert Explorer(lease, bounds, apply).run().path

    @given(st.lists(st.integers(0, 10**6), max_size=70))
    @settings(max_examples=150, deadline=None)
    def test_long_walks_beyond_the_bounds(self, choices):
        explorer = Explorer(
            Lease(3.0, 1.0, 0.0), Bounds(ticks=25, requests=20, processes=4, initial_processes=2, delaying=4)
        )
        state = explorer.initial_state()
        for choice in choices:
            steps = list(explorer.steps(state))
            state = steps[choice % len(steps)][1]
            assert state.in_use() <= TOTAL


class TestChecker:
    """The proof over traces can fail."""

    def test_overlapping_shares_are_found(self):
        one = Trace("a", shares=[(0.0, 100.0, 30.0)])
        assert most_shared([one, Trace("b", shares=[(100.0, 200.0, 30.0)])]) == 30.0
        assert most_shared([one, Trace("b", shares=[(99.0, 200.0, 30.0)])]) == 60.0

    def test_a_window_over_the_whole_is_found(self):
        even = [Trace("a", spent=[100.0 * n for n in range(50)])]
        assert worst_window(even, 10.0, 250.0) <= 1
        assert worst_window([*even, Trace("b", spent=[2000.0 + n for n in range(5)])], 10.0, 250.0) > 2
