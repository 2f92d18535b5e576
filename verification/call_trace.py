"""A trace of what the peers of a deployment of proxies observed.

The peers are callers, call servers, the front, and the observer of the proxy processes. All times are Unix
seconds, read by the one process that emulates all peers.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Answer(enum.Enum):
    """A final answer to a set-up, as its caller received it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class End(enum.Enum):
    """How a set-up ended at a call server."""

    ANSWERED = "answered"
    REJECTED = "rejected"
    CANCELLED = "cancelled"
    DISCONNECTED = "disconnected"  # the connection of the set-up ended


@dataclass(slots=True)
class CallerCall:
    """One call as its caller observed it."""

    call_id: str
    sent_s: float  # when the set-up was last written
    deadline_s: float  # until when the caller waits for an answer
    answers: list[tuple[float, Answer]] = field(default_factory=list)
    releases_s: list[float] = field(default_factory=list)  # received after the call was established
    ended_by_caller_s: float | None = None  # when the caller gave the call up or released it
    lost_s: float | None = None  # when its connection ended unanswered, and the set-up was not sent again
    resent: bool = False  # the end of its connection crossed the set-up, which was sent once more
    # Messages of the call, each with its time and the address of the proxy.
    exchanges: list[tuple[float, str]] = field(default_factory=list)

    @property
    def served_s(self) -> float | None:
        """When the caller was told that the call is established."""
        return next((at_s for at_s, answer in self.answers if answer is Answer.SERVED), None)


@dataclass(slots=True)
class ServerAttempt:
    """One set-up as a call server observed it."""

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
    # When the server first wrote a release; None if the link may have held it back or lost it.
    release_written_s: float | None = None
    released_by_server_s: float | None = None  # when a release that the proxy read passed the link
    released_by_proxy_s: float | None = None
    server_gone_s: float | None = None  # when the server ended, and the call with it


@dataclass(frozen=True, slots=True)
class DrainNotification:
    """Service discovery's notification to all proxies that a server accepts no new calls."""

    server: str
    at_s: float
    until_s: float  # when the server accepts new calls again


@dataclass(frozen=True, slots=True)
class Drain:
    """The drain of one process, from a quiesce until its resume or its end."""

    process: str
    from_s: float
    until_s: float
    resumed: bool


@dataclass(frozen=True, slots=True)
class Readiness:
    """The answer of a process to one readiness check."""

    process: str
    at_s: float
    ready: bool


@dataclass(frozen=True, slots=True)
class HeldConnection:
    """A caller's connection to a process, as observed at one moment of the process's drain."""

    process: str
    at_s: float
    request_age_s: float | None  # age of its newest unanswered set-up; None if it has none
    established: bool  # whether it carries an established call


@dataclass(frozen=True, slots=True)
class DisturbedPeriod:
    """A period in which messages from and to a call server may have been held back or lost."""

    server: str
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """An event on a connection of a call server, as the server observed it."""

    server: str
    at_s: float
    text: str
    call_id: str  # the call that the event concerns; empty for all calls


@dataclass(slots=True)
class ProcessLife:
    """One proxy process, from its start to its end."""

    name: str
    started_s: float
    terminated_s: float | None = None  # when the first SIGTERM was sent
    killed: bool = False  # whether it had to be killed (SIGKILL)
    exit_status: int | None = None
    log: str = ""
    # Open descriptors and resident MiB: once the process is ready, and once all callers have disconnected.
    first_usage: tuple[int, float] | None = None
    last_usage: tuple[int, float] | None = None


@dataclass(slots=True)
class CallTrace:
    """Everything that the peers observed in one run."""

    release_wait_s: float  # the least time from a given-up attempt to the next
    drain_grace_s: float  # the time after a server's drain notification in which it may still get attempts
    calls: dict[str, CallerCall] = field(default_factory=dict)
    attempts: list[ServerAttempt] = field(default_factory=list)
    established: list[ServerCall] = field(default_factory=list)
    drain_notifications: list[DrainNotification] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    readiness: list[Readiness] = field(default_factory=list)
    held: list[HeldConnection] = field(default_factory=list)
    disturbed: list[DisturbedPeriod] = field(default_factory=list)
    server_events: list[ServerEvent] = field(default_factory=list)
    # Times at which a process may have had no connection of a caller.
    no_connection_times_s: list[float] = field(default_factory=list)
    refused_connections_s: list[float] = field(default_factory=list)  # while a process was ready
    processes: list[ProcessLife] = field(default_factory=list)
    max_lateness_s: float = 0.0  # of the peers' event loop
    ended_s: float = 0.0  # when the trace ended
