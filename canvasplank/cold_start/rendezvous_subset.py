"""One proxy's servers as they come and go.  No I/O and no clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from canvasplank.cold_start.rendezvous_hashing import Pools, choose, shared_by
from canvasplank.config.discovery_events import DiscoveryEvent, Endpoint, EndpointListUpdate, apply_event

READY, DRAINING = "ready", "draining"


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
