"""What one transaction does to the fleet's state."""

from __future__ import annotations

import msgspec
from fleet_members import LEASE, ask, held, joined

from canvasplank.fleet import lease_transaction
from canvasplank.fleet.lease_holder import BudgetLimits, LeaseHolder
from canvasplank.fleet.state import FleetState


class TestLedger:
    """What one transaction does."""

    def test_a_newcomer_gets_what_the_others_have_let_go_and_said_so(self):
        rows, [first, second] = joined("a", "b")
        assert (first.share("b", 0), second.share("b", 0)) == (64_000, 0)
        rows, _ = ask(rows, first)  # it hears that half is its target, and uses no more from here
        assert first.share("b", 0) == 32_000
        rows, _ = ask(rows, second)
        assert second.share("b", 0) == 0, "not said yet: the commit of it may still be on its way"
        rows, _ = ask(rows, first)
        rows, _ = ask(rows, second)
        assert (first.share("b", 0), second.share("b", 0)) == (32_000, 32_000)
        assert held(rows) == 64_000

    def test_a_request_that_comes_late_changes_nothing(self):
        rows, [holder] = joined("a")
        late = holder.next_request(0.0, {})
        rows, _ = ask(rows, holder)
        after, answer = lease_transaction.apply(rows, late)
        assert after == rows and answer.incarnation is None

    def test_one_that_renewed_meanwhile_is_not_removed(self):
        rows, [first, second] = joined("a", "b")
        [sign, _] = ask(rows, second)[1].heartbeats
        rows, _ = ask(rows, first)
        rows, _ = ask(rows, second, dead=[sign])
        assert first.incarnation in rows.members

    def test_a_row_that_is_gone_ends_the_share_and_the_next_request_joins_anew(self):
        rows, [first, second] = joined("a", "b")
        [sign, _] = ask(rows, second)[1].heartbeats
        rows, _ = ask(rows, second, dead=[sign])
        old = first.incarnation
        rows, _ = ask(rows, first)
        assert first.share("b", 0) == 0 and first.incarnation is None
        rows, _ = ask(rows, first)
        assert first.incarnation not in (None, old)

    def test_no_more_join_than_there_may_be(self):
        _rows, holders = joined(*(f"n{number}" for number in range(9)))
        assert [holder.incarnation is None for holder in holders] == [False] * 8 + [True]
        assert holders[-1].allowance("b", 0) == 2_000, "its part of what is kept back, all the same"

    def test_the_smallest_whole_and_the_largest_reserve_count_while_files_differ(self):
        rows, [first] = joined("a")
        other = LeaseHolder("b", {"b": BudgetLimits(40_000, 8_000, 8)}, LEASE)
        rows, answer = lease_transaction.apply(rows, other.next_request(0.0, {}))
        assert answer.grants["b"].target == (40_000 - 16_000) // 2
        rows, _ = ask(rows, first)
        assert first.share("b", 0) == 12_000

    def test_one_that_uses_more_than_it_was_granted_is_put_out(self):
        rows, [holder] = joined("a")
        request = holder.next_request(0.0, {})
        more = {"b": msgspec.structs.replace(request.in_use["b"], held=70_000)}
        after, answer = lease_transaction.apply(rows, msgspec.structs.replace(request, in_use=more))
        assert not after.members and answer.reason == "it uses more than it was granted"

    def test_no_share_grows_beside_a_row_that_cannot_be_read(self):
        _rows, [holder] = joined("a", rows=FleetState(unreadable=(7,)))
        assert holder.incarnation and holder.share("b", 0) == 0

    def test_leaving_frees_the_share_at_once(self):
        rows, [first, second] = joined("a", "b")
        rows, _ = lease_transaction.apply(rows, first.next_request(0.0, {}, leaving=True))
        assert first.share("b", 0) == 0
        rows, _ = ask(rows, second)
        assert second.share("b", 0) == 64_000
