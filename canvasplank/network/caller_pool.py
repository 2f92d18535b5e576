"""The open connections from callers: how many there may be, and which are closed when.

Times are in milliseconds, on the scheduler's clock.
"""

from __future__ import annotations

from canvasplank.counters import Counters
from canvasplank.network.caller_stream import MESSAGE_TIMEOUT_MS, CallerStream
from canvasplank.network.release_retransmission import ReleaseHandling
from canvasplank.runtime.scheduler import Scheduler

FIRST_REQUEST_GRACE_MS = 500.0  # a connection this young that has sent no message may be about to
MAX_SOCKETS_FRACTION = 0.6  # of the configured sockets; servers, discovery and files need the rest
ACCEPT_FRACTION = 0.1  # of those: how many are accepted in one go
IDLE_CHECK_INTERVAL_MS = 250.0
# So long after a quiesce callers that still send set-ups are sent away, calls established or not: the front
# expects that none is left after 4 s.
DRAIN_OVERDUE_MS = 3000.0
QUIESCED_IDLE_MS = 200.0  # while quiesced, a connection unused for so long is closed: new ones come for 0.2 s


class CallerPool:
    """Bounds the connections from callers, and closes those that are idle, in the way or sent away."""

    def __init__(self, scheduler: Scheduler, counters: Counters, sockets: int, idle_ms: float) -> None:
        """``idle_ms``: a connection without an open set-up that is unused for so long is closed."""
        self.streams: dict[CallerStream, None] = {}  # the oldest first
        self.quiesced = False
        self._quiesced_ms = 0.0
        self._scheduler = scheduler
        self._counters = counters
        self._idle_ms = idle_ms
        self.limit(sockets)

    def limit(self, sockets: int) -> None:
        """Take a new limit of the program's sockets."""
        self._max_connections = max(1, int(sockets * MAX_SOCKETS_FRACTION))
        self.max_accepts = max(1, int(self._max_connections * ACCEPT_FRACTION))

    def add(self, stream: CallerStream) -> None:
        """Take in a new connection, and make room for it."""
        self._counters.add("sockets.callers")
        self.streams[stream] = None
        self.make_room()

    def remove(self, stream: CallerStream) -> None:
        """Take out one that has ended."""
        self.streams.pop(stream, None)

    def usable_for_release(self, *, carrying_calls: bool) -> list[CallerStream]:
        """Connections that can be written to, those first whose peers most likely pass a release on.

        That is where the last release was confirmed; then where calls were set up, since a crowd that does
        not read may well have sent something else; then by what became of the last release; then the newest,
        which is the least likely to be closed now.

        ``carrying_calls``: only among those that have carried calls.  Whoever only tests this proxy knows
        nothing of calls, and must not be sent a release.
        """
        usable = [
            stream
            for stream in reversed(self.streams)
            if stream.is_open and not stream.half_closed and (stream.carries_calls or not carrying_calls)
        ]
        return sorted(usable, key=_release_preference, reverse=True)

    def best_for_release(self, *, carrying_calls: bool) -> CallerStream | None:
        """The first that is usable: see ``usable_for_release``."""
        return next(iter(self.usable_for_release(carrying_calls=carrying_calls)), None)

    def quiesce(self) -> None:
        """Send callers away: each connection is closed once it carries nothing, from now on."""
        if not self.quiesced:
            self._quiesced_ms = self._scheduler.now_ms
        self.quiesced = True
        for stream in list(self.streams):
            stream.close_if_quiesced()

    @property
    def drain_overdue(self) -> bool:
        """Whether it has been quiesced for ``DRAIN_OVERDUE_MS``."""
        return self.quiesced and self._scheduler.now_ms - self._quiesced_ms >= DRAIN_OVERDUE_MS

    def resume(self) -> None:
        """Stop sending callers away."""
        self.quiesced = False

    def close_writing(self) -> None:
        """End every connection for writing, and read on for what crosses that."""
        for stream in list(self.streams):
            stream.close_writing()

    def unsent(self) -> int:
        """Bytes still to be sent to callers."""
        return sum(stream.unsent for stream in self.streams)

    def make_room(self) -> None:
        """Close connections past the limit, so that callers never take every descriptor.

        Those without an open set-up go: first whoever has sent no message yet, then those that carry the
        fewest established calls, whose releases are best sent there, and of these the longest unused.  Where
        all are busy, the newest goes.  Those closed for writing are aborted past a number of their own.
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
        """Close, periodically, what is long unused or sends no complete message where one is due."""
        now_ms = self._scheduler.now_ms
        idle_ms = QUIESCED_IDLE_MS if self.quiesced else self._idle_ms
        for stream in [s for s in self.streams if s.is_open]:
            if stream.message_is_overdue:
                stream.abort_unreadable(f"nothing whole for {MESSAGE_TIMEOUT_MS:.0f} ms")
            elif self._is_idle(stream) and (self.drain_overdue or now_ms - stream.last_used_ms > idle_ms):
                stream.close_writing()
        self._scheduler.call_later(IDLE_CHECK_INTERVAL_MS, self.close_idle_connections)

    def _is_idle(self, stream: CallerStream) -> bool:
        return stream.is_unused if self.quiesced else not stream.open_set_ups


def _release_preference(stream: CallerStream) -> tuple[bool, bool, int]:
    confirms = stream.last_release is ReleaseHandling.CONFIRMED
    return confirms, stream.has_set_up_calls, stream.last_release
