"""Records releases that a peer has not confirmed, to send them again if their connection ends.

A release written to a connection that is ending may never be read, and the call would stay established at the
peer for ever.  Connections to callers and to call servers both record the releases that they have sent.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import NamedTuple

MAX_UNCONFIRMED_RELEASES = 1000  # per connection; above it the oldest counts as confirmed
CONFIRMATION_WINDOW_MS = 1000.0  # an older release counts as read, since a peer need not confirm


class PendingRelease(NamedTuple):
    """A release that waits for a connection."""

    cause: int
    on_sent: Callable[[], None] | None = None  # called once it is sent, or cannot be sent for now


class ReleaseHandling(enum.IntEnum):
    """How a caller handled the last release on its connection; higher values are preferred for the next."""

    IGNORED = 0  # not confirmed in time
    UNKNOWN = 1
    CONFIRMED = 2


class SentRelease(NamedTuple):
    """A release that was sent: its Q.850 cause and the time it was written."""

    cause: int
    sent_ms: float


class UnconfirmedReleases(dict[str, SentRelease]):
    """The unconfirmed releases of one connection by call, the oldest first; a confirmation pops its entry."""

    def add(self, call_id: str, cause: int, now_ms: float) -> None:
        """Record a release that is being written; drop the oldest above ``MAX_UNCONFIRMED_RELEASES``."""
        self[call_id] = SentRelease(cause, now_ms)
        if len(self) > MAX_UNCONFIRMED_RELEASES:
            del self[next(iter(self))]

    def take_sent_after(self, since_ms: float) -> list[tuple[str, int]]:
        """Remove all releases; return call id and cause of those sent after ``since_ms``, oldest first."""
        recent = [(call_id, self[call_id].cause) for call_id in self.sent_after(since_ms)]
        self.clear()
        return recent

    def sent_after(self, since_ms: float) -> list[str]:
        """Return the call ids of releases sent after ``since_ms``, oldest first."""
        return [call_id for call_id, sent in self.items() if sent.sent_ms > since_ms]
