"""When a proxy asks the notice board: a rate for the whole fleet, however many there are.

No I/O and no clock.  The first wait after something that may have met all of them at once is drawn evenly
over this proxy's turn; further ones are about a turn each, so that all together go on asking at the rate that
the board is to bear, each in its place, and none waits for much longer than its turn.
"""

from __future__ import annotations

import random
from collections.abc import Callable

SECOND_MS = 1000.0
MAX_RETRY_AFTER_MS = 60_000.0  # a board that names a longer wait is asked after this one all the same
RETRY_JITTER = (0.75, 1.25)  # of a turn, between two polls that failed
# The doubling wait of a fleet so small that its turns are shorter.
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 50.0, 800.0
FIRST_MS, MOST_MS = INITIAL_BACKOFF_MS, MAX_BACKOFF_MS  # former names, until their last users change


class PollBackoff:
    """One proxy's waits, in milliseconds."""

    def __init__(
        self,
        fleet_size: Callable[[], int],
        polls_per_s: float,
        initial_polls_per_s: float,
        rng: random.Random,
    ) -> None:
        self._fleet_size, self._polls_per_s, self._initial_polls_per_s = (
            fleet_size,
            polls_per_s,
            initial_polls_per_s,
        )
        self._rng = rng
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._is_spread = False  # the next poll is not the first after a break
        self._last_early_poll_ms = float("-inf")
        self._not_before_ms = float("-inf")  # the board itself has said so

    def _poll_period_ms(self) -> float:
        return SECOND_MS * self._fleet_size() / self._polls_per_s

    def initial_delay(self) -> float:
        """Before the first poll of all, or the first at a board that has moved."""
        self._is_spread = False
        return self._rng.uniform(0.0, SECOND_MS * self._fleet_size() / self._initial_polls_per_s)

    def retry_delay(self, now_ms: float = 0.0, retry_after_ms: float = 0.0) -> float:
        """After a poll that failed, or a stream that broke; ``retry_after_ms``: the board's own Retry-After.

        This proxy's own wait comes on top of the board's: guards it against all coming back in one instant.
        """
        retry_after_ms = min(retry_after_ms, MAX_RETRY_AFTER_MS)
        self._not_before_ms = now_ms + retry_after_ms
        spread = RETRY_JITTER if self._is_spread and not retry_after_ms else (0.0, 1.0)
        self._is_spread = not retry_after_ms
        backoff_ms, self._backoff_ms = self._backoff_ms, min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
        own_ms = max(
            self._poll_period_ms() * self._rng.uniform(*spread), backoff_ms * self._rng.uniform(0.5, 1.0)
        )
        return retry_after_ms + own_ms

    def reset(self) -> None:
        """The board has told something: the doubling begins anew."""
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._is_spread = False

    def early_poll_delay(self, now_ms: float) -> float | None:
        """Somebody else hears the board and this proxy does not: when to ask, or None: it did so lately.

        Guards, by once a turn, against those that are cut off from the board asking for ever faster.
        """
        if now_ms < max(self._last_early_poll_ms + self._poll_period_ms(), self._not_before_ms):
            return None
        self._last_early_poll_ms = now_ms
        return self.initial_delay()
