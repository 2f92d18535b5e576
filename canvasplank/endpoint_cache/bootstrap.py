"""What a kept list is worth at a start.

Pure: no input or output, no clock of its own.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasplank import interface as api
from canvasplank.config.discovery_events import Endpoint
from canvasplank.endpoint_cache.cached_list import CachedEndpointList

READY = "ready"
MAX_FRESH_AGE_MS = 10_000.0  # the board's own news may come as late as this
MAX_AGE_MS = 7 * 24 * 3_600_000.0
INITIAL_RATE_PER_S = 6.0  # what all instances together send a server at first whose state is in doubt
CLOCK_TOLERANCE_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class BootstrapPlan:
    """Where to start from: the list, its age, and what the module is told besides."""

    endpoints: list[Endpoint]
    age_ms: float
    hints: list[api.WarmStartHint]

    @property
    def stale(self) -> bool:
        """Whether the list is too old to be taken as told."""
        return bool(self.hints)


def plan_bootstrap(
    cached: CachedEndpointList,
    now_ms: float,
    proxies: int,
    max_fresh_age_ms: float = MAX_FRESH_AGE_MS,
    max_age_ms: float = MAX_AGE_MS,
    initial_rate_per_s: float = INITIAL_RATE_PER_S,
) -> BootstrapPlan | None:
    """What a kept list is good for now; None: it is too old, or names nobody to try.

    Guards against calls to servers since gone (one that drained then is not entered; the others refuse
    connections while more are tried), and against overwhelming processors that have just started: past
    ``max_fresh_age_ms`` any may have, so all instances together begin with ``initial_rate_per_s`` at each.
    A list from the future tells that a clock was set back: its age is not known, so it is taken with care.
    """
    age_ms = now_ms - cached.as_of_ms
    if age_ms > max_age_ms:
        return None
    stale = age_ms > max_fresh_age_ms or age_ms < -CLOCK_TOLERANCE_MS
    endpoints = [e.to_endpoint() for e in cached.endpoints if e.lifecycle == READY or not stale]
    if not endpoints:
        return None
    rate_per_s = initial_rate_per_s / max(1, proxies)
    hints = [api.WarmStartHint(e.instance_id, rate_per_s, shun=False) for e in endpoints] if stale else []
    return BootstrapPlan(endpoints, max(0.0, age_ms), hints)
