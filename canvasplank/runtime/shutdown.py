"""Graceful shutdown as a state machine: which phase follows when.  No I/O and no clock.

All times are in milliseconds.  They lie within what the platform's protocol allows between SIGTERM and
SIGKILL: the longest deadline of a call, at most 3 s, and 0.7 s.
"""

from __future__ import annotations

import enum

LAME_DUCK_MS = 700.0  # after SIGTERM callers may still come for so long
MAX_CALL_DEADLINE_MS = 3000.0  # a call's deadline counts as no longer than this
FAIL_BEFORE_KILL_MS = 300.0  # calls that are open so long before the process may be killed are failed
FLUSH_MS = 100.0  # after that, for the last bytes to be sent
SETTLE_BEFORE_KILL_MS = 500.0  # until then servers may settle calls that have failed
SETTLED_MS = 250.0  # so long after the last was settled, for what its server has sent to be read
DISCONNECT_MS = 100.0  # for callers to see their connections end; what crosses the end arrives within 50 ms
FINISH_BEFORE_KILL_MS = 100.0  # everything is done so long before the process may be killed
CHECK_INTERVAL_MS = 20.0


class Phase(enum.IntEnum):
    """The phases in their order; none is entered twice."""

    SERVING = 0
    LAME_DUCK = 1  # health tests fail, calls are still served, since callers may still come
    DRAINING = 2  # no new connection is taken, open calls are answered
    DISCONNECTING = 3  # all is answered: connections are ended for writing and still read
    STOPPED = 4


class Shutdown:
    """The phase that the program is in, and when the next one begins."""

    def __init__(self, max_deadline_ms: float) -> None:
        """``max_deadline_ms``: the longest deadline of a call, by the settings."""
        self.phase = Phase.SERVING
        self._kill_after_ms = min(MAX_CALL_DEADLINE_MS, max_deadline_ms) + LAME_DUCK_MS
        self._started_ms = 0.0
        self._entered_ms = 0.0
        self._unsettled_ms = float("-inf")  # when a call was last unsettled

    def begin(self, now_ms: float) -> bool:
        """Begin to shut down, on SIGTERM; False: it had begun already, and nothing changes."""
        if self.phase is not Phase.SERVING:
            return False
        self._started_ms = now_ms
        self._enter(Phase.LAME_DUCK, now_ms)
        return True

    def is_out_of_time(self, now_ms: float) -> bool:
        """Whether open calls are to be failed, since the process may be killed soon."""
        return now_ms - self._started_ms >= self._kill_after_ms - FAIL_BEFORE_KILL_MS

    def remaining_ms(self, now_ms: float) -> float:
        """The time that extensions may take to finish."""
        return max(0.0, self._kill_after_ms - FINISH_BEFORE_KILL_MS - (now_ms - self._started_ms))

    def next_check_ms(self, now_ms: float) -> float:
        """How long until ``advance`` may enter another phase."""
        if self.phase is Phase.LAME_DUCK:
            return max(1.0, self._started_ms + LAME_DUCK_MS - now_ms)
        return CHECK_INTERVAL_MS

    def advance(
        self, now_ms: float, *, open_calls: int, unsent: int, connections: int, unsettled: int = 0
    ) -> Phase:
        """Enter the next phase if it is time, and give back the phase from now on.

        ``unsent`` counts bytes to callers, ``connections`` callers' connections, ``unsettled`` calls that
        have failed and that a server may yet release, to the next process if this one has ended.

        A call enters one phase at most, so what is queued at the listener is read before connections are
        ended.  A call that comes while the last bytes are sent is therefore answered, and a caller that reads
        late gets its complete answer.
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
