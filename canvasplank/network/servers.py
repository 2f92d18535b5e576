"""The client side: connections to the call servers, in the SIP of ``codecs.sip``.

A server is known by the notice board's ``instanceId``; its address may be another's later.  One connection is
kept up to each live server, whether or not calls go there: releases and the state of its circuits come on it.
"""

from __future__ import annotations

import logging
import re
from typing import Protocol

from canvasplank import interface as api
from canvasplank.codecs import sip
from canvasplank.codecs.errors import BadMessageError
from canvasplank.config.discovery_events import Endpoint, to_server
from canvasplank.config.platform_settings import ConnectionLimits, LoadReportReader
from canvasplank.exchange.call_records import CallRecord
from canvasplank.exchange.exchange import UNWANTED_ANSWER_CAUSE, Exchange
from canvasplank.network.connection_attempt import Backoff, ConnectionAttempt
from canvasplank.network.server_messages import figures, parse_refusal
from canvasplank.network.server_stream import SILENCE_TIMEOUT_MS, Peer, ServerStream, WaitingSetUp
from canvasplank.network.stream import BufferBudget

LOG = logging.getLogger(__name__)
BACKOFF_MS, MAX_BACKOFF_MS = 50.0, 800.0
MAX_SILENCE_TIMEOUT_MS = 20_000.0  # or for so long, where it tells them less often
UNREACHABLE_MS = 7000.0  # no word and no connection for so long: a call that is over is released within 8 s
DEFAULT_RESEND_MS = 500.0  # where the settings name none
MESSAGE_TIMEOUT_FRACTION = 0.25  # of it: a message that is not whole so long after it began never will be
CHECK_INTERVAL_FRACTION = 0.2  # of it: between two looks at the connections
GONE_CHECK_INTERVAL_MS = 250.0  # between two looks at a server that is gone and still speaks
MAX_PENDING_RELEASES = 10_000  # releases kept for a server that cannot be reached
UNCONFIRMED_MS = 1000.0  # a release so much older than the last word of the server has been read by it
MAX_UNCONFIRMED_RELEASES = 1000  # releases sent on one connection and not confirmed
OK, MULTIPLE_CHOICES = 200, 300
NORMAL_CLEARING = 16
NEXT_MESSAGE_PREFIX = b"SIP/2.0"  # no description holds it
CALL_ID = re.compile(r"[0-9a-f]{16}")


class EndpointFilter(Protocol):
    """How one of many proxies comes to its servers, where a file says so (``starting``)."""

    def select(self, complete: bool, instances: list[Endpoint]) -> list[Endpoint]:
        """The whole of what this proxy keeps to after this news of the list."""

    def annotate(self, server: api.Server) -> api.Server:
        """An entry with what the module is to know of it besides."""

    def initial_delay_ms(self) -> float:
        """How long the first connection to a server waits."""

    def is_still_listed(self, server_id: str) -> bool:
        """Whether one that is in the list no more is so by our choice alone, with nothing of ours there."""


class Servers:
    """All connections to call servers."""

    def __init__(
        self,
        exchange: Exchange,
        limits: ConnectionLimits,
        resend_ms: float | None,
        budget: BufferBudget,
        load_reports: LoadReportReader,
    ) -> None:
        self.exchange = exchange
        self._load_reports = load_reports
        self.budget = budget
        self.scheduler = exchange.scheduler
        self._limits = limits
        self._peers: dict[str, Peer] = {}
        self._probes: dict[str, str] = {}
        self._probe_count = 0
        self._endpoint_filter: EndpointFilter | None = None  # None: all servers, all at once
        self.disconnecting = False  # the program ends
        self._resend_ms = resend_ms or DEFAULT_RESEND_MS
        self.scheduler.call_later(CHECK_INTERVAL_FRACTION * self._resend_ms, self._check_connections)

    def use_endpoint_filter(self, endpoint_filter: EndpointFilter) -> None:
        """Connect to those servers alone that the filter selects; before the first list."""
        self._endpoint_filter = endpoint_filter

    def known_and_excluded(self) -> tuple[int, int]:
        """Servers in the list, and those of them that nothing new goes to: draining, or not reachable now."""
        listed = [p for p in self._peers.values() if p.state is not api.ServerState.GONE]
        avoided = [p for p in listed if p.state is not api.ServerState.READY or p.backoff.failures > 0]
        return len(listed), len(avoided)

    def disconnect(self) -> None:
        """The program ends: heed no more, so that no release is confirmed that can not be passed on.

        What was said last is on its way, and is read on over: guards it against a reset of ours.
        """
        self.disconnecting = True
        for stream in [s for peer in self._peers.values() for s in peer.streams]:
            stream.close_writing()

    def processes(self) -> list[tuple[str, float | None]]:
        """The servers in the list, each with the start of its process."""
        return [(peer.server_id, peer.started_ms) for peer in self._peers.values()]

    def has_unsettled_releases(self, server_id: str) -> bool:
        """Whether a release for this server has yet to be sent, or may yet have to be sent again."""
        peer, recent_ms = self._peers.get(server_id), self.scheduler.now_ms - UNCONFIRMED_MS
        return peer is not None and (
            bool(peer.pending_releases)
            or any(
                sent_ms > recent_ms for stream in peer.streams for _, sent_ms in stream.unconfirmed.values()
            )
        )

    # -------------------------------------------------------------------------------- for the board

    def listed(self, complete: bool, instances: list[Endpoint]) -> None:
        """News of the list.

        Servers that are ready are entered before the module is told, since it may send to them at once;
        guards against a new server passing for unreachable on the very news of it.  The rest follows after,
        so that it meets the module's new view.
        """
        if self._endpoint_filter is not None:
            complete, instances = True, self._endpoint_filter.select(complete, instances)
        entries = {instance.instance_id: instance for instance in instances}
        kind = api.ListKind.COMPLETE if complete else api.ListKind.CHANGES
        missing = [p for p in self._peers.values() if complete and p.server_id not in entries]
        for entry in entries.values():
            self._admit(entry)
        self.exchange.endpoints_changed(
            kind, tuple(self._to_module_server(entry) for entry in entries.values())
        )
        for peer in missing:
            if self._endpoint_filter is not None and self._endpoint_filter.is_still_listed(peer.server_id):
                self._release_to_others(peer)
            else:
                self._on_gone(peer)
        for entry in entries.values():
            self._apply(entry)

    def _to_module_server(self, entry: Endpoint) -> api.Server:
        return (
            to_server(entry)
            if self._endpoint_filter is None
            else self._endpoint_filter.annotate(to_server(entry))
        )

    def _release_to_others(self, peer: Peer) -> None:
        """It goes on without us: we have nothing there, and say no more."""
        del self._peers[peer.server_id]
        if peer.current is not None and peer.current.connecting is not None:
            self._on_attempt_failed(peer.current, "left to others")
        for stream in list(peer.streams):
            stream.close_writing()

    def _admit(self, entry: Endpoint) -> None:
        server = to_server(entry)
        peer = self._peers.get(server.id)
        if server.state is api.ServerState.GONE:
            return
        if peer is None:
            backoff = Backoff(self.scheduler, BACKOFF_MS, MAX_BACKOFF_MS)
            peer = Peer(server.id, entry.host_port, server.state, server.started_ms, backoff)
            peer.last_received_ms = self.scheduler.now_ms
            if self._endpoint_filter is not None:
                peer.first_connection_ms = self.scheduler.now_ms + self._endpoint_filter.initial_delay_ms()
            self._peers[server.id] = peer
        elif entry.host_port != peer.address:
            peer.address = entry.host_port
            self._on_address_changed(peer)
        elif server.started_ms != peer.started_ms and peer.current in self._connections_before(
            peer, server.started_ms
        ):
            # Guards what the module sends on this very news against the old process's half-open connection.
            peer.current = None
        if server.state is api.ServerState.READY:
            peer.state = server.state
        self._connect(peer)

    def _apply(self, entry: Endpoint) -> None:
        server = to_server(entry)
        peer = self._peers.get(server.id)
        if peer is None:
            return
        if server.state is api.ServerState.GONE:
            self._on_gone(peer)
            return
        if server.started_ms != peer.started_ms:
            peer.started_ms = server.started_ms
            self._on_restarted(peer)
        peer.state = server.state
        if server.state is api.ServerState.DRAINING:
            self._withdraw_set_ups(peer)
        self._connect(peer)

    def _on_restarted(self, peer: Peer) -> None:
        """A fresh process under the same name: what the old one held is over, its connections are dead."""
        self._drop(self._connections_before(peer, peer.started_ms))
        self.exchange.process_ended(peer.server_id, peer.started_ms or self.scheduler.now_ms)

    def _connections_before(self, peer: Peer, started_ms: float | None) -> list[ServerStream]:
        """Connections to a process before the one that started then, or now where that is not told."""
        return [s for s in peer.streams if s.made_ms < (started_ms or self.scheduler.now_ms)]

    def _on_address_changed(self, peer: Peer) -> None:
        """Its address has changed: what is open stays, what comes goes to the new one."""
        current, peer.current = peer.current, None
        if current is not None and current.connecting is not None:
            self._on_attempt_failed(current, "its address has changed")

    def _drop(self, streams: list[ServerStream]) -> None:
        """Connections to a process that is no more: half-open ones would never end by themselves."""
        for stream in streams:
            stream.transport.abort()
            self.on_disconnected(stream)

    def _on_gone(self, peer: Peer) -> None:
        """It has stopped.  While it still speaks to us it can release its calls itself."""
        peer.state = api.ServerState.GONE
        self._withdraw_set_ups(peer)
        if any(
            s.is_open and self.scheduler.now_ms - s.last_received_ms < SILENCE_TIMEOUT_MS
            for s in peer.streams
        ):
            self.scheduler.call_later(GONE_CHECK_INTERVAL_MS, lambda: self._check_gone(peer))
            return
        self._peers.pop(peer.server_id, None)
        if peer.current is not None and peer.current.connecting is not None:
            self._on_attempt_failed(peer.current, "gone")
        self.exchange.process_ended(peer.server_id, float("inf"))
        self._drop(list(peer.streams))

    def _check_gone(self, peer: Peer) -> None:
        if self._peers.get(peer.server_id) is peer and peer.state is api.ServerState.GONE:
            self._on_gone(peer)

    def _withdraw_set_ups(self, peer: Peer) -> None:
        """Nothing new may reach it, not even what waits for a connection or lies unsent in one (rule 3)."""
        streams = [*peer.streams, peer.current] if peer.current not in peer.streams else peer.streams
        for stream in [s for s in streams if s is not None]:
            for call_id, waiting in list(stream.waiting.items()):
                del stream.waiting[call_id]
                self.exchange.on_attempt_ended(
                    peer.server_id, call_id, waiting.attempt, api.Outcome.NO_CONNECTION
                )
            if stream.open_set_ups and stream.unsent:
                stream.transport.abort()

    # -------------------------------------------------------------------------------- for the exchange

    def set_up(self, server_id: str, call: CallRecord, attempt: int, wait_ms: float) -> None:
        """See ``ServerSide``."""
        peer = self._peers.get(server_id)
        if self.disconnecting or peer is None or peer.state is not api.ServerState.READY:
            self.exchange.on_attempt_ended(server_id, call.id, attempt, api.Outcome.NO_CONNECTION)
            return
        self._connect(peer, requested=True)
        stream, waiting = peer.current, WaitingSetUp(call, attempt, self.scheduler.now_ms + wait_ms)
        if stream.is_open:
            self._invite(stream, waiting)
        else:
            stream.waiting[call.id] = waiting

    def _invite(self, stream: ServerStream, waiting: WaitingSetUp) -> None:
        call, attempt = waiting.call, waiting.attempt
        for each in stream.peer.streams:
            # Guards against ending the call by the release of an earlier attempt here, sent once more.
            each.unconfirmed.pop(call.id, None)
        if stream.unanswered_since_ms <= stream.last_received_ms:
            stream.unanswered_since_ms = self.scheduler.now_ms
        stream.open_set_ups[call.id] = attempt
        # What is left now: guards a server against working on for as long as its connection took to come up.
        left_ms = max(1, round(waiting.until_ms - self.scheduler.now_ms))
        headers = {"X-Tier": call.class_name, "X-Deadline": str(left_ms)}
        stream.write(sip.request("INVITE", call.number, call.id, attempt + 1, headers, call.description))
        self.exchange.counters.by_class("attempts", call.class_name)

    def cancel(self, server_id: str, call_id: str) -> None:
        """See ``ServerSide``: on the connection of the set-up, or not at all where it was never sent."""
        peer = self._peers.get(server_id)
        if peer is None:
            return
        if peer.current is not None and peer.current.waiting.pop(call_id, None) is not None:
            return
        for stream in peer.streams:
            attempt = stream.open_set_ups.pop(call_id, None)
            if attempt is not None:
                stream.write(sip.request("CANCEL", "call", call_id, attempt + 1))

    def release(self, server_id: str | None, call_id: str, cause: int) -> None:
        """See ``ServerSide``: on the connection that is up, or on the next one."""
        for peer in self._peers.values() if server_id is None else filter(None, [self._peers.get(server_id)]):
            self._on_call_ended(peer, call_id)
            self._send_release(peer, call_id, cause)

    def _on_call_ended(self, peer: Peer, call_id: str) -> None:
        """A call is established there no more."""
        for stream in peer.streams:
            stream.established.discard(call_id)

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
            self._limits.connect_timeout_ms, lambda: self._on_probe_result(probe_id, False, None)
        )

    def _on_probe_result(self, probe_id: str, answered: bool, report: api.Report | None) -> None:
        server_id = self._probes.pop(probe_id, None)
        if server_id is not None:
            self.exchange.on_probe_answered(server_id, answered, report)

    def _write_release(self, stream: ServerStream, call_id: str, cause: int) -> None:
        self.exchange.counters.add("sent.releases_to_servers")
        stream.unconfirmed[call_id] = cause, self.scheduler.now_ms
        if len(stream.unconfirmed) > MAX_UNCONFIRMED_RELEASES:
            del stream.unconfirmed[next(iter(stream.unconfirmed))]
        stream.write(sip.request("BYE", "call", call_id, 1, {"Reason": f"Q.850;cause={cause}"}))

    # -------------------------------------------------------------------------------- connections

    def _connect(self, peer: Peer, *, requested: bool = False) -> None:
        """Have a current connection, up or on its way; a first one in its turn, or as soon as it is wanted.

        Guards a server against a connection from each of hundreds of proxies that start at once.
        """
        if self.disconnecting or (self.scheduler.now_ms < peer.first_connection_ms and not requested):
            return
        current = peer.current
        if current is not None and (current.is_open or current.connecting is not None):
            return
        stream = peer.current = ServerStream(self, peer)
        stream.connecting = ConnectionAttempt(
            stream,
            peer.address,
            self._limits.connect_timeout_ms,
            lambda reason: self._on_attempt_failed(stream, reason),
        )

    def on_connected(self, stream: ServerStream) -> None:
        """A connection is up."""
        peer = stream.peer
        stream.connecting = None
        peer.backoff.reset_delay()
        peer.streams.append(stream)
        self.exchange.counters.add("sockets.servers")
        # Releases first: guards against a pending one for an earlier attempt ending the call's next.
        pending_releases, peer.pending_releases = peer.pending_releases, {}
        for call_id, cause in pending_releases.items():
            self._write_release(stream, call_id, cause)
        for waiting in stream.waiting.values():
            self._invite(stream, waiting)
        stream.waiting.clear()
        self._close_superseded(peer)

    def _on_attempt_failed(self, stream: ServerStream, reason: str) -> None:
        """A connection did not come up: what waited for it never ran."""
        peer = stream.peer
        stream.connecting.cancel()
        stream.connecting = None
        if peer.current is stream:
            peer.current = None
        if peer.backoff.failures == 0:
            LOG.info("%s: no connection: %s", stream.label, reason)
        self.exchange.counters.add("sockets.servers_failed")
        unsent, stream.waiting = stream.waiting, {}
        for call_id, waiting in unsent.items():
            self.exchange.on_attempt_ended(
                peer.server_id, call_id, waiting.attempt, api.Outcome.NO_CONNECTION
            )
        self._reconnect_later(peer)

    def on_disconnected(self, stream: ServerStream) -> None:
        """A connection has ended: RESET for each set-up that was open on it."""
        peer = stream.peer
        if stream not in peer.streams:
            return
        peer.streams.remove(stream)
        if peer.current is stream:
            peer.current = None
        self._resend_unconfirmed(stream)
        broken, stream.open_set_ups = stream.open_set_ups, {}
        for call_id, attempt in broken.items():
            if stream.ended_unreadably:
                # Guards against a call established there for nobody: its answer came, and could not be read.
                self._send_release(peer, call_id, UNWANTED_ANSWER_CAUSE)
            self.exchange.on_attempt_ended(peer.server_id, call_id, attempt, api.Outcome.RESET)
        self._reconnect_later(peer)

    def _reconnect_later(self, peer: Peer) -> None:
        """Connect again after a while, as long as the server is listed."""
        if peer.current is None:
            peer.backoff.schedule(lambda: self._is_listed(peer) and self._connect(peer))

    def _is_listed(self, peer: Peer) -> bool:
        return self._peers.get(peer.server_id) is peer and peer.state is not api.ServerState.GONE

    def _check_connections(self) -> None:
        """Guards against half-open connections that swallow calls: a quiet one is current no more.

        It stays open for what may yet come on it; a connection that speaks again is as good as a new one.
        """
        now_ms = self.scheduler.now_ms
        message_timeout_ms = MESSAGE_TIMEOUT_FRACTION * self._resend_ms
        for peer in list(self._peers.values()):
            for stream in [s for s in peer.streams if s.is_message_overdue(message_timeout_ms)]:
                stream.abort_unreadable(
                    f"the rest of a message did not come within {message_timeout_ms:.0f} ms"
                )
            current = peer.current
            # One that hangs says nothing of its server.  Guards against trying a server that is well on the
            # connection that hung, over and over, and leaving it out for seconds.
            quiet = (
                current is not None
                and self._is_message_due(current)
                and now_ms - current.last_received_ms > peer.silence_timeout_ms
            )
            if quiet and not current.open_set_ups:
                # Guards one that reports less often against a new connection every time.
                peer.silence_timeout_ms = min(MAX_SILENCE_TIMEOUT_MS, 2 * peer.silence_timeout_ms)
            if quiet or (current is not None and current.is_open and current.is_hung(self._resend_ms)):
                self.exchange.counters.add("sockets.servers_quiet")
                peer.current, current.replaced_ms = None, now_ms
                self._resend_unconfirmed(current)
            if self._is_listed(peer):
                self._connect(peer)
            up = peer.current is not None and peer.current.is_open
            if not up and now_ms - peer.last_received_ms > UNREACHABLE_MS:
                self._on_unreachable(peer)
            self._close_superseded(peer)
        self.scheduler.call_later(CHECK_INTERVAL_FRACTION * self._resend_ms, self._check_connections)

    def _on_unreachable(self, peer: Peer) -> None:
        """Neither a word nor a connection for long: found on a day with a cut-off district.

        Calls over a cut link end some seconds into it, and the server can tell nobody before the cut is over.
        A call that is established after all is ended there too, once a connection is up.
        """
        self.exchange.process_ended(peer.server_id, float("inf"), notify_server=True)

    def _is_message_due(self, stream: ServerStream) -> bool:
        """Whether something should have come: a server goes on reporting its circuits, and answers set-ups.

        Guards against taking up connections over and over to a server that has nothing to say.
        """
        return stream.is_open and (stream.peer.reports_circuits or bool(stream.open_set_ups))

    def _resend_unconfirmed(self, stream: ServerStream) -> None:
        """Guards against releases lost on a connection that has died: they go out on the next one."""
        pending_releases, stream.unconfirmed = stream.unconfirmed, {}
        for call_id, (cause, sent_ms) in pending_releases.items():
            if sent_ms > stream.last_received_ms - UNCONFIRMED_MS:
                self._send_release(stream.peer, call_id, cause)

    def _send_release(self, peer: Peer, call_id: str, cause: int) -> None:
        """Have a release go out, on the next connection if there is none."""
        if peer.current is not None and peer.current.is_open:
            self._write_release(peer.current, call_id, cause)
        elif len(peer.pending_releases) < MAX_PENDING_RELEASES:
            peer.pending_releases[call_id] = cause

    def _close_superseded(self, peer: Peer) -> None:
        """End connections that another has taken the place of, once they are left over."""
        if peer.current is None or not peer.current.is_open:
            return
        for stream in peer.streams:
            if stream is not peer.current and stream.is_superseded(self._limits.conn_idle_ms):
                stream.close_writing()

    # -------------------------------------------------------------------------------- messages

    def on_message(self, stream: ServerStream, message: sip.Message) -> None:
        """One message from a server."""
        if NEXT_MESSAGE_PREFIX in message.body:
            # Guards against passing on an answer that stops short, filled up with what came after it.
            raise BadMessageError(f"the message before {NEXT_MESSAGE_PREFIX.decode()} stops short")
        if message.status:
            self._response(stream, message)
            return
        match message.method:
            case "BYE":
                stream.write(sip.response(OK, "OK", message))
                self._on_call_ended(stream.peer, message.call_id)
                # Guards the callers, and what is remembered of calls, against an id that is no call's.
                if CALL_ID.fullmatch(message.call_id):
                    cause = NORMAL_CLEARING if message.cause is None else message.cause
                    report = self._load_reports.report(figures(message))
                    self.exchange.on_released_by_server(stream.peer.server_id, message.call_id, cause, report)
            case "NOTIFY":
                stream.on_circuits_reported()
                if (circuits := self._load_reports.circuits(figures(message))) is not None:
                    self.exchange.on_circuits_reported(stream.peer.server_id, *circuits)
            case "OPTIONS":
                stream.write(sip.response(OK, "OK", message))

    def _response(self, stream: ServerStream, message: sip.Message) -> None:
        if message.method == "BYE":
            stream.unconfirmed.pop(message.call_id, None)
        if message.method == "OPTIONS":
            self._on_probe_result(
                message.call_id, message.status == OK, self._load_reports.report(figures(message))
            )
        if message.method != "INVITE" or message.status < OK or not CALL_ID.fullmatch(message.call_id):
            return
        call_id, server_id = message.call_id, stream.peer.server_id
        # Matched by Call-ID and connection, since a call has one attempt out at most.  Guards against servers
        # that count each set-up as their first: by the number in CSeq, answers to second attempts were lost.
        attempt = stream.open_set_ups.pop(call_id, None)
        stream.write(sip.request("ACK", "call", call_id, max(1, message.sequence)))
        if message.status < MULTIPLE_CHOICES:
            stream.established.add(call_id)  # where it is taken back, the release takes it out again
            self.exchange.on_established(server_id, call_id, attempt, message.body)
        elif attempt is not None:
            outcome, details = parse_refusal(message, self._load_reports)
            self.exchange.on_attempt_ended(server_id, call_id, attempt, outcome, details)
