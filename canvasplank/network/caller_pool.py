"""The open connections from callers: limits their number, and closes idle, excess and drained ones.

Times are in milliseconds, on the scheduler's clock.
"""

from __future__ import annotations

from canvasplank.counters import Counters
from canvasplank.network.caller_drain import (
    DRAIN_EXPIRED_MS,
    DRAIN_OVERDUE_MS,
    CallerDrain,
    DrainPhase,
)
from canvasplank.network.caller_stream import MESSAGE_TIMEOUT_MS, CallerStream
from canvasplank.network.release_retransmission import ReleaseHandling
from canvasplank.runtime.scheduler import Scheduler

FIRST_REQUEST_GRACE_MS = 500.0  # past the limit, older connections without a message are closed first
MAX_SOCKETS_FRACTION = 0.6  # of the configured sockets; servers, discovery and files need the rest
ACCEPT_FRACTION = 0.1  # of the allowed connections: the most accepted in one loop iteration
IDLE_CHECK_INTERVAL_MS = 250.0
QUIESCED_IDLE_MS = 200.0  # idle time-out while quiesced; callers still connect for 0.2 s after a quiesce


class CallerPool:
    """Limits the connections from callers, and closes those that are idle, in excess or drained."""

    def __init__(self, scheduler: Scheduler, counters: Counters, sockets: int, idle_ms: float) -> None:
        """``idle_ms``: a connection without an open set-up is closed when it was unused for this time."""
        self.streams: dict[CallerStream, None] = {}  # oldest first
        self._drain = CallerDrain()
        self._scheduler = scheduler
        self._counters = counters
        self._idle_ms = idle_ms
        self.limit(sockets)

    def limit(self, sockets: int) -> None:
        """Apply a new limit on the program's sockets."""
        self._max_connections = max(1, int(sockets * MAX_SOCKETS_FRACTION))
        self.max_accepts = max(1, int(self._max_connections * ACCEPT_FRACTION))

    def add(self, stream: CallerStream) -> None:
        """Add a new connection, and close others past the limit."""
        self._counters.add("sockets.callers")
        self.streams[stream] = None
        self.make_room()

    def remove(self, stream: CallerStream) -> None:
        """Remove a connection that has ended."""
        self.streams.pop(stream, None)

    def usable_for_release(self, *, carrying_calls: bool) -> list[CallerStream]:
        """Return the connections that can be written to, ordered by how likely their peer handles a release.

        First come those whose last release was confirmed, then those on which calls were set up, since peers
        that never read may still have sent other messages.  The rest is ordered by the handling of the last
        release.  Among equals the newest comes first, as the least likely to be closed now.

        ``carrying_calls``: only those that have carried calls.  A peer that only tests this proxy knows of no
        calls, and must not be sent a release.
        """
        usable = [
            stream
            for stream in reversed(self.streams)
            if stream.is_open and not stream.half_closed and (stream.carries_calls or not carrying_calls)
        ]
        return sorted(usable, key=_release_preference, reverse=True)

    def best_for_release(self, *, carrying_calls: bool) -> CallerStream | None:
        """Return the first connection of ``usable_for_release``; None if there is none."""
        return next(iter(self.usable_for_release(carrying_calls=carrying_calls)), None)

    @property
    def drain_phase(self) -> DrainPhase:
        """The phase of the drain of callers."""
        return self._drain.phase(self._scheduler.now_ms)

    def quiesce(self) -> None:
        """Drain callers: see ``DrainPhase``."""
        if self._drain.begin(self._scheduler.now_ms):
            self._scheduler.call_later(DRAIN_OVERDUE_MS, self._enter_drain_phase)
            self._scheduler.call_later(DRAIN_EXPIRED_MS, self._enter_drain_phase)
        self._enter_drain_phase()

    def _enter_drain_phase(self) -> None:
        """Close the connections that can be closed in the present phase of the drain."""
        for stream in list(self.streams):
            stream.give_up_if_expired()
            stream.close_if_drained()

    def resume(self) -> None:
        """Stop draining callers."""
        self._drain.end()

    def close_writing(self) -> None:
        """Close every connection for writing, and keep reading data already in flight."""
        for stream in list(self.streams):
            stream.close_writing()

    def unsent(self) -> int:
        """Return the number of bytes still to be sent to callers."""
        return sum(stream.unsent for stream in self.streams)

    def make_room(self) -> None:
        """Close connections past the limit, so that callers never take every descriptor.

        Connections without an open set-up are closed: first those that have sent no message within
        ``FIRST_REQUEST_GRACE_MS``, then those with the fewest established calls, since a release is best sent
        on the connection of its call, and of these the longest unused.  If all have open set-ups, the newest
        is closed.  Connections closed for writing are aborted past a limit of their own.
        """
        open_streams = [s for s in self.streams if s.is_open]
        excess = len(open_streams) - self._max_connections
        closing_excess = max(0, len(self.streams) - self._max_connections - self.max_accepts)
        for stream in [s for s in self.streams if s.writing_closed][:closing_excess]:
            stream.abort()
        if excess <= 0:
            return
        newest = open_streams.pop()
        grace_since_ms = self._scheduler.now_ms - FIRST_REQUEST_GRACE_MS
        idle = [s for s in open_streams if not s.open_set_ups]
        idle.sort(
            key=lambda stream: (
                stream.has_received_message or stream.last_used_ms > grace_since_ms,
                len(stream.established),
                stream.last_used_ms,
            )
        )
        for stream in (idle or [newest])[:excess]:
            self._counters.add("sockets.callers_closed_for_room")
            stream.close_writing()

    def close_idle_connections(self) -> None:
        """Close connections that are idle or whose next complete message is overdue; runs periodically."""
        now_ms = self._scheduler.now_ms
        phase = self.drain_phase
        idle_ms = QUIESCED_IDLE_MS if phase else self._idle_ms
        for stream in [s for s in self.streams if s.is_open]:
            if stream.message_is_overdue:
                stream.abort_unreadable(f"no complete message within {MESSAGE_TIMEOUT_MS:.0f} ms")
            elif self._is_idle(stream) and (
                phase >= DrainPhase.OVERDUE or now_ms - stream.last_used_ms > idle_ms
            ):
                stream.close_writing()
        self._scheduler.call_later(IDLE_CHECK_INTERVAL_MS, self.close_idle_connections)

    def _is_idle(self, stream: CallerStream) -> bool:
        return stream.is_unused if self.drain_phase else not stream.open_set_ups


def _release_preference(stream: CallerStream) -> tuple[bool, bool, int]:
    confirms = stream.last_release is ReleaseHandling.CONFIRMED
    return confirms, stream.has_set_up_calls, stream.last_release
