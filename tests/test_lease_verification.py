"""Tests of the lease protocol with the model checker, and of the invariants over traces."""

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
from verification.spending import ProcessTrace, max_leased_per_s, max_window_excess


def apply_without_checks(state, request, *, dropped=()):
    """Apply the transaction of a request without the checks named in ``dropped``."""
    members = dict(state.members)
    if "seq" in dropped and request.incarnation in members:
        members[request.incarnation] = msgspec.structs.replace(members[request.incarnation], seq=-1)
    if "incarnation" in dropped and request.incarnation is not None and request.incarnation not in members:
        # A request with an unknown incarnation is accepted as that of a member, with the shares it reports.
        members[request.incarnation] = Member(
            request.incarnation, request.name, -1, request.max_members, request.lease_ms, request.in_use
        )
    if "heartbeat" in dropped:
        request = msgspec.structs.replace(
            request,
            expired=tuple(
                msgspec.structs.replace(heartbeat, seq=members[heartbeat.incarnation].seq)
                for heartbeat in request.expired
                if heartbeat.incarnation in members
            ),
        )
    after, response = lease_transaction.apply(
        FleetState(members, state.next_incarnation, state.unreadable), request
    )
    if "order" in dropped and response.incarnation is not None:
        # The store lowers a share before its holder has stopped using the difference.
        member = after.members[response.incarnation]
        target = response.grants["b"].target
        lowered = msgspec.structs.replace(
            member.allocations["b"], held=min(member.allocations["b"].held, target)
        )
        after.members[response.incarnation] = msgspec.structs.replace(member, allocations={"b": lowered})
        response = msgspec.structs.replace(response, grants={"b": Grant(lowered.held, target)})
    return after, response


def without(*checks):
    """A transaction like ``lease_transaction.apply`` without these checks."""
    return lambda state, request: apply_without_checks(state, request, dropped=checks)


class TestEveryInterleaving:
    """The production holder, failure detector and transaction, in every order of steps."""

    CLOCKS_SLIP = Bounds(ticks=3, requests=2, initial_processes=2, delayed_proxies=0)
    LATE_REQUESTS = Bounds(ticks=0, requests=3, initial_processes=2)
    THREE_PROCESSES = Bounds(
        ticks=0, requests=2, initial_processes=3, processes=3, delayed_proxies=0, clock_slips=0
    )
    LEASES_EXPIRE = Bounds(ticks=3, requests=2, initial_processes=2, delayed_proxies=0, clock_slips=0)

    @pytest.mark.parametrize(
        "bounds", [CLOCKS_SLIP, LATE_REQUESTS, THREE_PROCESSES], ids=["clocks slip", "late", "three"]
    )
    def test_shares_never_sum_to_more_than_the_total(self, bounds):
        exploration = Explorer(Lease(2.0, 1.0, 0.0), bounds).run()
        assert exploration.path is None and exploration.complete and exploration.states > 5_000

    @pytest.mark.parametrize(
        ("lease", "bounds", "apply"),
        [
            (Lease(2.0, 0.0, 0.0), CLOCKS_SLIP, lease_transaction.apply),
            (Lease(2.0, 1.0, 0.0), LATE_REQUESTS, without("order")),
            (Lease(2.0, 1.0, 0.0), LATE_REQUESTS, without("seq")),
            (Lease(2.0, 1.0, 0.0), LEASES_EXPIRE, without("incarnation")),
            (Lease(2.0, 1.0, 0.0), LEASES_EXPIRE, without("heartbeat")),
        ],
        ids=[
            "no margin",
            "shares lowered by the store first",
            "stale requests applied",
            "unknown incarnations accepted",
            "renewals ignored",
        ],
    )
    def test_a_violation_is_found_where_a_check_is_removed(self, lease, bounds, apply):
        assert Explorer(lease, bounds, apply).run().path

    @given(st.lists(st.integers(0, 10**6), max_size=70))
    @settings(max_examples=150, deadline=None)
    def test_random_walks_beyond_the_bounds(self, choices):
        explorer = Explorer(
            Lease(3.0, 1.0, 0.0),
            Bounds(ticks=25, requests=20, processes=4, initial_processes=2, delayed_proxies=4),
        )
        state = explorer.initial_state()
        for choice in choices:
            steps = list(explorer.steps(state))
            state = steps[choice % len(steps)][1]
            assert state.in_use() <= TOTAL


class TestTraceInvariants:
    """Traces that violate an invariant are detected."""

    def test_overlapping_shares_are_found(self):
        one = ProcessTrace("a", shares=[(0.0, 100.0, 30.0)])
        assert max_leased_per_s([one, ProcessTrace("b", shares=[(100.0, 200.0, 30.0)])]) == 30.0
        assert max_leased_per_s([one, ProcessTrace("b", shares=[(99.0, 200.0, 30.0)])]) == 60.0

    def test_a_window_above_the_total_is_found(self):
        even = [ProcessTrace("a", spent=[100.0 * n for n in range(50)])]
        assert max_window_excess(even, 10.0, 250.0) <= 1
        assert (
            max_window_excess([*even, ProcessTrace("b", spent=[2000.0 + n for n in range(5)])], 10.0, 250.0)
            > 2
        )
