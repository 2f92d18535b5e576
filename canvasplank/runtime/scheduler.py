"""Time and timers for one event loop: a cached clock per loop iteration, and one sorted queue of timers.

An iteration handles the input of consecutive polls of the sockets at one clock reading.  It ends, and timers
run, once a poll has brought no more input, or after a bounded time.  If they ran at once, a pause of this
process (it was suspended, or the machine was busy) would look like the silence of a peer: what the peer sent
during the pause has to be read before a time-out may fire.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import NamedTuple

from sortedcontainers import SortedKeyList

LOG = logging.getLogger(__name__)
CATCH_UP_RATE = 0.9  # speed of the clock, relative to real time, while the system's clock is behind it
# Timers have to run even if input never pauses, and a poll may bring more than a little of it.
MAX_POLLS_PER_ITERATION = 16
MAX_ITERATION_MS = 100.0


class Timer(NamedTuple):
    """An action that is due at a time; the sequence number orders timers that are due at the same time."""

    due_ms: float
    sequence: int
    action: Callable[[], object]


class UnixClock:
    """The system's Unix clock in milliseconds, made monotonic.

    After the system's clock is set back, this clock runs a little slower until the system's has caught up:
    if it stood still, no timer would run.
    """

    def __init__(
        self, unix: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        """``unix`` and ``steady`` return seconds; ``steady`` is monotonic."""
        self._unix, self._steady = unix, steady
        self._now_s, self._steady_s = unix(), steady()

    def __call__(self) -> float:
        """Return the time, in milliseconds since the Unix epoch."""
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
        """Add an action that is due at a time, and return its timer."""
        self._sequence += 1
        timer = Timer(due_ms, self._sequence, action)
        self._timers.add(timer)
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Remove a timer; does nothing for None or a timer that has run."""
        if timer is not None:
            self._timers.discard(timer)

    def next_due_ms(self) -> float | None:
        """Return when the earliest timer is due; None without timers."""
        return self._timers[0].due_ms if self._timers else None

    def pop_due(self, now_ms: float) -> Timer | None:
        """Remove and return the earliest timer, if it is due by now."""
        return self._timers.pop(0) if self._timers and self._timers[0].due_ms <= now_ms else None


class Scheduler:
    """The clock and the timers of one event loop."""

    def __init__(self, timers: TimerQueue, clock: Callable[[], float] | None = None) -> None:
        """``clock`` returns milliseconds; it defaults to a ``UnixClock``."""
        self.timers = timers
        clock = clock or UnixClock()
        self.now_ms = clock()  # constant within an iteration
        self.lateness_ms = 0.0  # how long after its wake-up was due this iteration began
        self._clock = clock
        self._in_iteration = False
        self._received = False  # whether there was input since the last poll
        self._polls = 0
        self._wakeup: asyncio.TimerHandle | None = None
        self._wakeup_ms: float | None = None

    def begin_iteration(self, *, input_read: bool = True) -> None:
        """Record input, and start an iteration, with a new clock reading, unless one is running.

        Every callback of the event loop must call this first; ``input_read``: whether a socket brought input.
        """
        self._received |= input_read
        if self._in_iteration:
            return
        self._in_iteration = True
        self._polls = 0
        due_ms = self._wakeup_ms
        self.now_ms = max(self.now_ms, self._clock())
        self.lateness_ms = 0.0 if due_ms is None else max(0.0, self.now_ms - due_ms)
        loop = asyncio.get_running_loop()  # once per iteration: it makes a system call up to Python 3.11
        loop.call_soon(self._poll_again, loop)

    def read_clock(self) -> float:
        """Return the time in ms, which ``now_ms`` only caches; for actions of this process, not for input."""
        return max(self.now_ms, self._clock())

    def call_later(self, delay_ms: float, action: Callable[[], object]) -> Timer:
        """Run an action after a delay, counted from the start of this iteration."""
        return self.timers.add(self.now_ms + delay_ms, action)

    def _poll_again(self, loop: asyncio.AbstractEventLoop) -> None:
        """Poll again until a poll brings no input, then run the due timers and end the iteration."""
        self._polls += 1
        # The first poll is the one that began the iteration; only the next one shows whether there is more.
        if self._polls == 1 or (self._received and not self._is_overdue):
            self._received = False
            loop.call_soon(self._poll_again, loop)
            return
        self._run_due_timers()
        self._in_iteration = False
        self._arm_wakeup(loop)

    @property
    def _is_overdue(self) -> bool:
        took_ms = self._clock() - self.now_ms
        return self._polls >= MAX_POLLS_PER_ITERATION or took_ms >= MAX_ITERATION_MS

    def _run_due_timers(self) -> None:
        while (timer := self.timers.pop_due(self.now_ms)) is not None:
            try:
                timer.action()
            except Exception:  # the other timers have to run
                LOG.exception("a timer action failed")

    def _arm_wakeup(self, loop: asyncio.AbstractEventLoop) -> None:
        """Schedule the event loop to wake up for the earliest timer."""
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
