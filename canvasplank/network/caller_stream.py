"""One connection from callers."""

from __future__ import annotations

from typing import Protocol

from canvasplank.codecs import isup
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.stream import BufferBudget, Stream

MESSAGE_TIMEOUT_MS = (
    2000.0  # a connection that says nothing whole for so long after its start, or a message begun
)
MAX_UNCONFIRMED_RELEASES = 1000  # releases sent on one connection and not confirmed
HALF_CLOSED_PROBE_INTERVAL_MS = (
    100.0  # who has left is found after two of these: a call is not sent on 0.3 s later
)


class Owner(Protocol):
    """Who keeps the connections, and acts on what they bring."""

    exchange: Exchange
    budget: BufferBudget
    quiesced: bool  # the operators send callers away

    def on_connected(self, stream: CallerStream) -> None:
        """It is up."""

    def on_message(self, stream: CallerStream, message: isup.Message) -> None:
        """It has brought a message."""

    def on_disconnected(self, stream: CallerStream) -> None:
        """It has ended."""

    def resend_unconfirmed(self, stream: CallerStream) -> None:
        """It may have ended: what was not confirmed on it goes out on another."""


class CallerStream(Stream):
    """One connection from callers."""

    def __init__(self, callers: Owner) -> None:
        super().__init__(callers.exchange.scheduler, "caller", isup.Parser(), callers.budget)
        self._callers = callers
        self.open_set_ups: set[str] = set()  # set-ups that came here and lack their answer
        self.half_closed = False
        self.has_received_message = False  # whether it has brought a whole message
        self.made_ms = self.scheduler.now_ms
        self.carries_calls = False  # whether it has carried calls, and not only tests
        self.unconfirmed: dict[str, tuple[int, float]] = {}  # releases not confirmed: cause, time
        self.established: set[str] = set()  # calls answered here: their releases come here

    def on_connected(self) -> None:
        """Take it into the pool."""
        peer = self.transport.get_extra_info("peername")
        self.label = f"caller {peer[0]}:{peer[1]}" if peer else "caller"
        self._callers.on_connected(self)

    def on_received(self, data: memoryview) -> None:
        """Read what it says."""
        for message in self.messages(data):
            self.has_received_message = True
            self._callers.on_message(self, message)

    @property
    def message_is_overdue(self) -> bool:
        """Whether it should have said something whole by now, a first message or the rest of one."""
        since_ms = self.message_started_ms if self.has_received_message else self.made_ms
        late = self.scheduler.now_ms - since_ms > MESSAGE_TIMEOUT_MS
        return late and not self.open_set_ups and (not self.has_received_message or self.parser.in_message)

    def eof_received(self) -> bool:
        """The caller sends no more; answers can still be written."""
        self.half_closed = True
        self._callers.resend_unconfirmed(self)  # it may have ended altogether
        self._probe_half_closed()
        return bool(self.open_set_ups)

    def _probe_half_closed(self) -> None:
        """Find out whether a caller that sends no more still reads, as long as a set-up of it is unanswered.

        Its end of stream is the same for one that has closed its connection, and the socket is not watched
        any more.  Progress means nothing to a caller that reads; the machine of one that has left resets the
        connection, which the next write meets.  Guards servers against set-ups that nobody waits for.
        """
        if self.open_set_ups and self.is_open:
            self.write(isup.progress(next(iter(self.open_set_ups))))
            self.scheduler.call_later(HALF_CLOSED_PROBE_INTERVAL_MS, self._probe_half_closed)

    def on_disconnected(self, error: Exception | None) -> None:
        """Its unanswered set-ups have nobody left to answer."""
        self._callers.on_disconnected(self)

    def release(self, call_id: str, cause: int) -> None:
        """Write the release of an established call."""
        self.unconfirmed[call_id] = cause, self.scheduler.now_ms
        if len(self.unconfirmed) > MAX_UNCONFIRMED_RELEASES:
            del self.unconfirmed[next(iter(self.unconfirmed))]
        self.write(isup.release(call_id, cause))
        self.established.discard(call_id)
        self.close_if_quiesced()

    def send_final_answer(self, call_id: str, data: bytes) -> None:
        """Write a final answer."""
        self.write(data)
        self.open_set_ups.discard(call_id)
        self._close_if_unused()

    def remove_call(self, call_id: str) -> None:
        """Nothing of this call is to come here any more."""
        self.open_set_ups.discard(call_id)
        self.established.discard(call_id)
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self.half_closed and not self.open_set_ups:
            self.close()
        self.close_if_quiesced()

    @property
    def is_unused(self) -> bool:
        """No set-up is open here, and no call that was answered here is established."""
        return not self.open_set_ups and not self.established

    def close_if_quiesced(self) -> None:
        """While the operators send callers away, a connection goes once it carries nothing.

        At the end of the turn: guards a set-up that lies there unread against our end of the connection.
        """
        if self._callers.quiesced and self.is_unused:
            self.scheduler.call_later(
                0.0, lambda: self._callers.quiesced and self.is_unused and self.close_writing()
            )
