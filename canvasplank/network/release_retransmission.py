"""Releases that a peer has not confirmed: sent again on another connection where the first has died.

A release that was written to a connection as that ended may never have been read, and the call would stay
established at the other side for ever.  Both kinds of connection record here what they have sent.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import NamedTuple

MAX_UNCONFIRMED_RELEASES = 1000  # of one connection; past it the oldest counts as confirmed
CONFIRMATION_WINDOW_MS = 1000.0  # a release this old has been read, whether or not the peer confirms any


class PendingRelease(NamedTuple):
    """A release that waits for a connection."""

    cause: int
    on_sent: Callable[[], None] | None = None  # called once it is sent, or need not be waited for


class ReleaseHandling(enum.IntEnum):
    """What became of the last release on a caller's connection; the greater, the better for the next one."""

    IGNORED = 0  # it was not confirmed in time
    UNKNOWN = 1
    CONFIRMED = 2


class SentRelease(NamedTuple):
    """One release on its way: its cause (Q.850) and when it was written."""

    cause: int
    sent_ms: float


class UnconfirmedReleases(dict[str, SentRelease]):
    """The unconfirmed releases of one connection by call, the oldest first; a confirmation pops its entry."""

    def add(self, call_id: str, cause: int, now_ms: float) -> None:
        """Record a release that is being written; the oldest gives way past ``MAX_UNCONFIRMED_RELEASES``."""
        self[call_id] = SentRelease(cause, now_ms)
        if len(self) > MAX_UNCONFIRMED_RELEASES:
            del self[next(iter(self))]

    def take_sent_after(self, since_ms: float) -> list[tuple[str, int]]:
        """Remove all, and return call and cause of those sent after this time, the oldest first."""
        recent = [(call_id, self[call_id].cause) for call_id in self.sent_after(since_ms)]
        self.clear()
        return recent

    def sent_after(self, since_ms: float) -> list[str]:
        """The calls of those sent after this time, the oldest first."""
        return [call_id for call_id, sent in self.items() if sent.sent_ms > since_ms]
