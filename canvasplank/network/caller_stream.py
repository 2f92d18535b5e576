"""One connection from callers."""

from __future__ import annotations

from typing import Protocol

from canvasplank.codecs import isup
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.release_retransmission import ReleaseHandling, UnconfirmedReleases
from canvasplank.network.stream import BufferBudget, Stream

MESSAGE_TIMEOUT_MS = 2000.0  # for the first complete message, and for the rest of each that has started
RECENT_SET_UP_MS = 2000.0  # a caller that sent a set-up here so recently is likely to send more
# A caller that has gone is detected after two of these: its call is not forwarded 0.3 s later.
HALF_CLOSED_PROBE_INTERVAL_MS = 100.0


class ReleaseSender(Protocol):
    """What sends releases to callers again: see ``CallerReleases``."""

    def resend_unconfirmed(self, stream: CallerStream) -> None:
        """It may have ended: unconfirmed releases go out on another connection."""


class CallerStreamOwner(Protocol):
    """What holds the connections and acts on their events: see ``Callers``."""

    exchange: Exchange
    budget: BufferBudget

    @property
    def releases(self) -> ReleaseSender:
        """What sends releases again."""

    @property
    def quiesced(self) -> bool:
        """Whether the operators are sending callers away."""

    @property
    def drain_overdue(self) -> bool:
        """Whether callers that still send set-ups are to be sent away, calls established or not."""

    def on_connected(self, stream: CallerStream) -> None:
        """It is established."""

    def on_message(self, stream: CallerStream, message: isup.Message) -> None:
        """A message was read; raises ``BadMessageError``."""

    def on_disconnected(self, stream: CallerStream) -> None:
        """It has ended."""


class CallerStream(Stream[isup.Message]):
    """One connection from callers, with the set-ups and calls that it carries."""

    def __init__(self, owner: CallerStreamOwner) -> None:
        super().__init__(owner.exchange.scheduler, "caller", isup.Parser(), owner.budget)
        self._owner = owner
        self.open_set_ups: set[str] = set()  # set-ups that arrived here and are unanswered
        self.half_closed = False  # whether the caller has ended its side
        self.has_received_message = False  # a complete one
        self.created_ms = self.scheduler.now_ms
        self.last_set_up_ms = -RECENT_SET_UP_MS  # when one last came
        self.carries_calls = False  # whether it has carried calls, and not only tests
        self.has_set_up_calls = False  # whether a set-up that servers can use came here
        self.unconfirmed = UnconfirmedReleases()
        self.last_release = ReleaseHandling.UNKNOWN
        self.established: set[str] = set()  # calls answered here: their releases are sent here

    def on_connected(self) -> None:
        """See ``Stream``."""
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        self.label = f"caller {peer[0]}:{peer[1]}" if peer else "caller"
        self._owner.on_connected(self)

    def on_received(self, data: memoryview) -> None:
        """See ``Stream``."""
        for message in self.messages(data):
            self.has_received_message = True
            self._owner.on_message(self, message)

    @property
    def message_is_overdue(self) -> bool:
        """Whether its first message, or the rest of one, has not come within ``MESSAGE_TIMEOUT_MS``."""
        since_ms = self.message_started_ms if self.has_received_message else self.created_ms
        late = self.scheduler.now_ms - since_ms > MESSAGE_TIMEOUT_MS
        return late and not self.open_set_ups and (not self.has_received_message or self.parser.in_message)

    def eof_received(self) -> bool:
        """See asyncio: the caller sends no more; answers can still be written."""
        self.half_closed = True
        self._owner.releases.resend_unconfirmed(self)  # it may have ended altogether
        self._probe_half_closed()
        return bool(self.open_set_ups)

    def _probe_half_closed(self) -> None:
        """Detect whether a caller that sends no more still reads, as long as a set-up of it is unanswered.

        The end of stream is the same for one that has closed its connection, and the socket is not watched
        any more.  Progress means nothing to a caller that reads; the kernel of one that has gone resets the
        connection, which the next write meets.  So no set-up is forwarded for nobody.
        """
        if self.open_set_ups and self.is_open:
            self.write(isup.progress(next(iter(self.open_set_ups))))
            self.scheduler.call_later(HALF_CLOSED_PROBE_INTERVAL_MS, self._probe_half_closed)

    def on_disconnected(self, error: Exception | None) -> None:
        """See ``Stream``."""
        self._owner.on_disconnected(self)

    def on_first_call_message(self) -> None:
        """A message other than a test was read here."""
        self.carries_calls = True

    def send_release(self, call_id: str, cause: int) -> None:
        """Write the release of an established call, by its Q.850 cause; see ``SentRelease``."""
        self.unconfirmed.add(call_id, cause, self.scheduler.read_clock())
        self.write(isup.release(call_id, cause))
        self.established.discard(call_id)
        self.close_if_quiesced()

    def on_release_confirmed(self, call_id: str) -> None:
        """The caller has read a release."""
        self.last_release = ReleaseHandling.CONFIRMED
        self.unconfirmed.pop(call_id, None)

    def send_final_answer(self, call_id: str, data: bytes) -> None:
        """Write the encoded final answer to a set-up."""
        self.write(data)
        self.open_set_ups.discard(call_id)
        self._close_if_unused()

    def remove_call(self, call_id: str) -> None:
        """Expect nothing more of this call here."""
        self.open_set_ups.discard(call_id)
        self.established.discard(call_id)
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self.half_closed and not self.open_set_ups:
            self.close()
        self.close_if_quiesced()

    @property
    def is_unused(self) -> bool:
        """Whether no set-up is open here, and no call that was answered here is established.

        Late in a drain, a connection on which new set-ups still come is unused in spite of established calls:
        their releases can be sent on any other.
        """
        if self.open_set_ups:
            return False
        recently_used = self.scheduler.now_ms - self.last_set_up_ms < RECENT_SET_UP_MS
        return not self.established or (recently_used and self._owner.drain_overdue)

    def close_if_quiesced(self) -> None:
        """While quiesced, end the connection once it is unused: at the end of the iteration.

        By then all that lay unread is read, such as a set-up that has crossed our end of the connection.
        """
        if self._owner.quiesced and self.is_unused:
            self.scheduler.call_later(0.0, self._close_if_still_quiesced)

    def _close_if_still_quiesced(self) -> None:
        if self._owner.quiesced and self.is_unused:
            self.close_writing()
