"""Rendezvous hashing: which call servers belong to a proxy's subset, and how many proxies share a server.

No I/O and no clock.  Each proxy ranks the servers of each zone by a hash of both names and selects the first
of each ranking, of each zone in proportion to its size.  So the proxies need not communicate, a server that
comes or goes changes few subsets but those that contain it, and a proxy whose zone is cut off from the others
still has servers.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import xxhash

from canvasplank.config.discovery_events import Endpoint

# Of the number of sharers, above the mean: about one server in a thousand is shared by more than that.
SHARERS_STANDARD_DEVIATIONS = 3.0
HASH_RANGE = 2**64
Pools = frozenset[int]


def _hash_fraction(name: str, key: str) -> float:
    """A hash from 0 to 1, the same on every machine and in every version, which Python's own is not."""
    return xxhash.xxh64_intdigest(f"{name}\0{key}".encode()) / HASH_RANGE


def rank(name: str, servers: Iterable[Endpoint]) -> list[str]:
    """All servers in this proxy's order of preference; any first few are of each zone in proportion to its
    size.

    The n servers of a zone are placed at u/n, (1 + u)/n, ... (n - 1 + u)/n, with an offset u hashed from the
    proxy and the zone, and the zones are merged by place.  So every server is as likely to be among the first
    few, and no zone is missing by chance.
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
    """The size of a subset of so many servers: ``servers_per_class``, or ``min_fraction`` of them if that is
    more.

    In a small fleet a fixed size would leave servers to no proxy at all, or to too few.
    """
    return min(servers, max(servers_per_class, math.ceil(min_fraction * servers)))


def select_subset(
    name: str,
    ready: Sequence[Endpoint],
    groups: Iterable[Pools | None],
    servers_per_class: int,
    min_fraction: float = 0.0,
) -> set[str]:
    """The subset of a proxy: for each class of call, the first of the servers that may take it.

    ``groups``: the pools of each class of call (None: any).  Chosen from all servers at once, a subset might
    contain none for a class that few may take.
    """
    chosen: set[str] = set()
    for pools in set(groups):
        group = [i for i in ready if pools is None or i.cell in pools]
        chosen.update(rank(name, group)[: subset_size(len(group), servers_per_class, min_fraction)])
    return chosen


def max_sharers(
    cell: int,
    ready: Sequence[Endpoint],
    groups: Iterable[Pools | None],
    servers_per_class: int,
    proxies: int,
    min_fraction: float = 0.0,
) -> int:
    """An upper bound, but for rare chance, on the proxies of a fleet that share a server of this cell.

    A proxy that has a server among the first of a larger group has it, but for a zone's rounding, among those
    of a smaller group within it; so only the smallest groups add up.
    """
    cells = [instance.cell for instance in ready]
    every = frozenset(cells)
    holding = {frozenset(every if pools is None else pools & every) for pools in groups}
    holding = {group for group in holding if cell in group}
    smallest = [group for group in holding if not any(other < group for other in holding)]
    sizes = [sum(each in group for each in cells) for group in smallest]
    probability = sum(subset_size(size, servers_per_class, min_fraction) / size for size in sizes)
    if probability >= 1.0:
        return proxies
    mean = proxies * probability
    return min(proxies, math.ceil(mean + SHARERS_STANDARD_DEVIATIONS * math.sqrt(mean)))
