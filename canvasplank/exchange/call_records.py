"""The exchange's record of a call, its attempts, its final answers and its release."""

from __future__ import annotations

import enum
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from canvasplank import interface as api
from canvasplank.runtime.scheduler import Timer


class FinalAnswer(enum.Enum):
    """The negative final answers to a caller."""

    REFUSED = "refused"
    FAILED = "failed"
    INVALID = "invalid"  # the set-up names a class, tenant, pool or width outside the settings


@dataclass(frozen=True, slots=True)
class RefusalDetails:
    """Details in a server's refusal of an attempt, besides the outcome."""

    processor_full: bool = False
    number_busy: bool = False
    report: api.Report | None = None


NO_DETAILS = RefusalDetails()


@dataclass(frozen=True, slots=True)
class CallerRelease:
    """The release of an established call, to be sent to its caller."""

    call_id: str
    cause: int  # Q.850
    # Called once the release is confirmed, or counts as delivered without a confirmation.
    on_delivered: Callable[[], None] | None = None


@dataclass(slots=True)
class Attempt:
    """An attempt in flight."""

    number: int
    server_id: str
    sent_ms: float
    timer: Timer | None = None  # fires when the attempt times out
    cancelled: bool = False  # the attempt ends once its cancellation has left this process


@dataclass(slots=True)
class CallRecord:
    """A call: its caller's request, its attempt in flight and its state.

    Times are in milliseconds on the scheduler's clock.
    """

    id: str
    class_name: str
    number: str
    preferred_pool: int
    replaces_cut_call: bool  # the call replaces one that was established and then cut
    expires_ms: float  # the caller's deadline
    description: bytes
    origin: Hashable  # identifies the caller's connection to the callers' component
    tenant: str | None = None  # None: the settings name no tenants
    taken_ms: float = 0.0  # when the exchange received the set-up
    attempts: int = 0  # started so far
    last_server_id: str | None = None  # the server of the latest attempt
    in_flight: Attempt | None = None
    unanswered: bool = True
    established_server_id: str | None = None  # set once the call is established
    established_ms: float = 0.0
    timer: Timer | None = field(default=None, repr=False)  # fires at ``expires_ms``

    def is_retransmission_of(self, other: CallRecord) -> bool:
        """Return whether this set-up repeats that of another record with the same id."""
        return (self.class_name, self.tenant, self.number, self.preferred_pool, self.description) == (
            other.class_name,
            other.tenant,
            other.number,
            other.preferred_pool,
            other.description,
        )

    def attempt_in_flight(self, server_id: str, number: int | None) -> Attempt | None:
        """Return the attempt in flight, if it has this number and this server; otherwise None."""
        attempt = self.in_flight
        if attempt is None or (attempt.server_id, attempt.number) != (server_id, number):
            return None
        return attempt
