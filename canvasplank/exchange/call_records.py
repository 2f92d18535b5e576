"""The exchange's record of one call, and the answers that a call may get."""

from __future__ import annotations

import enum
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from canvasplank import interface as api
from canvasplank.runtime.scheduler import Timer


class FinalAnswer(enum.Enum):
    """The final answers to a caller other than 'established'."""

    REFUSED = "refused"
    FAILED = "failed"
    INVALID = "invalid"  # the set-up names something that the settings do not know


@dataclass(frozen=True, slots=True)
class RefusalDetails:
    """Details that a server gives with a refusal, besides its outcome."""

    processor_full: bool = False
    number_busy: bool = False
    report: api.Report | None = None


NO_DETAILS = RefusalDetails()


@dataclass(frozen=True, slots=True)
class CallerRelease:
    """The release of an established call that its caller is to be notified of."""

    call_id: str
    cause: int  # of Q.850
    # Called once its caller has it, as far as can be known.
    on_delivered: Callable[[], None] | None = None


@dataclass(slots=True)
class Attempt:
    """The one attempt of a call that is in flight."""

    number: int
    server_id: str
    sent_ms: float
    timer: Timer | None = None  # its time-out
    cancelled: bool = False  # it ends once its cancellation has left this process


@dataclass(slots=True)
class CallRecord:
    """One call: what its caller requested, its attempt in flight, and how far it has come.

    Times are milliseconds on the scheduler's clock.
    """

    id: str
    class_name: str
    number: str
    preferred_pool: int
    replaces_cut_call: bool
    expires_ms: float
    description: bytes
    origin: Hashable  # whatever the callers' component knows the caller's connection by
    tenant: str | None = None  # None: the settings name no tenants
    taken_ms: float = 0.0
    attempts: int = 0
    last_server_id: str | None = None  # the server of its latest attempt
    in_flight: Attempt | None = None
    unanswered: bool = True
    established_server_id: str | None = None  # the server, once the call is established
    established_ms: float = 0.0
    timer: Timer | None = field(default=None, repr=False)  # its caller's deadline

    def is_retransmission_of(self, other: CallRecord) -> bool:
        """Whether both are the same set-up, sent once more."""
        return (self.class_name, self.tenant, self.number, self.preferred_pool, self.description) == (
            other.class_name,
            other.tenant,
            other.number,
            other.preferred_pool,
            other.description,
        )

    def attempt_in_flight(self, server_id: str, number: int | None) -> Attempt | None:
        """The attempt in flight, if it is this one at this server."""
        attempt = self.in_flight
        if attempt is None or (attempt.server_id, attempt.number) != (server_id, number):
            return None
        return attempt
