"""Tests of the lease transaction."""

from __future__ import annotations

import msgspec
from fleet_members import LEASE, join, renew, total_held

from canvasplank.fleet import lease_transaction
from canvasplank.fleet.lease_holder import BudgetLimits, LeaseHolder
from canvasplank.fleet.state import FleetState


class TestLeaseTransaction:
    """How requests change the fleet's state."""

    def test_a_new_member_gets_only_what_the_others_have_reported_as_released(self):
        state, [first, second] = join("a", "b")
        assert (first.share("b", 0), second.share("b", 0)) == (64_000, 0)
        state, _ = renew(state, first)  # from now on it uses no more than its target, which is half
        assert first.share("b", 0) == 32_000
        state, _ = renew(state, second)
        assert second.share("b", 0) == 0, "the response that lowers the first share may still be in flight"
        state, _ = renew(state, first)
        state, _ = renew(state, second)
        assert (first.share("b", 0), second.share("b", 0)) == (32_000, 32_000)
        assert total_held(state) == 64_000

    def test_a_stale_request_changes_nothing(self):
        state, [holder] = join("a")
        late = holder.next_request(0.0, {})
        state, _ = renew(state, holder)
        after, response = lease_transaction.apply(state, late)
        assert after == state and response.incarnation is None

    def test_a_member_that_renewed_meanwhile_is_not_removed(self):
        state, [first, second] = join("a", "b")
        [heartbeat, _] = renew(state, second)[1].heartbeats
        state, _ = renew(state, first)
        state, _ = renew(state, second, expired=[heartbeat])
        assert first.incarnation in state.members

    def test_a_removed_member_loses_its_share_and_rejoins(self):
        state, [first, second] = join("a", "b")
        [heartbeat, _] = renew(state, second)[1].heartbeats
        state, _ = renew(state, second, expired=[heartbeat])
        old = first.incarnation
        state, _ = renew(state, first)
        assert first.share("b", 0) == 0 and first.incarnation is None
        state, _ = renew(state, first)
        assert first.incarnation not in (None, old)

    def test_no_more_than_max_members_join(self):
        _state, holders = join(*(f"n{number}" for number in range(9)))
        assert [holder.incarnation is None for holder in holders] == [False] * 8 + [True]
        assert holders[-1].allowance("b", 0) == 2_000, "a proxy that is not a member has its unleased quota"

    def test_the_smallest_total_and_the_largest_reserve_apply_while_configurations_differ(self):
        state, [first] = join("a")
        other = LeaseHolder("b", {"b": BudgetLimits(40_000, 8_000, 8)}, LEASE)
        state, response = lease_transaction.apply(state, other.next_request(0.0, {}))
        assert response.grants["b"].target == (40_000 - 16_000) // 2
        state, _ = renew(state, first)
        assert first.share("b", 0) == 12_000

    def test_a_member_that_uses_more_than_it_was_granted_is_removed(self):
        state, [holder] = join("a")
        request = holder.next_request(0.0, {})
        more = {"b": msgspec.structs.replace(request.in_use["b"], held=70_000)}
        after, response = lease_transaction.apply(state, msgspec.structs.replace(request, in_use=more))
        assert not after.members and response.reason == "the member uses more than it was granted"

    def test_no_share_grows_while_there_is_an_unreadable_member(self):
        _state, [holder] = join("a", state=FleetState(unreadable=(7,)))
        assert holder.incarnation and holder.share("b", 0) == 0

    def test_leaving_releases_the_share_at_once(self):
        state, [first, second] = join("a", "b")
        state, _ = lease_transaction.apply(state, first.next_request(0.0, {}, leaving=True))
        assert first.share("b", 0) == 0
        state, _ = renew(state, second)
        assert second.share("b", 0) == 64_000
