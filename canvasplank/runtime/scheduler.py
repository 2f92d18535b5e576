"""Time and timers for one event loop: a cached clock per loop iteration, and one sorted queue of timers.

An iteration is what one poll of the sockets brought, all of it at one reading of the clock.  Timers run at
its end, and it ends only when a further poll has brought nothing more.  Without that, a pause of this process
(it was stopped, or the machine was busy) would pass for the silence of a peer: what the peer sent meanwhile
has to be read before a timer may conclude anything from it.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import NamedTuple

from sortedcontainers import SortedKeyList

LOG = logging.getLogger(__name__)
CATCH_UP_RATE = 0.9  # of real time: how fast the clock runs while the system's clock is behind it
MAX_POLLS_PER_ITERATION = 16  # a stream that never pauses must not keep the timers from running


class Timer(NamedTuple):
    """An action that is due at a time; the sequence number orders those that are due at the same time."""

    due_ms: float
    sequence: int
    action: Callable[[], object]


class UnixClock:
    """The system's Unix clock, in milliseconds, which never runs backwards.

    Where the system's clock is set back, this one goes on a little slower until the system's has caught up:
    standing still meanwhile would keep every timer from running.
    """

    def __init__(
        self, unix: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        """``unix`` and ``steady`` give seconds; ``steady`` is never set."""
        self._unix, self._steady = unix, steady
        self._now_s, self._steady_s = unix(), steady()

    def __call__(self) -> float:
        """The time now, in milliseconds since the Unix epoch."""
        unix_s, steady_s = self._unix(), self._steady()
        self._now_s = max(unix_s, self._now_s + CATCH_UP_RATE * (steady_s - self._steady_s))
        self._steady_s = steady_s
        return self._now_s * 1000


class TimerQueue:
    """Timers in the order in which they are due."""

    def __init__(self) -> None:
        self._timers: SortedKeyList[Timer] = SortedKeyList(key=lambda timer: timer[:2])
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._timers)

    def add(self, due_ms: float, action: Callable[[], object]) -> Timer:
        """Add an action that is due at a time; the timer that is given back can be cancelled."""
        self._sequence += 1
        timer = Timer(due_ms, self._sequence, action)
        self._timers.add(timer)
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Remove a timer; one that has run, or None, is no error."""
        if timer is not None:
            self._timers.discard(timer)

    def next_due_ms(self) -> float | None:
        """When the earliest timer is due; None: there is none."""
        return self._timers[0].due_ms if self._timers else None

    def pop_due(self, now_ms: float) -> Timer | None:
        """Remove and give back the earliest timer, if it is due by now."""
        return self._timers.pop(0) if self._timers and self._timers[0].due_ms <= now_ms else None


class Scheduler:
    """The clock and the timers of one event loop."""

    def __init__(self, timers: TimerQueue, clock: Callable[[], float] | None = None) -> None:
        """``clock`` gives milliseconds; without one it is a ``UnixClock``."""
        self.timers = timers
        clock = clock or UnixClock()
        self.now_ms = clock()  # constant within an iteration
        self.lateness_ms = 0.0  # by how much this iteration began after its wake-up was due
        self._clock = clock
        self._in_iteration = False
        self._received = False  # something has come in since the last poll
        self._polls = 0
        self._wakeup: asyncio.TimerHandle | None = None
        self._wakeup_ms: float | None = None

    def begin_iteration(self) -> None:
        """Note that something has come in; the first time in an iteration, read the clock.

        Every callback of the event loop calls this before it does anything else.
        """
        self._received = True
        if self._in_iteration:
            return
        self._in_iteration = True
        self._polls = 0
        due_ms = self._wakeup_ms
        self.now_ms = max(self.now_ms, self._clock())
        self.lateness_ms = 0.0 if due_ms is None else max(0.0, self.now_ms - due_ms)
        loop = asyncio.get_running_loop()  # once an iteration: a system call, up to Python 3.11
        loop.call_soon(self._poll_again, loop)

    def read_clock(self) -> float:
        """The time at this very point of the iteration, in ms: for what has just been done, not received."""
        return max(self.now_ms, self._clock())

    def call_later(self, delay_ms: float, action: Callable[[], object]) -> Timer:
        """Run an action after a delay, counted from the start of this iteration."""
        return self.timers.add(self.now_ms + delay_ms, action)

    def _poll_again(self, loop: asyncio.AbstractEventLoop) -> None:
        """Runs once after each poll of the sockets, until a poll has brought nothing."""
        self._polls += 1
        # The first poll is the one that began the iteration; the next one shows whether there is more.
        if (self._polls == 1 or self._received) and self._polls < MAX_POLLS_PER_ITERATION:
            self._received = False
            loop.call_soon(self._poll_again, loop)
            return
        self._run_due_timers()
        self._in_iteration = False
        self._arm_wakeup(loop)

    def _run_due_timers(self) -> None:
        while (timer := self.timers.pop_due(self.now_ms)) is not None:
            try:
                timer.action()
            except Exception:  # an action that fails must not keep the others from running
                LOG.exception("the action of a timer failed")

    def _arm_wakeup(self, loop: asyncio.AbstractEventLoop) -> None:
        """Have the event loop wake up for the earliest timer."""
        due_ms = self.timers.next_due_ms()
        if due_ms == self._wakeup_ms and self._wakeup is not None and not self._wakeup.cancelled():
            return
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._wakeup, self._wakeup_ms = None, due_ms
        if due_ms is not None:
            delay_s = max(0.0, due_ms - self._clock()) / 1000
            self._wakeup = loop.call_later(delay_s, self._on_wakeup)

    def _on_wakeup(self) -> None:
        self.begin_iteration()
        self._wakeup = None
        self._wakeup_ms = None
