"""The call servers' side: exchanges SIP messages (``codecs.sip``) with the call servers.

``peer_table`` follows the endpoint list, ``server_connections`` maintains the connections, and
``server_stream`` implements a connection.
"""

from __future__ import annotations

import re
from collections.abc import Callable

from canvasplank import interface as api
from canvasplank.codecs import sip
from canvasplank.codecs.errors import BadMessageError
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.config.discovery_events import Endpoint
from canvasplank.config.platform_settings import ConnectionLimits, LoadReportReader
from canvasplank.exchange.call_records import CallRecord
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.peer import WaitingSetUp
from canvasplank.network.peer_table import EndpointFilter, PeerTable
from canvasplank.network.release_retransmission import CONFIRMATION_WINDOW_MS
from canvasplank.network.server_connections import ServerConnections
from canvasplank.network.server_messages import parse_gauges, parse_refusal
from canvasplank.network.server_stream import ServerStream
from canvasplank.network.stream import BufferBudget

OK, MULTIPLE_CHOICES = 200, 300  # RFC 3261 21
NEXT_MESSAGE_PREFIX = b"SIP/2.0"  # no call description contains it
CALL_ID = re.compile(r"[0-9a-f]{16}")


class Servers:
    """Passes messages between the exchange and all call servers; implements ``ServerSide``."""

    def __init__(
        self,
        exchange: Exchange,
        limits: ConnectionLimits,
        resend_ms: float | None,
        budget: BufferBudget,
        load_reports: LoadReportReader,
    ) -> None:
        """``resend_ms``: time until a caller sends an unanswered set-up again; None: not in the settings."""
        self.exchange = exchange
        self.scheduler = exchange.scheduler
        self._load_reports = load_reports
        self._limits = limits
        self._connections = ServerConnections(
            exchange, limits, resend_ms, budget, self._on_message, self._on_message_after_end
        )
        self._table = PeerTable(exchange, self._connections)
        self._peers = self._connections.peers
        self._probes: dict[str, str] = {}  # server ids of unanswered probes, by the probe's Call-ID
        self._probe_count = 0

    def use_endpoint_filter(self, endpoint_filter: EndpointFilter) -> None:
        """Connect only to the servers that the filter selects; to be called before the first list."""
        self._table.use_endpoint_filter(endpoint_filter)

    def update_endpoints(self, complete: bool, instances: list[Endpoint]) -> None:
        """Apply an endpoint list update; ``complete``: the list is whole, and not only the changes."""
        self._table.on_list_updated(complete, instances)

    def known_and_excluded(self) -> tuple[int, int]:
        """Return the number of listed servers, and of those of them that are draining or unreachable."""
        return self._table.known_and_excluded()

    def processes(self) -> list[tuple[str, float | None]]:
        """Return the ids of the servers in the table with their process start times, if known."""
        return [(peer.server_id, peer.started_ms) for peer in self._peers.values()]

    def has_unsettled_releases(self, server_id: str) -> bool:
        """Whether a release for this server is unsent, or may have to be sent again."""
        peer = self._peers.get(server_id)
        if peer is None:
            return False
        since_ms = self.scheduler.now_ms - CONFIRMATION_WINDOW_MS
        sent = (release for stream in peer.streams for release in stream.unconfirmed.values())
        return bool(peer.pending_releases) or any(release.sent_ms > since_ms for release in sent)

    def unsettled_calls(self) -> list[str]:
        """Return finished calls that a server may still release, since nothing was received from it since."""
        unsettled = (call_id for peer in self._peers.values() for call_id in peer.unsettled_calls())
        return [call_id for call_id in unsettled if self.exchange.is_finished(call_id)]

    def unsettled_attempts(self) -> list[str]:
        """Return unsettled calls that were never established for their callers, at servers still listed."""
        unsettled = [
            call_id
            for peer in self._peers.values()
            for call_id, cause in peer.unsettled_calls().items()
            if cause == ReleaseCause.NORMAL_UNSPECIFIED and self._connections.is_listed(peer)
        ]
        return [call_id for call_id in unsettled if self.exchange.is_finished(call_id)]

    def limit(self, sockets: int) -> None:
        """Apply a new limit on the program's sockets."""
        self._connections.limit(sockets)

    def renew_connections(self) -> None:
        """Open a new connection to every server, to receive releases that a previous process left."""
        for peer in self._peers.values():
            if self._connections.is_listed(peer):
                self._connections.renew(peer)

    def disconnect(self) -> None:
        """Shut down: ignore further messages and end every connection."""
        self._connections.disconnect()

    # ------------------------------------------------------------------------------ from the exchange

    def set_up(self, server_id: str, call: CallRecord, attempt: int, wait_ms: float) -> None:
        """See ``ServerSide``."""
        peer = self._peers.get(server_id)
        if self._connections.disconnecting or peer is None or peer.state is not api.ServerState.READY:
            self.exchange.on_attempt_ended(server_id, call.id, attempt, api.Outcome.NO_CONNECTION)
            return
        self._connections.connect(peer, requested=True)
        stream, waiting = peer.current, WaitingSetUp(call, attempt, self.scheduler.now_ms + wait_ms)
        assert stream is not None, "connect() sets the current connection"
        if stream.is_open:
            stream.send_set_up(waiting)
        else:
            stream.waiting[call.id] = waiting

    def cancel(self, server_id: str, call_id: str, on_sent: Callable[[], None]) -> None:
        """See ``ServerSide``; sent on the connection of the set-up, or not at all if that was never sent.

        If the connection was ended because of unreadable data, the set-up was cancelled there already.
        """
        peer = self._peers.get(server_id)
        if peer is None:
            on_sent()
            return
        if peer.current is not None:
            peer.current.waiting.pop(call_id, None)
        stream = next((stream for stream in peer.streams if call_id in stream.open_set_ups), None)
        if call_id in peer.pending_end_reports or (stream is not None and stream.unreadable):
            peer.pending_end_reports[call_id] = on_sent
        elif stream is not None:
            stream.send_cancel(call_id, stream.open_set_ups.pop(call_id), on_sent)
        else:
            on_sent()

    def release(self, server_id: str | None, call_id: str, cause: int) -> None:
        """See ``ServerSide``; sent on the current connection, or on the next one."""
        for peer in self._peers.values() if server_id is None else filter(None, [self._peers.get(server_id)]):
            peer.remove_established(call_id)
            peer.send_release(call_id, cause)

    def probe(self, server_id: str) -> None:
        """See ``ServerSide``."""
        peer = self._peers.get(server_id)
        if peer is None or peer.current is None or not peer.current.is_open:
            self.exchange.on_probe_answered(server_id, False)
            return
        self._probe_count += 1
        probe_id = f"{self._probe_count:016x}"
        self._probes[probe_id] = server_id
        peer.current.write(sip.request("OPTIONS", "load", probe_id, 1))
        self.scheduler.call_later(
            self._limits.connect_timeout_ms, lambda: self._on_probe_ended(probe_id, False, None)
        )

    # ------------------------------------------------------------------------------ from the connections

    def _on_message(self, stream: ServerStream, message: sip.Message) -> None:
        if NEXT_MESSAGE_PREFIX in message.body:
            # The message is incomplete and its body was filled with the next message: do not pass it on.
            raise BadMessageError(f"message is incomplete: its body contains {NEXT_MESSAGE_PREFIX.decode()}")
        if message.status:
            self._on_response(stream, message)
            return
        match message.method:
            case "BYE":
                self._on_release(stream, message, stream.write)
            case "NOTIFY":
                stream.on_circuits_reported()
                if (circuits := self._load_reports.circuits(parse_gauges(message))) is not None:
                    self.exchange.on_circuits_reported(stream.peer.server_id, *circuits)
            case "OPTIONS":
                stream.write(sip.response(OK, "OK", message))

    def _on_message_after_end(
        self, stream: ServerStream, message: sip.Message, write: Callable[[bytes], None]
    ) -> None:
        """Handle a message found in unreadable data or after our end; it may be part of another one's body.

        A release counts only for a call that is established at this server.  An answer to a set-up that ended
        with the connection established a call that nobody waits for, so the call is released.
        """
        peer, call_id = stream.peer, message.call_id
        if message.method == "BYE" and not message.status:
            if self.exchange.is_established_at(call_id, peer.server_id):
                self.exchange.counters.add("taken.ends_behind_bad_messages")
                self._on_release(stream, message, write)
        elif (
            message.method == "INVITE" and call_id in stream.set_ups_at_end and not peer.has_attempt(call_id)
        ):
            self.release(peer.server_id, call_id, ReleaseCause.NORMAL_UNSPECIFIED)

    def _on_release(self, stream: ServerStream, message: sip.Message, write: Callable[[bytes], None]) -> None:
        """Pass a release on to the caller, and confirm it to the server once it is delivered.

        A server sends unconfirmed releases again on its next connection, and so to the next process.
        """

        def confirm() -> None:
            # Removed only now: a replaced connection without established calls is closed.
            stream.peer.remove_established(message.call_id)
            write(sip.response(OK, "OK", message))

        if not CALL_ID.fullmatch(message.call_id):
            # An invalid call id must reach neither the callers nor the exchange's records of ended calls.
            confirm()
            return
        stream.peer.mark_settled(message.call_id)
        cause = ReleaseCause.NORMAL_CLEARING if message.cause is None else message.cause
        report = self._load_reports.report(parse_gauges(message))
        server_id = self._releasing_server(stream, message.call_id)
        self.exchange.on_released_by_server(server_id, message.call_id, cause, report, confirm)

    def _releasing_server(self, stream: ServerStream, call_id: str) -> str:
        """Return the id of the server that releases a call on this connection.

        A connection of a server that has ended may lead to another one, which has taken its address and is
        listed under an id of its own.  That one releases its calls on any of its connections.
        """
        if stream.may_be_replaced:
            for peer in self._peers.values():
                same_address = peer.address == stream.peer.address
                if same_address and self.exchange.is_established_at(call_id, peer.server_id):
                    return peer.server_id
        return stream.peer.server_id

    def _on_response(self, stream: ServerStream, message: sip.Message) -> None:
        if message.method == "BYE":
            stream.unconfirmed.pop(message.call_id, None)
            stream.peer.mark_settled(message.call_id)
        if message.method == "OPTIONS":
            report = self._load_reports.report(parse_gauges(message))
            self._on_probe_ended(message.call_id, message.status == OK, report)
        if message.method != "INVITE" or message.status < OK or not CALL_ID.fullmatch(message.call_id):
            return
        call_id, server_id = message.call_id, stream.peer.server_id
        # Answers are matched by Call-ID and connection: a call has at most one attempt in flight.  CSeq is
        # not used, since servers that number every set-up as the first would lose answers to second attempts.
        attempt = stream.open_set_ups.get(call_id)
        stream.write(sip.request("ACK", "call", call_id, max(1, message.sequence)))
        refused = message.status >= MULTIPLE_CHOICES
        if refused and attempt is not None and message.answers_other_invite(attempt + 1):
            return  # a repeated or late refusal of an earlier attempt
        stream.open_set_ups.pop(call_id, None)
        stream.cancelled.pop(call_id, None)
        if message.status < MULTIPLE_CHOICES:
            stream.established.add(call_id)  # a late answer is released by the exchange, which removes it
            self.exchange.on_established(server_id, call_id, attempt, message.body)
        elif attempt is not None:
            outcome, details = parse_refusal(message, self._load_reports)
            self.exchange.on_attempt_ended(server_id, call_id, attempt, outcome, details)

    def _on_probe_ended(self, probe_id: str, answered: bool, report: api.Report | None) -> None:
        server_id = self._probes.pop(probe_id, None)
        if server_id is not None:
            self.exchange.on_probe_answered(server_id, answered, report)
