"""Which call servers one of hundreds of proxies keeps to, and how many share each.

No I/O and no clock.  By rendezvous hashing: every proxy ranks the servers of each zone by a hash of both
names and keeps to the first of its rankings, of each zone in proportion to its size.  So nobody has to agree
on anything, a server that comes or goes moves few proxies but those that keep to it, and a proxy whose zone
is cut off from the others still has servers.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import xxhash

from canvasplank.config.discovery_events import Endpoint

# Roots of the mean: about one server in a thousand is shared by more than that over the mean.
SHARERS_STANDARD_DEVIATIONS = 3.0
Pools = frozenset[int]


def _hash_fraction(name: str, of: str) -> float:
    """From 0 to 1, the same everywhere; a machine's or version's own hash would differ."""
    return xxhash.xxh64_intdigest(f"{name}\0{of}".encode()) / 2**64


def rank(name: str, servers: Iterable[Endpoint]) -> list[str]:
    """All servers, those first that this proxy keeps to: any first few are of each zone by its size.

    The ranking of a zone with n servers stands at u/n, (1 + u)/n, ... (n - 1 + u)/n of the way, u being drawn
    for the proxy: so each server is as likely among the first few, and no zone is missing by chance.
    """
    zones: dict[str, list[str]] = {}
    for server in servers:
        zones.setdefault(server.zone, []).append(server.instance_id)
    places: list[tuple[float, str]] = []
    for zone, server_ids in zones.items():
        offset = _hash_fraction(name, f"zone {zone}")
        ranked = sorted(server_ids, key=lambda server_id: _hash_fraction(name, server_id))
        places += [((place + offset) / len(ranked), server_id) for place, server_id in enumerate(ranked)]
    return [server_id for _, server_id in sorted(places)]


def subset_size(servers: int, servers_per_class: int, min_fraction: float) -> int:
    """How many of a group of servers a proxy keeps to: ``servers_per_class``, or what ``min_fraction`` of
    them makes.

    Guards a small fleet against servers that chance gives to none of its proxies, or to too few.
    """
    return min(servers, max(servers_per_class, math.ceil(min_fraction * servers)))


def choose(
    name: str,
    ready: Sequence[Endpoint],
    groups: Iterable[Pools | None],
    servers_per_class: int,
    min_fraction: float = 0.0,
) -> set[str]:
    """Of the servers that may take a class of call, by its ``Pools`` (None: any), the first of its ranking.

    Guards a class that few servers may take against a subset with none of them.
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
    """How many of so many proxies keep to a server of this cell: no more than this, but for rare chance.

    A proxy that has a server among the first of a larger group has it, but for a zone's rounding, among those
    of a smaller one within it; so only the smallest groups add up.
    """
    cells = [instance.cell for instance in ready]
    every = frozenset(cells)
    holding = {frozenset(every if pools is None else pools & every) for pools in groups}
    holding = {group for group in holding if cell in group}
    smallest = [group for group in holding if not any(other < group for other in holding)]
    sizes = [sum(each in group for each in cells) for group in smallest]
    chance = sum(subset_size(size, servers_per_class, min_fraction) / size for size in sizes)
    if chance >= 1.0:
        return proxies
    mean = proxies * chance
    return min(proxies, math.ceil(mean + SHARERS_STANDARD_DEVIATIONS * math.sqrt(mean)))
