"""A connection from callers."""

from __future__ import annotations

import math
from typing import Protocol

from canvasplank.codecs import isup
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.caller_drain import RECENT_SET_UP_MS, DrainPhase
from canvasplank.network.connection_end import ConnectionEnd, peers_end
from canvasplank.network.deferred_input import DeferredInput
from canvasplank.network.release_retransmission import ReleaseHandling, UnconfirmedReleases
from canvasplank.network.stream import BufferBudget, Stream
from canvasplank.network.token_bucket import TokenBucket

# Messages of a connection that are handled as they are read; further ones are deferred (``DeferredInput``).
INITIAL_MESSAGES, MESSAGES_PER_S, MAX_MESSAGES = 20.0, 20.0, 400.0
MESSAGES_PER_ANSWER = 4.0  # added for each established call: its set-up, its release, and as many sent again
# New set-ups of a connection; further ones are refused.  A caller whose calls are established has more.
SET_UPS_PER_S, MAX_SET_UPS = 50.0, 400.0
SET_UPS_PER_ANSWER = 2.0
MAX_MESSAGES_AT_END = 32  # deferred ones that are handled when their connection ends; the rest is dropped
# Releases of calls that nobody knows: each is passed on to every call server.
UNKNOWN_RELEASES_PER_S, MAX_UNKNOWN_RELEASES = 100.0, 400.0
MESSAGE_TIMEOUT_MS = 2000.0  # for the first complete message, and for the rest of a started one
# A caller's disconnect is detected after two intervals, so that its call is not forwarded 0.3 s after it.
HALF_CLOSED_PROBE_INTERVAL_MS = 100.0


class ReleaseSender(Protocol):
    """The part of ``CallerReleases`` that a connection uses."""

    def resend_unconfirmed(self, stream: CallerStream) -> None:
        """Send the unconfirmed releases of a connection that may have ended on another one."""


class CallerStreamOwner(Protocol):
    """Holds the connections and handles their events: see ``Callers``."""

    exchange: Exchange
    budget: BufferBudget
    deferred_input: DeferredInput

    @property
    def releases(self) -> ReleaseSender:
        """The component that sends releases again."""

    @property
    def drain_phase(self) -> DrainPhase:
        """The phase of the drain of callers, on an operator's command."""

    def on_connected(self, stream: CallerStream) -> None:
        """Called when a connection is established."""

    def on_message(self, stream: CallerStream, message: isup.Message) -> None:
        """Called when a message was read; raises ``BadMessageError``."""

    def on_disconnected(self, stream: CallerStream) -> None:
        """Called when a connection has ended."""


class CallerStream(Stream[isup.Message]):
    """A connection from callers, with the set-ups and calls that it carries."""

    def __init__(self, owner: CallerStreamOwner) -> None:
        self._isup_parser = isup.Parser()
        super().__init__(owner.exchange.scheduler, "caller", self._isup_parser, owner.budget)
        self._owner = owner
        now_ms = self.scheduler.now_ms
        self._allowance = TokenBucket(MESSAGES_PER_S, MAX_MESSAGES, now_ms, INITIAL_MESSAGES)
        self.set_up_allowance = TokenBucket(SET_UPS_PER_S, MAX_SET_UPS, now_ms)
        self.unknown_releases = TokenBucket(UNKNOWN_RELEASES_PER_S, MAX_UNKNOWN_RELEASES, now_ms)
        self.has_left = False  # whether the caller's kernel has reset the connection
        self._end_seen_ms: float | None = None  # when the caller's end of stream was first seen, unread
        self._is_probing = False  # whether a set-up waits until it is known if its caller has left
        self._is_deferred = False  # whether complete messages are kept for later turns
        self.open_set_ups: set[str] = set()  # ids of the unanswered set-ups received here
        self.half_closed = False  # whether the caller has closed its side
        self.has_received_message = False  # whether a complete message was received
        self.created_ms = self.scheduler.now_ms
        self.last_set_up_ms = -math.inf  # when the last set-up was received
        self.carries_calls = False  # whether any message other than a test was received
        self.has_set_up_calls = False  # whether a set-up that servers can use was received
        self.unconfirmed = UnconfirmedReleases()
        self.last_release = ReleaseHandling.UNKNOWN
        self.established: set[str] = set()  # ids of the calls answered here, whose releases go out here

    def on_connected(self) -> None:
        """See ``Stream``."""
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        self.label = f"caller {peer[0]}:{peer[1]}" if peer else "caller"
        self._owner.on_connected(self)

    def on_received(self, data: memoryview) -> None:
        """See ``Stream``."""
        if not self._isup_parser.in_message:
            self.message_started_ms = self.scheduler.now_ms
        self._isup_parser.append(data)
        if self._is_deferred:
            return
        while self._allowance.has_token(self.scheduler.now_ms) and self._handle_next_message():
            pass
        if self._isup_parser.has_message and not self._is_deferred:
            self._defer()

    @property
    def reads_after_reset(self) -> bool:
        """See ``Stream``; a caller that had sent more than its allowance is not read after it has left."""
        return not self._is_deferred

    def _may_handle_set_up(self) -> bool:
        """Return whether the next message, a deferred set-up, may be handled now, and not after a probe.

        A caller that has left may have more unread data here than is handled before its end is read.  The end
        of one that waits for answers is the same, so this writes a message that callers ignore: the kernel of
        one that has left resets the connection.
        """
        if self.has_left or self.transport is None or not self.is_open:
            return True
        end = peers_end(self.transport)
        self.has_left = end is ConnectionEnd.RESET
        if end is not ConnectionEnd.HALF_CLOSED:
            return True
        if self._end_seen_ms is None:
            self._end_seen_ms = self.scheduler.now_ms
            self.write(isup.progress(self._isup_parser.next_call_id))
        if self.scheduler.now_ms - self._end_seen_ms >= HALF_CLOSED_PROBE_INTERVAL_MS:
            return True
        self._is_deferred = self._is_probing = True
        self.transport.pause_reading()
        self.scheduler.call_later(HALF_CLOSED_PROBE_INTERVAL_MS, self._on_probed)
        return False

    def _on_probed(self) -> None:
        self._is_probing = False
        self._owner.deferred_input.add(self)

    def _handle_next_message(self) -> bool:
        """Handle the next message; return False if none is complete, or it is to be handled later."""
        is_deferred_set_up = self._is_deferred and self._isup_parser.next_kind == isup.Kind.SET_UP
        if is_deferred_set_up and not self._may_handle_set_up():
            return False
        message = self._isup_parser.next_message()
        if message is None:
            return False
        self._allowance.take(self.scheduler.now_ms)
        self.message_started_ms = self.scheduler.now_ms
        self.has_received_message = True
        self._owner.on_message(self, message)
        return True

    def _defer(self) -> None:
        """Keep the messages that were read for later turns, and read no more until then."""
        self._is_deferred = True
        if self.transport is not None:
            self.transport.pause_reading()
        self._owner.deferred_input.add(self)

    def handle_deferred(self, max_messages: int) -> bool:
        """See ``DeferrableStream``; a peer that does not read gets its next turn once it has read."""
        if self.transport is None or self.transport.is_closing() or self.is_writing_paused:
            return False
        self.handle(lambda: self._handle_messages(max_messages))
        if self.transport.is_closing() or self._is_probing:
            return False
        if self._isup_parser.has_message:
            return not self.is_writing_paused
        self._is_deferred = False
        if not self.is_writing_paused:
            self.transport.resume_reading()
        return False

    def _handle_messages(self, max_messages: int) -> None:
        for _ in range(max_messages):
            if not self._handle_next_message():
                return

    def resume_writing(self) -> None:
        """See ``Stream``; deferred messages come before what is read next."""
        if not self._is_deferred:
            super().resume_writing()
            return
        self.is_writing_paused = False
        if not self._is_probing:
            self._owner.deferred_input.add(self)

    @property
    def is_from_this_host(self) -> bool:
        """Whether the peer has the address that it has connected to."""
        if self.transport is None:
            return False
        addresses = [self.transport.get_extra_info(name) for name in ("peername", "sockname")]
        return all(addresses) and addresses[0][0] == addresses[1][0]

    @property
    def message_is_overdue(self) -> bool:
        """Whether the first message, or a started one, is still incomplete after ``MESSAGE_TIMEOUT_MS``."""
        since_ms = self.message_started_ms if self.has_received_message else self.created_ms
        late = self.scheduler.now_ms - since_ms > MESSAGE_TIMEOUT_MS and not self._is_deferred
        return late and not self.open_set_ups and (not self.has_received_message or self.parser.in_message)

    def eof_received(self) -> bool:
        """See asyncio; the caller sends no more, but answers can still be written."""
        self.half_closed = True
        self._owner.releases.resend_unconfirmed(self)  # the caller may have closed both directions
        self._probe_half_closed()
        return bool(self.open_set_ups)

    def _probe_half_closed(self) -> None:
        """Check whether a half-closed caller still reads, while a set-up of it is unanswered.

        A caller that has closed its connection for good sends the same end of stream, and asyncio no longer
        watches the socket.  A caller that reads ignores a PROGRESS message; the kernel of one that has gone
        resets the connection, and the next write fails.  So its set-up is not forwarded to any server.
        """
        if self.open_set_ups and self.is_open:
            self.write(isup.progress(next(iter(self.open_set_ups))))
            self.scheduler.call_later(HALF_CLOSED_PROBE_INTERVAL_MS, self._probe_half_closed)

    def on_disconnected(self, error: Exception | None) -> None:
        """See ``Stream``; what was deferred may hold the release of an established call."""
        if self._is_deferred and not self.unreadable:
            self.handle(lambda: self._handle_messages(MAX_MESSAGES_AT_END))
        self.parser.clear()
        self._owner.on_disconnected(self)

    def on_first_call_message(self) -> None:
        """Called when the first message other than a test is received."""
        self.carries_calls = True

    def send_release(self, call_id: str, cause: int) -> None:
        """Write the release of an established call with its Q.850 cause, to be confirmed by the caller."""
        self.unconfirmed.add(call_id, cause, self.scheduler.read_clock())
        self.write(isup.release(call_id, cause))
        self.established.discard(call_id)
        self.close_if_drained()

    def on_release_confirmed(self, call_id: str) -> None:
        """Called when the caller has confirmed a release."""
        self.last_release = ReleaseHandling.CONFIRMED
        self.unconfirmed.pop(call_id, None)

    def send_answer(self, call_id: str, data: bytes) -> None:
        """Write the encoded answer (``data``) that a call is established."""
        self.established.add(call_id)
        self._allowance.add(MESSAGES_PER_ANSWER)
        self.set_up_allowance.add(SET_UPS_PER_ANSWER)
        self.send_final_answer(call_id, data)

    def send_final_answer(self, call_id: str, data: bytes) -> None:
        """Write the encoded final answer (``data``) to a set-up."""
        self.write(data)
        self.open_set_ups.discard(call_id)
        self._close_if_unused()

    def remove_call(self, call_id: str) -> None:
        """Remove a call from this connection, on which no more messages about it are expected."""
        self.open_set_ups.discard(call_id)
        self.established.discard(call_id)
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self.half_closed and not self.open_set_ups:
            self.close()
        self.close_if_drained()

    @property
    def is_unused(self) -> bool:
        """Whether the connection has no open set-up and no established call that was answered on it.

        Once a drain is overdue, a connection in use counts as unused in spite of established calls: their
        releases can be sent on any other connection.  One that is not in use is kept for the releases.
        Before a drain expires, deferred messages, which may be set-ups, keep a connection in use too.
        """
        if self.open_set_ups or (self._is_deferred and self._owner.drain_phase < DrainPhase.EXPIRED):
            return False
        return not self.established or self._has_set_up_within(self._owner.drain_phase.reuse_ms)

    def _has_set_up_within(self, span_ms: float) -> bool:
        return self.scheduler.now_ms - self.last_set_up_ms < span_ms

    def close_if_drained(self) -> None:
        """In a drain, close an unused connection at the end of the iteration.

        By then all data that has arrived is read, such as a set-up sent before the caller sees the close.
        """
        if self._owner.drain_phase and self.is_unused:
            self.scheduler.call_later(0.0, self._close_if_still_drained)

    def _close_if_still_drained(self) -> None:
        if self._owner.drain_phase and self.is_unused:
            self.close_writing()

    def give_up_if_expired(self) -> None:
        """Once a drain has expired, give up the open set-ups of a connection with a recent one.

        Otherwise they are kept for their caller, who may wait for longer.
        """
        expired = self._owner.drain_phase >= DrainPhase.EXPIRED
        if expired and self._has_set_up_within(RECENT_SET_UP_MS):
            for call_id in list(self.open_set_ups):
                self._owner.exchange.give_up(call_id)
