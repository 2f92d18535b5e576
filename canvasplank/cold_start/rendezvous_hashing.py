"""Rendezvous hashing: which call servers belong to a proxy's subset, and how many proxies share a server.

This module does no I/O and reads no clock.  Each proxy ranks the servers of each zone by a hash of the
proxy's and the server's name, and selects the first of each ranking in proportion to the zone's size.  The
proxies need not communicate.  A server that is added or removed changes few subsets besides those that
contain it.  A proxy whose zone is cut off from the other zones still has servers.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import xxhash

from canvasplank.config.discovery_events import Endpoint

# The margin of ``max_sharers`` above the mean: about one server in a thousand is shared by more proxies.
SHARERS_STANDARD_DEVIATIONS = 3.0
HASH_RANGE = 2**64
Pools = frozenset[int]  # numbers of pools; service discovery calls the pool of an endpoint its ``cell``


def _hash_fraction(name: str, key: str) -> float:
    """Return a hash from 0 to 1; unlike Python's own, it is the same on all machines and in all versions."""
    return xxhash.xxh64_intdigest(f"{name}\0{key}".encode()) / HASH_RANGE


def rank(name: str, servers: Iterable[Endpoint]) -> list[str]:
    """Return all servers in this proxy's order of preference.

    Any prefix contains servers of each zone in proportion to the zone's size.  The n servers of a zone are
    placed at u/n, (1 + u)/n, ... (n - 1 + u)/n, with an offset u hashed from the proxy and the zone, and the
    zones are merged by place.  Every server is equally likely to be in a prefix, and no zone is missing by
    chance.
    """
    zones: dict[str, list[str]] = {}
    for server in servers:
        zones.setdefault(server.zone, []).append(server.instance_id)
    places: list[tuple[float, str]] = []
    for zone, server_ids in zones.items():
        offset = _hash_fraction(name, f"zone {zone}")
        ranked = sorted(server_ids, key=lambda server_id: _hash_fraction(name, server_id))
        places += [
            ((position + offset) / len(ranked), server_id) for position, server_id in enumerate(ranked)
        ]
    return [server_id for _, server_id in sorted(places)]


def subset_size(servers: int, servers_per_class: int, min_fraction: float) -> int:
    """Return the size of a subset: the larger of ``servers_per_class`` and ``min_fraction`` of the servers.

    With a fixed size, a small fleet would leave some servers with too few proxies or with none.
    """
    return min(servers, max(servers_per_class, math.ceil(min_fraction * servers)))


def select_subset(
    name: str,
    ready: Sequence[Endpoint],
    groups: Iterable[Pools | None],
    servers_per_class: int,
    min_fraction: float = 0.0,
) -> set[str]:
    """Return a proxy's subset: for each class of call, the first-ranked servers that accept the class.

    ``groups`` has the pools of each class of call; None means any pool.  If the subset were selected from all
    servers at once, it might contain none for a class that few servers accept.
    """
    selected: set[str] = set()
    for pools in set(groups):
        group = [instance for instance in ready if pools is None or instance.cell in pools]
        selected.update(rank(name, group)[: subset_size(len(group), servers_per_class, min_fraction)])
    return selected


def max_sharers(
    pool: int,
    ready: Sequence[Endpoint],
    groups: Iterable[Pools | None],
    servers_per_class: int,
    proxies: int,
    min_fraction: float = 0.0,
) -> int:
    """Return an upper bound, exceeded only rarely, on the number of proxies that share a server of this pool.

    A proxy that selects a server from a group of pools also selects it from any smaller group within that
    group, except for the rounding of zones.  So only the probabilities of the smallest groups are added.
    """
    pool_of_each = [instance.cell for instance in ready]
    all_pools = frozenset(pool_of_each)
    candidates = {frozenset(all_pools if pools is None else pools & all_pools) for pools in groups}
    candidates = {group for group in candidates if pool in group}
    smallest = [group for group in candidates if not any(other < group for other in candidates)]
    sizes = [sum(each in group for each in pool_of_each) for group in smallest]
    probability = sum(subset_size(size, servers_per_class, min_fraction) / size for size in sizes)
    if probability >= 1.0:
        return proxies
    mean = proxies * probability
    return min(proxies, math.ceil(mean + SHARERS_STANDARD_DEVIATIONS * math.sqrt(mean)))
