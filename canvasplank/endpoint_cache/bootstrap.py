"""Decides by the age of a cached endpoint list whether and how to start from it.

This module does no I/O and reads no clock; times are arguments, in Unix milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasplank import interface as api
from canvasplank.config.discovery_events import READY, Endpoint
from canvasplank.endpoint_cache.cached_list import CachedEndpointList

MAX_FRESH_AGE_MS = 10_000.0  # a list up to this age is as current as a late event from discovery
MAX_AGE_MS = 7 * 24 * 3_600_000.0  # a week
# The initial rate of all proxies together to each endpoint of a stale list.  It stays below the rate that
# overloads a server that has just started (docs/endpoint-cache.md, Measured).
INITIAL_RATE_PER_S = 6.0
CLOCK_TOLERANCE_MS = 1_000.0  # a list dated further ahead of the clock has an unknown age


@dataclass(frozen=True, slots=True)
class BootstrapPlan:
    """The endpoints to start from, the age of their list, and the controller's hints for a slow start."""

    endpoints: list[Endpoint]
    age_ms: float  # 0 if the list is dated ahead of the clock
    hints: list[api.WarmStartHint]  # one for each endpoint of a stale list, none for a fresh one

    @property
    def stale(self) -> bool:
        """Whether the list is too old to be used like one from discovery."""
        return bool(self.hints)


def plan_bootstrap(
    cached: CachedEndpointList,
    now_ms: float,
    proxies: int,
    max_fresh_age_ms: float = MAX_FRESH_AGE_MS,
    max_age_ms: float = MAX_AGE_MS,
    initial_rate_per_s: float = INITIAL_RATE_PER_S,
) -> BootstrapPlan | None:
    """Plan the start of one of ``proxies`` proxies.

    Returns None if the list is too old or has no usable endpoint.

    Up to the age ``max_fresh_age_ms``, the list is used unchanged.  Up to ``max_age_ms`` it is stale: its
    endpoints may have gone or restarted.  Of a stale list, only endpoints that were ready are used (calls to
    one that has gone are refused and retried elsewhere).  All proxies together start with
    ``initial_rate_per_s`` at each, so that a server that has just started is not overloaded.  A list dated
    ahead of the clock is stale, too: a clock was set back, so the list's age is unknown.
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
