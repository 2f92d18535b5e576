"""Graceful shutdown as a state machine, without I/O and without a clock.

All times are in milliseconds.  A shutdown ends within the time that the platform's protocol allows between
SIGTERM and SIGKILL: the longest deadline of a call, at most 3 s, plus 0.7 s.
"""

from __future__ import annotations

import enum

LAME_DUCK_MS = 700.0  # how long after SIGTERM callers may still connect
MAX_CALL_DEADLINE_MS = 3000.0  # longer deadlines of calls do not extend the shutdown
FAIL_BEFORE_KILL_MS = 300.0  # open calls are failed this long before the process may be killed
FLUSH_MS = 100.0  # time to send the last bytes after open calls are failed
SETTLE_BEFORE_KILL_MS = 500.0  # the wait for unsettled calls ends this long before the process may be killed
SETTLED_MS = 250.0  # time to read what servers have sent, after the last unsettled call is settled
DISCONNECT_MS = 100.0  # time for callers to see their connections end; data in flight arrives within 50 ms
FINISH_BEFORE_KILL_MS = 100.0  # extensions must finish this long before the process may be killed
CHECK_INTERVAL_MS = 20.0


class Phase(enum.IntEnum):
    """The phases in order; each is entered at most once."""

    SERVING = 0
    LAME_DUCK = 1  # health checks fail, but calls are served, since callers may still connect
    DRAINING = 2  # no new connections are accepted, open calls are answered
    DISCONNECTING = 3  # all calls are answered; connections are closed for writing and still read
    STOPPED = 4


class Shutdown:
    """Holds the current phase of the program, and decides when the next one begins."""

    def __init__(self, max_deadline_ms: float) -> None:
        """``max_deadline_ms``: the longest deadline of a call in the settings."""
        self.phase = Phase.SERVING
        self._kill_after_ms = min(MAX_CALL_DEADLINE_MS, max_deadline_ms) + LAME_DUCK_MS
        self._started_ms = 0.0
        self._entered_ms = 0.0
        self._unsettled_ms = float("-inf")  # when there was last an unsettled call

    def begin(self, now_ms: float) -> bool:
        """Begin the shutdown, on SIGTERM; returns False, without any effect, if it has already begun."""
        if self.phase is not Phase.SERVING:
            return False
        self._started_ms = now_ms
        self._enter(Phase.LAME_DUCK, now_ms)
        return True

    def is_out_of_time(self, now_ms: float) -> bool:
        """Whether open calls have to be failed, since the process may be killed soon."""
        return now_ms - self._started_ms >= self._kill_after_ms - FAIL_BEFORE_KILL_MS

    def remaining_ms(self, now_ms: float) -> float:
        """Return how long extensions may take to finish."""
        return max(0.0, self._kill_after_ms - FINISH_BEFORE_KILL_MS - (now_ms - self._started_ms))

    def next_check_ms(self, now_ms: float) -> float:
        """Return how long to wait before the next call of ``advance``."""
        if self.phase is Phase.LAME_DUCK:
            return max(1.0, self._started_ms + LAME_DUCK_MS - now_ms)
        return CHECK_INTERVAL_MS

    def advance(
        self, now_ms: float, *, open_calls: int, unsent: int, connections: int, unsettled: int = 0
    ) -> Phase:
        """Enter the next phase if it is time, and return the current phase.

        ``unsent``: bytes still to be sent to callers; ``connections``: open connections from callers;
        ``unsettled``: failed calls that a server may still release, to the next process after this one ends.

        Each invocation enters one phase at most, so that connections queued at the listener are read before
        any is closed.  Set-ups that arrive while the last bytes are sent are therefore answered, and a caller
        that reads late gets its complete answer.
        """
        elapsed_ms = now_ms - self._started_ms
        if unsettled:
            self._unsettled_ms = now_ms
        may_flush = elapsed_ms < self._kill_after_ms - FAIL_BEFORE_KILL_MS + FLUSH_MS
        is_waiting = (unsent and may_flush) or self._may_settle(now_ms)
        match self.phase:
            case Phase.LAME_DUCK if elapsed_ms >= LAME_DUCK_MS:
                self._enter(Phase.DRAINING, now_ms)
            case Phase.DRAINING if not open_calls and not is_waiting:
                self._enter(Phase.DISCONNECTING, now_ms)
            case Phase.DISCONNECTING if not connections or now_ms - self._entered_ms >= DISCONNECT_MS:
                self._enter(Phase.STOPPED, now_ms)
        return self.phase

    def _may_settle(self, now_ms: float) -> bool:
        in_time = now_ms - self._started_ms < self._kill_after_ms - SETTLE_BEFORE_KILL_MS
        return in_time and now_ms - self._unsettled_ms < SETTLED_MS

    def _enter(self, phase: Phase, now_ms: float) -> None:
        self.phase, self._entered_ms = phase, now_ms
