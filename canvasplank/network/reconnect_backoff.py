"""Exponential backoff between the attempts to connect to one peer."""

from __future__ import annotations

from collections.abc import Callable

from canvasplank.runtime.scheduler import Scheduler, Timer


class ReconnectBackoff:
    """Schedules attempts with doubling delays, which restart from the minimum after a success."""

    def __init__(self, scheduler: Scheduler, min_delay_ms: float, max_delay_ms: float) -> None:
        self._scheduler = scheduler
        self._min_delay_ms, self._max_delay_ms = min_delay_ms, max_delay_ms
        self._next_delay_ms = min_delay_ms
        self._timer: Timer | None = None
        self.failures = 0  # since the last success; only the first is logged

    def on_success(self) -> None:
        """Reset the next delay to the minimum."""
        self._next_delay_ms = self._min_delay_ms
        self.failures = 0

    def reset(self) -> None:
        """Cancel the running delay and reset the backoff, for use with another peer."""
        self._scheduler.timers.cancel(self._timer)
        self._timer = None
        self.on_success()

    def schedule(self, action: Callable[[], None], delay_ms: float | None = None) -> None:
        """Run ``action`` after the next delay, or after ``delay_ms``; no effect while a delay is running."""
        if self._timer is not None:
            return
        self.failures += 1

        def run() -> None:
            self._timer = None
            action()

        self._timer = self._scheduler.call_later(self._next_delay_ms if delay_ms is None else delay_ms, run)
        self._next_delay_ms = min(self._max_delay_ms, 2 * self._next_delay_ms)
