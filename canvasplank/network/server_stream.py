"""A connection to a call server (``ServerStream``) and the state kept for each server (``Peer``).

Times are in milliseconds, on the scheduler's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from canvasplank import interface as api
from canvasplank.codecs import sip
from canvasplank.codecs.errors import BadMessageError
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.codecs.sip_recovery import MessageFinder
from canvasplank.exchange.call_records import CallRecord
from canvasplank.network.connection_attempt import ConnectionAttempt
from canvasplank.network.ended_connection import EndedStream, duplicate, reset_if_delivered
from canvasplank.network.reconnect_backoff import ReconnectBackoff
from canvasplank.network.release_retransmission import (
    CONFIRMATION_WINDOW_MS,
    PendingRelease,
    UnconfirmedReleases,
)
from canvasplank.network.server_stream_owner import ServerStreamOwner
from canvasplank.network.stream import Stream

SILENCE_TIMEOUT_MS = 2500.0  # a server that reports its circuits may be cut off after so long a silence
MAX_SILENCE_TIMEOUT_MS = 20_000.0  # the timeout doubles up to this for servers that report less often
IGNORED_INITIAL_REPORTS = 2  # of a connection: the interval between them says nothing about later ones
MAX_PENDING_RELEASES = 10_000  # for a server that cannot be reached


class WaitingSetUp(NamedTuple):
    """A set-up that waits for a connection to be established."""

    call: CallRecord
    attempt: int
    until_ms: float  # the deadline of the attempt


@dataclass(slots=True)
class Peer:
    """A call server: its entry in the endpoint list, its connections and the releases due to it."""

    server_id: str
    address: str
    state: api.ServerState
    started_ms: float | None  # when the server process started; None: unknown
    backoff: ReconnectBackoff
    current: ServerStream | None = None  # carries the next message; it may still be connecting
    last_received_ms: float = 0.0  # when data was last read or a connection was last established
    reports_circuits: bool = False  # whether the server has ever reported its circuits
    silence_timeout_ms: float = SILENCE_TIMEOUT_MS
    streams: list[ServerStream] = field(default_factory=list)  # all established connections
    pending_releases: dict[str, PendingRelease] = field(default_factory=dict)  # for the next connection
    # By call: callbacks that report the end of an attempt once the server has abandoned its set-up.
    pending_end_reports: dict[str, Callable[[], None]] = field(default_factory=dict)
    connect_after_ms: float = 0.0  # no connection is made before this time, unless a set-up needs one

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

    def release_cancelled_after_disconnect(self, stream: ServerStream) -> None:
        """Release calls that were cancelled on an ended connection after data was last read there."""
        for call_id, cause in stream.cancelled.take_sent_after(stream.last_received_ms):
            if self.current is not None and self.current.is_open:
                self.current.release_unsettled(call_id, cause)
            else:
                self.send_release(call_id, cause)

    def resend_unconfirmed(self, stream: ServerStream) -> None:
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


def _discard_response(data: bytes) -> None:
    """Discard a response, since the connection has ended."""


class ServerStream(Stream[sip.Message]):
    """A connection to a call server, with the set-ups and calls that it carries."""

    def __init__(self, owner: ServerStreamOwner[ServerStream], peer: Peer) -> None:
        label = f"server {peer.server_id} {peer.address}"
        self._sip_parser = sip.Parser()
        super().__init__(owner.exchange.scheduler, label, self._sip_parser, owner.budget)
        self._owner = owner
        self.peer = peer
        self.open_set_ups: dict[str, int] = {}  # by call: attempt numbers of unanswered set-ups
        self.waiting: dict[str, WaitingSetUp] = {}  # set-ups to send once connected, by call
        self.unconfirmed = UnconfirmedReleases()
        # Attempts cancelled here that have not ended, with the cause of the release that is due if the server
        # answered them, and calls released here that an earlier connection may have left established.
        self.cancelled = UnconfirmedReleases()
        self.established: set[str] = set()  # calls set up here: the server sends their releases here
        self.connecting: ConnectionAttempt | None = None
        self.renews_current = False  # whether it replaces the peer's current connection once established
        self.connected_ms = self.scheduler.now_ms
        self._reported_ms = -1.0  # when the circuits were last reported on this connection
        self._report_count = 0
        self._used_since_replaced = False  # whether data was read since another connection became current
        self._unanswered_since_ms: float | None = None  # when the first set-up after the last read was sent
        self._bad_body = b""  # body of an incomplete message, which contains the messages that followed
        self._keeps_reading = False  # whether it is read after we ended it: see ``ended_connection``
        self._awaits_servers_end = False  # whether we ended it and the server has not
        self._when_set_ups_abandoned: list[Callable[[], None]] = []
        self._message_finder = MessageFinder()  # finds releases in data left unread
        self.set_ups_at_end: frozenset[str] = frozenset()  # calls whose set-ups were open when we ended it

    def connect(self, timeout_ms: float, on_failed: Callable[[str], None]) -> None:
        """Start to connect to the peer's address; ``on_failed`` receives the reason of a failure."""
        self.connecting = ConnectionAttempt(self, self.peer.address, timeout_ms, on_failed)

    def cancel_connecting(self) -> None:
        """Cancel the connection attempt, if there is one."""
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None

    def on_connected(self) -> None:
        """See ``Stream``."""
        self.connected_ms = self.scheduler.read_clock()  # compared with process starts: must not lag
        self.peer.last_received_ms = self.scheduler.now_ms
        self.connecting = None
        self._owner.on_connected(self)

    def on_received(self, data: memoryview) -> None:
        """See ``Stream``."""
        self.peer.last_received_ms = self.scheduler.now_ms
        self._unanswered_since_ms = None
        self._used_since_replaced = True
        for message in self.messages(data):
            if not self._owner.disconnecting:
                self._act_on(message)

    def _act_on(self, message: sip.Message) -> None:
        try:
            self._owner.on_message(self, message)
        except BadMessageError:
            self._bad_body = message.body
            raise

    def on_unread(self, data: memoryview | bytes) -> None:
        """See ``Stream``."""
        for message in self._message_finder.feed(data):
            if message.method == "BYE" and not self._owner.disconnecting:
                self._owner.on_message_after_end(self, message, _discard_response)

    def on_disconnected(self, error: Exception | None) -> None:
        """See ``Stream``."""
        if not self._keeps_reading:  # the server has ended it, perhaps within a message
            self.on_unread(self._sip_parser.unread)
        self._owner.on_disconnected(self)

    def abort_unreadable(self, reason: str) -> None:
        """See ``Stream``."""
        abort = partial(super().abort_unreadable, reason)
        self._abort_and_keep_reading(abort, defer_half_close=self.is_open and not self.unsent)

    def abort_unsent(self) -> None:
        """See ``Stream``."""
        self._abort_and_keep_reading(super().abort_unsent)

    def abort_unread_set_ups(self) -> None:
        """End the connection at once, with set-ups on it that the server has not read."""
        self._abort_and_keep_reading(self.abort)

    def _abort_and_keep_reading(self, abort: Callable[[], None], *, defer_half_close: bool = False) -> None:
        unread = self._bad_body + self._sip_parser.unread
        ended = self._prepare_to_keep_reading(unread, defer_half_close=defer_half_close)
        abort()
        if ended is not None:
            self._owner.keep_reading(ended)
        elif self.unreadable:  # otherwise ``on_disconnected`` searches the unread data
            self.on_unread(unread)

    def abort_lingering(self) -> None:
        """See ``Stream``."""
        if self.transport is not None and not self.transport.is_closing():
            reset_if_delivered(self.transport.get_extra_info("socket"))
        super().abort_lingering()

    def _prepare_to_keep_reading(self, unread: bytes, *, defer_half_close: bool) -> EndedStream | None:
        """Prepare to read the connection after we end it; None if it has ended or no descriptor is left.

        ``defer_half_close``: the connection stays open for writing at first, so that the server writes what
        it has queued.
        """
        if self.transport is None or self.transport.is_closing() or self._owner.disconnecting:
            return None
        connection = duplicate(self.transport.get_extra_info("socket"))
        if connection is None:
            return None
        self._keeps_reading = self._awaits_servers_end = True
        self.set_ups_at_end = frozenset(self.open_set_ups)
        if defer_half_close:
            for call_id, attempt in self.open_set_ups.items():
                self.write(sip.request("CANCEL", "call", call_id, attempt + 1))
        return EndedStream(
            connection,
            unread,
            defer_half_close,
            lambda message, write: self._owner.on_message_after_end(self, message, write),
            self._on_set_ups_abandoned,
        )

    def call_when_set_ups_abandoned(self, action: Callable[[], None]) -> None:
        """Call ``action`` once the server has ended the connection too, and so abandoned its open set-ups.

        A server that sent unreadable data may read a cancellation late and need not answer it.  ``action`` is
        called at once if the server has ended the connection, and after a bounded time if it never does.
        """
        if self._awaits_servers_end:
            self._when_set_ups_abandoned.append(action)
        else:
            action()

    def _on_set_ups_abandoned(self) -> None:
        self._awaits_servers_end = False
        actions, self._when_set_ups_abandoned = self._when_set_ups_abandoned, []
        for action in actions:
            action()

    def _shut_down_socket(self) -> None:
        if not self._keeps_reading:
            super()._shut_down_socket()

    def send_set_up(self, waiting: WaitingSetUp) -> None:
        """Write an INVITE."""
        call, attempt = waiting.call, waiting.attempt
        for each in self.peer.streams:
            # A release of an earlier attempt, if sent again, would end this one.
            each.unconfirmed.pop(call.id, None)
            each.cancelled.pop(call.id, None)
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = self.scheduler.now_ms
        self.open_set_ups[call.id] = attempt
        # The set-up may have been queued, or the process paused within this iteration: read the clock now.
        remaining_ms = max(1, round(waiting.until_ms - self.scheduler.read_clock()))
        headers = {"X-Tier": call.class_name, "X-Deadline": str(remaining_ms)}
        self.write(sip.request("INVITE", call.number, call.id, attempt + 1, headers, call.description))
        self._owner.exchange.counters.count_for_class("attempts", call.class_name)

    def send_cancel(self, call_id: str, attempt: int, on_sent: Callable[[], None]) -> None:
        """Write a CANCEL; ``on_sent``: see ``call_when_sent``."""
        self.cancelled.add(call_id, ReleaseCause.NORMAL_UNSPECIFIED, self.scheduler.read_clock())
        self.write(sip.request("CANCEL", "call", call_id, attempt + 1))
        self.call_when_sent(on_sent)

    def send_release(self, call_id: str, cause: int, on_sent: Callable[[], None] | None = None) -> None:
        """Write a BYE with its Q.850 cause (RFC 3326); ``on_sent``: see ``call_when_sent``."""
        self._owner.exchange.counters.add("sent.releases_to_servers")
        self.unconfirmed.add(call_id, cause, self.scheduler.read_clock())
        self.write(sip.request("BYE", "call", call_id, 1, {"Reason": f"Q.850;cause={cause}"}))
        if on_sent is not None:
            self.call_when_sent(on_sent)

    def release_unsettled(self, call_id: str, cause: int, on_sent: Callable[[], None] | None = None) -> None:
        """Send a release; the call counts as unsettled until data is read on this connection."""
        self.cancelled.add(call_id, cause, self.scheduler.read_clock())
        self.send_release(call_id, cause, on_sent)

    def take_waiting(self) -> list[tuple[str, WaitingSetUp]]:
        """Remove and return the set-ups that wait for the connection, with their call ids."""
        waiting = list(self.waiting.items())
        self.waiting.clear()
        return waiting

    def take_open_set_ups(self) -> list[tuple[str, int]]:
        """Remove and return the unanswered set-ups: call ids and attempt numbers."""
        open_set_ups = list(self.open_set_ups.items())
        self.open_set_ups.clear()
        return open_set_ups

    def on_circuits_reported(self) -> None:
        """Record a report of circuits; frequent reports reset the silence timeout to its minimum.

        The first report comes with the connection and the second at any time after it, so the interval
        between them says nothing about the reporting interval.
        """
        self.peer.reports_circuits = True
        self._report_count += 1
        frequent = self.scheduler.now_ms - self._reported_ms < SILENCE_TIMEOUT_MS
        if self._report_count > IGNORED_INITIAL_REPORTS and frequent:
            self.peer.silence_timeout_ms = SILENCE_TIMEOUT_MS
        self._reported_ms = self.scheduler.now_ms

    def on_replaced(self) -> None:
        """Stop using this as the peer's current connection; it stays open for messages of its calls."""
        self.peer.current = None
        self._used_since_replaced = False

    def is_message_overdue(self, timeout_ms: float) -> bool:
        """Whether a message has been incomplete for longer than this; it would absorb all that follows."""
        late = self.scheduler.now_ms - self.message_started_ms > timeout_ms
        is_read = self.transport is not None and not self.transport.is_closing()
        return is_read and late and self.parser.in_message

    def is_hung(self, timeout_ms: float) -> bool:
        """Whether nothing was read for longer than this since a set-up was sent."""
        since_ms = self._unanswered_since_ms
        return since_ms is not None and self.scheduler.now_ms - since_ms > timeout_ms

    @property
    def is_silent(self) -> bool:
        """Whether nothing was read for the peer's silence timeout although data was due.

        Data is due from a server that reports its circuits or has a set-up to answer.  Any other server may
        be silent for good, and its connection would be replaced over and over.
        """
        is_due = self.is_open and (self.peer.reports_circuits or bool(self.open_set_ups))
        return is_due and self.scheduler.now_ms - self.last_received_ms > self.peer.silence_timeout_ms

    def is_superseded(self, idle_ms: float) -> bool:
        """Whether a replaced connection can be closed, since no more messages are expected on it.

        Established calls keep a connection that was used since its replacement open until it is idle for
        ``idle_ms``: a release may be in transit, and the server would not send it again on the new
        connection, which is already up.
        """
        in_use = self._used_since_replaced and self.scheduler.now_ms - self.last_used_ms < idle_ms
        return not self.open_set_ups and not (self.established and in_use)

    @property
    def ended_unreadably(self) -> bool:
        """Whether it ended within a message or because of a bad one, so that an answer may be lost."""
        return self.unreadable or self.parser.in_message
