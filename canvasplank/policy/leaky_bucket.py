"""The call restrictor: ND1621's floating-point leaky bucket with one fill and several thresholds."""

# A set-up of any class is the same work, so one set-up is the unit of every fill and threshold.
SPLASH = 1.0
INITIAL_FILL = 0.5  # plus ND1621's uniform(-0.5, 0.5): gateways that start together get out of step
LOWEST_THRESHOLD = 1.0  # of the lowest weight: admitted only by an empty bucket
HIGHEST_THRESHOLD = 2.5  # of the highest weight: how far the gateways together run ahead at each server
MAX_FILL = 3.0
SECOND_MS = 1000.0
NEVER = float("inf")


class LeakyBucket:
    """The leaky bucket of one server: admits set-ups while its fill is low."""

    __slots__ = ("fill", "last_ms", "max_rate", "rate")

    def __init__(self, now_ms: float, dither: float, rate: float = NEVER) -> None:
        self.fill = max(0.0, INITIAL_FILL + dither)
        self.last_ms = now_ms
        self.rate = rate  # set-ups a second; NEVER: no limit
        self.max_rate = NEVER  # upper bound of the leak rate, whatever ``rate`` is

    def leak(self, now_ms: float, until_ms: float = NEVER) -> None:
        """Lower the fill for the time since the last call, as far as it lies before ``until_ms``."""
        elapsed_ms = min(now_ms, until_ms) - self.last_ms
        self.last_ms = now_ms
        if elapsed_ms > 0:
            self.fill = max(0.0, self.fill - min(self.rate, self.max_rate) * elapsed_ms / SECOND_MS)

    def admits(self, threshold: float) -> bool:
        """Return whether the bucket has room for one more set-up up to this threshold."""
        return self.fill + SPLASH <= threshold

    def admits_at_ms(self, threshold: float) -> float:
        """Return the time from which the bucket admits a set-up if nothing is added meanwhile."""
        excess = max(0.0, self.fill + SPLASH - threshold)
        return self.last_ms + excess * SECOND_MS / min(self.rate, self.max_rate)

    def add(self, splash: float = SPLASH) -> None:
        """Add a set-up; a negative ``splash`` takes back one that caused the server no work."""
        self.fill = max(0.0, min(MAX_FILL, self.fill + splash))
