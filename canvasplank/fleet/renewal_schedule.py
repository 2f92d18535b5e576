"""The pauses between requests to the store, in milliseconds.  No clock.

Normally the configured period with jitter; shorter, a few times, while a share is moving from one proxy to
another; after a failure exponential backoff with full jitter, over a span that also grows with the fleet, so
that the requests of all proxies are spread out when a store becomes available again.
"""

from __future__ import annotations

import random

STEADY_JITTER = (0.85, 1.0)  # of the renewal period
EAGER_FRACTION = 0.2  # of the renewal period
MAX_EAGER_PAUSES = 6  # in a row: after them the others have had time to release
EAGER_MS_PER_MEMBER = 5.0  # the store's time for each proxy while all are eager; docs/fleet.md, Measured
RETRY_MS_PER_MEMBER = 20.0  # the store's time for each proxy when all retry together
MAX_DOUBLINGS = 10  # of the backoff, which is bounded long before


class RenewalSchedule:
    """The pauses between one proxy's requests."""

    def __init__(self, renew_ms: float, rng: random.Random) -> None:
        self._renew_ms, self._rng = renew_ms, rng
        self._failures = 0  # in a row
        self._eager_pauses = 0  # in a row

    def after_response(self, members: int, *, eager: bool) -> float:
        """The pause after a response; ``eager``: a share is moving and the next request moves it on.

        An eager pause grows with the number of members: hundreds that join at once, each waiting for shares
        that others are to release, would send more requests than a store can carry out.
        """
        self._failures = 0
        self._eager_pauses = self._eager_pauses + 1 if eager else 0
        boottime_ms = self._renew_ms * self._rng.uniform(*STEADY_JITTER)
        if 0 < self._eager_pauses <= MAX_EAGER_PAUSES:
            eager_ms = max(self._renew_ms * EAGER_FRACTION, EAGER_MS_PER_MEMBER * members)
            return min(boottime_ms, eager_ms * self._rng.uniform(0.5, 1.0))
        return boottime_ms

    def after_failure(self, members: int) -> float:
        """The pause after a failed request, in a fleet of ``members`` as last known."""
        self._eager_pauses = 0
        doubled_ms = self._renew_ms * 2 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        max_ms = max(2 * self._renew_ms, RETRY_MS_PER_MEMBER * members)
        return self._rng.uniform(0.0, min(max_ms, max(doubled_ms, RETRY_MS_PER_MEMBER * members)))
