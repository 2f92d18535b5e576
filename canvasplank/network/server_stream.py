"""A connection to a call server.

Times are in milliseconds, on the scheduler's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from canvasplank.codecs import sip
from canvasplank.codecs.errors import BadMessageError
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.codecs.sip_recovery import MessageFinder
from canvasplank.network.connection_attempt import ConnectionAttempt
from canvasplank.network.ended_connection import EndedStream, duplicate, reset_if_delivered
from canvasplank.network.peer import SILENCE_TIMEOUT_MS, Peer, WaitingSetUp
from canvasplank.network.release_retransmission import UnconfirmedReleases
from canvasplank.network.server_stream_owner import ServerStreamOwner
from canvasplank.network.stream import Stream

MAX_SILENCE_TIMEOUT_MS = 20_000.0  # the timeout doubles up to this for servers that report less often
IGNORED_INITIAL_REPORTS = 2  # of a connection: the interval between them says nothing about later ones


def _discard_response(data: bytes) -> None:
    """Discard a response, since the connection has ended."""


class ServerStream(Stream[sip.Message]):
    """A connection to a call server, with the set-ups and calls that it carries."""

    def __init__(self, owner: ServerStreamOwner[ServerStream], peer: Peer[ServerStream]) -> None:
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
        self.may_be_replaced = False  # the peer's, when this connection was established
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
        self.may_be_replaced = self.peer.may_be_replaced
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
    def ended_by_server(self) -> bool:
        """Whether the server ended the connection first, as a process that ends does."""
        return not (self.writing_closed or self._keeps_reading or self.unreadable)

    @property
    def ended_unreadably(self) -> bool:
        """Whether it ended within a message or because of a bad one, so that an answer may be lost."""
        return self.unreadable or self.parser.in_message
