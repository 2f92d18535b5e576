"""The interface between a gateway and the controller: settings, events and actions.

This module makes no decisions and knows no wire format.  A gateway builds :class:`Settings` once, passes
every event to ``Controller.handle(now_ms, event)`` and executes the returned actions in order.

All times are milliseconds on one monotonic clock.  Ids of calls and servers are opaque text, returned
unmodified.  An optional value that is ``None`` is unknown, which is not the same as zero.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from dataclasses import dataclass


class SettingsError(ValueError):
    """A setting is missing or out of range; the message names its configuration key."""


def _require(holds: bool, name: str, value: object) -> None:
    if not holds:
        raise SettingsError(f"invalid value for setting {name!r}: {value!r}")


def _finite(value: object, low: float, *, above: bool = False) -> bool:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        return False
    return value > low if above else value >= low


class Outcome(enum.Enum):
    """How an attempt ended."""

    ENDED = "ended"  # the call was established, and released normally
    ERROR = "error"  # the number is busy, or a signalling fault
    FULL = "full"  # rejected: the processor was full, or no circuit was free
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"  # the set-up or the established call was cut off
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class ServerState(enum.Enum):
    """The state of a server in the server list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(enum.Enum):
    """How a server list relates to the previous one."""

    CHANGES = "changes"
    COMPLETE = "complete"
    CACHED = "cached"  # the complete list that this gateway last had; may be stale


class ReportField(enum.Enum):
    """The load figures that a server may report."""

    UTILISATION = "utilisation"  # share of the processor that is busy
    QUEUE = "queue"  # set-ups waiting at the processor
    WAIT_MS = "wait_ms"  # wait at the processor
    RATE_PER_S = "rate_per_s"  # new set-ups a second that the server can take from all senders
    HOLD_BACK = "hold_back"  # fraction of new set-ups that each sender should withhold


class ReportSource(enum.Enum):
    """When servers report their load figures."""

    NONE = "none"
    PROBES = "probes"
    ANSWERS = "answers"  # in outcomes and in answers to probes


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls: its time limits and its value."""

    name: str
    target_ms: float  # time within which a call should be established
    deadline_ms: float
    weight: float
    late_weight: float  # weight factor of a call established after its target
    pools: tuple[int, ...] | None = None  # pools that its calls may use; None: any
    hold_ms: float | None = None  # mean duration of its calls

    def __post_init__(self) -> None:
        _require(self.hold_ms is None or _finite(self.hold_ms, 0, above=True), "hold_ms", self.hold_ms)
        _require(_finite(self.target_ms, 0, above=True), "aim_ms", self.target_ms)
        _require(_finite(self.deadline_ms, 0, above=True), "deadline_ms", self.deadline_ms)
        _require(_finite(self.weight, 0, above=True), "worth", self.weight)
        _require(_finite(self.late_weight, 0), "late_worth", self.late_weight)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant; traffic above its quota earns ``Settings.over_quota_weight`` of its weight."""

    name: str
    quota_per_s: float  # over all gateways

    def __post_init__(self) -> None:
        _require(_finite(self.quota_per_s, 0), "quota_per_s", self.quota_per_s)


@dataclass(frozen=True, slots=True)
class Rules:
    """Limits of the five rules."""

    release_ms: float  # least time from the release of an attempt to the next attempt
    drain_grace_ms: float
    answer_slack_ms: float
    cold_share: float  # fraction of its capacity that a server has at its start
    warm_within_ms: float  # age at which a server has its full capacity
    overload_multiple: float  # a cold server collapses if sent this multiple of its capacity
    overload_span_ms: float  # how long that excess must last for the collapse

    def __post_init__(self) -> None:
        for name in ("release_ms", "drain_grace_ms", "answer_slack_ms", "warm_within_ms"):
            _require(_finite(getattr(self, name), 0), name, getattr(self, name))
        spans = ("tip_multiple", self.overload_multiple), ("overload_for_ms", self.overload_span_ms)
        for name, value in spans:
            _require(_finite(value, 0, above=True), name, value)
        share = self.cold_share
        _require(_finite(share, 0, above=True) and share <= 1, "cold_share", share)


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a controller.

    ``reports``, ``report_fields``, ``probes_allowed`` and the rules' ``drain_grace_ms``,
    ``answer_slack_ms`` and ``overload_span_ms`` do not affect decisions at present (``docs/design.md`` gives
    the reasons).  Gateways pass them so that they need no change once a decision uses them.
    """

    instances: int  # gateways in this tier, including this one
    classes: tuple[CallClass, ...]
    rules: Rules
    max_attempts: int
    tick_ms: float  # least time between two events
    resend_ms: float | None = None  # first interval of set-up retransmission; the next ones double
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    reports: ReportSource = ReportSource.NONE
    report_fields: tuple[ReportField, ...] = ()
    probes_allowed: bool = False
    cancel_allowed: bool = True
    retry_after_max_ms: float | None = None  # None: refusals carry no Retry-After

    def __post_init__(self) -> None:
        _require(isinstance(self.instances, int) and self.instances >= 1, "instances", self.instances)
        attempts = self.max_attempts
        _require(isinstance(attempts, int) and attempts >= 1, "max_attempts", attempts)
        _require(len(self.classes) > 0, "classes", self.classes)
        _require(len({c.name for c in self.classes}) == len(self.classes), "classes", self.classes)
        _require(_finite(self.tick_ms, 0), "tick_ms", self.tick_ms)
        _require(_finite(self.over_quota_weight, 0), "over_quota_worth", self.over_quota_weight)
        for name in ("resend_ms", "retry_after_max_ms"):
            value = getattr(self, name)
            _require(value is None or _finite(value, 0, above=True), name, value)


# ---------------------------------------------------------------------------------------------------- events


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of a server list."""

    id: str
    pool: int
    state: ServerState
    started_ms: float | None = None  # latest start; None: long ago
    senders: int | None = None  # upper bound of the gateways that share it; None: all
    initial_rate_per_s: float | None = None  # this gateway's first rate to it, set-ups/s; None: no bound


@dataclass(frozen=True, slots=True)
class ServerList:
    """The server list or a change to it."""

    kind: ListKind
    servers: tuple[Server, ...]


@dataclass(frozen=True, slots=True)
class Call:
    """A call accepted by this gateway, which must give it one final answer."""

    id: str
    class_name: str
    expires_ms: float  # when the caller stops waiting for this call
    preferred_pool: int
    tenant: str | None = None
    number: str | None = None  # the number called
    redialled: bool = False  # the caller marked this call as a retry
    replaces_cut_call: bool = False  # the call was established before and cut off


@dataclass(frozen=True, slots=True)
class Report:
    """Load report of a server; values are delayed and noisy, and None where unknown."""

    utilisation: float | None = None
    queue: float | None = None
    wait_ms: float | None = None
    rate_per_s: float | None = None
    hold_back: float | None = None


@dataclass(frozen=True, slots=True)
class Established:
    """The call is established."""

    call_id: str
    attempt: int
    server_id: str
    waited_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; every set-up gets exactly one of these."""

    call_id: str
    attempt: int
    server_id: str
    outcome: Outcome
    finished: bool  # the call has ended; otherwise a final answer is still pending
    processor_full: bool = False  # with FULL: the processor was full, not the circuits
    number_busy: bool = False  # with ERROR: every line of the number called is busy
    report: Report | None = None
    released_ms: float = 0.0  # send time of its release, where later than this event


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """The caller has abandoned the call, which needs no answer any more."""

    call_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer has fired."""

    token: str


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A probe was answered, or was not."""

    server_id: str
    answered: bool
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class CircuitsReported:
    """A server reported its free and total circuits."""

    server_id: str
    free: float
    circuits: float


@dataclass(frozen=True, slots=True)
class WarmStartHint:
    """What a running peer has learned about one server, weighted by age, for the start of a new instance.

    ``rate_per_s`` is ``None`` where not known or too old; ``eject`` means that the peer found the server slow
    or silent in the last seconds.  See ``canvasplank.warm_start``.
    """

    server_id: str
    rate_per_s: float | None
    eject: bool


@dataclass(frozen=True, slots=True)
class LearnedServer:
    """What a controller has learned about a server, for the start of another instance."""

    server_id: str
    started_ms: float | None
    rate_per_s: float | None  # None: no bound
    slow: bool  # its usual answer delay reaches the harmful wait
    silent: bool
    observed_ms: float  # time of the latest observation used


# Returns how long (ms) an attempt must wait for fleet-wide budgets, from the call, the attempt's number, the
# server id and whether to take the budgets' units.  0: send now; the units are taken if requested.
BudgetDelay = Callable[[Call, int, str, bool], float]

Event = (
    ServerList
    | Call
    | Established
    | AttemptEnded
    | CallAbandoned
    | TimerFired
    | ProbeAnswered
    | CircuitsReported
    | WarmStartHint
)


# --------------------------------------------------------------------------------------------------- actions


@dataclass(frozen=True, slots=True)
class SetUp:
    """Send the call to a server; each set-up of a call is an attempt, numbered 0, 1, 2 ... in order."""

    call_id: str
    server_id: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    call_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused.  The caller may retry after ``retry_after_ms``, if given."""

    call_id: str
    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed."""

    call_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a :class:`TimerFired` event after a delay."""

    after_ms: float
    token: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Request a server's load figures."""

    server_id: str


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for the operators."""

    text: str


Action = SetUp | Cancel | Refuse | Fail | SetTimer | Probe | Log
