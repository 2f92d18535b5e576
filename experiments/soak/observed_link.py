"""A link to a call server that records the messages on the proxies' side of it."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping

from canvasplank.codecs import sip
from canvasplank.codecs.errors import BadMessageError
from emulators.link import Link
from verification.call_trace import CallTrace, End, ServerAttempt, ServerCall

OK, MULTIPLE_CHOICES = 200, 300  # RFC 3261 21
VERSION = b"SIP/2.0"  # every message has it in its start line, and no body contains it


class ObservedConnection:
    """One connection of a proxy, with its open set-ups and unconfirmed releases."""

    def __init__(self, observer: ServerObserver) -> None:
        self._observer = observer
        self._parsers = {"there": sip.Parser(), "back": sip.Parser()}
        self.open_set_ups: dict[str, ServerAttempt] = {}
        self.unconfirmed_releases_s: dict[str, float] = {}  # when each was forwarded to the proxy, by call
        self._unreadable_directions: set[str] = set()  # no message is recorded after an unreadable one

    def on_data(self, direction: str, data: bytes) -> None:
        """Parse bytes that the proxy has sent, or that are about to be written to it."""
        if direction in self._unreadable_directions:
            return
        try:
            for message in self._parsers[direction].feed(data):
                _check_body(message)
                if direction == "there":
                    self._observer.on_request(self, message)
                else:
                    self._observer.on_response(self, message)
        except BadMessageError as error:
            self._observer.bad_messages.append(str(error))
            self._unreadable_directions.add(direction)

    def on_client_ended(self) -> None:
        """End the open set-ups: the proxy has ended the connection, even if the server notices it later."""
        for attempt in self.open_set_ups.values():
            attempt.ended_s, attempt.end = time.time(), End.DISCONNECTED
        self.open_set_ups.clear()

    def on_closed(self) -> None:
        """End the open set-ups and drop the unconfirmed releases: the connection has ended."""
        self.on_client_ended()
        self.unconfirmed_releases_s.clear()


def _check_body(message: sip.Message) -> None:
    """Raise ``BadMessageError`` if the message is incomplete and the next one was read into its body."""
    if VERSION in message.body:
        raise BadMessageError("a message is incomplete: its body contains SIP/2.0")


class ServerObserver:
    """Records the attempts and established calls of one call server in the trace."""

    def __init__(self, server: str, trace: CallTrace) -> None:
        self.server = server
        self.bad_messages: list[str] = []
        self._trace = trace
        self._calls: dict[str, ServerCall] = {}

    def on_request(self, connection: ObservedConnection, message: sip.Message) -> None:
        """Record a message from a proxy."""
        now_s = time.time()
        match message.method, message.status:
            case "INVITE", 0:
                attempt = ServerAttempt(message.call_id, self.server, now_s)
                self._trace.attempts.append(attempt)
                connection.open_set_ups[message.call_id] = attempt
            case "CANCEL", 0:
                attempt_or_none = connection.open_set_ups.pop(message.call_id, None)
                if attempt_or_none is not None:
                    attempt_or_none.ended_s, attempt_or_none.end = now_s, End.CANCELLED
            case "BYE", 0:
                call = self._calls.get(message.call_id)
                if call is not None and call.released_by_proxy_s is None:
                    call.released_by_proxy_s = now_s
            case "BYE", 200:
                self._on_released(
                    message.call_id, connection.unconfirmed_releases_s.pop(message.call_id, None)
                )

    def on_response(self, connection: ObservedConnection, message: sip.Message) -> None:
        """Record a message to a proxy."""
        now_s = time.time()
        if message.method == "INVITE" and message.status >= OK:
            attempt = connection.open_set_ups.pop(message.call_id, None)
            answered = message.status < MULTIPLE_CHOICES
            if attempt is not None:
                attempt.ended_s, attempt.end = now_s, End.ANSWERED if answered else End.REJECTED
            if answered:
                call = ServerCall(message.call_id, self.server, now_s)
                self._calls[message.call_id] = call
                self._trace.established.append(call)
        elif message.method == "BYE" and not message.status:
            connection.unconfirmed_releases_s[message.call_id] = now_s

    def _on_released(self, call_id: str, forwarded_s: float | None) -> None:
        """Record that the proxy has read the release that was forwarded to it at ``forwarded_s``."""
        call = self._calls.get(call_id)
        if call is not None and call.released_by_server_s is None:
            call.released_by_server_s = forwarded_s

    def finish(self, connections: Iterable[ObservedConnection]) -> None:
        """Count the unconfirmed releases on open connections as read, at the end of the run or the server."""
        for connection in connections:
            for call_id, forwarded_s in connection.unconfirmed_releases_s.items():
                self._on_released(call_id, forwarded_s)

    def record_written_releases(
        self, written_s: Mapping[str, float], is_disturbed: Callable[[float], bool]
    ) -> None:
        """Record when the server first wrote each release, unless the link was disturbed at that time.

        It is called at the end of the run or the server, with the server's own times: ``on_response`` sees no
        release after an unreadable message or on a connection that the proxy has ended.
        """
        for call_id, at_s in written_s.items():
            call = self._calls.get(call_id)
            if call is not None and at_s >= call.established_s and not is_disturbed(at_s):
                call.release_written_s = at_s

    def on_server_stopped(self) -> None:
        """Record that the server has stopped, which cuts the calls that it has not released."""
        for call in self._calls.values():
            if call.released_by_server_s is None:
                call.server_gone_s = time.time()


class ObservedLink(Link):
    """A link whose connections are observed on the proxies' side, also while the link is cut."""

    max_reads_ahead = 0  # no limit: what a proxy sends is read, and so observed, while the link is cut

    def __init__(self, target: str, observer: ServerObserver) -> None:
        super().__init__(target)
        self.observer = observer
        self.observed: list[ObservedConnection] = []

    def new_observer(self) -> ObservedConnection:
        """Return the observer of a new connection, and keep it in ``observed``."""
        connection = ObservedConnection(self.observer)
        self.observed.append(connection)
        return connection
