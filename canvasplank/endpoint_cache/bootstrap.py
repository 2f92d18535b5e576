"""The list as it stands, folded from what the board told, and what a kept list is worth at a start.

Pure: no input or output, no clock of its own.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasplank import interface as api
from canvasplank.config.discovery_events import DiscoveryEvent, Endpoint, apply_event
from canvasplank.endpoint_cache.cached_list import VERSION, KeptList, KeptServer

READY = "ready"
TRUSTED_MS = 10_000.0  # the board's own news may come as late as this
MOST_AGE_MS = 7 * 24 * 3_600_000.0
START_PER_S = 6.0  # what all instances together send a server at first whose state is in doubt
CLOCK_SLACK_MS = 1_000.0


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


@dataclass(frozen=True, slots=True)
class Start:
    """Where to start from: the list, its age, and what the module is told besides."""

    instances: list[Endpoint]
    age_ms: float
    hints: list[api.WarmStartHint]

    @property
    def careful(self) -> bool:
        """Whether the list is too old to be taken as told."""
        return bool(self.hints)


def judge(
    kept: KeptList,
    now_ms: float,
    gateways: int,
    trusted_ms: float = TRUSTED_MS,
    most_age_ms: float = MOST_AGE_MS,
    start_per_s: float = START_PER_S,
) -> Start | None:
    """What a kept list is good for now; None: it is too old, or names nobody to try.

    Guards against calls to servers since gone (one that drained then is not entered; the others refuse
    connections while more are tried), and against overwhelming processors that have just started: past
    ``trusted_ms`` any may have, so all instances together begin with ``start_per_s`` at each.
    A list from the future tells that a clock was set back: its age is not known, so it is taken with care.
    """
    age_ms = now_ms - kept.as_of_ms
    if age_ms > most_age_ms:
        return None
    doubted = age_ms > trusted_ms or age_ms < -CLOCK_SLACK_MS
    instances = [s.instance() for s in kept.servers if s.lifecycle == READY or not doubted]
    if not instances:
        return None
    rate_per_s = start_per_s / max(1, gateways)
    hints = [api.WarmStartHint(i.instance_id, rate_per_s, shun=False) for i in instances] if doubted else []
    return Start(instances, max(0.0, age_ms), hints)
