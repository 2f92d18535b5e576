"""What the peers of a deployment of proxies saw: callers, call servers, the front, and who watched processes.

All times are Unix seconds, read by the one process that plays all the peers.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Answer(enum.Enum):
    """A final answer to a set-up, as its caller read it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class End(enum.Enum):
    """How a set-up ended at a call server."""

    ANSWERED = "answered"
    REJECTED = "rejected"
    CANCELLED = "cancelled"
    DISCONNECTED = "disconnected"  # the connection that it came on ended


@dataclass(slots=True)
class CallerCall:
    """One call as its caller saw it."""

    call_id: str
    sent_s: float  # its set-up was written
    deadline_s: float  # the caller waits until then
    answers: list[tuple[float, Answer]] = field(default_factory=list)
    releases_s: list[float] = field(default_factory=list)  # after it was served
    abandoned_s: float | None = None  # the caller gave it up, or released it
    lost_s: float | None = None  # its connection ended without an answer, and no crossing explains it
    resent: bool = False  # its set-up crossed the end of its connection, and was sent once more
    exchanges: list[tuple[float, str]] = field(default_factory=list)  # what passed, and at which address

    @property
    def served_s(self) -> float | None:
        """When it was established, for its caller."""
        return next((at_s for at_s, answer in self.answers if answer is Answer.SERVED), None)


@dataclass(slots=True)
class ServerAttempt:
    """One set-up as a call server saw it."""

    call_id: str
    server: str
    received_s: float
    ended_s: float | None = None
    end: End | None = None


@dataclass(slots=True)
class ServerCall:
    """One call that a call server established."""

    call_id: str
    server: str
    established_s: float
    release_written_s: float | None = None  # by its server, where nothing but the proxy can keep it back
    released_by_server_s: float | None = None  # it has passed to the proxy, and was read there
    released_by_proxy_s: float | None = None
    cut_s: float | None = None  # its server went away with it


@dataclass(frozen=True, slots=True)
class Told:
    """A notification by service discovery that a server takes no new calls, sent to all that run."""

    server: str
    at_s: float
    until_s: float  # it takes new calls again from then


@dataclass(frozen=True, slots=True)
class Drain:
    """A quiesce of one process until its resume or its end."""

    process: str
    from_s: float
    until_s: float
    resumed: bool


@dataclass(frozen=True, slots=True)
class Readiness:
    """One answer of a process to the question whether callers may be sent to it."""

    process: str
    at_s: float
    ready: bool


@dataclass(frozen=True, slots=True)
class HeldConnection:
    """A caller's connection to a process, as seen at one moment of its drain."""

    process: str
    at_s: float
    request_age_s: float | None  # of its newest unanswered set-up; None: it has none
    established: bool  # whether a call that was answered on it still is
    free_s: float  # when a set-up was last unanswered no more and no other was open; else when it came up


@dataclass(frozen=True, slots=True)
class Disturbed:
    """A time in which nothing may have reached a call server."""

    server: str
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """Something that happened on a connection of a call server, as that saw it."""

    server: str
    at_s: float
    text: str
    call_id: str  # of the call that it concerns; empty: all


@dataclass(slots=True)
class ProcessLife:
    """One process of the program, from its start to its end."""

    name: str
    started_s: float
    terminated_s: float | None = None  # the first SIGTERM
    killed: bool = False  # SIGKILL found it alive
    exit_status: int | None = None
    log: str = ""
    first_usage: tuple[int, float] | None = None  # descriptors, resident MB: settled after its start
    last_usage: tuple[int, float] | None = None  # the same, settled at the end of the run


@dataclass(slots=True)
class CallTrace:
    """Everything that was seen on one run."""

    release_wait_s: float
    drain_grace_s: float
    calls: dict[str, CallerCall] = field(default_factory=dict)
    attempts: list[ServerAttempt] = field(default_factory=list)
    established: list[ServerCall] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    readiness: list[Readiness] = field(default_factory=list)
    held: list[HeldConnection] = field(default_factory=list)
    disturbed: list[Disturbed] = field(default_factory=list)
    server_events: list[ServerEvent] = field(default_factory=list)
    unconnected_s: list[float] = field(default_factory=list)  # a process might have no caller's connection
    refused_connections_s: list[float] = field(default_factory=list)  # while a process was ready
    processes: list[ProcessLife] = field(default_factory=list)
    max_lateness_s: float = 0.0  # of the peers' own event loop
    ended_s: float = 0.0  # when the trace was closed
