"""Which call servers one of hundreds of proxies keeps to, and how many share each.

No I/O and no clock.  By rendezvous hashing: every proxy ranks the servers of each zone by a hash of both
names and keeps to the first of its rankings, of each zone in proportion to its size.  So nobody has to agree
on anything, a server that comes or goes moves few proxies but those that keep to it, and a proxy whose zone
is cut off from the others still has servers.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

import msgspec
import xxhash

from canvasplank.config.discovery_events import DiscoveryEvent, Endpoint, EndpointListUpdate, apply_event

READY, DRAINING = "ready", "draining"
SPREAD = 3.0  # roots of the mean: about one server in a thousand is shared by more than that over the mean
Pools = frozenset[int]


def _draw(name: str, of: str) -> float:
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
        drawn = _draw(name, f"zone {zone}")
        ranked = sorted(server_ids, key=lambda server_id: _draw(name, server_id))
        places += [((place + drawn) / len(ranked), server_id) for place, server_id in enumerate(ranked)]
    return [server_id for _, server_id in sorted(places)]


def kept_of(servers: int, most: int, least_part: float) -> int:
    """How many of a group of servers a proxy keeps to: ``most``, or what ``least_part`` of them makes.

    Guards a small fleet against servers that chance gives to none of its proxies, or to too few.
    """
    return min(servers, max(most, math.ceil(least_part * servers)))


def choose(
    name: str, ready: Sequence[Endpoint], groups: Iterable[Pools | None], most: int, least_part: float = 0.0
) -> set[str]:
    """Of the servers that may take a class of call, by its ``Pools`` (None: any), the first of its ranking.

    Guards a class that few servers may take against a subset with none of them.
    """
    chosen: set[str] = set()
    for pools in set(groups):
        group = [i for i in ready if pools is None or i.cell in pools]
        chosen.update(rank(name, group)[: kept_of(len(group), most, least_part)])
    return chosen


def shared_by(
    cell: int,
    ready: Sequence[Endpoint],
    groups: Iterable[Pools | None],
    most: int,
    proxies: int,
    least_part: float = 0.0,
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
    chance = sum(kept_of(size, most, least_part) / size for size in sizes)
    if chance >= 1.0:
        return proxies
    mean = proxies * chance
    return min(proxies, math.ceil(mean + SPREAD * math.sqrt(mean)))


class RendezvousSubset:
    """One proxy's servers as they come and go."""

    def __init__(
        self,
        name: str,
        groups: Iterable[Pools | None],
        most: int,
        carries: Callable[[str], bool],
        least_part: Callable[[], float] = float,
    ) -> None:
        """``most``: servers for each class of call, 0 for all; ``carries``: whether a server has calls.

        ``least_part``: so large a part of them at least, which may change with the fleet.
        """
        self._name, self._groups, self._most, self._carries = name, tuple(groups), most, carries
        self._least_part = least_part
        self._listed: dict[str, Endpoint] = {}
        self._kept: set[str] = set()

    def select(self, complete: bool, instances: list[Endpoint]) -> list[Endpoint]:
        """The whole of what this proxy keeps to after this news of the list, which may be none.

        One that is no longer among them drains: nothing new goes there, and it is kept until no call stands
        there, so that their releases find somebody.
        """
        apply_event(self._listed, DiscoveryEvent(0, EndpointListUpdate(instances, reset=complete)))
        wanted = self._wanted()
        told = []
        for server_id, instance in self._listed.items():
            if server_id in wanted or (instance.lifecycle != READY and server_id in self._kept):
                told.append(instance)
            elif server_id in self._kept and self._carries(server_id):
                told.append(msgspec.structs.replace(instance, lifecycle=DRAINING))
        self._kept = {instance.instance_id for instance in told}
        return told

    def senders(self, cell: int, proxies: int) -> int | None:
        """How many of the proxies share a server of this cell; None: all do."""
        if not self._most:
            return None
        return shared_by(cell, self._ready(), self._groups, self._most, proxies, self._least_part())

    def spread(self) -> float:
        """Over so many times as many servers as this one's the fleet's set-ups go."""
        ready = len(self._ready())
        kept = sum(i.lifecycle == READY and i.instance_id in self._kept for i in self._listed.values())
        return max(1.0, ready / kept) if kept else 1.0

    def may_let_go(self) -> bool:
        """Whether a server is held still that this proxy no longer keeps to, and no call stands there now."""
        left = self._kept - self._wanted()
        return any(
            self.is_listed(each) and self._listed[each].lifecycle == READY and not self._carries(each)
            for each in left
        )

    def is_listed(self, server_id: str) -> bool:
        """Whether the list still names it, whoever keeps to it."""
        return server_id in self._listed

    def _wanted(self) -> set[str]:
        return choose(
            self._name, self._ready(), self._groups, self._most or len(self._listed), self._least_part()
        )

    def _ready(self) -> list[Endpoint]:
        return [instance for instance in self._listed.values() if instance.lifecycle == READY]
