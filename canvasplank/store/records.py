"""The record of a call: one row, written at its final answer and again at the end of an established call."""

from __future__ import annotations

import enum

import msgspec

from canvasplank import interface as api

ANSWERED, ENDED = 1, 2  # a row's version: at the final answer, and at the end of an established call


class Final(enum.StrEnum):
    """The stored values of ``final``: those of ``exchange.FinalAnswer``, and two more."""

    SERVED = "served"  # established
    REFUSED = "refused"
    FAILED = "failed"
    INVALID = "invalid"
    GIVEN_UP = "given_up"  # by the caller


class Ending(enum.StrEnum):
    """The stored values of ``ending``."""

    ENDED = "ended"
    RELEASED = "released"  # by the caller
    CUT = "cut"


ENDING_BY_OUTCOME = {
    api.Outcome.ENDED: Ending.ENDED,
    api.Outcome.CANCELLED: Ending.RELEASED,
    api.Outcome.RESET: Ending.CUT,
}

RecordKey = tuple[str, str, int]


class CallOutcome(msgspec.Struct, frozen=True):
    """A row of ``call_outcome``; times are Unix milliseconds of this program's one clock.

    The columns are the fields' encoded names (``schema.COLUMNS``).  A row of a later version holds all that
    an earlier one does, so either may be lost or repeated, and they may be written in any order.
    """

    call_id: str
    instance: str
    taken_ms: int
    class_name: str
    final: str  # a value of ``Final``
    server: str | None  # where the call is established, or was attempted last
    attempts: int
    answered_ms: int
    ended_ms: int | None = None
    ending: str | None = None  # a value of ``Ending``
    version: int = ANSWERED
    tenant: str | None = msgspec.field(default=None, name="member")  # if the configuration names members
    number: str | None = None  # the called number, by which a caller's repeats are recognised

    @property
    def key(self) -> RecordKey:
        """The primary key: the same call id may occur at another instance, or years later."""
        return self.call_id, self.instance, self.taken_ms
