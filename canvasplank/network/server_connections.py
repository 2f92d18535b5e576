"""Connections to call servers: establishes one to each listed server, checks, replaces and ends them."""

from __future__ import annotations

import logging
from collections.abc import Callable

from canvasplank import interface as api
from canvasplank.codecs import sip
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.config.platform_settings import ConnectionLimits
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.ended_connection import EndedConnections, EndedStream
from canvasplank.network.peer import Peer
from canvasplank.network.server_stream import MAX_SILENCE_TIMEOUT_MS, ServerStream
from canvasplank.network.stream import BufferBudget

LOG = logging.getLogger(__name__)
# A server without a connection counts as unreachable this long after its last data or connection.  This is
# shorter than the 8 s within which a call is released once its caller has ended it.
UNREACHABLE_MS = 7000.0
DEFAULT_RESEND_MS = 500.0  # until a caller sends a set-up again, unless the settings give it
MESSAGE_TIMEOUT_FRACTION = 0.25  # of the resend time: an incomplete message counts as lost after it
CHECK_INTERVAL_FRACTION = 0.2  # of the resend time: interval between checks of the connections


class ServerConnections:
    """Maintains a current connection to each listed server, even if no calls are sent there.

    On this connection, servers also send releases of established calls and reports of their circuits.
    """

    def __init__(
        self,
        exchange: Exchange,
        limits: ConnectionLimits,
        resend_ms: float | None,
        budget: BufferBudget,
        on_message: Callable[[ServerStream, sip.Message], None],
        on_message_after_end: Callable[[ServerStream, sip.Message, Callable[[bytes], None]], None],
    ) -> None:
        """``on_message`` handles each message that is read, and may raise ``BadMessageError``.

        ``on_message_after_end`` handles messages found after an end: see ``ServerStreamOwner``.
        """
        self.exchange = exchange
        self.budget = budget
        self.on_message = on_message
        self.on_message_after_end = on_message_after_end
        self.disconnecting = False
        # By server id: listed servers, and gone ones that still send.
        self.peers: dict[str, Peer[ServerStream]] = {}
        self._scheduler = exchange.scheduler
        self._limits = limits
        self._resend_ms = resend_ms or DEFAULT_RESEND_MS
        self._ended = EndedConnections(exchange.scheduler)
        self._schedule_check()

    def limit(self, sockets: int) -> None:
        """Apply a new limit on the program's sockets."""
        self._ended.limit(sockets)

    def keep_reading(self, ended: EndedStream) -> None:
        """See ``ServerStreamOwner``."""
        self._ended.add(ended)

    def disconnect(self) -> None:
        """Shut down: ignore further messages, so that no release is confirmed that cannot be passed on.

        Connections are closed for writing and still read, so that a reset does not lose the last messages.
        Recently cancelled attempts are released too.  Their answers may be in transit, and the server would
        release such a call to the next process, although its caller has had a final answer.
        """
        self.disconnecting = True
        self._ended.close()
        for peer in self.peers.values():
            peer.release_recently_cancelled()
        for stream in [s for peer in self.peers.values() for s in peer.streams]:
            stream.close_writing()

    def is_listed(self, peer: Peer[ServerStream]) -> bool:
        """Whether this is the current entry of its server, and the server is not gone."""
        return self.peers.get(peer.server_id) is peer and peer.state is not api.ServerState.GONE

    def connect(self, peer: Peer[ServerStream], *, requested: bool = False) -> None:
        """Start a current connection if there is none; not before ``connect_after_ms``, unless requested.

        The delay keeps hundreds of proxies that start together from connecting to a server at once.
        """
        if self.disconnecting or (self._scheduler.now_ms < peer.connect_after_ms and not requested):
            return
        current = peer.current
        if current is not None and (current.is_open or current.connecting is not None):
            return
        stream = peer.current = ServerStream(self, peer)
        stream.connect(
            self._limits.connect_timeout_ms, lambda reason: self._on_connection_failed(stream, reason)
        )

    def renew(self, peer: Peer[ServerStream]) -> None:
        """Open another connection, which replaces the current one once it is established.

        A server sends releases that no process has confirmed again on the next connection that is opened.
        """
        if self.disconnecting or peer.current is None or not peer.current.is_open:
            return  # another connection is opened anyway
        stream = ServerStream(self, peer)
        stream.renews_current = True
        stream.connect(self._limits.connect_timeout_ms, lambda _reason: stream.cancel_connecting())

    def fail_connecting(self, peer: Peer[ServerStream], reason: str) -> None:
        """Cancel the current connection attempt, if there is one, and report ``reason`` for its failure."""
        if peer.current is not None and peer.current.connecting is not None:
            self._on_connection_failed(peer.current, reason)

    def replace_current(self, peer: Peer[ServerStream], reason: str) -> None:
        """Use another connection for new set-ups; open set-ups stay on the old one."""
        current, peer.current = peer.current, None
        if current is not None and current.connecting is not None:
            self._on_connection_failed(current, reason)

    def abort(self, streams: list[ServerStream]) -> None:
        """End connections to a process that has ended, since half-open ones would never end by themselves."""
        for stream in streams:
            stream.abort()
            self.on_disconnected(stream)

    def withdraw_set_ups(self, peer: Peer[ServerStream]) -> None:
        """Withdraw set-ups that wait for a connection or are unsent: no new one may arrive (rule 3)."""
        streams = list(peer.streams)
        if peer.current is not None and peer.current not in streams:
            streams.append(peer.current)
        for stream in streams:
            for call_id, waiting in list(stream.waiting.items()):
                del stream.waiting[call_id]
                self._end_attempt(peer, call_id, waiting.attempt, api.Outcome.NO_CONNECTION)
            if stream.open_set_ups and stream.unsent:
                stream.abort_unread_set_ups()

    def on_connected(self, stream: ServerStream) -> None:
        """See ``ServerStreamOwner``."""
        peer = stream.peer
        if stream.renews_current and not self.is_listed(peer):
            stream.close_writing()  # the server is no longer listed
            return
        peer.backoff.on_success()
        peer.streams.append(stream)
        if stream.renews_current and (peer.current is None or peer.current.is_open):
            peer.current = stream
        self.exchange.counters.add("sockets.servers")
        # Releases first: sent later, a release of an earlier attempt would end the call's next attempt.
        for call_id, pending in peer.take_pending_releases():
            stream.release_unsettled(call_id, pending.cause, pending.on_sent)
        for waiting in stream.waiting.values():
            stream.send_set_up(waiting)
        stream.waiting.clear()
        self._close_superseded(peer)

    def on_disconnected(self, stream: ServerStream) -> None:
        """See ``ServerStreamOwner``; open set-ups on the connection end with RESET."""
        peer = stream.peer
        if stream not in peer.streams:
            return
        peer.streams.remove(stream)
        peer.may_be_replaced |= stream.ended_by_server
        if peer.current is stream:
            peer.current = None
        peer.release_cancelled_after_disconnect(stream)
        peer.resend_unconfirmed(stream)
        for call_id, attempt in stream.take_open_set_ups():
            self._on_set_up_reset(stream, call_id, attempt)
        self._reconnect_later(peer)

    def _on_set_up_reset(self, stream: ServerStream, call_id: str, attempt: int) -> None:
        """Report the reset of a set-up; if an unreadable answer may have established it, release it first.

        In that case the attempt ends only once the release has been sent, or no connection is up for it, and
        the server has ended the connection too.  Otherwise the call could be established twice, or be sent
        again while the server still holds the attempt.
        """
        peer = stream.peer

        def report_reset() -> None:
            self._end_attempt(peer, call_id, attempt, api.Outcome.RESET)

        def report_when_abandoned() -> None:
            stream.call_when_set_ups_abandoned(lambda: peer.report_attempt_end(call_id))

        if not stream.ended_unreadably:
            report_reset()
            return
        peer.pending_end_reports.setdefault(call_id, report_reset)  # kept if a cancellation has set one
        if self.is_listed(peer):
            peer.send_release(call_id, ReleaseCause.NORMAL_UNSPECIFIED, report_when_abandoned)
        else:
            peer.send_release(call_id, ReleaseCause.NORMAL_UNSPECIFIED)
            report_when_abandoned()

    def _on_connection_failed(self, stream: ServerStream, reason: str) -> None:
        """Report NO_CONNECTION for the set-ups that waited for a connection that was not established."""
        peer = stream.peer
        stream.cancel_connecting()
        peer.may_be_replaced = True
        if peer.current is stream:
            peer.current = None
        if peer.backoff.failures == 0:
            LOG.info("%s: no connection: %s", stream.label, reason)
        self.exchange.counters.add("sockets.servers_failed")
        for call_id, waiting in stream.take_waiting():
            self._end_attempt(peer, call_id, waiting.attempt, api.Outcome.NO_CONNECTION)
        peer.stop_waiting_for_releases()
        self._reconnect_later(peer)

    def _end_attempt(
        self, peer: Peer[ServerStream], call_id: str, attempt: int, outcome: api.Outcome
    ) -> None:
        self.exchange.on_attempt_ended(peer.server_id, call_id, attempt, outcome)

    def _reconnect_later(self, peer: Peer[ServerStream]) -> None:
        """Connect again after the backoff's delay, if the server is still listed then."""
        if peer.current is None:
            peer.backoff.schedule(lambda: self._connect_if_listed(peer))

    def _connect_if_listed(self, peer: Peer[ServerStream]) -> None:
        if self.is_listed(peer):
            self.connect(peer)

    def _schedule_check(self) -> None:
        self._scheduler.call_later(CHECK_INTERVAL_FRACTION * self._resend_ms, self._check_connections)

    def _check_connections(self) -> None:
        """Check periodically for half-open connections, on which calls are lost, and unreachable servers."""
        for peer in list(self.peers.values()):
            self._check_messages(peer)
            self._check_current(peer)
            self._connect_if_listed(peer)
            is_up = peer.current is not None and peer.current.is_open
            if not is_up and self._scheduler.now_ms - peer.last_received_ms > UNREACHABLE_MS:
                # Calls on a cut link end within seconds, and the server can report that only once the link is
                # back.  A call that is still established there is released once a connection is up.
                self.exchange.process_ended(peer.server_id, float("inf"), notify_server=True)
            self._close_superseded(peer)
        self._schedule_check()

    def _check_messages(self, peer: Peer[ServerStream]) -> None:
        timeout_ms = MESSAGE_TIMEOUT_FRACTION * self._resend_ms
        for stream in [s for s in peer.streams if s.is_message_overdue(timeout_ms)]:
            stream.abort_unreadable(f"a message was not completed within {timeout_ms:.0f} ms")

    def _check_current(self, peer: Peer[ServerStream]) -> None:
        """Replace the current connection if it is silent or hung, but leave it open for late messages.

        A hung connection does not mean a hung server: further set-ups on it would fail, and exclude a healthy
        server for seconds.
        """
        current = peer.current
        if current is None:
            return
        silent = current.is_silent
        if silent and not current.open_set_ups:
            # Without this, a server that reports less often would get a new connection every time.
            peer.silence_timeout_ms = min(MAX_SILENCE_TIMEOUT_MS, 2 * peer.silence_timeout_ms)
        peer.may_be_replaced |= silent
        if silent or (current.is_open and current.is_hung(self._resend_ms)):
            self.exchange.counters.add("sockets.servers_quiet")
            current.on_replaced()
            peer.resend_unconfirmed(current)

    def _close_superseded(self, peer: Peer[ServerStream]) -> None:
        """Close replaced connections on which no more messages are expected."""
        if peer.current is None or not peer.current.is_open:
            return
        for stream in peer.streams:
            if stream is not peer.current and stream.is_superseded(self._limits.conn_idle_ms):
                stream.close_writing()
