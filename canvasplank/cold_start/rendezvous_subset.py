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
        ``has_calls`` returns whether a server may have calls of this proxy; for an inherited server (see
        ``is_inherited``) that includes the calls of the process before this one.
        """
        self._name = name
        self._groups = tuple(groups)
        self._servers_per_class = servers_per_class
        self._has_calls = has_calls
        self._min_fraction = min_fraction
        self._listed: dict[str, Endpoint] = {}
        self._selected: set[str] = set()
        self._inherited: set[str] = set()

    def select(self, complete: bool, instances: list[Endpoint]) -> list[Endpoint]:
        """Apply an update of the endpoint list, which may be empty, and return the complete subset.

        A server that leaves the subset is returned as draining until this proxy has no calls there, so that
        there is still a connection for their releases.  A server that the list itself shows as draining stays
        in the subset if it was in it.  The same holds for an inherited server.
        """
        known_before = set(self._listed)
        apply_event(self._listed, DiscoveryEvent(0, EndpointListUpdate(instances, reset=complete)))
        preferred = self._select_subset()
        self._inherit(self._listed.keys() - known_before - preferred)
        selected = []
        for server_id, instance in self._listed.items():
            may_have_calls = server_id in self._selected or server_id in self._inherited
            if server_id in preferred or (instance.lifecycle != READY and may_have_calls):
                selected.append(instance)
            elif may_have_calls and self._has_calls(server_id):
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

    def is_inherited(self, server_id: str) -> bool:
        """Return whether only the process before this one may have selected the server for new calls."""
        return server_id in self._inherited

    def is_listed(self, server_id: str) -> bool:
        """Return whether the endpoint list contains the server, in the subset or not."""
        return server_id in self._listed

    def _inherit(self, new: set[str]) -> None:
        """Mark those of the newly listed servers that the process before this one may have selected.

        Its calls outlast a restart, and their servers release them on this process's connections.  A server
        was selected, if ever, by its rank among those listed at that time: the servers that had started no
        later than it did, whether they drain by now or not, and others that have gone since.
        """
        self._inherited &= self._listed.keys()
        by_start: dict[float, set[str]] = {}
        for server_id in new:
            by_start.setdefault(self._listed[server_id].started_at_ms, set()).add(server_id)
        for started_at_ms, server_ids in by_start.items():
            older = [each for each in self._listed.values() if each.started_at_ms <= started_at_ms]
            self._inherited |= server_ids & self._select_subset(older)

    def _select_subset(self, candidates: list[Endpoint] | None = None) -> set[str]:
        """Return the subset of the candidates; of the ready servers by default."""
        return select_subset(
            self._name,
            self._ready() if candidates is None else candidates,
            self._groups,
            self._servers_per_class or len(self._listed),
            self._min_fraction(),
        )

    def _ready(self) -> list[Endpoint]:
        return [instance for instance in self._listed.values() if instance.lifecycle == READY]
