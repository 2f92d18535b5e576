"""A link to a call server that notes what passes on the proxies' side of it."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping

from canvasplank.codecs import sip
from canvasplank.codecs.errors import BadMessageError
from emulators.link import Link
from verification.call_trace import CallTrace, End, ServerAttempt, ServerCall

OK, MULTIPLE_CHOICES = 200, 300  # RFC 3261 21
VERSION = b"SIP/2.0"  # in the start line of every message, and in no body


class ObservedConnection:
    """One connection of a proxy: the set-ups on it that have not ended."""

    def __init__(self, observer: ServerObserver) -> None:
        self._observer = observer
        self._parsers = {"there": sip.Parser(), "back": sip.Parser()}
        self.open: dict[str, ServerAttempt] = {}
        self.unconfirmed: dict[str, float] = {}  # releases that have passed to the proxy, and when
        self._unreadable_ways: set[str] = set()  # where a bad message has passed: no message follows it

    def on_data(self, way: str, data: bytes) -> None:
        """Bytes have left the proxy, or are about to reach it."""
        if way in self._unreadable_ways:
            return
        try:
            for message in self._parsers[way].feed(data):
                _check_body(message)
                if way == "there":
                    self._observer.on_request(self, message)
                else:
                    self._observer.on_response(self, message)
        except BadMessageError as error:
            self._observer.bad_messages.append(str(error))
            self._unreadable_ways.add(way)

    def on_client_ended(self) -> None:
        """The proxy has ended it, and given up the set-ups on it, however late the server notices."""
        for attempt in self.open.values():
            attempt.ended_s, attempt.end = time.time(), End.DISCONNECTED
        self.open.clear()

    def on_closed(self) -> None:
        """It has ended, and with it the set-ups on it."""
        self.on_client_ended()
        self.unconfirmed.clear()


def _check_body(message: sip.Message) -> None:
    """Raise ``BadMessageError`` for a message that stops short and is filled up with what came after it."""
    if VERSION in message.body:
        raise BadMessageError("a message stops short")


class ServerObserver:
    """Notes attempts and established calls of one call server in the trace."""

    def __init__(self, server: str, trace: CallTrace) -> None:
        self.server = server
        self.bad_messages: list[str] = []
        self._trace = trace
        self._calls: dict[str, ServerCall] = {}

    def on_request(self, connection: ObservedConnection, message: sip.Message) -> None:
        """A message from a proxy."""
        now_s = time.time()
        match message.method, message.status:
            case "INVITE", 0:
                attempt = ServerAttempt(message.call_id, self.server, now_s)
                self._trace.attempts.append(attempt)
                connection.open[message.call_id] = attempt
            case "CANCEL", 0:
                attempt_or_none = connection.open.pop(message.call_id, None)
                if attempt_or_none is not None:
                    attempt_or_none.ended_s, attempt_or_none.end = now_s, End.CANCELLED
            case "BYE", 0:
                call = self._calls.get(message.call_id)
                if call is not None and call.released_by_proxy_s is None:
                    call.released_by_proxy_s = now_s
            case "BYE", 200:
                self._on_released(message.call_id, connection.unconfirmed.pop(message.call_id, None))

    def on_response(self, connection: ObservedConnection, message: sip.Message) -> None:
        """A message to a proxy."""
        now_s = time.time()
        if message.method == "INVITE" and message.status >= OK:
            attempt = connection.open.pop(message.call_id, None)
            answered = message.status < MULTIPLE_CHOICES
            if attempt is not None:
                attempt.ended_s, attempt.end = now_s, End.ANSWERED if answered else End.REJECTED
            if answered:
                call = ServerCall(message.call_id, self.server, now_s)
                self._calls[message.call_id] = call
                self._trace.established.append(call)
        elif message.method == "BYE" and not message.status:
            connection.unconfirmed[message.call_id] = now_s

    def _on_released(self, call_id: str, passed_s: float | None) -> None:
        """A release that has passed to the proxy was read there."""
        call = self._calls.get(call_id)
        if call is not None and call.released_by_server_s is None:
            call.released_by_server_s = passed_s

    def close(self, connections: Iterable[ObservedConnection]) -> None:
        """At the end of a run: releases on connections that are open count as read, confirmed or not."""
        for connection in connections:
            for call_id, passed_s in connection.unconfirmed.items():
                self._on_released(call_id, passed_s)

    def note_written_releases(
        self, written_s: Mapping[str, float], is_disturbed: Callable[[float], bool]
    ) -> None:
        """At the end of a run: when the server wrote each release first, unless the link was disturbed then.

        Behind a message that cannot be read, or on a connection that the proxy has ended, none is seen here.
        """
        for call_id, at_s in written_s.items():
            call = self._calls.get(call_id)
            if call is not None and at_s >= call.established_s and not is_disturbed(at_s):
                call.release_written_s = at_s

    def on_server_gone(self) -> None:
        """Its process has ended, and with it the calls that it held."""
        for call in self._calls.values():
            if call.released_by_server_s is None:
                call.cut_s = time.time()


class ObservedLink(Link):
    """A link whose connections are observed at the end towards the proxies, also while it is cut."""

    max_reads_ahead = 0

    def __init__(self, target: str, observer: ServerObserver) -> None:
        super().__init__(target)
        self.observer = observer
        self.observed: list[ObservedConnection] = []

    def observe(self) -> ObservedConnection:
        """See ``Link``."""
        connection = ObservedConnection(self.observer)
        self.observed.append(connection)
        return connection
