"""What the exchange keeps of a call, and the answers that a call may get."""

from __future__ import annotations

import enum
from collections.abc import Hashable
from dataclasses import dataclass, field

from canvasplank import interface as api
from canvasplank.runtime.scheduler import Timer


class FinalAnswer(enum.Enum):
    """The final answers other than 'established'."""

    REFUSED = "refused"
    FAILED = "failed"
    INVALID = "invalid"  # the set-up asks for what the settings do not know


@dataclass(frozen=True, slots=True)
class RefusalDetails:
    """What a server said with a refusal, beside its outcome."""

    processor_full: bool = False
    number_busy: bool = False
    report: api.Report | None = None


NO_DETAILS = RefusalDetails()


@dataclass(slots=True)
class Attempt:
    """The one set-up of a call that is out."""

    number: int
    server_id: str
    sent_ms: float
    timer: Timer | None = None


@dataclass(slots=True)
class CallRecord:
    """One call: its caller, its attempt, and whether it is still unanswered."""

    id: str
    class_name: str
    number: str
    preferred_pool: int
    was_cut: bool
    expires_ms: float
    description: bytes
    origin: Hashable
    tenant: str | None = None  # None: the settings name no tenants
    taken_ms: float = 0.0
    attempts: int = 0
    last_server_id: str | None = None  # the server of its latest attempt
    in_flight: Attempt | None = None
    unanswered: bool = True
    established_server_id: str | None = None  # the server, once the call is established
    established_ms: float = 0.0
    timer: Timer | None = field(default=None, repr=False)

    def is_retransmission_of(self, other: CallRecord) -> bool:
        """Whether the other is the same set-up, sent once more."""
        return (self.class_name, self.tenant, self.number, self.preferred_pool, self.description) == (
            other.class_name,
            other.tenant,
            other.number,
            other.preferred_pool,
            other.description,
        )
