"""The server side: connections from callers, in the binary messages of ``codecs.isup``."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Hashable

from canvasplank.codecs import isup
from canvasplank.codecs.errors import BadMessageError
from canvasplank.exchange import CallRecord, Exchange, Final
from canvasplank.network.stream import Stream

LOG = logging.getLogger(__name__)
CAUSES = {Final.REFUSED: isup.Cause.CONGESTION, Final.FAILED: isup.Cause.TEMPORARY_FAILURE}
BACKLOG = 512
OWED_MOST = 20_000  # releases kept while no caller is connected
SHARE_OF_SOCKETS = 0.6  # the most that callers may hold, so that servers, board and files find room
IDLE_LOOK_MS = 1000.0
OWED_MS = 500.0  # a release waits so long for a connection of callers' own, then any will do
UNHEARD_MS = 1000.0  # a release this old has been read, whether or not the caller says so
UNHEARD_MOST = 1000


class CallerStream(Stream):
    """One connection from callers."""

    def __init__(self, callers: Callers) -> None:
        super().__init__(callers.exchange.turns, "caller")
        self._callers = callers
        self._parser = isup.Parser()
        self.open: set[str] = set()  # set-ups that came here and lack their answer
        self.half_closed = False
        self.calls = False  # whether it has carried calls, and not only tests
        self.unheard: dict[str, tuple[int, float]] = {}  # releases not confirmed: cause, time

    def connected(self) -> None:
        """Take it into the pool."""
        peer = self.transport.get_extra_info("peername")
        self.label = f"caller {peer[0]}:{peer[1]}" if peer else "caller"
        self._callers.joined(self)

    def received(self, data: memoryview) -> None:
        """Read what it says."""
        for message in self._parser.feed(data):
            self._callers.take(self, message)

    def eof_received(self) -> bool:
        """The caller sends no more; what it is owed can still be written."""
        self.half_closed = True
        return bool(self.open)

    def ended(self, error: Exception | None) -> None:
        """Its unanswered set-ups have nobody left to answer."""
        self._callers.left(self)

    def release(self, call_id: str, cause: int) -> None:
        """Write the release of a call that stood."""
        self.unheard[call_id] = cause, self.turns.now_ms
        if len(self.unheard) > UNHEARD_MOST:
            del self.unheard[next(iter(self.unheard))]
        self.write(isup.release(call_id, cause))

    def answered(self, call_id: str, data: bytes) -> None:
        """Write a final answer."""
        self.open.discard(call_id)
        self.write(data)
        if self.half_closed and not self.open:
            self.close()


class Callers:
    """All connections from callers."""

    def __init__(self, exchange: Exchange, sockets: int, idle_ms: float) -> None:
        self.exchange = exchange
        self.streams: dict[CallerStream, None] = {}  # in the order of their coming
        self.accepting = True
        self._owed: dict[str, int] = {}  # releases that wait for a connection, with their causes
        self.limit(sockets)
        self._idle_ms = idle_ms
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Open the listener, on this address only."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: CallerStream(self), host, port, backlog=BACKLOG)
        self._look_for_idle()

    def limit(self, sockets: int) -> None:
        """Hold no more connections than the configuration has room for."""
        self._most = max(1, int(sockets * SHARE_OF_SOCKETS))

    def stop_listening(self) -> None:
        """Take no further connections."""
        if self._server is not None:
            self._server.close()

    def unsent(self) -> int:
        """Bytes still to be written to callers."""
        return sum(stream.unsent for stream in self.streams)

    # -------------------------------------------------------------------------------- for the exchange

    def answer(self, origin: Hashable, call_id: str, description: bytes) -> None:
        """See ``CallerSide``."""
        origin.answered(call_id, isup.answer(call_id, description))

    def reject(self, origin: Hashable, call_id: str, final: Final, retry_after_ms: float | None) -> None:
        """See ``CallerSide``; these messages have no place for a wait."""
        origin.answered(call_id, isup.release(call_id, CAUSES[final]))

    def release(self, origin: Hashable | None, call_id: str, cause: int) -> None:
        """See ``CallerSide``; no connection owns a standing call: any will do, or the next one to come."""
        usable = origin is not None and origin.is_open and not origin.half_closed
        stream = origin if usable else self._any(calls=True)
        if stream is not None:
            self.exchange.counters.add("sent.releases_to_callers")
            stream.release(call_id, cause)
        elif len(self._owed) < OWED_MOST:
            self._owed[call_id] = cause
            self.exchange.turns.after(OWED_MS, lambda: self._pay(self._any(calls=False)))

    def _any(self, *, calls: bool) -> CallerStream | None:
        """The newest connection, the least likely to be closed now; with ``calls``, one that carries them.

        Guards against handing a release to whoever only tests us, which knows nothing of calls.
        """
        usable = (s for s in reversed(self.streams) if s.is_open and not s.half_closed)
        return next((s for s in usable if s.calls or not calls), None)

    def _pay(self, stream: CallerStream | None) -> None:
        """Write the releases that have waited for a connection."""
        if stream is None:
            return
        owed, self._owed = self._owed, {}
        for call_id, cause in owed.items():
            self.exchange.counters.add("sent.releases_to_callers")
            stream.release(call_id, cause)

    # -------------------------------------------------------------------------------- for the connections

    def joined(self, stream: CallerStream) -> None:
        """A caller has connected."""
        self.exchange.counters.add("sockets.callers")
        self.streams[stream] = None
        if len(self.streams) > self._most:
            self._make_room()
        if self._owed:
            self.exchange.turns.after(OWED_MS, lambda: self._pay(self._any(calls=False)))

    def left(self, stream: CallerStream) -> None:
        """A connection from callers has ended."""
        self.streams.pop(stream, None)
        for call_id in list(stream.open):
            self.exchange.caller_lost(call_id, stream)
        # Guards against a release that crosses the caller's close of an idle connection: it goes out again.
        newest_ms = self.exchange.turns.now_ms - UNHEARD_MS
        for call_id, (cause, sent_ms) in stream.unheard.items():
            if sent_ms > newest_ms:
                self.release(None, call_id, cause)

    def take(self, stream: CallerStream, message: isup.Message) -> None:
        """One message from a caller; types that mean nothing here are passed over."""
        if message.kind != isup.Kind.TEST and not stream.calls:
            stream.calls = True
            self._pay(stream)
        match message.kind:
            case isup.Kind.SET_UP:
                call = self._call(stream, message)
                stream.open.add(call.id)
                self.exchange.offer(call)
            case isup.Kind.RELEASE:
                stream.open.discard(message.call_id)
                self.exchange.give_up(message.call_id, message.cause)
                stream.write(isup.release_heard(message.call_id))
            case isup.Kind.RELEASE_HEARD:
                stream.unheard.pop(message.call_id, None)
            case isup.Kind.TEST:
                stream.write(isup.test_result(message.call_id, not self.exchange.closing))

    def _call(self, stream: CallerStream, message: isup.Message) -> CallRecord:
        parts = message.text(isup.Parameter.FIGURES).split(";")
        figures = dict(part.split(":", 1) for part in parts if ":" in part)
        turns = self.exchange.turns
        try:
            wait_ms = float(message.text(isup.Parameter.WAIT))
            first_choice = int(figures.get("dest", "-1"))
        except ValueError as fault:
            raise BadMessageError(f"set-up {message.call_id}: {fault}") from None
        return CallRecord(
            id=message.call_id,
            class_name=message.text(isup.Parameter.CLASS),
            number=message.text(isup.Parameter.NUMBER),
            first_choice=first_choice,
            was_cut=figures.get("again") == "1",
            # The wait counts from when the caller sent it: earlier than now by as much as we looked late.
            gives_up_ms=turns.now_ms - turns.lateness_ms + wait_ms,
            description=message.parameters.get(isup.Parameter.DESCRIPTION, b""),
            origin=stream,
        )

    def _make_room(self) -> None:
        """Guards against callers taking every descriptor: the longest unused with nothing open goes."""
        idle = [s for s in self.streams if not s.open and s.is_open]
        if idle:
            min(idle, key=lambda s: s.used_ms).close()

    def _look_for_idle(self) -> None:
        now_ms = self.exchange.turns.now_ms
        for stream in [s for s in self.streams if not s.open and now_ms - s.used_ms > self._idle_ms]:
            stream.close()
        self.exchange.turns.after(IDLE_LOOK_MS, self._look_for_idle)
