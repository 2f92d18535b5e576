"""Graceful shutdown as a state machine: what may end when.  No I/O and no clock; times in milliseconds."""

from __future__ import annotations

import enum

LAME_DUCK_MS = 700.0  # after SIGTERM callers may still come for so long
MAX_CALL_DEADLINE_MS = 3000.0  # a caller's deadline counts as no longer than this when we are to end
FAIL_BEFORE_KILL_MS = 300.0  # whatever is open so long before somebody may kill us is failed
FLUSH_MS = 100.0  # past that, for the last bytes to leave
DISCONNECT_MS = 100.0  # for callers to hear the end of connections; what crosses it does so within 50 ms
FINISH_BEFORE_KILL_MS = 100.0  # and all is to be done so long before it
CHECK_INTERVAL_MS = 20.0  # between two looks


class Phase(enum.IntEnum):
    """The phases, in their order; none is ever entered again."""

    SERVING = 0
    LAME_DUCK = 1  # told to stop: fails tests and serves on, since callers may still come
    DRAINING = 2  # takes no new connection, answers whatever is open
    DISCONNECTING = 3  # all is answered: connections are ended for writing, and read on
    STOPPED = 4


class Shutdown:
    """Where the program stands between serving and its end."""

    def __init__(self, max_deadline_ms: float) -> None:
        """``max_deadline_ms``: the longest deadline of a call; we may be killed that much and 0.7 s after."""
        self.phase = Phase.SERVING
        self._kill_after_ms = min(MAX_CALL_DEADLINE_MS, max_deadline_ms) + LAME_DUCK_MS
        self._started_ms = 0.0
        self._entered_ms = 0.0

    def begin(self, now_ms: float) -> bool:
        """SIGTERM; False: told so before, which changes nothing."""
        if self.phase is not Phase.SERVING:
            return False
        self._started_ms = now_ms
        self._enter(Phase.LAME_DUCK, now_ms)
        return True

    def is_out_of_time(self, now_ms: float) -> bool:
        """Whether what is open is to be failed: somebody may kill us soon."""
        return now_ms - self._started_ms >= self._kill_after_ms - FAIL_BEFORE_KILL_MS

    def remaining_ms(self, now_ms: float) -> float:
        """What may be spent on the parts' ends."""
        return max(0.0, self._kill_after_ms - FINISH_BEFORE_KILL_MS - (now_ms - self._started_ms))

    def next_check_ms(self, now_ms: float) -> float:
        """How long until ``look`` may find something new."""
        if self.phase is Phase.LAME_DUCK:
            return max(1.0, self._started_ms + LAME_DUCK_MS - now_ms)
        return CHECK_INTERVAL_MS

    def advance(self, now_ms: float, *, open_calls: int, unsent: int, connections: int) -> Phase:
        """The phase from now on; each look goes one phase further at most.

        So what lay at the listener is read before anything is ended.  Guards a set-up that comes while the
        last bytes leave against being taken and then left without an answer, and one who reads late against
        the end of an answer half written.
        """
        elapsed_ms = now_ms - self._started_ms
        may_flush = elapsed_ms < self._kill_after_ms - FAIL_BEFORE_KILL_MS + FLUSH_MS
        match self.phase:
            case Phase.LAME_DUCK if elapsed_ms >= LAME_DUCK_MS:
                self._enter(Phase.DRAINING, now_ms)
            case Phase.DRAINING if not open_calls and not (unsent and may_flush):
                self._enter(Phase.DISCONNECTING, now_ms)
            case Phase.DISCONNECTING if not connections or now_ms - self._entered_ms >= DISCONNECT_MS:
                self._enter(Phase.STOPPED, now_ms)
        return self.phase

    def _enter(self, phase: Phase, now_ms: float) -> None:
        self.phase, self._entered_ms = phase, now_ms
