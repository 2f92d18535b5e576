"""One connection to a call server, and the record of the server itself.

Times are in milliseconds, on the scheduler's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple, Protocol

from canvasplank import interface as api
from canvasplank.codecs import sip
from canvasplank.codecs.errors import BadMessageError
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.codecs.sip_recovery import MessageFinder
from canvasplank.exchange.call_records import CallRecord
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.connection_attempt import ConnectionAttempt
from canvasplank.network.ended_connection import EndedStream, duplicate, reset_if_delivered
from canvasplank.network.reconnect_backoff import ReconnectBackoff
from canvasplank.network.release_retransmission import (
    CONFIRMATION_WINDOW_MS,
    PendingRelease,
    UnconfirmedReleases,
)
from canvasplank.network.stream import BufferBudget, Stream

SILENCE_TIMEOUT_MS = 2500.0  # a server that reports its circuits and is silent for so long may be cut off
MAX_SILENCE_TIMEOUT_MS = 20_000.0  # the timeout of one that reports less often: it doubles up to this
UNTIMED_REPORTS = 2  # the first ones on a connection: the interval between them is no measure of the others
MAX_PENDING_RELEASES = 10_000  # for a server that cannot be reached


class WaitingSetUp(NamedTuple):
    """A set-up that waits for a connection to come up."""

    call: CallRecord
    attempt: int
    until_ms: float  # the deadline of its attempt


class ServerStreamOwner(Protocol):
    """What holds the connections and acts on their events: see ``ServerConnections``."""

    exchange: Exchange
    budget: BufferBudget
    disconnecting: bool  # the program is shutting down: messages are not acted on any more
    on_message: Callable[[ServerStream, sip.Message], None]  # raises ``BadMessageError``

    def on_connected(self, stream: ServerStream) -> None:
        """It is established."""

    def on_disconnected(self, stream: ServerStream) -> None:
        """It has ended."""

    def read_on(self, ended: EndedStream) -> None:
        """It was ended by us, and may carry more."""

    def on_message_after_end(
        self, stream: ServerStream, message: sip.Message, write: Callable[[bytes], None]
    ) -> None:
        """A release or a positive answer was found behind its end; ``write`` responds if that is possible."""


@dataclass(slots=True)
class Peer:
    """One server: its entry in the endpoint list, and the connections to it."""

    server_id: str
    address: str
    state: api.ServerState
    started_ms: float | None  # when its process started, where that is known
    backoff: ReconnectBackoff
    current: ServerStream | None = None  # where the next message goes; it may still be connecting
    last_received_ms: float = 0.0  # when anything was last read from it, or a connection came up
    reports_circuits: bool = False  # whether it has ever reported its circuits
    silence_timeout_ms: float = SILENCE_TIMEOUT_MS
    streams: list[ServerStream] = field(default_factory=list)  # all that are established
    pending_releases: dict[str, PendingRelease] = field(default_factory=dict)  # for the next connection
    # What reports the end of an attempt, by call, once the server is known to have given its set-up up.
    ending: dict[str, Callable[[], None]] = field(default_factory=dict)
    connect_after_ms: float = 0.0  # its first connection is made no sooner, unless a set-up needs it

    def send_release(self, call_id: str, cause: int, on_sent: Callable[[], None] | None = None) -> None:
        """Write a release to the current connection, or store it for the next."""
        if self.current is not None and self.current.is_open:
            self.current.send_release(call_id, cause, on_sent)
        elif on_sent is None and call_id in self.pending_releases:
            pass  # one is enough, and something may wait for it
        elif len(self.pending_releases) < MAX_PENDING_RELEASES:
            self.pending_releases[call_id] = PendingRelease(cause, on_sent)
        elif on_sent is not None:
            on_sent()

    def end_attempt(self, call_id: str) -> None:
        """The server has given the set-up of this call up: report it, unless that was done."""
        report_end = self.ending.pop(call_id, None)
        if report_end is not None:
            report_end()

    def stop_waiting_for_releases(self) -> None:
        """No connection comes up for now: nothing waits for the pending releases any more."""
        waited_for = [(call_id, each) for call_id, each in self.pending_releases.items() if each.on_sent]
        for call_id, pending in waited_for:
            self.pending_releases[call_id] = PendingRelease(pending.cause)
            if pending.on_sent is not None:
                pending.on_sent()

    def take_pending_releases(self) -> list[tuple[str, PendingRelease]]:
        """Remove the releases that waited for a connection, and return them by call."""
        pending = list(self.pending_releases.items())
        self.pending_releases.clear()
        return pending

    def release_cancelled(self) -> None:
        """Release the attempts whose answer may cross their cancellation, with nobody to read it any more."""
        for stream in self.streams:
            since_ms = stream.last_received_ms - CONFIRMATION_WINDOW_MS
            for call_id, cause in stream.cancelled.take_sent_after(since_ms):
                carrier = self.current if self.current is not None and self.current.is_open else stream
                carrier.send_release(call_id, cause)

    def settle(self, call_id: str) -> None:
        """The server has released this call, or confirmed its release: it has nothing more to send of it."""
        for stream in self.streams:
            stream.cancelled.pop(call_id, None)

    def unsettled_calls(self) -> dict[str, int]:
        """Calls that may be established there although they were cancelled or released by this process.

        Nothing was read on the connection since, or none has carried the release yet; by call, its cause.
        """
        unsettled = {call_id: pending.cause for call_id, pending in self.pending_releases.items()}
        for stream in self.streams:
            for call_id in stream.cancelled.sent_after(stream.last_received_ms):
                unsettled[call_id] = stream.cancelled[call_id].cause
        return unsettled

    def release_lost(self, stream: ServerStream) -> None:
        """Release what was cancelled on a connection that has ended, if nothing was read there since."""
        for call_id, cause in stream.cancelled.take_sent_after(stream.last_received_ms):
            if self.current is not None and self.current.is_open:
                self.current.release_unsettled(call_id, cause)
            else:
                self.send_release(call_id, cause)

    def resend_unconfirmed(self, stream: ServerStream) -> None:
        """Send again what may never have been read on a connection that is no longer the current one."""
        since_ms = stream.last_received_ms - CONFIRMATION_WINDOW_MS
        for call_id, cause in stream.unconfirmed.take_sent_after(since_ms):
            self.send_release(call_id, cause)

    def has_attempt(self, call_id: str) -> bool:
        """Whether a call is established there, or a set-up of it is on its way or waits for a connection."""
        streams = [*self.streams, self.current] if self.current is not None else self.streams
        return any(call_id in each for s in streams for each in (s.open_set_ups, s.waiting, s.established))

    def remove_established(self, call_id: str) -> None:
        """A call is established there no more."""
        for stream in self.streams:
            stream.established.discard(call_id)


def _write_nowhere(data: bytes) -> None:
    """Respond on a connection that has ended."""


class ServerStream(Stream[sip.Message]):
    """One connection to a server, with the set-ups and calls that it carries."""

    def __init__(self, owner: ServerStreamOwner, peer: Peer) -> None:
        label = f"server {peer.server_id} {peer.address}"
        self._sip_parser = sip.Parser()
        super().__init__(owner.exchange.scheduler, label, self._sip_parser, owner.budget)
        self._owner = owner
        self.peer = peer
        self.open_set_ups: dict[str, int] = {}  # attempt numbers of the set-ups sent here and unanswered
        self.waiting: dict[str, WaitingSetUp] = {}  # until it is up
        self.unconfirmed = UnconfirmedReleases()
        # Attempts cancelled here that have not ended, each with the release that is due if it was answered,
        # and calls released here that may be established although an earlier connection has ended.
        self.cancelled = UnconfirmedReleases()
        self.established: set[str] = set()  # calls set up here: the server releases them here
        self.connecting: ConnectionAttempt | None = None
        self.renews_current = False  # whether it takes the current one's place once it is up
        self.connected_ms = self.scheduler.now_ms
        self._reported_ms = -1.0  # when the circuits were last reported here
        self._report_count = 0
        self._used_since_replaced = False  # whether anything was read since another became the current one
        self._unanswered_since_ms: float | None = None  # the first set-up sent since anything was last read
        self._bad_body = b""  # of a message that stopped short: what came after it is in there
        self._is_read_on = False  # whether it is read on after its end: see ``ended_connection``
        self._awaits_servers_end = False  # while it is read on
        self._when_given_up: list[Callable[[], None]] = []  # see ``call_when_given_up``
        self._finder = MessageFinder()  # for what follows a bad message, where it is not
        self.set_ups_at_end: frozenset[str] = frozenset()  # calls whose set-ups were open then

    def connect(self, timeout_ms: float, on_failed: Callable[[str], None]) -> None:
        """Start to connect to the peer's address; ``on_failed`` is given the reason."""
        self.connecting = ConnectionAttempt(self, self.peer.address, timeout_ms, on_failed)

    def cancel_connecting(self) -> None:
        """End the attempt to connect, which has failed or is given up."""
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None

    def on_connected(self) -> None:
        """See ``Stream``."""
        self.connected_ms = self.scheduler.read_clock()  # not before a process that was met later started
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
        for message in self._finder.feed(data):
            if message.method == "BYE" and not self._owner.disconnecting:
                self._owner.on_message_after_end(self, message, _write_nowhere)

    def on_disconnected(self, error: Exception | None) -> None:
        """See ``Stream``."""
        if not self._is_read_on:  # its server has ended it, perhaps within a message
            self.on_unread(self._sip_parser.unread)
        self._owner.on_disconnected(self)

    def abort_unreadable(self, reason: str) -> None:
        """See ``Stream``."""
        abort = partial(super().abort_unreadable, reason)
        self._abort_and_read_on(abort, defer_half_close=self.is_open and not self.unsent)

    def abort_unsent(self) -> None:
        """See ``Stream``."""
        self._abort_and_read_on(super().abort_unsent)

    def abort_unread_set_ups(self) -> None:
        """End it at once, since its server has not read the set-ups that were sent to it."""
        self._abort_and_read_on(self.abort)

    def _abort_and_read_on(self, abort: Callable[[], None], *, defer_half_close: bool = False) -> None:
        unread = self._bad_body + self._sip_parser.unread
        ended = self._prepare_to_read_on(unread, defer_half_close=defer_half_close)
        abort()
        if ended is not None:
            self._owner.read_on(ended)
        elif self.unreadable:  # or what is unread is searched once it is disconnected
            self.on_unread(unread)

    def abort_lingering(self) -> None:
        """See ``Stream``."""
        if self.transport is not None and not self.transport.is_closing():
            reset_if_delivered(self.transport.get_extra_info("socket"))
        super().abort_lingering()

    def _prepare_to_read_on(self, unread: bytes, *, defer_half_close: bool) -> EndedStream | None:
        """What is needed to read on after an end of ours that is about to come; None: it has ended already.

        ``defer_half_close``: it is not closed for writing at once, so that its server writes on what it has
        queued.
        """
        if self.transport is None or self.transport.is_closing() or self._owner.disconnecting:
            return None
        connection = duplicate(self.transport.get_extra_info("socket"))
        if connection is None:
            return None
        self._is_read_on = self._awaits_servers_end = True
        self.set_ups_at_end = frozenset(self.open_set_ups)
        if defer_half_close:
            for call_id, attempt in self.open_set_ups.items():
                self.write(sip.request("CANCEL", "call", call_id, attempt + 1))
        return EndedStream(
            connection,
            unread,
            defer_half_close,
            lambda message, write: self._owner.on_message_after_end(self, message, write),
            self._on_given_up,
        )

    def call_when_given_up(self, action: Callable[[], None]) -> None:
        """Call it once its server has ended it, too, and so given up the set-ups that were open on it.

        It may read a cancellation late where it has sent what cannot be read, and need not answer it.  Called
        at once where the server ended the connection itself, and after a bounded time where it never does.
        """
        if self._awaits_servers_end:
            self._when_given_up.append(action)
        else:
            action()

    def _on_given_up(self) -> None:
        self._awaits_servers_end = False
        actions, self._when_given_up = self._when_given_up, []
        for action in actions:
            action()

    def _shut_down_socket(self) -> None:
        if not self._is_read_on:
            super()._shut_down_socket()

    def send_set_up(self, waiting: WaitingSetUp) -> None:
        """Write an INVITE."""
        call, attempt = waiting.call, waiting.attempt
        for each in self.peer.streams:
            # Or the release of an earlier attempt here, sent once more, would end the call.
            each.unconfirmed.pop(call.id, None)
            each.cancelled.pop(call.id, None)
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = self.scheduler.now_ms
        self.open_set_ups[call.id] = attempt
        # What remains at this point, and not when the set-up was queued or the iteration began.
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
        """Write the release of a call that counts as unsettled until something is read here."""
        self.cancelled.add(call_id, cause, self.scheduler.read_clock())
        self.send_release(call_id, cause, on_sent)

    def take_waiting(self) -> list[tuple[str, WaitingSetUp]]:
        """Remove the set-ups that wait for it to come up, and return them by call."""
        waiting = list(self.waiting.items())
        self.waiting.clear()
        return waiting

    def take_open_set_ups(self) -> list[tuple[str, int]]:
        """Remove the set-ups sent here and unanswered, and return their calls and attempt numbers."""
        open_set_ups = list(self.open_set_ups.items())
        self.open_set_ups.clear()
        return open_set_ups

    def on_circuits_reported(self) -> None:
        """The circuits were reported here; where that is frequent, silence is detected soon.

        The first report comes with the connection and the second at any time after it: the interval between
        them is no measure of the others.
        """
        self.peer.reports_circuits = True
        self._report_count += 1
        frequent = self.scheduler.now_ms - self._reported_ms < SILENCE_TIMEOUT_MS
        if self._report_count > UNTIMED_REPORTS and frequent:
            self.peer.silence_timeout_ms = SILENCE_TIMEOUT_MS
        self._reported_ms = self.scheduler.now_ms

    def on_replaced(self) -> None:
        """It is the peer's current connection no more, and stays open for what may yet come on it."""
        self.peer.current = None
        self._used_since_replaced = False

    def is_message_overdue(self, timeout_ms: float) -> bool:
        """Whether the rest of a message has not come in time: all that follows would be taken for it."""
        late = self.scheduler.now_ms - self.message_started_ms > timeout_ms
        is_read = self.transport is not None and not self.transport.is_closing()
        return is_read and late and self.parser.in_message

    def is_hung(self, timeout_ms: float) -> bool:
        """Whether nothing was read for so long since a set-up was sent on it."""
        since_ms = self._unanswered_since_ms
        return since_ms is not None and self.scheduler.now_ms - since_ms > timeout_ms

    @property
    def is_silent(self) -> bool:
        """Whether nothing was read for the peer's silence timeout where something was due.

        A server goes on reporting its circuits, and answers set-ups; one that does neither has nothing to
        send, and would be connected to over and over.
        """
        is_due = self.is_open and (self.peer.reports_circuits or bool(self.open_set_ups))
        return is_due and self.scheduler.now_ms - self.last_received_ms > self.peer.silence_timeout_ms

    def is_superseded(self, idle_ms: float) -> bool:
        """Whether it has been replaced and nothing more is to come on it.

        The release of an established call may be on its way while we end the connection, and the server would
        not send it again on the successor that is up already.
        """
        in_use = self._used_since_replaced and self.scheduler.now_ms - self.last_used_ms < idle_ms
        return not self.open_set_ups and not (self.established and in_use)

    @property
    def ended_unreadably(self) -> bool:
        """Whether it ended within a message or by a bad one: an answer may have been lost with it."""
        return self.unreadable or self.parser.in_message
