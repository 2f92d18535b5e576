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
AGAIN = (0.75, 1.25)  # of a turn, between two polls that failed
FIRST_MS, MOST_MS = 50.0, 800.0  # the doubling wait of a fleet so small that its turns are shorter


class PollBackoff:
    """One proxy's waits, in milliseconds."""

    def __init__(
        self, fleet: Callable[[], int], polls_per_s: float, first_per_s: float, rng: random.Random
    ) -> None:
        self._fleet, self._polls_per_s, self._first_per_s = fleet, polls_per_s, first_per_s
        self._rng = rng
        self._doubling_ms = FIRST_MS
        self._in_place = False  # the next poll is not the first after a break
        self._hinted_ms = float("-inf")
        self._not_before_ms = float("-inf")  # the board itself has said so

    def _turn_ms(self) -> float:
        return SECOND_MS * self._fleet() / self._polls_per_s

    def initial_delay(self) -> float:
        """Before the first poll of all, or the first at a board that has moved."""
        self._in_place = False
        return self._rng.uniform(0.0, SECOND_MS * self._fleet() / self._first_per_s)

    def retry_delay(self, now_ms: float = 0.0, retry_after_ms: float = 0.0) -> float:
        """After a poll that failed, or a stream that broke; ``retry_after_ms``: the board's own Retry-After.

        This proxy's own wait comes on top of the board's: guards it against all coming back in one instant.
        """
        retry_after_ms = min(retry_after_ms, MAX_RETRY_AFTER_MS)
        self._not_before_ms = now_ms + retry_after_ms
        spread = AGAIN if self._in_place and not retry_after_ms else (0.0, 1.0)
        self._in_place = not retry_after_ms
        doubling_ms, self._doubling_ms = self._doubling_ms, min(MOST_MS, 2 * self._doubling_ms)
        own_ms = max(self._turn_ms() * self._rng.uniform(*spread), doubling_ms * self._rng.uniform(0.5, 1.0))
        return retry_after_ms + own_ms

    def reset(self) -> None:
        """The board has told something: the doubling begins anew."""
        self._doubling_ms = FIRST_MS
        self._in_place = False

    def early_poll_delay(self, now_ms: float) -> float | None:
        """Somebody else hears the board and this proxy does not: when to ask, or None: it did so lately.

        Guards, by once a turn, against those that are cut off from the board asking for ever faster.
        """
        if now_ms < max(self._hinted_ms + self._turn_ms(), self._not_before_ms):
            return None
        self._hinted_ms = now_ms
        return self.initial_delay()
