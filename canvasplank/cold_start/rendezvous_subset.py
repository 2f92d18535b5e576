"""One proxy's servers as they come and go.  No I/O and no clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from canvasplank.cold_start.rendezvous_hashing import Pools, choose, max_sharers
from canvasplank.config.discovery_events import DiscoveryEvent, Endpoint, EndpointListUpdate, apply_event

READY, DRAINING = "ready", "draining"


class RendezvousSubset:
    """One proxy's servers as they come and go."""

    def __init__(
        self,
        name: str,
        groups: Iterable[Pools | None],
        servers_per_class: int,
        has_calls: Callable[[str], bool],
        min_fraction: Callable[[], float] = float,
    ) -> None:
        """``servers_per_class``: servers for each class of call, 0 for all; ``has_calls``: whether a server
        has calls.

        ``min_fraction``: so large a part of them at least, which may change with the fleet.
        """
        self._name, self._groups, self._servers_per_class, self._has_calls = (
            name,
            tuple(groups),
            servers_per_class,
            has_calls,
        )
        self._min_fraction = min_fraction
        self._listed: dict[str, Endpoint] = {}
        self._selected: set[str] = set()

    def select(self, complete: bool, instances: list[Endpoint]) -> list[Endpoint]:
        """The whole of what this proxy keeps to after this news of the list, which may be none.

        One that is no longer among them drains: nothing new goes there, and it is kept until no call stands
        there, so that their releases find somebody.
        """
        apply_event(self._listed, DiscoveryEvent(0, EndpointListUpdate(instances, reset=complete)))
        chosen = self._choose()
        selected = []
        for server_id, instance in self._listed.items():
            if server_id in chosen or (instance.lifecycle != READY and server_id in self._selected):
                selected.append(instance)
            elif server_id in self._selected and self._has_calls(server_id):
                selected.append(msgspec.structs.replace(instance, lifecycle=DRAINING))
        self._selected = {instance.instance_id for instance in selected}
        return selected

    def senders(self, cell: int, proxies: int) -> int | None:
        """How many of the proxies share a server of this cell; None: all do."""
        if not self._servers_per_class:
            return None
        return max_sharers(
            cell, self._ready(), self._groups, self._servers_per_class, proxies, self._min_fraction()
        )

    def ready_per_selected(self) -> float:
        """Over so many times as many servers as this one's the fleet's set-ups go."""
        ready = len(self._ready())
        kept = sum(i.lifecycle == READY and i.instance_id in self._selected for i in self._listed.values())
        return max(1.0, ready / kept) if kept else 1.0

    def can_release_endpoints(self) -> bool:
        """Whether a server is held still that this proxy no longer keeps to, and no call stands there now."""
        left = self._selected - self._choose()
        return any(
            self.is_listed(each) and self._listed[each].lifecycle == READY and not self._has_calls(each)
            for each in left
        )

    def is_listed(self, server_id: str) -> bool:
        """Whether the list still names it, whoever keeps to it."""
        return server_id in self._listed

    def _choose(self) -> set[str]:
        return choose(
            self._name,
            self._ready(),
            self._groups,
            self._servers_per_class or len(self._listed),
            self._min_fraction(),
        )

    def _ready(self) -> list[Endpoint]:
        return [instance for instance in self._listed.values() if instance.lifecycle == READY]
