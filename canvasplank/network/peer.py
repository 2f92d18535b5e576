"""The state that is kept for each call server: its entry in the endpoint list, connections and releases.

Times are in milliseconds, on the scheduler's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, Protocol, TypeVar

from canvasplank import interface as api
from canvasplank.exchange.call_records import CallRecord
from canvasplank.network.reconnect_backoff import ReconnectBackoff
from canvasplank.network.release_retransmission import (
    CONFIRMATION_WINDOW_MS,
    PendingRelease,
    UnconfirmedReleases,
)

SILENCE_TIMEOUT_MS = 2500.0  # a server that reports its circuits may be cut off after so long a silence
MAX_PENDING_RELEASES = 10_000  # for a server that cannot be reached


class WaitingSetUp(NamedTuple):
    """A set-up that waits for a connection to be established."""

    call: CallRecord
    attempt: int
    until_ms: float  # the deadline of the attempt


class ServerConnection(Protocol):
    """The part of ``ServerStream``, whose module imports this one, that a ``Peer`` uses."""

    last_received_ms: float
    open_set_ups: dict[str, int]
    waiting: dict[str, WaitingSetUp]
    established: set[str]
    unconfirmed: UnconfirmedReleases
    cancelled: UnconfirmedReleases

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be written to."""

    def send_release(self, call_id: str, cause: int, on_sent: Callable[[], None] | None = None) -> None:
        """Write the release of a call."""

    def release_unsettled(self, call_id: str, cause: int, on_sent: Callable[[], None] | None = None) -> None:
        """Write the release of a call that an earlier connection may have left established."""


ConnectionT = TypeVar("ConnectionT", bound=ServerConnection)


@dataclass(slots=True)
class Peer(Generic[ConnectionT]):
    """A call server: its entry in the endpoint list, its connections and the releases due to it."""

    server_id: str
    address: str
    state: api.ServerState
    started_ms: float | None  # when the server process started; None: unknown
    backoff: ReconnectBackoff
    current: ConnectionT | None = None  # carries the next message; it may still be connecting
    last_received_ms: float = 0.0  # when data was last read or a connection was last established
    reports_circuits: bool = False  # whether the server has ever reported its circuits
    silence_timeout_ms: float = SILENCE_TIMEOUT_MS
    streams: list[ConnectionT] = field(default_factory=list)  # all established connections
    pending_releases: dict[str, PendingRelease] = field(default_factory=dict)  # for the next connection
    # By call: callbacks that report the end of an attempt once the server has abandoned its set-up.
    pending_end_reports: dict[str, Callable[[], None]] = field(default_factory=dict)
    connect_after_ms: float = 0.0  # no connection is made before this time, unless a set-up needs one
    # Whether a connection was lost or not established since the listed process was known to run.  Another
    # process may have taken the address then, and nothing in the protocol tells which one answers there.
    may_be_replaced: bool = False

    def send_release(self, call_id: str, cause: int, on_sent: Callable[[], None] | None = None) -> None:
        """Write a release to the current connection, or store it for the next."""
        if self.current is not None and self.current.is_open:
            self.current.send_release(call_id, cause, on_sent)
        elif on_sent is None and call_id in self.pending_releases:
            pass  # keep the stored release: something may wait for it to be sent
        elif len(self.pending_releases) < MAX_PENDING_RELEASES:
            self.pending_releases[call_id] = PendingRelease(cause, on_sent)
        elif on_sent is not None:
            on_sent()

    def report_attempt_end(self, call_id: str) -> None:
        """Report the end of an attempt that the server has abandoned, unless it was reported before."""
        report = self.pending_end_reports.pop(call_id, None)
        if report is not None:
            report()

    def stop_waiting_for_releases(self) -> None:
        """Call the ``on_sent`` callbacks of pending releases: no connection comes up for now to send them."""
        waited_for = [(call_id, each) for call_id, each in self.pending_releases.items() if each.on_sent]
        for call_id, pending in waited_for:
            self.pending_releases[call_id] = PendingRelease(pending.cause)
            if pending.on_sent is not None:
                pending.on_sent()

    def take_pending_releases(self) -> list[tuple[str, PendingRelease]]:
        """Remove and return the releases that waited for a connection, with their call ids."""
        pending = list(self.pending_releases.items())
        self.pending_releases.clear()
        return pending

    def release_recently_cancelled(self) -> None:
        """Release cancelled attempts whose answer may arrive after this process has stopped reading."""
        for stream in self.streams:
            since_ms = stream.last_received_ms - CONFIRMATION_WINDOW_MS
            for call_id, cause in stream.cancelled.take_sent_after(since_ms):
                carrier = self.current if self.current is not None and self.current.is_open else stream
                carrier.send_release(call_id, cause)

    def mark_settled(self, call_id: str) -> None:
        """Record that the server has released this call or confirmed its release, so sends no more for it."""
        for stream in self.streams:
            stream.cancelled.pop(call_id, None)

    def unsettled_calls(self) -> dict[str, int]:
        """Return the release causes, by call, of cancelled or released calls that the server may still hold.

        Either nothing was read on the connection since, or the release has not been sent yet.
        """
        unsettled = {call_id: pending.cause for call_id, pending in self.pending_releases.items()}
        for stream in self.streams:
            for call_id in stream.cancelled.sent_after(stream.last_received_ms):
                unsettled[call_id] = stream.cancelled[call_id].cause
        return unsettled

    def release_cancelled_after_disconnect(self, stream: ConnectionT) -> None:
        """Release calls that were cancelled on an ended connection after data was last read there."""
        for call_id, cause in stream.cancelled.take_sent_after(stream.last_received_ms):
            if self.current is not None and self.current.is_open:
                self.current.release_unsettled(call_id, cause)
            else:
                self.send_release(call_id, cause)

    def resend_unconfirmed(self, stream: ConnectionT) -> None:
        """Send again releases that the server may not have read on a connection that is no longer current."""
        since_ms = stream.last_received_ms - CONFIRMATION_WINDOW_MS
        for call_id, cause in stream.unconfirmed.take_sent_after(since_ms):
            self.send_release(call_id, cause)

    def has_attempt(self, call_id: str) -> bool:
        """Whether a call is established at this server, or a set-up of it is unanswered or waiting."""
        streams = [*self.streams, self.current] if self.current is not None else self.streams
        return any(call_id in each for s in streams for each in (s.open_set_ups, s.waiting, s.established))

    def remove_established(self, call_id: str) -> None:
        """Record that a call is no longer established at this server."""
        for stream in self.streams:
            stream.established.discard(call_id)
