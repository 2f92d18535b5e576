"""Applies endpoint list updates to the table of call servers: new, draining, restarted, moved and gone ones.

Servers are identified by the ``instanceId`` of service discovery, since addresses may be reused.
"""

from __future__ import annotations

from typing import Protocol

from canvasplank import interface as api
from canvasplank.config.discovery_events import Endpoint, to_server
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.peer import SILENCE_TIMEOUT_MS, Peer
from canvasplank.network.reconnect_backoff import ReconnectBackoff
from canvasplank.network.server_connections import ServerConnections
from canvasplank.network.server_stream import ServerStream

MIN_RECONNECT_DELAY_MS, MAX_RECONNECT_DELAY_MS = 50.0, 800.0
GONE_CHECK_INTERVAL_MS = 250.0  # between checks of a gone server that still sends


class EndpointFilter(Protocol):
    """Selects the servers that one of many proxies connects to, and when: see ``cold_start``."""

    def select(self, complete: bool, instances: list[Endpoint]) -> list[Endpoint]:
        """Return the complete list of this proxy's servers after an update of the endpoint list."""

    def annotate(self, server: api.Server) -> api.Server:
        """Return the entry with further data for the decision module."""

    def initial_delay_ms(self) -> float:
        """Return the delay before the first connection to a server, in milliseconds."""

    def is_still_listed(self, server_id: str) -> bool:
        """Whether a server that is no longer selected is still listed and holds no call of this proxy."""


class PeerTable:
    """Keeps the table of servers up to date with the endpoint list and notifies the exchange of changes."""

    def __init__(self, exchange: Exchange, connections: ServerConnections) -> None:
        self._exchange = exchange
        self._scheduler = exchange.scheduler
        self._connections = connections
        self._peers = connections.peers
        self._endpoint_filter: EndpointFilter | None = None  # None: connect to all servers at once

    def use_endpoint_filter(self, endpoint_filter: EndpointFilter) -> None:
        """Connect only to the servers that the filter selects; to be called before the first list."""
        self._endpoint_filter = endpoint_filter

    def known_and_excluded(self) -> tuple[int, int]:
        """Return the number of listed servers, and of those of them that are draining or unreachable."""
        listed = [p for p in self._peers.values() if p.state is not api.ServerState.GONE]
        excluded = [p for p in listed if p.state is not api.ServerState.READY or p.backoff.failures > 0]
        return len(listed), len(excluded)

    def on_list_updated(self, complete: bool, instances: list[Endpoint]) -> None:
        """Apply an endpoint list update; ``complete``: it holds all entries, and not only the changed ones.

        Ready servers are added before the decision module is notified, since it may send there at once and a
        new server must not seem unreachable.  Other changes follow the notification, so that the module
        already knows the new list when it learns of their effects.
        """
        if self._endpoint_filter is not None:
            complete, instances = True, self._endpoint_filter.select(complete, instances)
        entries = {instance.instance_id: instance for instance in instances}
        kind = api.ListKind.COMPLETE if complete else api.ListKind.CHANGES
        missing = [p for p in self._peers.values() if complete and p.server_id not in entries]
        for entry in entries.values():
            self._add_or_update(entry)
        self._exchange.endpoints_changed(kind, tuple(self._to_server(entry) for entry in entries.values()))
        for peer in missing:
            if self._endpoint_filter is not None and self._endpoint_filter.is_still_listed(peer.server_id):
                self._deselect(peer)
            else:
                self._on_gone(peer)
        for entry in entries.values():
            self._apply_state(entry)

    def _to_server(self, entry: Endpoint) -> api.Server:
        """Return the entry as passed to the decision module."""
        server = to_server(entry)
        return server if self._endpoint_filter is None else self._endpoint_filter.annotate(server)

    def _add_or_update(self, entry: Endpoint) -> None:
        """Before the decision module is notified: add a server or update its address, and connect."""
        server = to_server(entry)
        if server.state is api.ServerState.GONE:
            return
        peer = self._peers.get(server.id)
        if peer is None:
            peer = self._add(server, entry.host_port)
        elif entry.host_port != peer.address:
            peer.address = entry.host_port
            self._connections.replace_current(peer, "the server's address has changed")
            peer.may_be_replaced = False
        elif server.started_ms != peer.started_ms and peer.current in self._connections_before(
            peer, server.started_ms
        ):
            # Set-ups sent on this notification must not use a connection to the old process.
            peer.current = None
        if server.state is api.ServerState.READY:
            peer.state = server.state
        self._connections.connect(peer)

    def _add(self, server: api.Server, address: str) -> Peer[ServerStream]:
        backoff = ReconnectBackoff(self._scheduler, MIN_RECONNECT_DELAY_MS, MAX_RECONNECT_DELAY_MS)
        peer: Peer[ServerStream] = Peer(server.id, address, server.state, server.started_ms, backoff)
        peer.last_received_ms = self._scheduler.now_ms
        if self._endpoint_filter is not None:
            peer.connect_after_ms = self._scheduler.now_ms + self._endpoint_filter.initial_delay_ms()
        self._peers[server.id] = peer
        return peer

    def _apply_state(self, entry: Endpoint) -> None:
        """After the decision module was notified: handle a server that is gone, restarted or draining."""
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
            self._connections.withdraw_set_ups(peer)
        self._connections.connect(peer)

    def _connections_before(self, peer: Peer[ServerStream], started_ms: float | None) -> list[ServerStream]:
        """Return connections made before a process start; before now if its time is unknown."""
        return [s for s in peer.streams if s.connected_ms < (started_ms or self._scheduler.now_ms)]

    def _on_restarted(self, peer: Peer[ServerStream]) -> None:
        """Handle a new process under the same id: the old calls have ended, the old connections are dead."""
        self._connections.abort(self._connections_before(peer, peer.started_ms))
        peer.may_be_replaced = False
        for stream in peer.streams:
            stream.may_be_replaced = False
        self._exchange.process_ended(peer.server_id, peer.started_ms or self._scheduler.now_ms)

    def _deselect(self, peer: Peer[ServerStream]) -> None:
        """End the connections to a server that is no longer selected and holds no call of this proxy."""
        del self._peers[peer.server_id]
        self._connections.fail_connecting(peer, "no longer selected for this proxy")
        peer.stop_waiting_for_releases()
        for stream in list(peer.streams):
            stream.close_writing()

    def _on_gone(self, peer: Peer[ServerStream]) -> None:
        """Remove a server that has stopped; while it still sends, it can release its calls itself."""
        peer.state = api.ServerState.GONE
        self._connections.withdraw_set_ups(peer)
        if any(self._still_sends(stream) for stream in peer.streams):
            self._scheduler.call_later(GONE_CHECK_INTERVAL_MS, lambda: self._check_gone(peer))
            return
        self._peers.pop(peer.server_id, None)
        self._connections.fail_connecting(peer, "the server is gone")
        self._connections.abort(list(peer.streams))
        peer.stop_waiting_for_releases()
        self._exchange.process_ended(peer.server_id, float("inf"))

    def _still_sends(self, stream: ServerStream) -> bool:
        """Whether something was just read there, on a connection that leads to no later process."""
        silent_ms = self._scheduler.now_ms - stream.last_received_ms
        return stream.is_open and not stream.may_be_replaced and silent_ms < SILENCE_TIMEOUT_MS

    def _check_gone(self, peer: Peer[ServerStream]) -> None:
        if self._peers.get(peer.server_id) is peer and peer.state is api.ServerState.GONE:
            self._on_gone(peer)
