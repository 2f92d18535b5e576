"""A token bucket, for limits on what one connection, or all together, may ask for in a time.

This module does no I/O and reads no clock; times are in milliseconds.
"""

from __future__ import annotations

MS_PER_S = 1000.0


class TokenBucket:
    """Fills at a constant rate up to its capacity; whoever takes a token needs a whole one."""

    def __init__(
        self, rate_per_s: float, capacity: float, now_ms: float, initial: float | None = None
    ) -> None:
        """``initial``: tokens at the start, the capacity by default."""
        self._rate_per_s, self._capacity = rate_per_s, capacity
        self._tokens = capacity if initial is None else initial
        self._filled_ms = now_ms

    def has_token(self, now_ms: float) -> bool:
        """Return whether a token can be taken at a time."""
        self._fill(now_ms)
        return self._tokens >= 1.0

    def take(self, now_ms: float) -> bool:
        """Take a token; return False, and take none, if there is none."""
        if not self.has_token(now_ms):
            return False
        self._tokens -= 1.0
        return True

    def add(self, tokens: float) -> None:
        """Add tokens, up to the capacity."""
        self._tokens = min(self._capacity, self._tokens + tokens)

    def _fill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._filled_ms)
        self._filled_ms = max(self._filled_ms, now_ms)
        self.add(elapsed_ms * self._rate_per_s / MS_PER_S)
