"""Connections from callers, in the binary messages of ``codecs.isup``."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import cast

from canvasplank.codecs import isup
from canvasplank.codecs.errors import BadMessageError
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.config.platform_settings import RequestBounds
from canvasplank.exchange.call_records import CallerRelease, FinalAnswer
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.caller_drain import DrainPhase
from canvasplank.network.caller_pool import CallerPool
from canvasplank.network.caller_releases import CallerReleases
from canvasplank.network.caller_stream import CallerStream
from canvasplank.network.deferred_input import DeferredInput
from canvasplank.network.listener import Listener
from canvasplank.network.set_up_parser import is_within_bounds, parse_set_up, replace_unknown_names
from canvasplank.network.stream import BufferBudget
from canvasplank.network.token_bucket import TokenBucket

# Releases of calls that nobody knows, of all connections together: as many as a restart under load may leave.
UNKNOWN_RELEASES_PER_S, MAX_UNKNOWN_RELEASES = 400.0, 2000.0
REJECTION_CAUSES = {
    FinalAnswer.REFUSED: ReleaseCause.SWITCHING_CONGESTION,
    FinalAnswer.FAILED: ReleaseCause.TEMPORARY_FAILURE,
    FinalAnswer.INVALID: ReleaseCause.INVALID_INFORMATION,
}


class Callers:
    """Passes messages between the connections from callers and the exchange (see ``CallerSide``)."""

    def __init__(
        self,
        exchange: Exchange,
        bounds: RequestBounds,
        sockets: int,
        idle_ms: float,
        budget: BufferBudget,
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create the callers' side; it listens only after ``listen``.

        ``sockets``: the program's limit; ``idle_ms``: see ``CallerPool``; ``is_ready``: whether the program
        accepts new callers.
        """
        self.exchange = exchange
        self.budget = budget
        self._bounds = bounds
        self._pool = CallerPool(exchange.scheduler, exchange.counters, sockets, idle_ms)
        self.streams = self._pool.streams  # oldest first
        self.releases = CallerReleases(exchange.scheduler, exchange.counters, self._pool)
        self.deferred_input = DeferredInput(exchange.scheduler, exchange.counters)
        self._unknown_releases = TokenBucket(
            UNKNOWN_RELEASES_PER_S, MAX_UNKNOWN_RELEASES, exchange.scheduler.now_ms
        )
        self._is_ready = is_ready
        self._successor: CallerStream | None = None  # the connection of a new process at this address
        self._listener: Listener | None = None

    @property
    def drain_phase(self) -> DrainPhase:
        """See ``CallerStreamOwner``."""
        return self._pool.drain_phase

    def listen(self, host: str, port: int) -> None:
        """Open the listener on this address; raises ``OSError``.

        The listener accepts few connections per iteration, so that the pool can close others in between.
        Otherwise a burst could take every descriptor, and the listener would pause for a second.
        """
        self._listener = Listener(
            self.exchange.scheduler, host, port, self._pool.max_accepts, lambda: CallerStream(self)
        )
        self._pool.close_idle_connections()

    def limit(self, sockets: int) -> None:
        """Apply a new limit on the program's sockets."""
        self._pool.limit(sockets)
        if self._listener is not None:
            self._listener.limit(self._pool.max_accepts)

    def stop_listening(self) -> None:
        """Accept the connections in the kernel's queue, then close the listener."""
        if self._listener is not None:
            self._listener.close()

    def disconnect(self) -> None:
        """Close every connection for writing once all calls are answered, and keep reading.

        Otherwise a caller could write a set-up to a connection that is no longer read while the process
        ends, and would get no answer.
        """
        self.releases.flush()
        self._pool.close_writing()

    @property
    def takes_callers(self) -> bool:
        """Whether new callers are accepted: the result of a TEST message."""
        return not self.drain_phase and self._is_ready()

    def quiesce(self) -> None:
        """Drain callers: see ``DrainPhase``."""
        self._pool.quiesce()

    def resume(self) -> None:
        """Stop draining callers."""
        self._pool.resume()

    def unsent(self) -> int:
        """Return the number of bytes still to be sent to callers."""
        return self._pool.unsent()

    # ------------------------------------------------------------------------------ from the exchange

    def is_reachable(self, origin: Hashable) -> bool:
        """See ``CallerSide``."""
        return cast(CallerStream, origin).is_open

    def answer(self, origin: Hashable, call_id: str, description: bytes) -> None:
        """See ``CallerSide``."""
        cast(CallerStream, origin).send_answer(call_id, isup.answer(call_id, description))

    def reject(
        self, origin: Hashable, call_id: str, final: FinalAnswer, retry_after_ms: float | None
    ) -> None:
        """See ``CallerSide``."""
        rejection = isup.release(call_id, REJECTION_CAUSES[final], retry_after_ms)
        cast(CallerStream, origin).send_final_answer(call_id, rejection)

    def release(self, origin: Hashable | None, release: CallerRelease) -> None:
        """See ``CallerSide``; a release may go out on any connection, or on the next one to be opened."""
        stream = cast("CallerStream | None", origin)
        if stream is not None:
            stream.established.discard(release.call_id)
        self.releases.send(stream, release)

    def wait_for_delivery(self, call_id: str, on_delivered: Callable[[], None]) -> bool:
        """See ``CallerSide``."""
        return self.releases.wait_for_delivery(call_id, on_delivered)

    def remove_call(self, origin: Hashable, call_id: str) -> None:
        """See ``CallerSide``."""
        cast(CallerStream, origin).remove_call(call_id)

    # ------------------------------------------------------------------------------ from the connections

    def on_connected(self, stream: CallerStream) -> None:
        """See ``CallerStreamOwner``."""
        self._pool.add(stream)
        self.releases.on_connected()

    def on_disconnected(self, stream: CallerStream) -> None:
        """See ``CallerStreamOwner``."""
        self._pool.remove(stream)
        if stream is self._successor:
            self._successor = None
        for call_id in list(stream.open_set_ups):
            self.exchange.on_caller_disconnected(call_id, stream)
        self.releases.resend_unconfirmed(stream)

    def on_message(self, stream: CallerStream, message: isup.Message) -> None:
        """See ``CallerStreamOwner``; a message type that callers do not send is a bad message."""
        if message.kind != isup.Kind.TEST and not stream.carries_calls and stream is not self._successor:
            stream.on_first_call_message()
            self.releases.send_pending(stream)
        match message.kind:
            case isup.Kind.SET_UP if stream.has_left or not stream.is_open:
                pass  # its caller has left, or had not seen our close and sends it again on a new connection
            case isup.Kind.SET_UP:
                self._on_set_up(stream, message)
            case isup.Kind.RELEASE if stream is self._successor:
                self.exchange.on_abandoned_elsewhere(message.call_id)
            case isup.Kind.RELEASE:
                self._on_release(stream, message)
            case isup.Kind.RELEASE_CONFIRMED:
                stream.on_release_confirmed(message.call_id)
                self.releases.on_delivered(message.call_id)
            case isup.Kind.TEST:
                if message.call_id == isup.UPGRADE_ID and stream.is_from_this_host:
                    self._on_successor(stream)
                stream.write(isup.test_result(message.call_id, self.takes_callers))
            case isup.Kind.PROGRESS:
                pass  # carries no information for the proxy
            case _:
                raise BadMessageError(f"message type {message.kind} is not expected from a caller")

    def _on_successor(self, stream: CallerStream) -> None:
        """Tell a new process at this address of the calls that must not run again there."""
        if stream is self._successor:
            return
        self._successor = stream
        for call_id in self.exchange.recently_attempted():
            self.announce_abandoned(call_id)

    def announce_abandoned(self, call_id: str) -> None:
        """Tell the new process, if there is one, of a call that was abandoned here after an attempt."""
        if self._successor is not None:
            self._successor.write(isup.release(call_id, ReleaseCause.NORMAL_CLEARING))

    def _on_release(self, stream: CallerStream, message: isup.Message) -> None:
        now_ms = self.exchange.scheduler.now_ms
        if not self.exchange.knows(message.call_id) and not (
            stream.unknown_releases.take(now_ms) and self._unknown_releases.take(now_ms)
        ):
            # Each goes to every call server: at full speed they leave no time there, nor here, for calls.
            self.exchange.counters.add("taken.releases_over_limit")
            raise BadMessageError("too many releases of unknown calls")
        self.exchange.on_released_by_caller(message.call_id, message.cause)
        stream.write(isup.release_confirmed(message.call_id))

    def _on_set_up(self, stream: CallerStream, message: isup.Message) -> None:
        call = parse_set_up(stream, message, self._bounds, self.exchange.scheduler)
        new = call.id not in stream.open_set_ups
        stream.last_set_up_ms = self.exchange.scheduler.now_ms
        if new and not is_within_bounds(call, message, self._bounds):
            # No server can use it: forwarding it would only burden the servers and delay other calls.
            replace_unknown_names(call, self._bounds)
            self.exchange.reject_invalid(call)
            return
        if not self.exchange.has_call(call.id) and not stream.set_up_allowance.take(stream.last_set_up_ms):
            self.exchange.reject_over_limit(call)
            return
        stream.has_set_up_calls = True
        stream.open_set_ups.add(call.id)
        if not self.exchange.offer(call, accept_new=self.drain_phase < DrainPhase.OVERDUE):
            if new:
                stream.open_set_ups.discard(call.id)
            raise BadMessageError(f"set-up {call.id}: the call id is in use by another call")
        stream.give_up_if_expired()
