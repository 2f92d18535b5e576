"""Sends releases of established calls to callers, and sends them again until they are delivered.

A release goes out on the connection of its call, on another open one ("foreign"), or on the next one opened.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from canvasplank.counters import Counters
from canvasplank.exchange.call_records import CallerRelease
from canvasplank.network.caller_pool import CallerPool
from canvasplank.network.caller_stream import CallerStream
from canvasplank.network.release_retransmission import (
    CONFIRMATION_WINDOW_MS,
    ReleaseHandling,
)
from canvasplank.runtime.scheduler import Scheduler, Timer

MAX_PENDING_RELEASES = 20_000  # releases that wait for a connection
MAX_UNDELIVERED_RELEASES = 20_000  # past it the oldest is dropped, and its server never gets a confirmation
# How long a pending release waits for a connection that carries calls before it may go out on any.
PENDING_RELEASE_DELAY_MS = 500.0
RETRY_DELAY_MS = 250.0  # an unconfirmed foreign release is sent again on another connection after this time
CHECK_INTERVAL_MS = 50.0
MAX_FOREIGN_SENDS = 3  # on connections on which calls were set up, and as many on others
MAX_RETRY_AGE_MS = 8000.0  # a foreign release that was last written longer ago is not sent again


@dataclass(slots=True)
class UndeliveredRelease:
    """A release that is not known to have reached its caller."""

    on_delivered: Callable[[], None] | None = None
    written_ms: float | None = None  # when it was last written to a connection; None: it waits for one
    is_foreign: bool = False  # whether it was last written to a connection other than its call's
    foreign_sends: list[CallerStream] = field(default_factory=list)  # all such connections, in sending order

    def counts_as_delivered(self, now_ms: float) -> bool:
        """Whether it was written so long ago that it counts as read without a confirmation."""
        window_ms = MAX_RETRY_AGE_MS if self.is_foreign else CONFIRMATION_WINDOW_MS
        return self.written_ms is not None and now_ms - self.written_ms >= window_ms

    def may_retry(self, now_ms: float) -> bool:
        """Whether a recent foreign release may be sent again on a connection on which calls were set up."""
        is_recent = self.written_ms is not None and now_ms - self.written_ms < MAX_RETRY_AGE_MS
        return is_recent and self.is_foreign and self._remaining_sends(has_set_up_calls=True) > 0

    def next_connections(self, usable: list[CallerStream], current: CallerStream) -> list[CallerStream]:
        """Return the connections for the next sends: in the order of ``usable``, untried ones first.

        ``MAX_FOREIGN_SENDS`` applies separately to connections on which calls were set up and to the others.
        Sends on the others must not use up the sends that are left for callers that connect later.
        """
        others = [stream for stream in usable if stream is not current]
        untried = [stream for stream in others if stream not in self.foreign_sends]
        tried = [stream for stream in others if stream in self.foreign_sends]
        remaining = {flag: self._remaining_sends(has_set_up_calls=flag) for flag in (True, False)}
        chosen: list[CallerStream] = []
        for stream in untried + tried:
            if remaining[stream.has_set_up_calls]:
                remaining[stream.has_set_up_calls] -= 1
                chosen.append(stream)
        return chosen

    def _remaining_sends(self, *, has_set_up_calls: bool) -> int:
        sends = [stream for stream in self.foreign_sends if stream.has_set_up_calls is has_set_up_calls]
        return max(0, MAX_FOREIGN_SENDS - len(sends))


class CallerReleases:
    """Sends releases to callers, and sends them again if they may not have been read."""

    def __init__(self, scheduler: Scheduler, counters: Counters, pool: CallerPool) -> None:
        self._scheduler, self._counters, self._pool = scheduler, counters, pool
        self._pending: dict[str, CallerRelease] = {}  # releases that wait for a connection, by call
        self._undelivered: dict[str, UndeliveredRelease] = {}  # all, by call, oldest first
        self._check: Timer | None = None  # set while releases are to be checked by ``_check_unconfirmed``

    def send(self, stream: CallerStream | None, release: CallerRelease) -> None:
        """Send a release on the connection of its call, else on the best that carries calls, or later.

        The release counts as delivered once it is confirmed, or a time after it was written to a connection
        that has not ended.
        """
        undelivered = self._undelivered.setdefault(release.call_id, UndeliveredRelease())
        undelivered.on_delivered = release.on_delivered or undelivered.on_delivered
        undelivered.written_ms = None
        if len(self._undelivered) > MAX_UNDELIVERED_RELEASES:
            del self._undelivered[next(iter(self._undelivered))]
        if stream is not None and stream.is_open and not stream.half_closed:
            self._send_on(stream, release)
        elif (other := self._pool.best_for_release(carrying_calls=True)) is not None:
            self._send_on(other, release, is_foreign=True)
        elif len(self._pending) < MAX_PENDING_RELEASES:
            self._pending[release.call_id] = release
            self._send_pending_later()
        else:
            self._undelivered.pop(release.call_id, None)

    def wait_for_delivery(self, call_id: str, on_delivered: Callable[[], None]) -> bool:
        """Replace the callback of an undelivered release; False if this call has none."""
        undelivered = self._undelivered.get(call_id)
        if undelivered is None:
            return False
        undelivered.on_delivered = on_delivered
        return True

    def on_delivered(self, call_id: str) -> None:
        """Called when a caller has confirmed a release, or the release counts as delivered."""
        undelivered = self._undelivered.pop(call_id, None)
        if undelivered is not None and undelivered.on_delivered is not None:
            undelivered.on_delivered()

    def on_connected(self) -> None:
        """Called when a caller connects; schedules pending releases to be sent on any connection."""
        if self._pending:
            self._send_pending_later()

    def send_pending(self, stream: CallerStream) -> None:
        """Send all pending releases on this connection."""
        pending, self._pending = self._pending, {}
        for release in pending.values():
            self._send_on(stream, release, is_foreign=True)

    def resend_unconfirmed(self, stream: CallerStream) -> None:
        """Send recent releases again that the caller may not have read before it closed this connection."""
        since_ms = self._scheduler.now_ms - CONFIRMATION_WINDOW_MS
        for call_id, cause in stream.unconfirmed.take_sent_after(since_ms):
            self.send(None, CallerRelease(call_id, cause))

    def flush(self) -> None:
        """Send pending and unconfirmed foreign releases on several connections, before all are closed.

        No time is left to wait for a confirmation, or for a connection that carries calls.
        """
        usable = self._pool.usable_for_release(carrying_calls=True)
        usable = usable or self._pool.usable_for_release(carrying_calls=False)
        pending, self._pending = self._pending, {}
        unconfirmed = self._foreign_unconfirmed()
        for release in pending.values():
            for stream in usable[:MAX_FOREIGN_SENDS]:
                self._send_on(stream, release, is_foreign=True)
        for stream, call_id, cause in unconfirmed:
            for other in self._undelivered[call_id].next_connections(usable, stream)[: MAX_FOREIGN_SENDS - 1]:
                self._write(other, call_id, cause, is_foreign=True)

    def _check_unconfirmed(self) -> None:
        """Send releases again that were not confirmed in time, since the peer may not know the call.

        Releases written long ago to a connection that has not ended are treated as delivered.
        """
        self._check = None
        now_ms = self._scheduler.now_ms
        unconfirmed = self._foreign_unconfirmed()
        if unconfirmed:
            self._check_later()
        ignored = [
            (stream, call_id, cause)
            for stream, call_id, cause in unconfirmed
            if now_ms - stream.unconfirmed[call_id].sent_ms >= RETRY_DELAY_MS
        ]
        for stream, _, _ in ignored:
            stream.last_release = ReleaseHandling.IGNORED
        usable = self._pool.usable_for_release(carrying_calls=True) if ignored else []
        for stream, call_id, cause in ignored:
            self._retry(stream, call_id, cause, usable)
        for call_id, undelivered in list(self._undelivered.items()):
            if undelivered.counts_as_delivered(now_ms):
                self.on_delivered(call_id)
            elif undelivered.written_ms is not None:
                self._check_later()

    def _foreign_unconfirmed(self) -> list[tuple[CallerStream, str, int]]:
        """Return the connection, call and cause of each release that may be sent again."""
        now_ms = self._scheduler.now_ms
        return [
            (stream, call_id, sent.cause)
            for stream in self._pool.streams
            for call_id, sent in stream.unconfirmed.items()
            if (undelivered := self._undelivered.get(call_id)) is not None and undelivered.may_retry(now_ms)
        ]

    def _retry(self, stream: CallerStream, call_id: str, cause: int, usable: list[CallerStream]) -> None:
        others = self._undelivered[call_id].next_connections(usable, stream)
        if not others:
            return
        stream.unconfirmed.pop(call_id, None)  # the entry may have been dropped as the oldest one
        self._counters.add("sent.releases_again")
        self._write(others[0], call_id, cause, is_foreign=True)

    def _check_later(self) -> None:
        if self._check is None:
            self._check = self._scheduler.call_later(CHECK_INTERVAL_MS, self._check_unconfirmed)

    def _send_on(self, stream: CallerStream, release: CallerRelease, *, is_foreign: bool = False) -> None:
        self._counters.add("sent.releases_to_callers")
        self._write(stream, release.call_id, release.cause, is_foreign=is_foreign)

    def _write(self, stream: CallerStream, call_id: str, cause: int, *, is_foreign: bool) -> None:
        stream.send_release(call_id, cause)
        self._check_later()
        undelivered = self._undelivered.get(call_id)
        if undelivered is not None:
            undelivered.written_ms = self._scheduler.now_ms
            undelivered.is_foreign = is_foreign
            if is_foreign:
                undelivered.foreign_sends.append(stream)

    def _send_pending_later(self) -> None:
        self._scheduler.call_later(PENDING_RELEASE_DELAY_MS, self._send_pending_on_any)

    def _send_pending_on_any(self) -> None:
        stream = self._pool.best_for_release(carrying_calls=False)
        if stream is not None:
            self.send_pending(stream)
