"""One connection to a call server, and what is kept of the server itself."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from canvasplank import interface as api
from canvasplank.codecs import sip
from canvasplank.exchange.call_records import CallRecord
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.connection_attempt import Backoff, ConnectionAttempt
from canvasplank.network.stream import BufferBudget, Stream

SILENCE_TIMEOUT_MS = (
    2500.0  # a server that reports its circuits and has said nothing for so long may be cut off
)
UNTIMED_REPORTS = 2  # the first on a connection, which say nothing of how often they come


@dataclass(slots=True)
class Peer:
    """One server: what the board says of it and the connections to it."""

    server_id: str
    address: str
    state: api.ServerState
    started_ms: float | None
    backoff: Backoff
    current: ServerStream | None = None  # where the next message goes; it may still be connecting
    last_received_ms: float = 0.0  # when it last said anything, or a connection came up
    reports_circuits: bool = False  # it has reported its circuits
    silence_timeout_ms: float = SILENCE_TIMEOUT_MS  # so long it may say nothing
    streams: list[ServerStream] = field(default_factory=list)  # all that are up
    pending_releases: dict[str, int] = field(default_factory=dict)  # causes, for the next connection
    first_connection_ms: float = 0.0  # no sooner is its first connection made, unless a set-up wants it


class WaitingSetUp(NamedTuple):
    """A set-up for a connection that is just coming up."""

    call: CallRecord
    attempt: int
    until_ms: float  # its attempt ends


class Owner(Protocol):
    """Who keeps the connections, and acts on what they bring."""

    exchange: Exchange
    budget: BufferBudget
    disconnecting: bool  # the program ends: nothing is heeded any more

    def on_connected(self, stream: ServerStream) -> None:
        """It is up."""

    def on_message(self, stream: ServerStream, message: sip.Message) -> None:
        """It has brought a message."""

    def on_disconnected(self, stream: ServerStream) -> None:
        """It has ended."""


class ServerStream(Stream):
    """One connection to a server."""

    def __init__(self, servers: Owner, peer: Peer) -> None:
        label = f"server {peer.server_id} {peer.address}"
        super().__init__(servers.exchange.scheduler, label, sip.Parser(), servers.budget)
        self.servers = servers
        self.peer = peer
        self.address = peer.address
        self.open_set_ups: dict[
            str, int
        ] = {}  # set-ups sent here and not ended, with the numbers of their attempts
        self.waiting: dict[str, WaitingSetUp] = {}  # for when it is up
        self.reported_ms = -1.0  # when the circuits were last reported here
        self.report_count = 0  # and how often
        self.unconfirmed: dict[str, tuple[int, float]] = {}  # releases sent here: cause, time
        self.established: set[str] = set()  # calls set up here: the server releases them here
        self.replaced_ms = -1.0  # when another took its place
        self.connecting: ConnectionAttempt | None = None
        self.made_ms = self.scheduler.now_ms
        self.unanswered_since_ms = -1.0  # when the first set-up was sent here of those after the last word

    def on_connected(self) -> None:
        """Send what has waited."""
        self.made_ms = self.peer.last_received_ms = self.scheduler.now_ms
        self.servers.on_connected(self)

    def on_received(self, data: memoryview) -> None:
        """Read what it says."""
        self.peer.last_received_ms = self.scheduler.now_ms
        for message in self.messages(data):
            if not self.servers.disconnecting:
                self.servers.on_message(self, message)

    def on_circuits_reported(self) -> None:
        """The circuits were reported; where that is often, silence is found soon.

        The first comes with the connection, the second at any time after it: they say nothing of that.
        """
        self.peer.reports_circuits = True
        self.report_count += 1
        if (
            self.report_count > UNTIMED_REPORTS
            and self.scheduler.now_ms - self.reported_ms < SILENCE_TIMEOUT_MS
        ):
            self.peer.silence_timeout_ms = SILENCE_TIMEOUT_MS
        self.reported_ms = self.scheduler.now_ms

    def is_message_overdue(self, limit_ms: float) -> bool:
        """Whether the rest of a message is overdue: all that follows would be taken for it."""
        late = self.scheduler.now_ms - self.message_started_ms > limit_ms
        return self.is_open and late and self.parser.in_message

    def is_hung(self, limit_ms: float) -> bool:
        """Whether it has brought not a word since a set-up went out on it."""
        return (
            self.unanswered_since_ms > self.last_received_ms
            and self.scheduler.now_ms - self.unanswered_since_ms > limit_ms
        )

    def is_superseded(self, limit_ms: float) -> bool:
        """Whether it has been replaced and nothing more is to come on it.

        Guards against losing the release of an established call, on its way while we end the connection: its
        successor is up already, and the server would not tell it again.
        """
        spoke_again = (
            self.last_received_ms > self.replaced_ms and self.scheduler.now_ms - self.last_used_ms < limit_ms
        )
        return not self.open_set_ups and not (self.established and spoke_again)

    @property
    def ended_unreadably(self) -> bool:
        """Whether it ended amid what could not be read: an answer may have been lost with it."""
        return self.unreadable or self.parser.in_message

    def on_disconnected(self, error: Exception | None) -> None:
        """Its set-ups broke on their way."""
        self.servers.on_disconnected(self)
