"""All that is to happen later, in one sorted structure, and the turns in which it is swept.

A turn is what one look at the sockets brought, all at one reading of the clock.  It ends, and time may tell
something, only when a further look brought nothing more: guards against our own pause (a stopped process, a
busy machine) passing for a peer's silence, since whatever was said meanwhile is then read first.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from sortedcontainers import SortedList

LOG = logging.getLogger(__name__)
CATCH_UP = 0.9  # so fast we go while the system's clock is behind us
LOOKS_MOST = 16  # a stream that never pauses must not keep time from telling

Deadline = tuple[float, int, Callable[[], None]]


class UnixClock:
    """The system's Unix clock in milliseconds; where that is set back, it goes on, a little slower.

    Guards against standing still until a clock that was set back has caught up: nothing came due meanwhile.
    """

    def __init__(
        self, unix: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        self._unix, self._steady = unix, steady
        self._now_s, self._steady_s = unix(), steady()

    def __call__(self) -> float:
        """What time it is."""
        unix_s, steady_s = self._unix(), self._steady()
        self._now_s = max(unix_s, self._now_s + CATCH_UP * (steady_s - self._steady_s))
        self._steady_s = steady_s
        return self._now_s * 1000


class Deadlines:
    """What comes due, the earliest first."""

    def __init__(self) -> None:
        self._due: SortedList[Deadline] = SortedList(key=lambda deadline: deadline[:2])
        self._count = 0

    def __len__(self) -> int:
        return len(self._due)

    def add(self, at_ms: float, action: Callable[[], None]) -> Deadline:
        """Have something done at a time; what is given back takes it out again."""
        self._count += 1
        deadline = (at_ms, self._count, action)
        self._due.add(deadline)
        return deadline

    def discard(self, deadline: Deadline | None) -> None:
        """Take one out; one that was swept already is no error."""
        if deadline is not None:
            self._due.discard(deadline)

    def next_ms(self) -> float | None:
        """When the earliest comes due."""
        return self._due[0][0] if self._due else None

    def pop_due(self, now_ms: float) -> Deadline | None:
        """The earliest that is due, taken out."""
        return self._due.pop(0) if self._due and self._due[0][0] <= now_ms else None


class Turns:
    """One clock that never runs backwards and stands still within a turn, and the sweep at a turn's end."""

    def __init__(self, deadlines: Deadlines, clock: Callable[[], float] | None = None) -> None:
        self.deadlines = deadlines
        clock = clock or UnixClock()
        self.now_ms = clock()
        self.lateness_ms = 0.0  # by how much this turn began after it should have
        self._clock = clock
        self._open = False
        self._heard = False
        self._looks = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_ms: float | None = None

    def begin(self) -> None:
        """Something has come in; all of one turn shares its time."""
        self._heard = True
        if self._open:
            return
        self._open = True
        self._looks = 0
        due_ms = self._timer_ms
        self.now_ms = max(self.now_ms, self._clock())
        self.lateness_ms = 0.0 if due_ms is None else max(0.0, self.now_ms - due_ms)
        asyncio.get_running_loop().call_soon(self._look_again)

    def after(self, delay_ms: float, action: Callable[[], None]) -> Deadline:
        """Have something done a while from now."""
        return self.deadlines.add(self.now_ms + delay_ms, action)

    def _look_again(self) -> None:
        """Runs after one look at the sockets: go round until one brings nothing."""
        self._looks += 1
        # The first round belongs to the look that began the turn; the next one tells whether there is more.
        if (self._looks == 1 or self._heard) and self._looks < LOOKS_MOST:
            self._heard = False
            asyncio.get_running_loop().call_soon(self._look_again)
            return
        self._sweep()
        self._open = False
        self._arm()

    def _sweep(self) -> None:
        while (deadline := self.deadlines.pop_due(self.now_ms)) is not None:
            try:
                deadline[2]()
            except Exception:  # one action that fails must not keep the others from being done
                LOG.exception("a deadline's action failed")

    def _arm(self) -> None:
        """Have the loop wake for the earliest deadline."""
        due_ms = self.deadlines.next_ms()
        if due_ms == self._timer_ms and self._timer is not None and not self._timer.cancelled():
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self._timer_ms = None, due_ms
        if due_ms is not None:
            delay_s = max(0.0, due_ms - self._clock()) / 1000
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._woken)

    def _woken(self) -> None:
        self.begin()
        self._timer = None
        self._timer_ms = None
