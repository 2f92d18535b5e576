"""Budgets of the fleet: the division, the ledger, leases, buckets; and every interleaving of the protocol."""

from __future__ import annotations

import random

import msgspec
import pytest
from conftest import Gateway, ready, sent_to
from hypothesis import given, settings
from hypothesis import strategies as st

from canvasplank.config.configuration import ConfigurationError
from canvasplank.fleet import lease_transaction
from canvasplank.fleet.budget_limiter import BudgetLimiter, BudgetScope, DemandEstimator, TokenBucket
from canvasplank.fleet.config import load_fleet
from canvasplank.fleet.failure_detector import FailureDetector
from canvasplank.fleet.fair_division import divide
from canvasplank.fleet.lease_holder import BudgetLimits, Lease, LeaseHolder
from canvasplank.fleet.lease_messages import Grant
from canvasplank.fleet.renewal_schedule import RenewalSchedule
from canvasplank.fleet.state import FleetState, Member
from verification.leases import TOTAL, Bounds, Explorer
from verification.spending import Trace, most_shared, worst_window

LEASE = Lease(3000.0, 100.0, 0.001)
TERMS = {"b": BudgetLimits(total=80_000, reserve=16_000, max_members=8)}
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


def joined(*names, rows=None):
    """Rows with these members, and their holders, each having heard its answer."""
    rows = rows or FleetState()
    holders = []
    for name in names:
        holder = LeaseHolder(name, TERMS, LEASE)
        rows, answer = lease_transaction.apply(rows, holder.next_request(0.0, {}))
        holder.on_response(answer)
        holders.append(holder)
    return rows, holders


def ask(rows, holder, now_ms=0.0, dead=(), **demand):
    rows, answer = lease_transaction.apply(rows, holder.next_request(now_ms, demand, dead))
    holder.on_response(answer)
    return rows, answer


def held(rows):
    return sum(member.allocations["b"].held for member in rows.members.values())


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


class TestLease:
    """How long a share may be used, and when it is anybody else's."""

    def test_it_ends_earlier_at_its_holder_than_for_anybody_else(self):
        _rows, [holder] = joined("a")
        usable_ms, expiry_ms = LEASE.usable_ms(), LEASE.expiry_ms(3000.0)
        assert holder.share("b", usable_ms - 1) > 0 == holder.share("b", usable_ms)
        assert usable_ms < 3000.0 < expiry_ms
        assert LEASE.expiry_ms(5000.0) > 5000.0, "a longer lease in its own file counts"

    def test_it_runs_from_when_the_request_was_sent(self):
        rows, [holder] = joined("a")
        request = holder.next_request(1000.0, {})
        rows, answer = lease_transaction.apply(rows, request)  # however late that is, and the answer
        holder.on_response(answer)
        assert holder.until_ms == 1000.0 + LEASE.usable_ms()

    def test_an_answer_to_an_older_request_tells_nothing(self):
        rows, [holder] = joined("a")
        rows, answer = lease_transaction.apply(rows, holder.next_request(500.0, {}))
        holder.next_request(2000.0, {})
        assert not holder.on_response(answer) and holder.until_ms == LEASE.usable_ms()

    def test_whoever_has_not_renewed_for_a_lease_since_it_was_seen_is_dead(self):
        watch, expiry_ms = FailureDetector(LEASE), LEASE.expiry_ms(3000.0)
        rows, [holder] = joined("a")
        [sign] = ask(rows, holder)[1].heartbeats
        watch.observe([sign], 100.0)
        watch.observe([sign], 2000.0)
        assert not watch.expired(99.0 + expiry_ms) and watch.expired(100.0 + expiry_ms) == (sign,)
        watch.observe([msgspec.structs.replace(sign, seq=9)], 2500.0)
        assert not watch.expired(100.0 + expiry_ms)
        watch.observe([], 2600.0)
        assert not watch.expired(9e9)


class TestSpending:
    """Buckets over allowances."""

    def test_a_pause_past_the_lease_saves_up_nothing_of_what_was_leased(self):
        bucket = TokenBucket(250.0, 0.0)
        bucket.settle(10_000.0, unleased_quota=2_000, share=40_000, until_ms=200.0)
        spent = 0
        while bucket.wait_ms(2_000) == 0:
            bucket.spend()
            spent += 1
        assert spent == 1, "a unit; a quarter second of two a second is less"

    def test_a_rate_is_kept_and_a_burst_is_bounded(self):
        bucket, spent = TokenBucket(250.0, 0.0), 0
        for now in range(0, 4000, 5):
            allowance = bucket.settle(float(now), 0, 40_000, 1e9)
            while bucket.wait_ms(allowance) == 0:
                bucket.spend()
                spent += 1
        assert 155 <= spent <= 160
        bucket.settle(60_000.0, 0, 40_000, 1e9)
        for _ in range(10):
            assert bucket.wait_ms(40_000) == 0
            bucket.spend()
        assert bucket.wait_ms(40_000) == pytest.approx(25.0), "ten units: a quarter of a second"

    def test_without_an_allowance_it_waits_for_ever(self):
        assert TokenBucket(250.0, 0.0).wait_ms(0) == float("inf")

    @pytest.mark.parametrize(
        ("kind", "of", "tenant", "attempt", "server", "covered"),
        [
            ("set-ups", "", None, 0, "s", True),
            ("set-ups", "", "acme", 3, "s", True),
            ("member", "acme", "acme", 0, "s", True),
            ("member", "acme", "acme", 1, "s", False),  # a repeat is no set-up of the member's
            ("member", "acme", "beta", 0, "s", False),
            ("repeats", "", "acme", 0, "s", False),
            ("repeats", "", None, 1, "s", True),
            ("server", "s", None, 1, "s", True),
            ("server", "s", None, 0, "t", False),
        ],
    )
    def test_what_a_budget_covers(self, kind, of, tenant, attempt, server, covered):
        assert BudgetScope(kind, of).covers(tenant, attempt, server) is covered

    def test_a_unit_of_each_or_none(self):
        _, [holder] = joined("a")
        limiter = BudgetLimiter(holder, {"b": BudgetScope("set-ups")}, 250.0, 0.0)
        assert not limiter.spend(["b"], 0.0) and limiter.spend(["b"], 100.0)
        assert limiter.spend([], 100.0), "what no budget covers is free"

    def test_demand_is_reported_in_steps_and_grows_where_it_is_held_back(self):
        demand = DemandEstimator()
        assert demand.report(0.0, 10_000) is None

        def used(count, now_ms):
            for _ in range(count):
                demand.spent()
            return demand.report(now_ms, 10_000)

        assert used(8, 1000.0) == 10_000
        assert used(7, 2000.0) == 10_000, "within the band: no news"
        demand.saturated()
        assert used(10, 3000.0) == 20_000
        assert used(0, 4000.0) == 10_000 and used(0, 5000.0) == 5_000, "down by halves"


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


class TestModule:
    """The gate asks; a call that the budgets hold back is held like any other."""

    def test_a_call_waits_for_its_budget_and_no_other_kind_waits_with_it(self):
        asked = []

        def delay(call, attempt, server_id, take):
            if take:
                asked.append((call.id, attempt, server_id))
            return 300.0 if call.tenant == "acme" and g.now < 1000 else 0.0

        g = Gateway(budgets=delay)
        g.servers(ready("a", 0))
        g.alive["a"] = 40
        held_id, actions = g.call(tenant="acme")
        other_id, others = g.call(tenant="beta")
        assert not sent_to(actions) and sent_to(others) == ["a"]
        timers = len(g.timers)
        g.until(900)
        assert len(g.timers) - timers < 12, "it looks again when the budget may allow it, not each tick"
        assert sent_to(g.until(1400)) == ["a"]
        assert asked == [(other_id, 0, "a"), (held_id, 0, "a")]


GOOD = """backend = "sqlite"
path = "x.db"
proxies_most = 4
[[budget]]
name = "all"
kind = "set-ups"
whole_per_s = 40.0
"""


@pytest.mark.parametrize(
    ("was", "becomes", "says"),
    [
        ("whole_per_s = 40.0", "whole_per_s = -1.0", "Expected `float` > 0"),
        ("whole_per_s = 40.0", "whole_per_s = 3.0", "less than one unit a second for each of 4"),
        ("set-ups", "wishes", "Invalid enum value 'wishes'"),
        ("set-ups", "member", "do not fit"),
        ("[[budget]]", "budget = []\n[other]", "unknown field"),
        (GOOD[GOOD.index("[[") :], "budget = []", "no budget is named"),
        ("whole_per_s = 40.0\n", "whole_per_s = 40.0\n" + GOOD[GOOD.index("[[") :], "named twice"),
        ('path = "x.db"', "", "needs a path"),
        ('"sqlite"', '"postgresql"', "needs a dsn"),
        ("proxies_most = 4", "proxies_most = 4\nrenew_ms = 2000.0", "less than two times renew_ms"),
    ],
)
def test_a_bad_file_is_one_line(tmp_path, was, becomes, says):
    path = tmp_path / "fleet.toml"
    path.write_text(GOOD.replace(was, becomes, 1))
    with pytest.raises(ConfigurationError, match=says) as fault:
        load_fleet(str(path))
    assert "\n" not in str(fault.value)
