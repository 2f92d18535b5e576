"""The list as it stands, folded from what the board told.

Pure: no input or output, no clock of its own.
"""

from __future__ import annotations

from canvasplank.config.discovery_events import DiscoveryEvent, Endpoint, apply_event
from canvasplank.endpoint_cache.cached_list import VERSION, KeptList, KeptServer


class Roster:
    """What is to be kept, and whether it has changed since it was."""

    def __init__(self, instances: list[Endpoint], now_ms: float) -> None:
        self._instances = {instance.instance_id: instance for instance in instances}
        self._as_of_ms = now_ms
        self.known = bool(instances)  # whether anybody but the disk has told a list: guards the kept one
        self.changed = self.known

    def told(self, notice: DiscoveryEvent, now_ms: float) -> None:
        """An event of the board."""
        if notice.pool is not None and (self.known or notice.pool.reset):
            if not self.known:
                self._instances.clear()
            apply_event(self._instances, notice)
            self.known = self.changed = True
            self._as_of_ms = max(self._as_of_ms, now_ms)

    def confirmed(self, heard_ms: float) -> None:
        """The board spoke then, and had nothing further to tell."""
        self._as_of_ms = max(self._as_of_ms, heard_ms)

    def kept(self) -> KeptList:
        """For the disk."""
        return KeptList(
            VERSION,
            self._as_of_ms,
            [
                KeptServer(i.instance_id, i.host_port, i.lifecycle, i.cell, i.started_at_ms)
                for i in self._instances.values()
            ],
        )
