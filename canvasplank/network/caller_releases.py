"""Releases of established calls to callers: on the call's own connection, on another, or on the next."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from canvasplank.counters import Counters
from canvasplank.exchange.call_records import CallerRelease
from canvasplank.network.caller_pool import CallerPool
from canvasplank.network.caller_stream import CallerStream
from canvasplank.network.release_retransmission import (
    CONFIRMATION_WINDOW_MS,
    ReleaseHandling,
    SentRelease,
)
from canvasplank.runtime.scheduler import Scheduler, Timer

MAX_PENDING_RELEASES = 20_000  # that wait for a connection
MAX_UNDELIVERED_RELEASES = 20_000  # past it the oldest is forgotten, and its server never gets a confirmation
# For so long a pending release waits for a connection that carries calls; then any will do.
PENDING_RELEASE_DELAY_MS = 500.0
# One that went on another connection than its call's, and that nobody confirms, is sent again on a third.
RETRY_DELAY_MS = 250.0
CHECK_INTERVAL_MS = 50.0
MAX_FOREIGN_SENDS = 3
MAX_RETRY_AGE_MS = 8000.0  # for so long an unconfirmed release waits for another connection


@dataclass(slots=True)
class UndeliveredRelease:
    """A release of which it is not known that its caller has it."""

    on_delivered: Callable[[], None] | None = None
    written_ms: float | None = None  # when it was last written to a connection; None: it waits for one
    is_foreign: bool = False  # whether that was another connection than its call's

    def is_due(self, now_ms: float) -> bool:
        """Whether it counts as delivered by now, since the connection has not ended and nobody confirms."""
        window_ms = MAX_RETRY_AGE_MS if self.is_foreign else CONFIRMATION_WINDOW_MS
        return self.written_ms is not None and now_ms - self.written_ms >= window_ms


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
            self._send_on(other, release, foreign_sends=1)
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
            self._send_on(stream, release, foreign_sends=1)

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
        for release in pending.values():
            for stream in usable[:MAX_FOREIGN_SENDS]:
                self._send_on(stream, release, foreign_sends=MAX_FOREIGN_SENDS)
        for stream in usable:
            for call_id, sent in list(stream.unconfirmed.items()):
                if self._may_retry(sent):
                    others = [other for other in usable if other is not stream]
                    for other in others[: MAX_FOREIGN_SENDS - sent.foreign_sends]:
                        self._write(other, call_id, sent.cause, MAX_FOREIGN_SENDS)

    def _check_unconfirmed(self) -> None:
        """Send again what was not confirmed in time, since the peer may not know the call.

        What was written long ago to a connection that has not ended counts as delivered.
        """
        self._check = None
        now_ms = self._scheduler.now_ms
        for stream in list(self._pool.streams):
            for call_id, release in list(stream.unconfirmed.items()):
                if not self._may_retry(release):
                    continue
                self._check_later()
                if now_ms - release.sent_ms >= RETRY_DELAY_MS:
                    self._retry(stream, call_id, release)
        for call_id, undelivered in list(self._undelivered.items()):
            if undelivered.is_due(now_ms):
                self.on_delivered(call_id)
            elif undelivered.written_ms is not None:
                self._check_later()

    def _may_retry(self, release: SentRelease) -> bool:
        is_recent = self._scheduler.now_ms - release.sent_ms < MAX_RETRY_AGE_MS
        return is_recent and 0 < release.foreign_sends < MAX_FOREIGN_SENDS

    def _check_later(self) -> None:
        if self._check is None:
            self._check = self._scheduler.call_later(CHECK_INTERVAL_MS, self._check_unconfirmed)

    def _retry(self, stream: CallerStream, call_id: str, release: SentRelease) -> None:
        stream.last_release = ReleaseHandling.IGNORED
        other = self._pool.best_for_release(carrying_calls=True, other_than=stream)
        if other is None:
            return
        del stream.unconfirmed[call_id]
        self._counters.add("sent.releases_again")
        self._write(other, call_id, release.cause, release.foreign_sends + 1)

    def _send_on(self, stream: CallerStream, release: CallerRelease, foreign_sends: int = 0) -> None:
        self._counters.add("sent.releases_to_callers")
        self._write(stream, release.call_id, release.cause, foreign_sends)

    def _write(self, stream: CallerStream, call_id: str, cause: int, foreign_sends: int) -> None:
        stream.send_release(call_id, cause, foreign_sends)
        self._check_later()
        undelivered = self._undelivered.get(call_id)
        if undelivered is not None:
            undelivered.written_ms = self._scheduler.now_ms
            undelivered.is_foreign = foreign_sends > 0

    def _send_pending_later(self) -> None:
        self._scheduler.call_later(PENDING_RELEASE_DELAY_MS, self._send_pending_on_any)

    def _send_pending_on_any(self) -> None:
        stream = self._pool.best_for_release(carrying_calls=False)
        if stream is not None:
            self.send_pending(stream)
