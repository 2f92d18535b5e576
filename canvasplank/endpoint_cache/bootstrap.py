"""What a kept list is worth at a start.

Pure: no input or output, no clock of its own.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasplank import interface as api
from canvasplank.config.discovery_events import Endpoint
from canvasplank.endpoint_cache.cached_list import KeptList

READY = "ready"
TRUSTED_MS = 10_000.0  # the board's own news may come as late as this
MOST_AGE_MS = 7 * 24 * 3_600_000.0
START_PER_S = 6.0  # what all instances together send a server at first whose state is in doubt
CLOCK_SLACK_MS = 1_000.0


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
