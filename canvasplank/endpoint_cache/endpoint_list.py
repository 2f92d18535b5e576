"""The current endpoint list, folded from the events of service discovery.

No I/O and no clock: the caller passes the time, in Unix milliseconds.
"""

from __future__ import annotations

from canvasplank.config.discovery_events import DiscoveryEvent, Endpoint, apply_event
from canvasplank.endpoint_cache.cached_list import FORMAT_VERSION, CachedEndpoint, CachedEndpointList


class EndpointList:
    """The endpoints to cache, the time at which they were last confirmed, and whether they are saved."""

    def __init__(self, endpoints: list[Endpoint], now_ms: float) -> None:
        """``endpoints``: those of the configuration; if none, the list is incomplete until discovery sends
        it.
        """
        self._endpoints = {endpoint.instance_id: endpoint for endpoint in endpoints}
        self._as_of_ms = now_ms
        self._is_complete = bool(endpoints)
        self._is_dirty = self._is_complete

    @property
    def is_complete(self) -> bool:
        """Whether the configuration or discovery has given a complete list.

        One that is not must not be written: it would replace a complete list on disk by a fragment.
        """
        return self._is_complete

    @property
    def is_dirty(self) -> bool:
        """Whether the list has changed since it was last saved."""
        return self._is_dirty

    def on_discovery_event(self, event: DiscoveryEvent, now_ms: float) -> None:
        """Apply an event; changes that arrive before any complete list are ignored."""
        if event.pool is not None and (self._is_complete or event.pool.reset):
            if not self._is_complete:
                self._endpoints.clear()
            apply_event(self._endpoints, event)
            self._is_complete = self._is_dirty = True
            self._as_of_ms = max(self._as_of_ms, now_ms)

    def confirm(self, last_received_ms: float) -> None:
        """Discovery sent data at that time and no newer event: the list was still true then."""
        self._as_of_ms = max(self._as_of_ms, last_received_ms)

    def snapshot(self) -> CachedEndpointList:
        """The list as it is written to disk."""
        return CachedEndpointList(
            FORMAT_VERSION,
            self._as_of_ms,
            [
                CachedEndpoint(e.instance_id, e.host_port, e.lifecycle, e.cell, e.started_at_ms)
                for e in self._endpoints.values()
            ],
        )

    def mark_saved(self) -> None:
        """A write of the latest snapshot has begun: only later changes are unsaved."""
        self._is_dirty = False

    def mark_unsaved(self) -> None:
        """The write has failed."""
        self._is_dirty = True
