"""One connection from callers."""

from __future__ import annotations

from typing import Protocol

from canvasplank.codecs import isup
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.stream import BufferBudget, Stream

SILENT_MS = 2000.0  # a connection that says nothing whole for so long after its start, or a message begun
UNCONFIRMED_MOST = 1000  # releases sent on one connection and not confirmed
HALF_CLOSED_LOOK_MS = 100.0  # who has left is found after two of these: a call is not sent on 0.3 s later


class Owner(Protocol):
    """Who keeps the connections, and acts on what they bring."""

    exchange: Exchange
    budget: BufferBudget
    quiesced: bool  # the operators send callers away

    def joined(self, stream: CallerStream) -> None:
        """It is up."""

    def take(self, stream: CallerStream, message: isup.Message) -> None:
        """It has brought a message."""

    def left(self, stream: CallerStream) -> None:
        """It has ended."""

    def resend_unconfirmed(self, stream: CallerStream) -> None:
        """It may have ended: what was not confirmed on it goes out on another."""


class CallerStream(Stream):
    """One connection from callers."""

    def __init__(self, callers: Owner) -> None:
        super().__init__(callers.exchange.scheduler, "caller", isup.Parser(), callers.budget)
        self._callers = callers
        self.open: set[str] = set()  # set-ups that came here and lack their answer
        self.half_closed = False
        self.asked = False  # whether it has brought a whole message
        self.made_ms = self.scheduler.now_ms
        self.calls = False  # whether it has carried calls, and not only tests
        self.unconfirmed: dict[str, tuple[int, float]] = {}  # releases not confirmed: cause, time
        self.established: set[str] = set()  # calls answered here: their releases come here

    def connected(self) -> None:
        """Take it into the pool."""
        peer = self.transport.get_extra_info("peername")
        self.label = f"caller {peer[0]}:{peer[1]}" if peer else "caller"
        self._callers.joined(self)

    def received(self, data: memoryview) -> None:
        """Read what it says."""
        for message in self.messages(data):
            self.asked = True
            self._callers.take(self, message)

    @property
    def message_is_overdue(self) -> bool:
        """Whether it should have said something whole by now, a first message or the rest of one."""
        since_ms = self.begun_ms if self.asked else self.made_ms
        late = self.scheduler.now_ms - since_ms > SILENT_MS
        return late and not self.open and (not self.asked or self.parser.in_message)

    def eof_received(self) -> bool:
        """The caller sends no more; answers can still be written."""
        self.half_closed = True
        self._callers.resend_unconfirmed(self)  # it may have ended altogether
        self._prove_read()
        return bool(self.open)

    def _prove_read(self) -> None:
        """Find out whether a caller that sends no more still reads, as long as a set-up of it is unanswered.

        Its end of stream is the same for one that has closed its connection, and the socket is not watched
        any more.  Progress means nothing to a caller that reads; the machine of one that has left resets the
        connection, which the next write meets.  Guards servers against set-ups that nobody waits for.
        """
        if self.open and self.is_open:
            self.write(isup.progress(next(iter(self.open))))
            self.scheduler.call_later(HALF_CLOSED_LOOK_MS, self._prove_read)

    def ended(self, error: Exception | None) -> None:
        """Its unanswered set-ups have nobody left to answer."""
        self._callers.left(self)

    def release(self, call_id: str, cause: int) -> None:
        """Write the release of an established call."""
        self.unconfirmed[call_id] = cause, self.scheduler.now_ms
        if len(self.unconfirmed) > UNCONFIRMED_MOST:
            del self.unconfirmed[next(iter(self.unconfirmed))]
        self.write(isup.release(call_id, cause))
        self.established.discard(call_id)
        self.leave_if_quiesced()

    def answered(self, call_id: str, data: bytes) -> None:
        """Write a final answer."""
        self.write(data)
        self.open.discard(call_id)
        self._leave_if_unused()

    def remove_call(self, call_id: str) -> None:
        """Nothing of this call is to come here any more."""
        self.open.discard(call_id)
        self.established.discard(call_id)
        self._leave_if_unused()

    def _leave_if_unused(self) -> None:
        if self.half_closed and not self.open:
            self.close()
        self.leave_if_quiesced()

    @property
    def carries_nothing(self) -> bool:
        """No set-up is open here, and no call that was answered here is established."""
        return not self.open and not self.established

    def leave_if_quiesced(self) -> None:
        """While the operators send callers away, a connection goes once it carries nothing.

        At the end of the turn: guards a set-up that lies there unread against our end of the connection.
        """
        if self._callers.quiesced and self.carries_nothing:
            self.scheduler.call_later(
                0.0, lambda: self._callers.quiesced and self.carries_nothing and self.finish()
            )
