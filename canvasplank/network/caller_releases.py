"""Releases of established calls to callers: on the call's own connection, on another, or on the next."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

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
# For so long a pending release waits for a connection that carries calls; then any will do.
PENDING_RELEASE_DELAY_MS = 500.0
# One that went on another connection than its call's, and that nobody confirms, is sent again on a third.
RETRY_DELAY_MS = 250.0
RETRY_CHECK_INTERVAL_MS = 50.0
MAX_FOREIGN_SENDS = 3
MAX_RETRY_AGE_MS = 8000.0  # for so long an unconfirmed release waits for another connection


class CallerReleases:
    """Sends releases to callers, and again where the first may not have been read."""

    def __init__(self, scheduler: Scheduler, counters: Counters, pool: CallerPool) -> None:
        self._scheduler, self._counters, self._pool = scheduler, counters, pool
        self._pending: dict[str, CallerRelease] = {}  # those that wait for a connection, by call
        self._retry_check: Timer | None = None  # while a release may have to be sent again

    def send(self, stream: CallerStream | None, release: CallerRelease) -> None:
        """Send here where it can be written to, else on the newest that carries calls, or later."""
        if stream is not None and stream.is_open and not stream.half_closed:
            self._send_on(stream, release)
        elif (other := self._pool.best_for_release(carrying_calls=True)) is not None:
            self._send_on(other, release, foreign_sends=1)
        elif len(self._pending) < MAX_PENDING_RELEASES:
            self._pending[release.call_id] = release
            self._send_pending_later()

    def wait_for_release(self, call_id: str, on_sent: Callable[[], None]) -> bool:
        """Replace the callback of a pending release; False: none is pending."""
        pending = self._pending.get(call_id)
        if pending is None:
            return False
        self._pending[call_id] = replace(pending, on_sent=on_sent)
        return True

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

    def _check_unconfirmed(self) -> None:
        """Send again what was not confirmed in time: the peer may not know the call."""
        self._retry_check = None
        now_ms = self._scheduler.now_ms
        for stream in list(self._pool.streams):
            for call_id, release in list(stream.unconfirmed.items()):
                if not self._may_retry(release):
                    continue
                self._check_unconfirmed_later()
                if now_ms - release.sent_ms >= RETRY_DELAY_MS:
                    self._retry(stream, call_id, release)

    def _may_retry(self, release: SentRelease) -> bool:
        is_recent = self._scheduler.now_ms - release.sent_ms < MAX_RETRY_AGE_MS
        return is_recent and 0 < release.foreign_sends < MAX_FOREIGN_SENDS

    def _check_unconfirmed_later(self) -> None:
        if self._retry_check is None:
            self._retry_check = self._scheduler.call_later(RETRY_CHECK_INTERVAL_MS, self._check_unconfirmed)

    def _retry(self, stream: CallerStream, call_id: str, release: SentRelease) -> None:
        stream.last_release = ReleaseHandling.IGNORED
        other = self._pool.best_for_release(carrying_calls=True, other_than=stream)
        if other is None:
            return
        del stream.unconfirmed[call_id]
        self._counters.add("sent.releases_again")
        other.send_release(call_id, release.cause, release.foreign_sends + 1)

    def _send_on(self, stream: CallerStream, release: CallerRelease, foreign_sends: int = 0) -> None:
        self._counters.add("sent.releases_to_callers")
        stream.send_release(release.call_id, release.cause, foreign_sends)
        if foreign_sends > 0:
            self._check_unconfirmed_later()
        if release.on_sent is not None:
            release.on_sent()

    def _send_pending_later(self) -> None:
        self._scheduler.call_later(PENDING_RELEASE_DELAY_MS, self._send_pending_on_any)

    def _send_pending_on_any(self) -> None:
        stream = self._pool.best_for_release(carrying_calls=False)
        if stream is not None:
            self.send_pending(stream)
