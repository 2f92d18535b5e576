"""The pauses between requests to the store, in milliseconds.  This module reads no clock.

The steady pause is the configured period with jitter.  A few eager (shorter) pauses follow each other while
shares move from one proxy to another.  After a failure the pause is an exponential backoff with full jitter.
Its upper bound also grows with the fleet, so that the requests of all proxies are spread out when the store
becomes available again.
"""

from __future__ import annotations

import random

STEADY_JITTER = (0.85, 1.0)  # as fractions of the renewal period
EAGER_FRACTION = 0.2  # of the renewal period
MAX_EAGER_PAUSES = 6  # in a row; by then the other members have had time to release shares
EAGER_MS_PER_MEMBER = 5.0  # the store's time for each proxy while all are eager; docs/fleet.md, Measured
RETRY_MS_PER_MEMBER = 20.0  # the store's time for each proxy when all retry together
MAX_DOUBLINGS = 10  # keeps the power of two small; the backoff reaches its upper bound long before


class RenewalSchedule:
    """The pauses between one proxy's requests."""

    def __init__(self, renew_ms: float, rng: random.Random) -> None:
        self._renew_ms, self._rng = renew_ms, rng
        self._failures = 0  # in a row
        self._eager_pauses = 0  # in a row

    def after_response(self, members: int, *, eager: bool) -> float:
        """Return the pause after a response; ``eager`` if the next request may release or receive a share.

        An eager pause grows with the number of members.  Hundreds of proxies that join at once all wait for
        shares that others must release, and would otherwise send more requests than the store can execute.
        """
        self._failures = 0
        self._eager_pauses = self._eager_pauses + 1 if eager else 0
        steady_pause_ms = self._renew_ms * self._rng.uniform(*STEADY_JITTER)
        if 0 < self._eager_pauses <= MAX_EAGER_PAUSES:
            eager_ms = max(self._renew_ms * EAGER_FRACTION, EAGER_MS_PER_MEMBER * members)
            return min(steady_pause_ms, eager_ms * self._rng.uniform(0.5, 1.0))
        return steady_pause_ms

    def after_failure(self, members: int) -> float:
        """Return the pause after a failed request; ``members`` is the last known size of the fleet."""
        self._eager_pauses = 0
        doubled_ms = self._renew_ms * 2 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        max_ms = max(2 * self._renew_ms, RETRY_MS_PER_MEMBER * members)
        return self._rng.uniform(0.0, min(max_ms, max(doubled_ms, RETRY_MS_PER_MEMBER * members)))
