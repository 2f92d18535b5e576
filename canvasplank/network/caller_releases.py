"""Releases of established calls to callers: on the call's own connection, on another, or on the next."""

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

MAX_PENDING_RELEASES = 20_000  # that wait for a connection
MAX_UNDELIVERED_RELEASES = 20_000  # past it the oldest is forgotten, and its server never gets a confirmation
# For so long a pending release waits for a connection that carries calls; then any will do.
PENDING_RELEASE_DELAY_MS = 500.0
# One that went on another connection than its call's, and that nobody confirms, is sent again on a third.
RETRY_DELAY_MS = 250.0
CHECK_INTERVAL_MS = 50.0
MAX_FOREIGN_SENDS = 3  # on connections on which calls were set up, and as many on others
MAX_RETRY_AGE_MS = 8000.0  # for so long an unconfirmed release waits for another connection


@dataclass(slots=True)
class UndeliveredRelease:
    """A release of which it is not known that its caller has it."""

    on_delivered: Callable[[], None] | None = None
    written_ms: float | None = None  # when it was last written to a connection; None: it waits for one
    is_foreign: bool = False  # whether that was another connection than its call's
    foreign_sends: list[CallerStream] = field(default_factory=list)  # the other connections, in this order

    def is_due(self, now_ms: float) -> bool:
        """Whether it counts as delivered by now, since the connection has not ended and nobody confirms."""
        window_ms = MAX_RETRY_AGE_MS if self.is_foreign else CONFIRMATION_WINDOW_MS
        return self.written_ms is not None and now_ms - self.written_ms >= window_ms

    def may_retry(self, now_ms: float) -> bool:
        """Whether it may be sent again: on connections of callers it has not been sent often enough."""
        is_recent = self.written_ms is not None and now_ms - self.written_ms < MAX_RETRY_AGE_MS
        return is_recent and self.is_foreign and self._remaining_sends(to_callers=True) > 0

    def next_connections(self, usable: list[CallerStream], current: CallerStream) -> list[CallerStream]:
        """Where it may be sent again, the best first, and those first that it was not sent on.

        Sends on connections where no call was set up take none from those of callers, which may come later.
        """
        others = [stream for stream in usable if stream is not current]
        untried = [stream for stream in others if stream not in self.foreign_sends]
        tried = [stream for stream in others if stream in self.foreign_sends]
        remaining = {kind: self._remaining_sends(to_callers=kind) for kind in (True, False)}
        chosen: list[CallerStream] = []
        for stream in untried + tried:
            if remaining[stream.has_set_up_calls]:
                remaining[stream.has_set_up_calls] -= 1
                chosen.append(stream)
        return chosen

    def _remaining_sends(self, *, to_callers: bool) -> int:
        sends = [stream for stream in self.foreign_sends if stream.has_set_up_calls is to_callers]
        return max(0, MAX_FOREIGN_SENDS - len(sends))


class CallerReleases:
    """Sends releases to callers, and again where the first may not have been read."""

    def __init__(self, scheduler: Scheduler, counters: Counters, pool: CallerPool) -> None:
        self._scheduler, self._counters, self._pool = scheduler, counters, pool
        self._pending: dict[str, CallerRelease] = {}  # those that wait for a connection, by call
        self._undelivered: dict[str, UndeliveredRelease] = {}  # all, by call, the oldest first
        self._check: Timer | None = None  # while a release may be sent again, or may count as delivered

    def send(self, stream: CallerStream | None, release: CallerRelease) -> None:
        """Send here where it can be written to, else on the newest that carries calls, or later.

        It counts as delivered once it was confirmed, or was written long ago to a connection that has not
        ended.
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
        """Replace the callback of an undelivered release; False: none is undelivered."""
        undelivered = self._undelivered.get(call_id)
        if undelivered is None:
            return False
        undelivered.on_delivered = on_delivered
        return True

    def on_delivered(self, call_id: str) -> None:
        """A caller has confirmed this release, or it counts as delivered."""
        undelivered = self._undelivered.pop(call_id, None)
        if undelivered is not None and undelivered.on_delivered is not None:
            undelivered.on_delivered()

    def on_connected(self) -> None:
        """A connection is up: pending releases go there unless one that carries calls comes first."""
        if self._pending:
            self._send_pending_later()

    def send_pending(self, stream: CallerStream) -> None:
        """Write all that have waited for a connection."""
        pending, self._pending = self._pending, {}
        for release in pending.values():
            self._send_on(stream, release, is_foreign=True)

    def resend_unconfirmed(self, stream: CallerStream) -> None:
        """Send again what may have crossed the caller's end of this connection."""
        since_ms = self._scheduler.now_ms - CONFIRMATION_WINDOW_MS
        for call_id, cause in stream.unconfirmed.take_sent_after(since_ms):
            self.send(None, CallerRelease(call_id, cause))

    def flush(self) -> None:
        """Write what no caller is known to have on several connections, which are about to be ended.

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
        """Send again what was not confirmed in time, since the peer may not know the call.

        What was written long ago to a connection that has not ended counts as delivered.
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
            if undelivered.is_due(now_ms):
                self.on_delivered(call_id)
            elif undelivered.written_ms is not None:
                self._check_later()

    def _foreign_unconfirmed(self) -> list[tuple[CallerStream, str, int]]:
        """Connection, call and cause of releases that may be sent again."""
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
        stream.unconfirmed.pop(call_id, None)  # the oldest may have given way meanwhile
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
