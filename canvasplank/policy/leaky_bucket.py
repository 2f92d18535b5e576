"""The restrictor: ND1621's floating-point leaky bucket with several thresholds over one fill."""

SPLASH = 1.0  # a set-up of any class is the same work here, so it is the unit of every fill and threshold
INITIAL_FILL = 0.5  # with ND1621's uniform(-0.5, 0.5), so that gateways started together do not act together
LOWEST_THRESHOLD = 1.0  # for the lowest weight: only into an empty bucket
HIGHEST_THRESHOLD = 2.5  # for the highest weight: all gateways together run ahead so far at each server
MAX_FILL = 3.0
SECOND_MS = 1000.0
NEVER = float("inf")


class LeakyBucket:
    """One fill that leaks, for one server."""

    __slots__ = ("fill", "last_ms", "max_rate", "rate")

    def __init__(self, now_ms: float, dither: float, rate: float = NEVER) -> None:
        self.fill = max(0.0, INITIAL_FILL + dither)
        self.last_ms = now_ms
        self.rate = rate  # splash a second; NEVER: open
        self.max_rate = NEVER  # it leaks no faster, whatever the rate

    def leak(self, now_ms: float, until_ms: float = NEVER) -> None:
        """Let the fill fall for the time since the last call; only what lies before ``until_ms`` counts."""
        elapsed_ms = min(now_ms, until_ms) - self.last_ms
        self.last_ms = now_ms
        if elapsed_ms > 0:
            self.fill = max(0.0, self.fill - min(self.rate, self.max_rate) * elapsed_ms / SECOND_MS)

    def admits(self, threshold: float) -> bool:
        return self.fill + SPLASH <= threshold

    def admits_at_ms(self, threshold: float) -> float:
        excess = max(0.0, self.fill + SPLASH - threshold)  # if nothing is added
        return self.last_ms + excess * SECOND_MS / min(self.rate, self.max_rate)

    def add(self, splash: float = SPLASH) -> None:
        """Count work; a negative splash gives back what was counted for a set-up that made none."""
        self.fill = max(0.0, min(MAX_FILL, self.fill + splash))
