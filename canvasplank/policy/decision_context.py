"""State shared by the policy's classes: settings, derived waits, time, random draws, actions, the timer."""

import random

from canvasplank import interface as api
from canvasplank.policy.leaky_bucket import NEVER

CONGESTION_FRACTION = 0.5  # of the harmful wait: a slower answer is a sign of congestion
STALL_TICKS = 4  # a timer that fires later than this shows that this gateway did not run meanwhile


class DecisionContext:
    """Time and actions of the current event, and state that outlives it."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.resumed_ms = -1.0  # when a standstill of this gateway was last noticed
        self.actions: list[api.Action] = []
        # By pool: the circuits and the capacity (set-ups/s) that one of its servers reported last.
        self.pool_reports: dict[int, tuple[float | None, float | None]] = {}
        self.tick_ms = max(settings.tick_ms, 1.0)
        target_ms = min(c.target_ms for c in settings.classes)
        # A longer wait harms a call: the set-up is sent again, or its target is missed.
        self.harmful_wait_ms = min(settings.resend_ms or target_ms, target_ms)
        self.congested_wait_ms = CONGESTION_FRACTION * self.harmful_wait_ms
        holds = [c.hold_ms for c in settings.classes if c.hold_ms is not None]
        self.mean_hold_ms = sum(holds) / len(holds) if holds else None
        self._wakeup_ms = NEVER  # when the current timer fires
        self._wakeups = 0  # number of the current timer

    def start_event(self, now_ms: float) -> None:
        """Start handling an event; a clock that steps back does not move ``now_ms`` back."""
        self.now_ms = max(self.now_ms, now_ms)
        self.actions = []
        if self.now_ms > self._wakeup_ms + STALL_TICKS * self.tick_ms:
            # Exception (standstill): events that piled up are all read before any wait counts as too long.
            self.resumed_ms = self.now_ms
            self._wakeup_ms = NEVER
            self.wake_at(self.now_ms + self.tick_ms)

    def wake_at(self, at_ms: float) -> None:
        """Request a check at this time, or in a tick if that is later; only the earliest timer is current."""
        if at_ms < self._wakeup_ms:
            self._wakeup_ms = max(at_ms, self.now_ms + self.tick_ms)
            self._wakeups += 1
            self.actions.append(api.SetTimer(self._wakeup_ms - self.now_ms, f"look {self._wakeups}"))

    def take_timer(self, token: str) -> bool:
        """Return whether the token is that of the current timer, which has then fired."""
        current = token == f"look {self._wakeups}"
        self._wakeup_ms = NEVER if current else self._wakeup_ms
        return current

    def log(self, text: str) -> None:
        self.actions.append(api.Log(text))
