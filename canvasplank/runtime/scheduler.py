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
CATCH_UP_RATE = 0.9  # so fast we go while the system's clock is behind us
MAX_POLLS_PER_ITERATION = 16  # a stream that never pauses must not keep time from telling

Timer = tuple[float, int, Callable[[], None]]


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
        self._now_s = max(unix_s, self._now_s + CATCH_UP_RATE * (steady_s - self._steady_s))
        self._steady_s = steady_s
        return self._now_s * 1000


class TimerQueue:
    """What comes due, the earliest first."""

    def __init__(self) -> None:
        self._due: SortedList[Timer] = SortedList(key=lambda timer: timer[:2])
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._due)

    def add(self, due_ms: float, action: Callable[[], None]) -> Timer:
        """Have something done at a time; what is given back takes it out again."""
        self._sequence += 1
        timer = (due_ms, self._sequence, action)
        self._due.add(timer)
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Take one out; one that was swept already is no error."""
        if timer is not None:
            self._due.discard(timer)

    def next_due_ms(self) -> float | None:
        """When the earliest comes due."""
        return self._due[0][0] if self._due else None

    def pop_due(self, now_ms: float) -> Timer | None:
        """The earliest that is due, taken out."""
        return self._due.pop(0) if self._due and self._due[0][0] <= now_ms else None


class Scheduler:
    """One clock that never runs backwards and stands still within a turn, and the sweep at a turn's end."""

    def __init__(self, timers: TimerQueue, clock: Callable[[], float] | None = None) -> None:
        self.timers = timers
        clock = clock or UnixClock()
        self.now_ms = clock()
        self.lateness_ms = 0.0  # by how much this turn began after it should have
        self._clock = clock
        self._in_iteration = False
        self._received = False
        self._polls = 0
        self._wakeup: asyncio.TimerHandle | None = None
        self._wakeup_ms: float | None = None

    def begin_iteration(self) -> None:
        """Something has come in; all of one turn shares its time."""
        self._received = True
        if self._in_iteration:
            return
        self._in_iteration = True
        self._polls = 0
        due_ms = self._wakeup_ms
        self.now_ms = max(self.now_ms, self._clock())
        self.lateness_ms = 0.0 if due_ms is None else max(0.0, self.now_ms - due_ms)
        asyncio.get_running_loop().call_soon(self._poll_again)

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> Timer:
        """Have something done a while from now."""
        return self.timers.add(self.now_ms + delay_ms, action)

    def _poll_again(self) -> None:
        """Runs after one look at the sockets: go round until one brings nothing."""
        self._polls += 1
        # The first round belongs to the look that began the turn; the next one tells whether there is more.
        if (self._polls == 1 or self._received) and self._polls < MAX_POLLS_PER_ITERATION:
            self._received = False
            asyncio.get_running_loop().call_soon(self._poll_again)
            return
        self._run_due_timers()
        self._in_iteration = False
        self._arm_wakeup()

    def _run_due_timers(self) -> None:
        while (timer := self.timers.pop_due(self.now_ms)) is not None:
            try:
                timer[2]()
            except Exception:  # one action that fails must not keep the others from being done
                LOG.exception("a deadline's action failed")

    def _arm_wakeup(self) -> None:
        """Have the loop wake for the earliest deadline."""
        due_ms = self.timers.next_due_ms()
        if due_ms == self._wakeup_ms and self._wakeup is not None and not self._wakeup.cancelled():
            return
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._wakeup, self._wakeup_ms = None, due_ms
        if due_ms is not None:
            delay_s = max(0.0, due_ms - self._clock()) / 1000
            self._wakeup = asyncio.get_running_loop().call_later(delay_s, self._on_wakeup)

    def _on_wakeup(self) -> None:
        self.begin_iteration()
        self._wakeup = None
        self._wakeup_ms = None
