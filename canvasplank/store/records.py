"""What is kept of a call: one row, written at its final answer and once more when it is over."""

from __future__ import annotations

import msgspec

from canvasplank import interface as api

ANSWERED, OVER = 1, 2  # the row's version: at the final answer, and when an established call has ended
SERVED, GIVEN_UP = "served", "given_up"  # beside the names of ``exchange.Final``
ENDINGS = {api.Outcome.ENDED: "ended", api.Outcome.CANCELLED: "released", api.Outcome.RESET: "cut"}

Key = tuple[str, str, int]


class Outcome(msgspec.Struct, frozen=True):
    """One call's row; times are Unix milliseconds of this program's one clock.

    A row of a later version holds all that an earlier one did, so that either may be lost or come twice and
    the order in which they are written does not matter.
    """

    call_id: str
    instance: str
    taken_ms: int
    class_name: str
    final: str  # served, refused, failed, invalid or given_up
    server: str | None  # where it is established, or was tried last
    attempts: int
    answered_ms: int
    ended_ms: int | None = None
    ending: str | None = None  # ended, released (by its caller) or cut
    version: int = ANSWERED
    member: str | None = None  # whose call it is, where the settings name members
    number: str | None = None  # the number called: a caller's repeats are found by it

    @property
    def key(self) -> Key:
        """What makes a record one: an id may come again, at another instance or years later."""
        return self.call_id, self.instance, self.taken_ms
