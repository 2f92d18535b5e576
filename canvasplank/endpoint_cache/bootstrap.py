"""Whether and how to start from a cached endpoint list, by its age.

No I/O and no clock: the caller passes the time, in Unix milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasplank import interface as api
from canvasplank.config.discovery_events import READY, Endpoint
from canvasplank.endpoint_cache.cached_list import CachedEndpointList

MAX_FRESH_AGE_MS = 10_000.0  # events of discovery itself may arrive as late as this
MAX_AGE_MS = 7 * 24 * 3_600_000.0  # a week
# The first rate at an endpoint of a stale list, of all proxies together: within the cold rule's budget
# (docs/endpoint-cache.md, Measured).
INITIAL_RATE_PER_S = 6.0
CLOCK_TOLERANCE_MS = 1_000.0  # a list dated further ahead than this was written by another clock


@dataclass(frozen=True, slots=True)
class BootstrapPlan:
    """The endpoints to start from, the age of the list, and the slow-start hints for the controller."""

    endpoints: list[Endpoint]
    age_ms: float  # 0 where the list is dated ahead of the clock
    hints: list[api.WarmStartHint]  # one for each endpoint of a stale list, none for a fresh one

    @property
    def stale(self) -> bool:
        """Whether the list is too old to be used like an event of discovery."""
        return bool(self.hints)


def plan_bootstrap(
    cached: CachedEndpointList,
    now_ms: float,
    proxies: int,
    max_fresh_age_ms: float = MAX_FRESH_AGE_MS,
    max_age_ms: float = MAX_AGE_MS,
    initial_rate_per_s: float = INITIAL_RATE_PER_S,
) -> BootstrapPlan | None:
    """The start that a cached list permits, for one of ``proxies`` proxies; None: too old, or nobody to use.

    Up to ``max_fresh_age_ms`` the list is used unchanged.  After that, up to ``max_age_ms``, it is stale: its
    endpoints may have gone or restarted since.  Only those that were ready are used then (calls to one that
    has gone are refused and retried elsewhere), and all proxies together start with ``initial_rate_per_s`` at
    each, so that a processor that has just started is not overloaded.  A list dated ahead of the clock shows
    that a clock was set back; its age is unknown, so it is stale.
    """
    age_ms = now_ms - cached.as_of_ms
    if age_ms > max_age_ms:
        return None
    stale = age_ms > max_fresh_age_ms or age_ms < -CLOCK_TOLERANCE_MS
    endpoints = [e.to_endpoint() for e in cached.endpoints if e.lifecycle == READY or not stale]
    if not endpoints:
        return None
    rate_per_s = initial_rate_per_s / max(1, proxies)
    hints = [api.WarmStartHint(e.instance_id, rate_per_s, eject=False) for e in endpoints] if stale else []
    return BootstrapPlan(endpoints, max(0.0, age_ms), hints)
