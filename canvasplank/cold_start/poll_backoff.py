"""Backoff of the polls at service discovery, such that the fleet's poll rate does not depend on its size.

No I/O and no clock.  The fleet may send ``polls_per_s`` polls a second, so one proxy polls once per poll
period of ``fleet size / polls_per_s`` seconds.  A start, a move of discovery and a break may meet all
proxies at once, so the first wait after one of them is uniform over one period (full jitter), which spreads
them; further waits are about a period each, so they stay spread and none waits for much longer than a
period.
"""

from __future__ import annotations

import random
from collections.abc import Callable

MS_PER_S = 1000.0
# A longer Retry-After is cut to this.
MAX_RETRY_AFTER_MS = 60_000.0
# Retries after the first, in poll periods.  Drawn from 0 to 2 periods instead, the unluckiest of 300 proxies
# waited for 19 s; with this, 12 s (docs/cold-start.md).
RETRY_JITTER = (0.75, 1.25)
FULL_JITTER = (0.0, 1.0)  # in poll periods
# The doubling backoff, as without this extension; it decides where the fleet is so small that a period is
# less.
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 50.0, 800.0
BACKOFF_JITTER = (0.5, 1.0)  # of the doubling backoff


class PollBackoff:
    """One proxy's delays before its polls, in milliseconds; see ``network.discovery.PollBackoff``."""

    def __init__(
        self,
        fleet_size: Callable[[], int],
        polls_per_s: float,
        initial_polls_per_s: float,
        rng: random.Random,
    ) -> None:
        """Both rates are the fleet's: while polls fail, and for first polls."""
        self._fleet_size = fleet_size
        self._polls_per_s = polls_per_s
        self._initial_polls_per_s = initial_polls_per_s
        self._rng = rng
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._is_spread = False  # our polls are spread against the others' since the last common event
        self._last_early_poll_ms = float("-inf")
        self._retry_after_until_ms = float("-inf")

    def _poll_period_ms(self) -> float:
        return MS_PER_S * self._fleet_size() / self._polls_per_s

    def initial_delay(self) -> float:
        """Before the first poll of all, or the first after discovery has moved."""
        self._is_spread = False
        return self._rng.uniform(0.0, MS_PER_S * self._fleet_size() / self._initial_polls_per_s)

    def retry_delay(self, now_ms: float = 0.0, retry_after_ms: float = 0.0) -> float:
        """After a failed poll or a broken stream; ``retry_after_ms``: the response's Retry-After (RFC 9110,
        10.2.3).

        This proxy's own delay is added to Retry-After: all that were sent the same one would return together.
        """
        retry_after_ms = min(retry_after_ms, MAX_RETRY_AFTER_MS)
        self._retry_after_until_ms = now_ms + retry_after_ms
        jitter = RETRY_JITTER if self._is_spread and not retry_after_ms else FULL_JITTER
        self._is_spread = not retry_after_ms
        backoff_ms, self._backoff_ms = self._backoff_ms, min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
        period_ms = self._poll_period_ms() * self._rng.uniform(*jitter)
        return retry_after_ms + max(period_ms, backoff_ms * self._rng.uniform(*BACKOFF_JITTER))

    def reset(self) -> None:
        """Discovery has sent an event: back to the initial backoff."""
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._is_spread = False

    def early_poll_delay(self, now_ms: float) -> float | None:
        """Another proxy receives events and this one does not: when to poll; None: not earlier than planned.

        At most one early poll per poll period, and none before Retry-After has passed: a proxy that is cut
        off from discovery would otherwise poll ever faster.
        """
        if now_ms < max(self._last_early_poll_ms + self._poll_period_ms(), self._retry_after_until_ms):
            return None
        self._last_early_poll_ms = now_ms
        return self.initial_delay()
