"""Detects members whose lease has expired, by durations on this process's own clock alone.

This module does no I/O and reads no clock: each method is given the time in milliseconds.  The measured
duration errs in favour of the observed member: it starts after the response that first contained a heartbeat
has arrived, and ends before the request that reports the heartbeat as expired is sent.
"""

from __future__ import annotations

from collections.abc import Iterable

from canvasplank.fleet.lease_holder import Lease
from canvasplank.fleet.lease_messages import Heartbeat


class FailureDetector:
    """Records the newest heartbeat of each member and how long it has been unchanged."""

    def __init__(self, lease: Lease) -> None:
        self._lease = lease
        # By incarnation: the newest heartbeat and when it was first seen, in milliseconds.
        self._unchanged_since: dict[int, tuple[Heartbeat, float]] = {}

    def observe(self, heartbeats: Iterable[Heartbeat], now_ms: float) -> None:
        """Record the heartbeats of all members, from a response that has just arrived."""
        observed: dict[int, tuple[Heartbeat, float]] = {}
        for heartbeat in heartbeats:
            previous, since_ms = self._unchanged_since.get(heartbeat.incarnation, (None, now_ms))
            observed[heartbeat.incarnation] = (heartbeat, since_ms if previous == heartbeat else now_ms)
        self._unchanged_since = observed

    def expired(self, now_ms: float) -> tuple[Heartbeat, ...]:
        """Return, sorted, the heartbeats that a request sent now may report as expired."""
        return tuple(
            heartbeat
            for heartbeat, since_ms in sorted(self._unchanged_since.values())
            if now_ms - since_ms >= self._lease.expiry_ms(heartbeat.lease_ms)
        )

    def __len__(self) -> int:
        return len(self._unchanged_since)
