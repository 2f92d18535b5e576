"""Who has not been heard of for a lease: by durations on this proxy's own steady clock alone.

No I/O and no clock.  It errs on the side of the one that is watched: a row counts from after the answer that
first showed it as it is, up to before the request that says so is sent.
"""

from __future__ import annotations

from collections.abc import Iterable

from canvasplank.fleet.lease_holder import Lease
from canvasplank.fleet.lease_messages import Heartbeat


class FailureDetector:
    """The rows as they were last seen, and since when."""

    def __init__(self, lease: Lease) -> None:
        self._lease = lease
        self._since: dict[int, tuple[Heartbeat, float]] = {}  # by incarnation: its row, and when that was new

    def observe(self, heartbeats: Iterable[Heartbeat], now_ms: float) -> None:
        """All rows there are, from an answer that is here now."""
        fresh: dict[int, tuple[Heartbeat, float]] = {}
        for heartbeat in heartbeats:
            before, since_ms = self._since.get(heartbeat.incarnation, (None, now_ms))
            fresh[heartbeat.incarnation] = (heartbeat, since_ms if before == heartbeat else now_ms)
        self._since = fresh

    def expired(self, now_ms: float) -> tuple[Heartbeat, ...]:
        """Those that a request sent now may have removed."""
        return tuple(
            heartbeat
            for heartbeat, since_ms in sorted(self._since.values())
            if now_ms - since_ms >= self._lease.expiry_ms(heartbeat.lease_ms)
        )

    def __len__(self) -> int:
        return len(self._since)
