"""When a proxy asks the notice board: a rate for the whole fleet, however many there are.

No I/O and no clock.  The first wait after something that may have met all of them at once is drawn evenly
over this proxy's turn; further ones are about a turn each, so that all together go on asking at the rate that
the board is to bear, each in its place, and none waits for much longer than its turn.
"""

from __future__ import annotations

import random
from collections.abc import Callable

SECOND_MS = 1000.0
NAMED_MOST_MS = 60_000.0  # a board that names a longer wait is asked after this one all the same
AGAIN = (0.75, 1.25)  # of a turn, between two polls that failed
FIRST_MS, MOST_MS = 50.0, 800.0  # the doubling wait of a fleet so small that its turns are shorter


class PollPace:
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

    def first(self) -> float:
        """Before the first poll of all, or the first at a board that has moved."""
        self._in_place = False
        return self._rng.uniform(0.0, SECOND_MS * self._fleet() / self._first_per_s)

    def again(self, now_ms: float = 0.0, named_ms: float = 0.0) -> float:
        """After a poll that failed, or a stream that broke; ``named_ms``: the board itself names this wait.

        This proxy's own wait comes on top of the board's: guards it against all coming back in one instant.
        """
        named_ms = min(named_ms, NAMED_MOST_MS)
        self._not_before_ms = now_ms + named_ms
        spread = AGAIN if self._in_place and not named_ms else (0.0, 1.0)
        self._in_place = not named_ms
        doubling_ms, self._doubling_ms = self._doubling_ms, min(MOST_MS, 2 * self._doubling_ms)
        own_ms = max(self._turn_ms() * self._rng.uniform(*spread), doubling_ms * self._rng.uniform(0.5, 1.0))
        return named_ms + own_ms

    def well(self) -> None:
        """The board has told something: the doubling begins anew."""
        self._doubling_ms = FIRST_MS
        self._in_place = False

    def hinted(self, now_ms: float) -> float | None:
        """Somebody else hears the board and this proxy does not: when to ask, or None: it did so lately.

        Guards, by once a turn, against those that are cut off from the board asking for ever faster.
        """
        if now_ms < max(self._hinted_ms + self._turn_ms(), self._not_before_ms):
            return None
        self._hinted_ms = now_ms
        return self.first()
