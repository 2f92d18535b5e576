"""When a proxy asks the notice board: a rate for the whole fleet, however many there are.

No I/O and no clock.  Each wait is drawn evenly from nothing to twice this proxy's turn, so that all together
ask at the rate that the board is to bear, and no two are in step for long.
"""

from __future__ import annotations

import random
from collections.abc import Callable

SECOND_MS = 1000.0
FIRST_MS, MOST_MS = 50.0, 800.0  # the doubling wait of a fleet so small that its turns are shorter


class PollPace:
    """One proxy's waits, in milliseconds."""

    def __init__(self, fleet: Callable[[], int], polls_per_s: float, first_per_s: float,
                 rng: random.Random) -> None:
        self._fleet, self._polls_per_s, self._first_per_s = fleet, polls_per_s, first_per_s
        self._rng = rng
        self._doubling_ms = FIRST_MS
        self._hinted_ms = float("-inf")

    def _turn_ms(self) -> float:
        return SECOND_MS * self._fleet() / self._polls_per_s

    def first(self) -> float:
        """Before the first poll of all."""
        return self._rng.uniform(0.0, SECOND_MS * self._fleet() / self._first_per_s)

    def again(self) -> float:
        """After a poll that failed, or a stream that broke."""
        doubling_ms, self._doubling_ms = self._doubling_ms, min(MOST_MS, 2 * self._doubling_ms)
        return max(self._rng.uniform(0.0, 2 * self._turn_ms()), doubling_ms * self._rng.uniform(0.5, 1.0))

    def well(self) -> None:
        """The board has told something: the doubling begins anew."""
        self._doubling_ms = FIRST_MS

    def hinted(self, now_ms: float) -> float | None:
        """Somebody else hears the board and this proxy does not: when to ask, or None: it did so lately.

        Guards, by once a turn, against those that are cut off from the board asking for ever faster.
        """
        if now_ms < self._hinted_ms + self._turn_ms():
            return None
        self._hinted_ms = now_ms
        return self.first()
