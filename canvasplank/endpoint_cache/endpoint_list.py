"""The current endpoint list, as built from the events of service discovery.

This module does no I/O and reads no clock; times are arguments, in Unix milliseconds.
"""

from __future__ import annotations

from canvasplank.config.discovery_events import DiscoveryEvent, Endpoint, apply_event
from canvasplank.endpoint_cache.cached_list import FORMAT_VERSION, CachedEndpoint, CachedEndpointList


class EndpointList:
    """The endpoints to cache, the time of their last confirmation, and whether they have unsaved changes."""

    def __init__(self, endpoints: list[Endpoint], now_ms: float) -> None:
        """``endpoints`` is the configured list; if empty, the list is incomplete until discovery sends it."""
        self._endpoints = {endpoint.instance_id: endpoint for endpoint in endpoints}
        self._as_of_ms = now_ms
        self._is_complete = bool(endpoints)
        self._is_dirty = self._is_complete

    @property
    def is_complete(self) -> bool:
        """Whether the configuration or discovery has provided a complete list.

        An incomplete list must not be written: it would replace a complete one on disk.
        """
        return self._is_complete

    @property
    def is_dirty(self) -> bool:
        """Whether the list has changes that have not been saved."""
        return self._is_dirty

    def on_discovery_event(self, event: DiscoveryEvent, now_ms: float) -> None:
        """Apply an event; changes are ignored until there is a complete list."""
        if event.pool is not None and (self._is_complete or event.pool.reset):
            if not self._is_complete:
                self._endpoints.clear()
            apply_event(self._endpoints, event)
            self._is_complete = self._is_dirty = True
            self._as_of_ms = max(self._as_of_ms, now_ms)

    def confirm(self, last_received_ms: float) -> None:
        """Record that the list was still current when discovery last sent data."""
        self._as_of_ms = max(self._as_of_ms, last_received_ms)

    def snapshot(self) -> CachedEndpointList:
        """Return the list in the form that is written to disk."""
        return CachedEndpointList(
            FORMAT_VERSION,
            self._as_of_ms,
            [
                CachedEndpoint(e.instance_id, e.host_port, e.lifecycle, e.cell, e.started_at_ms)
                for e in self._endpoints.values()
            ],
        )

    def mark_saved(self) -> None:
        """Record that a write of the latest snapshot has begun, so that only later changes are unsaved."""
        self._is_dirty = False

    def mark_unsaved(self) -> None:
        """Record that the write has failed."""
        self._is_dirty = True
