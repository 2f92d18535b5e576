"""Call records: one row per call, written at its final answer and again when an established call ends."""

from __future__ import annotations

import enum

import msgspec

from canvasplank import interface as api

ANSWERED, ENDED = 1, 2  # versions of a row: after the final answer, and after the established call has ended


class Final(enum.StrEnum):
    """The stored values of ``final``: those of ``FinalAnswer`` in the exchange, and two more."""

    SERVED = "served"  # the call was established
    REFUSED = "refused"
    FAILED = "failed"
    INVALID = "invalid"
    GIVEN_UP = "given_up"  # by the caller, before a final answer


class Ending(enum.StrEnum):
    """The stored values of ``ending``: how an established call ended."""

    ENDED = "ended"  # released normally by the call server
    RELEASED = "released"  # released by the caller
    CUT = "cut"  # released by the call server with another cause, or the server's process has ended


ENDING_BY_OUTCOME = {
    api.Outcome.ENDED: Ending.ENDED,
    api.Outcome.CANCELLED: Ending.RELEASED,
    api.Outcome.RESET: Ending.CUT,
}

RecordKey = tuple[str, str, int]


class CallOutcome(msgspec.Struct, frozen=True):
    """A row of ``call_outcome``; times are Unix milliseconds on the scheduler's clock.

    The columns are the fields' encoded names (``schema.COLUMNS``).  A later version of a row has all data of
    the earlier one, so either may be lost or repeated, and they may be written in any order.
    """

    call_id: str
    instance: str
    taken_ms: int
    class_name: str
    final: str  # a value of ``Final``
    server: str | None  # the server of the established call, else of the last attempt
    attempts: int
    answered_ms: int
    ended_ms: int | None = None
    ending: str | None = None  # a value of ``Ending``
    version: int = ANSWERED
    tenant: str | None = msgspec.field(default=None, name="member")  # None if the settings name no tenants
    number: str | None = None  # the called number, the same in a caller's repeats of a call

    @property
    def key(self) -> RecordKey:
        """The primary key; a call id alone may occur again at another instance, or years later."""
        return self.call_id, self.instance, self.taken_ms
