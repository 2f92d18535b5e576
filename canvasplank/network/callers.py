"""The server side: connections from callers, in the binary messages of ``codecs.isup``."""

from __future__ import annotations

from collections.abc import Callable, Hashable

from canvasplank.codecs import isup
from canvasplank.codecs.errors import BadMessageError
from canvasplank.config.platform_settings import RequestBounds
from canvasplank.exchange.call_records import FinalAnswer
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.caller_stream import MESSAGE_TIMEOUT_MS, CallerStream
from canvasplank.network.listener import Listener
from canvasplank.network.set_up_parser import is_within_bounds, parse_set_up
from canvasplank.network.stream import BufferBudget

REJECTION_CAUSES = {
    FinalAnswer.REFUSED: isup.Cause.CONGESTION,
    FinalAnswer.FAILED: isup.Cause.TEMPORARY_FAILURE,
    FinalAnswer.INVALID: isup.Cause.INVALID_INFORMATION,
}
FIRST_REQUEST_GRACE_MS = 500.0  # a connection that has asked nothing may yet be about to
MAX_PENDING_RELEASES = 20_000  # releases kept while no caller is connected
CALLERS_FRACTION = 0.6  # the most that callers may hold, so that servers, board and files find room
ACCEPT_FRACTION = 0.1  # of those, the most that are accepted in one go
IDLE_CHECK_INTERVAL_MS = 250.0
PENDING_RELEASE_DELAY_MS = 500.0  # a release waits so long for a connection of callers' own, then any will do
UNCONFIRMED_MS = 1000.0  # a release this old has been read, whether or not the caller says so
QUIESCED_IDLE_MS = 200.0  # while quiesced, a connection unused for so long is closed: new ones come for 0.2 s


class Callers:
    """All connections from callers."""

    def __init__(
        self,
        exchange: Exchange,
        figures: RequestBounds,
        sockets: int,
        idle_ms: float,
        budget: BufferBudget,
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        """``is_ready``: whether new callers are to come here at all."""
        self.exchange = exchange
        self.budget = budget
        self._figures = figures
        self.streams: dict[CallerStream, None] = {}  # in the order of their coming
        self.quiesced = False  # the operators send callers away: connections go as soon as nothing is open
        self._is_ready = is_ready
        self._pending_releases: dict[str, int] = {}  # releases that wait for a connection, with their causes
        self._listener: Listener | None = None
        self.limit(sockets)
        self._idle_ms = idle_ms

    def listen(self, host: str, port: int) -> None:
        """Open the listener, on this address only.

        It takes few connections in one go, so that room is made meanwhile: guards against a crowd that takes
        every descriptor; the listener then stands still for a second.
        """
        self._listener = Listener(
            self.exchange.scheduler, host, port, self._max_accepts, lambda: CallerStream(self)
        )
        self._close_idle_connections()

    def limit(self, sockets: int) -> None:
        """Hold no more connections than the configuration has room for."""
        self._most = max(1, int(sockets * CALLERS_FRACTION))
        self._max_accepts = max(1, int(self._most * ACCEPT_FRACTION))
        if self._listener is not None:
            self._listener.max_accepts = self._max_accepts

    def stop_listening(self) -> None:
        """Take no further connections but those that the machine has let in already."""
        if self._listener is not None:
            self._listener.close()

    def disconnect(self) -> None:
        """The program ends, all is answered: end every connection, and read on for what crosses that.

        Guards against a set-up that is written to a connection which nobody reads any more while the process
        winds down, and which is then closed on without an answer: found on an upgrade day.
        """
        for stream in list(self.streams):
            stream.close_writing()

    @property
    def takes_callers(self) -> bool:
        """Whether a test is passed: new callers may be sent here."""
        return not self.quiesced and self._is_ready()

    def quiesce(self) -> None:
        """Send callers away: each connection is closed once it has no open set-up, from now on."""
        self.quiesced = True
        for stream in list(self.streams):
            stream.close_if_quiesced()

    def resume(self) -> None:
        """Keep connections again."""
        self.quiesced = False

    def unsent(self) -> int:
        """Bytes still to be written to callers."""
        return sum(stream.unsent for stream in self.streams)

    # -------------------------------------------------------------------------------- for the exchange

    def is_reachable(self, origin: Hashable) -> bool:
        """See ``CallerSide``."""
        return origin.is_open

    def answer(self, origin: Hashable, call_id: str, description: bytes) -> None:
        """See ``CallerSide``."""
        origin.established.add(call_id)
        origin.send_final_answer(call_id, isup.answer(call_id, description))

    def reject(
        self, origin: Hashable, call_id: str, final: FinalAnswer, retry_after_ms: float | None
    ) -> None:
        """See ``CallerSide``."""
        origin.send_final_answer(call_id, isup.release(call_id, REJECTION_CAUSES[final], retry_after_ms))

    def release(self, origin: Hashable | None, call_id: str, cause: int) -> None:
        """See ``CallerSide``; no connection owns an established call: any will do, or the next."""
        if origin is not None:
            origin.established.discard(call_id)
        usable = origin is not None and origin.is_open and not origin.half_closed
        stream = origin if usable else self._newest_usable(carrying_calls=True)
        if stream is not None:
            self.exchange.counters.add("sent.releases_to_callers")
            stream.release(call_id, cause)
        elif len(self._pending_releases) < MAX_PENDING_RELEASES:
            self._pending_releases[call_id] = cause
            self.exchange.scheduler.call_later(
                PENDING_RELEASE_DELAY_MS,
                lambda: self._send_pending(self._newest_usable(carrying_calls=False)),
            )

    def remove_call(self, origin: Hashable, call_id: str) -> None:
        """See ``CallerSide``."""
        origin.remove_call(call_id)

    def _newest_usable(self, *, carrying_calls: bool) -> CallerStream | None:
        """The newest connection, the least likely to be closed now; with ``calls``, one that carries them.

        Guards against handing a release to whoever only tests us, which knows nothing of calls.
        """
        usable = (s for s in reversed(self.streams) if s.is_open and not s.half_closed)
        return next((s for s in usable if s.carries_calls or not carrying_calls), None)

    def _send_pending(self, stream: CallerStream | None) -> None:
        """Write the releases that have waited for a connection."""
        if stream is None:
            return
        pending, self._pending_releases = self._pending_releases, {}
        for call_id, cause in pending.items():
            self.exchange.counters.add("sent.releases_to_callers")
            stream.release(call_id, cause)

    # -------------------------------------------------------------------------------- for the connections

    def on_connected(self, stream: CallerStream) -> None:
        """A caller has connected."""
        self.exchange.counters.add("sockets.callers")
        self.streams[stream] = None
        self._make_room()
        if self._pending_releases:
            self.exchange.scheduler.call_later(
                PENDING_RELEASE_DELAY_MS,
                lambda: self._send_pending(self._newest_usable(carrying_calls=False)),
            )

    def on_disconnected(self, stream: CallerStream) -> None:
        """A connection from callers has ended."""
        self.streams.pop(stream, None)
        for call_id in list(stream.open_set_ups):
            self.exchange.on_caller_disconnected(call_id, stream)
        self.resend_unconfirmed(stream)

    def resend_unconfirmed(self, stream: CallerStream) -> None:
        """Guards against a release that crosses the caller's end of a connection: it goes out on another."""
        pending, stream.unconfirmed = stream.unconfirmed, {}
        newest_ms = self.exchange.scheduler.now_ms - UNCONFIRMED_MS
        for call_id, (cause, sent_ms) in pending.items():
            if sent_ms > newest_ms:
                self.release(None, call_id, cause)

    def on_message(self, stream: CallerStream, message: isup.Message) -> None:
        """One message from a caller; what is no caller's to send ends the connection."""
        if message.kind != isup.Kind.TEST and not stream.carries_calls:
            stream.carries_calls = True
            self._send_pending(stream)
        match message.kind:
            case isup.Kind.SET_UP if stream.writing_closed:
                pass  # it crossed our end: its caller sends it again on a new connection
            case isup.Kind.SET_UP:
                self._set_up(stream, message)
            case isup.Kind.RELEASE:
                self.exchange.on_released_by_caller(message.call_id, message.cause)
                stream.write(isup.release_confirmed(message.call_id))
            case isup.Kind.RELEASE_CONFIRMED:
                stream.unconfirmed.pop(message.call_id, None)
            case isup.Kind.TEST:
                stream.write(isup.test_result(message.call_id, self.takes_callers))
            case isup.Kind.PROGRESS:
                pass  # free, means nothing
            case _:
                raise BadMessageError(f"a message of type {message.kind} is no caller's")

    def _set_up(self, stream: CallerStream, message: isup.Message) -> None:
        call = parse_set_up(stream, message, self._figures, self.exchange.scheduler)
        new = call.id not in stream.open_set_ups
        if new and not is_within_bounds(call, message, self._figures):
            # Guards the servers' work, and other callers' set-ups, against what no server can use.
            self.exchange.reject_invalid(call)
            return
        stream.open_set_ups.add(call.id)
        if not self.exchange.offer(call):
            if new:
                stream.open_set_ups.discard(call.id)
            raise BadMessageError(f"set-up {call.id}: the id is another call's")

    def _make_room(self) -> None:
        """Guards against callers taking every descriptor: those without an open set-up go, first whoever has
        not asked anything yet, then the longest unused; where all are busy, the newest goes.
        """
        open_streams = [s for s in self.streams if s.is_open]
        over = len(open_streams) - self._most
        past = max(0, len(self.streams) - self._most - self._max_accepts)
        for stream in [s for s in self.streams if s.writing_closed][:past]:
            stream.transport.abort()  # guards the descriptors against those who do not hear our end
        if over <= 0:
            return
        newest = open_streams.pop()
        young_ms = self.exchange.scheduler.now_ms - FIRST_REQUEST_GRACE_MS
        idle = [s for s in open_streams if not s.open_set_ups]
        idle.sort(key=lambda s: (s.has_received_message or s.last_used_ms > young_ms, s.last_used_ms))
        for stream in (idle or [newest])[:over]:
            self.exchange.counters.add("sockets.callers_closed_for_room")
            stream.close_writing()

    def _close_idle_connections(self) -> None:
        """Guards against connections kept for nothing: long unused, or silent where a message is due."""
        now_ms = self.exchange.scheduler.now_ms
        idle_ms = QUIESCED_IDLE_MS if self.quiesced else self._idle_ms

        def unused(stream: CallerStream) -> bool:
            return stream.is_unused if self.quiesced else not stream.open_set_ups

        for stream in [s for s in self.streams if s.is_open]:
            if stream.message_is_overdue:
                stream.abort_unreadable(f"nothing whole for {MESSAGE_TIMEOUT_MS:.0f} ms")
            elif unused(stream) and now_ms - stream.last_used_ms > idle_ms:
                stream.close_writing()
        self.exchange.scheduler.call_later(IDLE_CHECK_INTERVAL_MS, self._close_idle_connections)
