"""The subset of the call servers that one proxy connects to, updated as the endpoint list changes.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from canvasplank.cold_start.rendezvous_hashing import Pools, max_sharers, select_subset
from canvasplank.config.discovery_events import (
    DRAINING,
    READY,
    DiscoveryEvent,
    Endpoint,
    EndpointListUpdate,
    apply_event,
)


class RendezvousSubset:
    """One proxy's endpoint list and its subset of it, which ``select`` updates."""

    def __init__(
        self,
        name: str,
        groups: Iterable[Pools | None],
        servers_per_class: int,
        has_calls: Callable[[str], bool],
        min_fraction: Callable[[], float] = float,
    ) -> None:
        """``name`` is the proxy's.  ``groups`` has the pools of each class of call; None means any pool.

        ``servers_per_class`` is the number of servers selected for each class, 0 for all.  ``min_fraction``
        returns the minimum fraction of servers, which may change with the fleet's size; the default is 0.
        ``has_calls`` returns whether this proxy has calls at a server.
        """
        self._name = name
        self._groups = tuple(groups)
        self._servers_per_class = servers_per_class
        self._has_calls = has_calls
        self._min_fraction = min_fraction
        self._listed: dict[str, Endpoint] = {}
        self._selected: set[str] = set()

    def select(self, complete: bool, instances: list[Endpoint]) -> list[Endpoint]:
        """Apply an update of the endpoint list, which may be empty, and return the complete subset.

        A server that leaves the subset is returned as draining until this proxy has no calls there, so that
        there is still a connection for their releases.  A server that the list itself shows as draining stays
        in the subset if it was in it.
        """
        apply_event(self._listed, DiscoveryEvent(0, EndpointListUpdate(instances, reset=complete)))
        preferred = self._select_subset()
        selected = []
        for server_id, instance in self._listed.items():
            if server_id in preferred or (instance.lifecycle != READY and server_id in self._selected):
                selected.append(instance)
            elif server_id in self._selected and self._has_calls(server_id):
                selected.append(msgspec.structs.replace(instance, lifecycle=DRAINING))
        self._selected = {instance.instance_id for instance in selected}
        return selected

    def senders(self, pool: int, proxies: int) -> int | None:
        """Return the maximum number of proxies that share a server of this pool; None if all do."""
        if not self._servers_per_class:
            return None
        return max_sharers(
            pool, self._ready(), self._groups, self._servers_per_class, proxies, self._min_fraction()
        )

    def ready_per_selected(self) -> float:
        """Return the number of ready servers in the list divided by those in the subset; at least 1."""
        ready = self._ready()
        selected = sum(instance.instance_id in self._selected for instance in ready)
        return max(1.0, len(ready) / selected) if selected else 1.0

    def can_release_endpoints(self) -> bool:
        """Return whether ``select`` would drop a server that has left the subset and has no more calls."""
        return any(
            self.is_listed(server_id)
            and self._listed[server_id].lifecycle == READY
            and not self._has_calls(server_id)
            for server_id in self._selected - self._select_subset()
        )

    def is_listed(self, server_id: str) -> bool:
        """Return whether the endpoint list contains the server, in the subset or not."""
        return server_id in self._listed

    def _select_subset(self) -> set[str]:
        return select_subset(
            self._name,
            self._ready(),
            self._groups,
            self._servers_per_class or len(self._listed),
            self._min_fraction(),
        )

    def _ready(self) -> list[Endpoint]:
        return [instance for instance in self._listed.values() if instance.lifecycle == READY]
