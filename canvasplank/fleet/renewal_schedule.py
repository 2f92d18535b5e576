"""When to ask the store next.  No clock: it gives pauses, in milliseconds.

Steady while all is well, not in step with anybody; eager, a few times, while a share is on its way from one
proxy to another; after a failure with full jitter, over a span that doubles and that grows with the fleet, so
that a store that has just come back meets the fleet spread out and not all at once.
"""

from __future__ import annotations

import random

STEADY_JITTER = (0.85, 1.0)  # of the period between two renewals
EAGER_FRACTION = 0.2  # of it
MAX_EAGER_PAUSES = 6  # eager pauses in a row: past them it is the others' to move
EAGER_MS_PER_MEMBER = 5.0  # what a store is given for each proxy where all of them are eager at once
RETRY_MS_PER_MEMBER = 20.0  # what a store is given for each proxy, where all come back to it together
MAX_DOUBLINGS = 10


class RenewalSchedule:
    """The pauses of one proxy."""

    def __init__(self, renew_ms: float, rng: random.Random) -> None:
        self._renew_ms, self._rng = renew_ms, rng
        self._failures = 0
        self._eager = 0

    def after_answer(self, members: int, *, eager: bool) -> float:
        """The pause after an answer; ``eager``: somebody waits for what the next request brings.

        Guards the store where hundreds join at once: all of them wait for shares that others let go of, and
        by eager requests alone asked for more transactions than it can do.
        """
        self._failures = 0
        self._eager = self._eager + 1 if eager else 0
        steady_ms = self._renew_ms * self._rng.uniform(*STEADY_JITTER)
        if 0 < self._eager <= MAX_EAGER_PAUSES:
            eager_ms = max(self._renew_ms * EAGER_FRACTION, EAGER_MS_PER_MEMBER * members)
            return min(steady_ms, eager_ms * self._rng.uniform(0.5, 1.0))
        return steady_ms

    def after_failure(self, members: int) -> float:
        """The pause after a failure, in a fleet of so many as far as is known."""
        self._eager = 0
        doubled_ms = self._renew_ms * 2 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        max_ms = max(2 * self._renew_ms, RETRY_MS_PER_MEMBER * members)
        return self._rng.uniform(0.0, min(max_ms, max(doubled_ms, RETRY_MS_PER_MEMBER * members)))
