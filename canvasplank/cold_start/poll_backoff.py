"""Backoff of the polls of service discovery that keeps the fleet's poll rate independent of its size.

This module does no I/O and reads no clock.  The fleet may send ``polls_per_s`` polls per second, so each
proxy polls once per poll period of ``fleet size / polls_per_s`` seconds.  A start, a change of discovery's
address and a broken connection may affect all proxies at once.  The first delay after such an event is
therefore uniform over one period (full jitter), which spreads the polls.  Further delays are about one period
each: the polls stay spread, and no proxy waits much longer than a period.
"""

from __future__ import annotations

import random
from collections.abc import Callable

MS_PER_S = 1000.0
MAX_RETRY_AFTER_MS = 60_000.0  # a longer Retry-After is reduced to this
# The jitter of retries after the first, in poll periods.  With 0 to 2 periods the longest wait among 300
# proxies was 19 s, with this jitter 12 s (docs/cold-start.md).
RETRY_JITTER = (0.75, 1.25)
FULL_JITTER = (0.0, 1.0)  # in poll periods
# The exponential backoff, as without this extension.  It is the minimum delay, and determines the delay in a
# fleet that is so small that the poll period is shorter.
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 50.0, 800.0
BACKOFF_JITTER = (0.5, 1.0)  # as fractions of the exponential backoff


class PollBackoff:
    """One proxy's delays before its polls, in milliseconds; see ``network.discovery.PollBackoff``."""

    def __init__(
        self,
        fleet_size: Callable[[], int],
        polls_per_s: float,
        initial_polls_per_s: float,
        rng: random.Random,
    ) -> None:
        """Both rates are those of the whole fleet.

        ``polls_per_s`` applies while polls fail, ``initial_polls_per_s`` to first polls.
        """
        self._fleet_size = fleet_size
        self._polls_per_s = polls_per_s
        self._initial_polls_per_s = initial_polls_per_s
        self._rng = rng
        self._backoff_ms = INITIAL_BACKOFF_MS
        # Whether polls have been spread over the fleet since the last event that affected all proxies.
        self._is_spread = False
        self._last_early_poll_ms = float("-inf")
        self._retry_after_until_ms = float("-inf")

    def _poll_period_ms(self) -> float:
        return MS_PER_S * self._fleet_size() / self._polls_per_s

    def initial_delay(self) -> float:
        """Return the delay before the first poll, also after discovery's address has changed."""
        self._is_spread = False
        return self._rng.uniform(0.0, MS_PER_S * self._fleet_size() / self._initial_polls_per_s)

    def retry_delay(self, now_ms: float = 0.0, retry_after_ms: float = 0.0) -> float:
        """Return the delay after a failed poll or a broken stream.

        ``retry_after_ms`` is the response's Retry-After (RFC 9110, 10.2.3).  The delay is added to it, since
        all proxies that received the same Retry-After would otherwise poll at the same time.
        """
        retry_after_ms = min(retry_after_ms, MAX_RETRY_AFTER_MS)
        self._retry_after_until_ms = now_ms + retry_after_ms
        jitter = RETRY_JITTER if self._is_spread and not retry_after_ms else FULL_JITTER
        self._is_spread = not retry_after_ms
        backoff_ms, self._backoff_ms = self._backoff_ms, min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
        period_ms = self._poll_period_ms() * self._rng.uniform(*jitter)
        return retry_after_ms + max(period_ms, backoff_ms * self._rng.uniform(*BACKOFF_JITTER))

    def reset(self) -> None:
        """Return to the initial backoff, since discovery has sent an event."""
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._is_spread = False

    def early_poll_delay(self, now_ms: float) -> float | None:
        """Return the delay of an early poll, or None if the proxy should wait for its next scheduled poll.

        The method is called when another proxy receives events and this one does not.  There is at most one
        early poll per poll period, and none before Retry-After has passed: a proxy that is cut off from
        discovery would otherwise poll ever faster.
        """
        if now_ms < max(self._last_early_poll_ms + self._poll_period_ms(), self._retry_after_until_ms):
            return None
        self._last_early_poll_ms = now_ms
        return self.initial_delay()
