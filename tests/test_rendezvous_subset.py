"""Tests of subsets of the call servers: the selection, the controller's rates, and proxy processes."""

from __future__ import annotations

import asyncio
import json
import math
import time
import tomllib
from collections import Counter
from types import SimpleNamespace

import pytest
from conftest import Gateway, settings

from canvasplank import interface as api
from canvasplank.cold_start.extension import (
    PREDECESSOR_CALLS_MS,
    ColdStartExtension,
    ColdStartSettings,
)
from canvasplank.cold_start.rendezvous_hashing import max_sharers, rank, select_subset
from canvasplank.cold_start.rendezvous_subset import RendezvousSubset
from canvasplank.config.discovery_events import Endpoint, to_server
from canvasplank.network.release_retransmission import SentRelease
from canvasplank.network.servers import Servers
from emulators.callers import Callers
from emulators.fleet import ROOT, fleet
from emulators.server import CallServer

WAIT_S = 30.0
ALL = (None,)


def instances(count: int, pools: int = 1, lifecycle: str = "ready") -> list[Endpoint]:
    return [Endpoint(f"s-{n}", f"10.0.0.{n}:5060", lifecycle, n % pools) for n in range(count)]


def names(count: int) -> list[str]:
    return [f"proxy-{n}" for n in range(count)]


def lifecycles(selected: list[Endpoint]) -> dict[str, str]:
    return {instance.instance_id: instance.lifecycle for instance in selected}


class TestSelection:
    """The ranking, and the subsets selected by it."""

    def test_the_ranking_is_the_same_on_every_machine(self):
        assert rank("proxy-0", instances(4)) == ["s-1", "s-3", "s-0", "s-2"]

    @pytest.mark.parametrize("sizes", [(8, 8, 8), (12, 8, 4), (20, 3, 1)])
    def test_subsets_are_proportional_to_zones_and_use_servers_evenly(self, sizes):
        """With a ranking that ignored zones, one proxy in sixty had no server in its own of three zones."""
        listed = [
            Endpoint(f"s-{zone}-{n}", "x:1", "ready", zone=f"z{zone}")
            for zone, size in enumerate(sizes)
            for n in range(size)
        ]
        sharers: Counter[str] = Counter()
        for name in names(600):
            mine = select_subset(name, listed, ALL, 8)
            sharers.update(mine)
            for zone, size in enumerate(sizes):
                held = sum(server_id.startswith(f"s-{zone}-") for server_id in mine)
                assert abs(held - 8 * size / sum(sizes)) < 1.0 + 1.0 / size
        assert max(sharers.values()) <= max_sharers(0, listed, ALL, 8, 600)
        assert min(sharers.values()) >= 200 - 4 * math.sqrt(200)

    @pytest.mark.parametrize(
        ("proxies", "servers", "per_class"), [(300, 24, 8), (500, 12, 4), (5000, 200, 16)]
    )
    def test_sharers_are_about_even_and_bounded_by_max_sharers(self, proxies, servers, per_class):
        listed = instances(servers)
        sharers = Counter(s for name in names(proxies) for s in select_subset(name, listed, ALL, per_class))
        bound = max_sharers(0, listed, ALL, per_class, proxies)
        mean = proxies * per_class / servers
        assert len(sharers) == servers and sum(sharers.values()) == proxies * per_class
        assert min(sharers.values()) > mean - 4 * math.sqrt(mean)
        assert max(sharers.values()) <= 1.05 * bound and bound < 1.5 * mean
        assert sum(each > bound for each in sharers.values()) <= servers / 100

    @pytest.mark.parametrize("servers", [12, 24, 48])
    @pytest.mark.parametrize("proxies", [1, 2, 4, 16, 30, 60, 100, 200])
    def test_no_server_is_left_out_or_overloaded_in_a_fleet_of_any_size_with_the_deployed_subset(
        self, proxies, servers
    ):
        """With a fixed subset of 8 of 24 servers, four proxies left 4 or 5 servers without a proxy."""
        deployed = tomllib.loads((ROOT / "deploy" / "subset.toml").read_text())
        per_class, min_fraction = deployed["servers_per_proxy"], deployed["proxies_per_server"] / proxies
        listed = instances(servers)
        sharers = Counter(
            s for name in names(proxies) for s in select_subset(name, listed, ALL, per_class, min_fraction)
        )
        assert len(sharers) == servers
        assert max(sharers.values()) <= 1.75 * sum(sharers.values()) / servers
        assert max(sharers.values()) <= max_sharers(0, listed, ALL, per_class, proxies, min_fraction)

    def test_removing_a_server_changes_only_the_subsets_that_contain_it(self):
        listed = instances(24)
        for name in names(300):
            before, after = select_subset(name, listed, ALL, 6), select_subset(name, listed[1:], ALL, 6)
            assert len(after - before) == ("s-0" in before) and before - after <= {"s-0"}

    def test_a_class_that_few_servers_accept_has_its_own_subset(self):
        listed = instances(24, pools=12)
        groups = (None, frozenset({3, 7}))
        for name in names(50):
            mine = [int(s[2:]) % 12 for s in select_subset(name, listed, groups, 3)]
            assert sum(pool in (3, 7) for pool in mine) >= 3

    @pytest.mark.parametrize(
        ("groups", "pool", "bound"),
        [
            ((None,), 0, 3 * 100 // 12 + 15),  # three of twelve servers
            # Three of the four servers in its smallest group.
            ((None, frozenset({0, 1})), 0, 3 * 100 // 4 + 25),
            ((frozenset({0, 1, 2}), frozenset({0, 3, 4})), 0, 100),  # three of six in each of two groups
            ((frozenset({0}),), 0, 100),  # all proxies select both servers of its pool
        ],
    )
    def test_max_sharers_follows_the_pool_groups_of_a_server(self, groups, pool, bound):
        listed = instances(12, pools=6)
        found = max_sharers(pool, listed, groups, 3, 100)
        held = sum(any(s in select_subset(n, listed, groups, 3) for s in ("s-0",)) for n in names(100))
        assert held <= found <= bound


class TestListChanges:
    """A proxy's subset as the endpoint list changes."""

    def create_subset(self, with_calls: set[str], per_class: int = 2) -> RendezvousSubset:
        return RendezvousSubset("proxy-0", ALL, per_class, with_calls.__contains__)

    def test_without_a_subset_size_all_servers_are_selected(self):
        assert len(self.create_subset(set(), per_class=0).select(True, instances(9))) == 9

    def test_a_replaced_server_drains_until_it_has_no_calls(self):
        first, second, third = rank("proxy-0", instances(3))
        by_id = {instance.instance_id: instance for instance in instances(3)}
        with_calls = {third}
        subset = self.create_subset(with_calls)
        assert lifecycles(subset.select(True, [by_id[second], by_id[third]])) == {
            second: "ready",
            third: "ready",
        }
        assert lifecycles(subset.select(False, [by_id[first]])) == {
            first: "ready",
            second: "ready",
            third: "draining",
        }
        assert not subset.can_release_endpoints()
        with_calls.clear()
        assert subset.can_release_endpoints()
        assert lifecycles(subset.select(False, [])) == {first: "ready", second: "ready"}
        assert subset.is_listed(third) and not subset.can_release_endpoints()

    def test_a_draining_server_stays_selected_and_another_is_selected_beside_it(self):
        listed = instances(6)
        subset = self.create_subset(set())
        mine = lifecycles(subset.select(True, listed))
        leaves = min(mine)
        now = lifecycles(
            subset.select(
                False,
                [
                    Endpoint(leaves, "10.0.0.9:5060", "draining"),
                    Endpoint(
                        next(i.instance_id for i in listed if i.instance_id not in mine), "x:1", "draining"
                    ),
                ],
            )
        )
        assert now[leaves] == "draining" and sorted(now.values()) == ["draining", "ready", "ready"]
        assert leaves not in lifecycles(subset.select(False, [Endpoint(leaves, "x:1", "gone")]))
        assert not subset.is_listed(leaves)


class TestRestart:
    """A new process of a proxy, which does not know at which servers the calls of the old one are."""

    PROXIES, PER_CLASS = 60, 4

    def subset(self, name: str, has_calls: bool = False) -> RendezvousSubset:
        return RendezvousSubset(name, ALL, self.PER_CLASS, lambda _: has_calls)

    def draining(self, *numbers: int) -> list[Endpoint]:
        return [Endpoint(f"s-{n}", f"10.0.0.{n}:5060", "draining") for n in numbers]

    @pytest.mark.parametrize("drained", [(0,), (0, 1, 2), tuple(range(12))])
    def test_a_draining_server_is_kept_by_the_processes_whose_predecessors_had_selected_it(self, drained):
        """A new process kept no draining server, so that calls there were never released to their callers."""
        listed = [*self.draining(*drained), *instances(12)[len(drained) :]]
        for name in names(self.PROXIES):
            before = lifecycles(self.subset(name).select(True, instances(12)))
            after = lifecycles(self.subset(name).select(True, listed))
            drains = {i.instance_id for i in self.draining(*drained)}
            assert {s for s, lifecycle in after.items() if lifecycle == "draining"} == before.keys() & drains

    def test_a_draining_server_is_kept_although_it_is_replaced_by_later_ones(self):
        """The later servers take its place in the ranking before the process starts."""
        later = [Endpoint(f"t-{n}", f"10.0.1.{n}:5060", "ready", started_at_ms=1000.0 + n) for n in range(6)]
        for name in names(self.PROXIES):
            subset = self.subset(name)
            subset.select(True, instances(12))
            after = lifecycles(subset.select(False, [*later, *self.draining(*range(6))]))
            listed = [*instances(12)[6:], *later, *self.draining(*range(6))]
            restarted = lifecycles(self.subset(name).select(True, listed))
            assert after.keys() <= restarted.keys()

    @pytest.mark.parametrize("has_calls", [True, False])
    def test_a_server_that_has_left_the_subset_is_kept_while_the_old_process_may_have_calls_there(
        self, has_calls
    ):
        """A new process was not connected to servers that the old one kept only for its calls."""
        later = [Endpoint(f"t-{n}", f"10.0.1.{n}:5060", "ready", started_at_ms=1000.0 + n) for n in range(6)]
        for name in names(self.PROXIES):
            old = self.subset(name, has_calls)
            in_old = lifecycles(old.select(True, instances(12)))
            for each in later:
                in_old = lifecycles(old.select(False, [each]))
            in_new = lifecycles(self.subset(name, has_calls).select(True, [*instances(12), *later]))
            assert in_new == in_old

    def test_a_server_that_drains_after_the_start_without_having_been_selected_is_not_kept(self):
        subset = self.subset("proxy-0")
        selected = lifecycles(subset.select(True, instances(12)))
        other = next(i for i in instances(12) if i.instance_id not in selected)
        drains = Endpoint(other.instance_id, other.host_port, "draining")
        assert other.instance_id not in lifecycles(subset.select(False, [drains]))

    def test_the_calls_of_the_old_process_are_waited_for_during_a_bounded_time(self):
        context = FakeContext(100)
        extension = ColdStartExtension(context, ColdStartSettings(servers_per_proxy=1))
        older = instances(1)
        later = [Endpoint(f"t-{n}", "x:1", "ready", started_at_ms=1000.0) for n in range(9)]
        first = lifecycles(extension.select(True, [*older, *later]))
        assert first.pop("s-0") == "draining" and list(first.values()) == ["ready"]
        context.scheduler.now_ms += PREDECESSOR_CALLS_MS
        assert lifecycles(extension.select(False, [])) == first


class TestController:
    """How the controller uses the number of sharers and the initial rate."""

    def test_the_even_share_counts_only_the_proxies_that_share_the_server(self):
        """If only three of twelve proxies send to a server, a twelfth each would leave most of it idle."""

        def sent(senders: int | None) -> int:
            gateway = Gateway(
                settings(instances=12, classes=(api.CallClass("low", 1600, 9000, 1, 0.1, hold_ms=1000.0),))
            )
            gateway.servers(api.Server("a", 0, api.ServerState.READY, 0.0, senders))
            gateway.handle(api.CircuitsReported("a", 60.0, 60.0))
            gateway.answer_delays_ms["a"] = 40
            for _ in range(100):
                gateway.call()
                gateway.advance_to(gateway.now + 20)
            return sum(isinstance(action, api.SetUp) for _, action in gateway.action_log)

        assert sent(3) > 1.5 * sent(None)

    @pytest.mark.parametrize("class_name", ["low", "high"])
    @pytest.mark.parametrize("initial_rate_per_s", [None, 30.0 / 300])
    def test_hundreds_of_fresh_buckets_stay_within_the_fleet_rate(self, initial_rate_per_s, class_name):
        """Each of 300 gateways starts with three waiting calls for the same server."""
        sent = []
        for seed in range(300):
            gateway = Gateway(settings(instances=300), seed)
            gateway.servers(api.Server("a", 0, api.ServerState.READY, None, None, initial_rate_per_s))
            gateway.answer_delays_ms["a"] = 40
            for _ in range(3):
                gateway.call(expires_ms=9000, class_name=class_name)
            gateway.advance_to(8000)
            sent += [at for at, action in gateway.action_log if isinstance(action, api.SetUp)]
        first = sum(at < 1000 for at in sent)
        if initial_rate_per_s is None:
            assert first > 300, "without an initial rate the server is overloaded"
        else:
            assert 15 <= first <= 45, "the fleet's initial rate is 30 per second"
            assert sum(at >= 7000 for at in sent) > 1.5 * first, "the rate grows"


@pytest.mark.parametrize(
    ("pending", "unconfirmed", "unsettled"),
    [
        ({}, {}, False),
        ({"call": 16}, {}, True),  # waits for a connection
        ({}, {"call": SentRelease(16, 9_500.0)}, True),  # sent 0.5 s ago and not confirmed
        ({}, {"call": SentRelease(16, 8_000.0)}, False),  # sent 2 s ago: the server confirms no releases
    ],
)
def test_a_server_stays_selected_while_a_release_to_it_is_unsettled(pending, unconfirmed, unsettled):
    """Otherwise the release of its last call is not sent, and the server keeps that call's line occupied."""
    servers = Servers.__new__(Servers)
    servers.scheduler = SimpleNamespace(now_ms=10_000.0)
    servers._peers = {
        "s-0": SimpleNamespace(pending_releases=pending, streams=[SimpleNamespace(unconfirmed=unconfirmed)])
    }
    assert servers.has_unsettled_releases("s-0") is unsettled and not servers.has_unsettled_releases("s-1")
    context = FakeContext(100)
    context.servers.has_unsettled_releases = servers.has_unsettled_releases
    extension = ColdStartExtension(context, ColdStartSettings(servers_per_proxy=1))
    extension.select(True, instances(1))
    remaining = {i.instance_id: i.lifecycle for i in extension.select(False, instances(9)[1:])}
    assert (remaining.get("s-0") == "draining") is unsettled, "one of the eight added servers is preferred"


class FakeContext:
    """An extension context with only the attributes that the cold start uses."""

    def __init__(self, instances: int, members: int = 0, fraction: float | None = None) -> None:
        example = json.loads((ROOT / "examples" / "config.json").read_text())
        example["settings"]["instances"] = instances
        self.configuration = SimpleNamespace(settings=example["settings"], seed="1", name="proxy-0")
        self.scheduler = SimpleNamespace(now_ms=0.0)
        self.exchange = SimpleNamespace(has_calls_at=lambda _: False)
        self.discovery = SimpleNamespace(use_poll_backoff=lambda _: None)
        self.servers = SimpleNamespace(
            processes=list, has_unsettled_releases=lambda _: False, use_endpoint_filter=lambda _: None
        )
        self.fleet_size, self.fleet_set_up_fraction = lambda: members, lambda: fraction


@pytest.mark.parametrize(
    ("members", "fraction", "servers_per_proxy", "initial_rate_per_s"),
    [
        (0, None, 0, 30.0 / 100),  # an even part by the number of instances in the settings
        (60, None, 0, 30.0 / 60),  # an even part by the number of members of the fleet
        (60, 0.2, 0, 30.0 * 0.2),  # the leased fraction
        (0, None, 3, 30.0 / (100 // 4 + 15)),  # an even part by the number of sharers of a server
        (60, 0.01, 3, 30.0 * 0.01 * 4),  # the leased fraction, used at a quarter of the servers
        (60, 0.9, 3, 30.0),  # at most the fleet's rate
    ],
)
def test_the_initial_rate_is_a_fraction_of_the_fleet_rate(
    members, fraction, servers_per_proxy, initial_rate_per_s
):
    cold_start = ColdStartSettings(initial_rate_per_s=30.0, servers_per_proxy=servers_per_proxy)
    extension = ColdStartExtension(FakeContext(100, members, fraction), cold_start)
    extension.select(True, instances(12))
    server = extension.annotate(api.Server("s-0", 0, api.ServerState.READY))
    assert server.initial_rate_per_s == pytest.approx(initial_rate_per_s)


def test_a_proxy_selects_more_servers_as_its_fleet_gets_smaller():
    """The fleet's size is its number of members, or that of instances in the settings if it is unknown."""

    def selected_by(members: int) -> int:
        extension = ColdStartExtension(
            FakeContext(100, members), ColdStartSettings(servers_per_proxy=3, proxies_per_server=25)
        )
        selected = extension.select(True, instances(24))
        assert all(extension.annotate(to_server(i)).senders <= (members or 100) for i in selected)
        return len(selected)

    assert [selected_by(members) for members in (0, 300, 50, 20)] == [6, 3, 12, 24]


def test_initial_rates_of_all_proxies_sum_to_no_more_than_the_fleet_rate():
    """At each server a proxy starts with an even part of the rate by the number of sharers."""
    listed, sums = instances(12), Counter()
    for name in names(100):
        context = FakeContext(100)
        context.configuration.name = name
        extension = ColdStartExtension(
            context, ColdStartSettings(initial_rate_per_s=30.0, servers_per_proxy=3)
        )
        for instance in extension.select(True, listed):
            sums[instance.instance_id] += extension.annotate(to_server(instance)).initial_rate_per_s
    assert max(sums.values()) <= 30.0 * 1.05 and min(sums.values()) > 30.0 / 3


def test_twenty_four_processes_connect_to_four_of_twelve_servers_each(tmp_path):
    """Each process connects to its subset only, and releases calls at a server that has left the subset."""
    count, per_class = 24, 4
    (tmp_path / "starting.toml").write_text(
        f"servers_per_proxy = {per_class}\nconnections_per_s = 200.0\nbegin_per_s = 50.0\n"
    )

    async def run():
        servers = [CallServer(f"s-{n}", capacity_per_s=200.0, hold_ms=2500.0) for n in range(12)]
        async with fleet(tmp_path, servers, instances=count) as started:
            started.endpoints_in_configuration = False
            await started.list(*servers[:-2])
            await asyncio.gather(
                *(
                    started.proxy(f"n{n}", n, CANVASPLANK_STARTING=str(tmp_path / "starting.toml"))
                    for n in range(count)
                )
            )
            callers = Callers(seed=1, pools=12)
            await asyncio.gather(*(callers.add_proxy(proxy.address) for proxy in started.proxies))

            async def connected_to_subsets(listed):
                expected = Counter(
                    s for n in range(count) for s in select_subset(f"n{n}", listed, ALL, per_class)
                )
                async with asyncio.timeout(WAIT_S):
                    while any(server.connections != expected[server.name] for server in servers):
                        await asyncio.sleep(0.05)

            await connected_to_subsets(instances(10))
            made = [callers.place(time.time()) for _ in range(120)]
            await callers.wait_until_answered(WAIT_S)
            assert sum(t.outcome == "served" for t in made) >= 0.95 * len(made)
            established = [t for t in made if t.outcome == "served"]
            # Two servers are added and enter some subsets while the servers that they replace have calls.
            await started.list(*servers)
            async with asyncio.timeout(WAIT_S):
                while any(t.released_s is None for t in established):
                    await asyncio.sleep(0.05)
            assert all(t.released_s - t.answered_s < 2.5 + 1.0 for t in established), (
                "each call is released by its own server"
            )
            await connected_to_subsets(instances(12))
            assert all(server.connections < count for server in servers)
            await callers.stop()

    asyncio.run(run())
