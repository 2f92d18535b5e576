"""Who has not been heard of for a lease: by durations on this proxy's own steady clock alone.

No I/O and no clock.  It errs on the side of the one that is watched: a row counts from after the answer that
first showed it as it is, up to before the request that says so is sent.
"""

from __future__ import annotations

from collections.abc import Iterable

from canvasplank.fleet.lease_holder import Lease
from canvasplank.fleet.state import Sign


class Watch:
    """The rows as they were last seen, and since when."""

    def __init__(self, lease: Lease) -> None:
        self._lease = lease
        self._since: dict[int, tuple[Sign, float]] = {}  # by incarnation: its row, and when that was new

    def saw(self, signs: Iterable[Sign], now_ms: float) -> None:
        """All rows there are, from an answer that is here now."""
        fresh: dict[int, tuple[Sign, float]] = {}
        for sign in signs:
            before, since_ms = self._since.get(sign.incarnation, (None, now_ms))
            fresh[sign.incarnation] = (sign, since_ms if before == sign else now_ms)
        self._since = fresh

    def dead(self, now_ms: float) -> tuple[Sign, ...]:
        """Those that a request sent now may have removed."""
        return tuple(
            sign
            for sign, since_ms in sorted(self._since.values())
            if now_ms - since_ms >= self._lease.over_ms(sign.lease_ms)
        )

    def __len__(self) -> int:
        return len(self._since)
