"""Detects members whose lease has expired, by durations on this proxy's own steady clock only.

No I/O and no clock: each method is given the time.  It errs in favour of the observed member: a duration runs
from after the response that first showed a heartbeat, to before the request that reports it expired.
"""

from __future__ import annotations

from collections.abc import Iterable

from canvasplank.fleet.lease_holder import Lease
from canvasplank.fleet.lease_messages import Heartbeat


class FailureDetector:
    """The newest heartbeat of each member, and since when it has been unchanged."""

    def __init__(self, lease: Lease) -> None:
        self._lease = lease
        self._since: dict[int, tuple[Heartbeat, float]] = {}  # by incarnation; when first seen, in ms

    def observe(self, heartbeats: Iterable[Heartbeat], now_ms: float) -> None:
        """Record the heartbeats of all members, from a response that has just arrived."""
        observed: dict[int, tuple[Heartbeat, float]] = {}
        for heartbeat in heartbeats:
            previous, since_ms = self._since.get(heartbeat.incarnation, (None, now_ms))
            observed[heartbeat.incarnation] = (heartbeat, since_ms if previous == heartbeat else now_ms)
        self._since = observed

    def expired(self, now_ms: float) -> tuple[Heartbeat, ...]:
        """The heartbeats whose members a request sent now may have removed, sorted."""
        return tuple(
            heartbeat
            for heartbeat, since_ms in sorted(self._since.values())
            if now_ms - since_ms >= self._lease.expiry_ms(heartbeat.lease_ms)
        )

    def __len__(self) -> int:
        return len(self._since)
