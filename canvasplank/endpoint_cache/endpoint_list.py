"""The list as it stands, folded from what the board told.

Pure: no input or output, no clock of its own.
"""

from __future__ import annotations

from canvasplank.config.discovery_events import DiscoveryEvent, Endpoint, apply_event
from canvasplank.endpoint_cache.cached_list import FORMAT_VERSION, CachedEndpoint, CachedEndpointList


class EndpointList:
    """What is to be kept, and whether it has changed since it was."""

    def __init__(self, endpoints: list[Endpoint], now_ms: float) -> None:
        self._endpoints = {endpoint.instance_id: endpoint for endpoint in endpoints}
        self._as_of_ms = now_ms
        # Whether anybody but the disk has told a list: guards the kept one.
        self.is_complete = bool(endpoints)
        self.changed = self.is_complete

    def on_discovery_event(self, event: DiscoveryEvent, now_ms: float) -> None:
        """An event of the board."""
        if event.pool is not None and (self.is_complete or event.pool.reset):
            if not self.is_complete:
                self._endpoints.clear()
            apply_event(self._endpoints, event)
            self.is_complete = self.changed = True
            self._as_of_ms = max(self._as_of_ms, now_ms)

    def confirm(self, last_received_ms: float) -> None:
        """The board spoke then, and had nothing further to tell."""
        self._as_of_ms = max(self._as_of_ms, last_received_ms)

    def snapshot(self) -> CachedEndpointList:
        """For the disk."""
        return CachedEndpointList(
            FORMAT_VERSION,
            self._as_of_ms,
            [
                CachedEndpoint(e.instance_id, e.host_port, e.lifecycle, e.cell, e.started_at_ms)
                for e in self._endpoints.values()
            ],
        )
