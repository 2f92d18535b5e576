"""The phases of an operator's drain of the callers.

The front, which sends callers to the proxies, expects that 4 s after a quiesce no caller's connection is in
use.  A caller goes on using its connection for as long as that is open, and is owed an answer there to each
of its set-ups.  So a connection on which set-ups overlap has no moment at which it could be closed, unless
further ones are rejected on it.

This module does no I/O and reads no clock; times are in milliseconds.
"""

from __future__ import annotations

import enum

DRAIN_OVERDUE_MS = 3000.0  # from the quiesce to ``DrainPhase.OVERDUE``
DRAIN_EXPIRED_MS = 3750.0  # from the quiesce to ``DrainPhase.EXPIRED``; the rest of the 4 s is for closing
RECENT_SET_UP_MS = 2000.0  # a connection with a set-up of this time must not be held 4 s after the quiesce
CALLER_IDLE_MS = 4000.0  # callers close a connection that has carried no call for this time


class DrainPhase(enum.IntEnum):
    """The phases, in their order; what applies in one applies in all later ones."""

    NONE = 0  # callers are not drained
    QUIESCED = 1  # a connection is closed once no set-up is open and no call established on it
    OVERDUE = 2  # new set-ups are rejected, and established calls do not keep a connection in use open
    EXPIRED = 3  # the open set-ups of a connection in use are given up, so that it can be closed

    @property
    def reuse_ms(self) -> float:
        """The time since its last set-up within which a connection counts as in use by its caller."""
        match self:
            case DrainPhase.OVERDUE:
                return RECENT_SET_UP_MS
            case DrainPhase.EXPIRED:
                return CALLER_IDLE_MS
        return 0.0


class CallerDrain:
    """Whether callers are being drained, and in which phase."""

    def __init__(self) -> None:
        self._started_ms: float | None = None

    def begin(self, now_ms: float) -> bool:
        """Start a drain; return False, and change nothing, if one has started."""
        if self._started_ms is not None:
            return False
        self._started_ms = now_ms
        return True

    def end(self) -> None:
        """End the drain, if there is one."""
        self._started_ms = None

    def phase(self, now_ms: float) -> DrainPhase:
        """Return the phase at a time."""
        if self._started_ms is None:
            return DrainPhase.NONE
        if now_ms - self._started_ms >= DRAIN_EXPIRED_MS:
            return DrainPhase.EXPIRED
        if now_ms - self._started_ms >= DRAIN_OVERDUE_MS:
            return DrainPhase.OVERDUE
        return DrainPhase.QUIESCED
