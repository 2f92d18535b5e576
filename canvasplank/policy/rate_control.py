"""The rate rule (ND1621's adaptation): sets the leak rate of a server's bucket, cuts it and lets it grow."""

from __future__ import annotations

from canvasplank.policy.leaky_bucket import MAX_FILL, NEVER, SECOND_MS, SPLASH, LeakyBucket
from canvasplank.policy.server_observations import ANSWER_WINDOW_MS, MIN_ANSWERS, ServerObservations

MIN_RATE_PER_S = 1.0  # lowest rate after a cut, and least growth per quiet second; times ``fleet_fraction()``
GROWTH_FRACTION = 0.1  # growth per quiet second, as a fraction of the rate
# The leak rate is at most MAX_LEAK_SHARES times the even share or the answered rate, whichever is higher.
# With MIN_ANSWERS in the window it may reach MAX_LEAK_MULTIPLE times the answered rate.
MAX_LEAK_SHARES = 1.5
MAX_LEAK_MULTIPLE = 4.0
# MIN_ANSWERS prompt answers in a row show that congestion has ended.
PROMPT_FRACTION = 0.5  # of the congested wait: an answer within this is prompt
RECOVERY_FACTOR = 1.5  # growth of the rate after each such row, up to the rate before the cut
LOG_INTERVAL_MS = 5000.0  # least time between two log lines about the congestion of one server

SILENCE_DELAYS = 4.0  # a server is silent after this many usual delays, and at least the harmful wait


class RateControl:
    """The bucket of one server and its leak rate."""

    def __init__(self, server: ServerObservations, dither: float, initial_per_s: float | None) -> None:
        self._server = server
        self._context = server.context
        now_ms = server.context.now_ms
        self.quiet_since_ms = now_ms  # start of the current second without congestion
        self.bucket = LeakyBucket(now_ms, dither, NEVER if initial_per_s is None else initial_per_s)
        # The rate to recover after cuts that no "full" confirmed; None: nothing to recover.
        self.rate_before_cut = None if initial_per_s is None else NEVER
        self.last_cut_ms = -NEVER
        self._last_logged_ms = -NEVER
        self._prompt_answers = 0  # number in a row

    def limit(self, rate_per_s: float) -> None:
        """Lower the rate to this one, but not below the minimum rate."""
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S * self._server.fleet_fraction())
        self.bucket.rate = min(self.bucket.rate, rate_per_s)
        self.quiet_since_ms = self._context.now_ms

    def update(self) -> None:
        """Apply the leak since the last call, and the growth of the rate in quiet seconds."""
        bucket = self.bucket
        server = self._server
        now_ms = self._context.now_ms
        if bucket.last_ms == now_ms:
            return
        after_ms = server.overdue_after_ms()
        overdue_ms = server.oldest_unanswered_ms() + after_ms
        # Exception (overdue answers): nothing leaks while an answer is overdue, up to ``max_halt_ms``.
        max_halt_ms = SILENCE_DELAYS * max(self._context.harmful_wait_ms, server.usual_delay_ms or 0.0)
        bucket.leak(now_ms, overdue_ms if now_ms < overdue_ms + max_halt_ms else NEVER)
        if now_ms > server.oldest_overdue_ms() + after_ms:
            self.quiet_since_ms = now_ms
        while bucket.rate < NEVER and now_ms - self.quiet_since_ms >= SECOND_MS:
            self.quiet_since_ms += SECOND_MS
            bucket.rate += max(GROWTH_FRACTION * bucket.rate, MIN_RATE_PER_S * server.fleet_fraction())
            if bucket.rate * self._context.tick_ms > MAX_FILL * SECOND_MS:  # a full bucket empties in a tick
                bucket.rate = NEVER
        # Exception (fleet size): a gateway that suddenly gets most calls waits until answers raise its bound.
        if (share := server.even_share_per_s()) is not None:
            answered = server.window_rate_per_s()
            by_answers = MAX_LEAK_MULTIPLE * answered * (len(server.answered_ms) >= MIN_ANSWERS)
            bucket.max_rate = max(MAX_LEAK_SHARES * max(share, answered), by_answers)

    def cut(self, reason: str, *, full: bool = False) -> None:
        """Cut the rate to that of the answered calls, at most once a second, or usual delay if longer."""
        now_ms = self._context.now_ms
        bucket = self.bucket
        server = self._server
        self.update()
        self.quiet_since_ms = now_ms
        if now_ms - self.last_cut_ms < max(SECOND_MS, server.usual_delay_ms or 0.0):
            return
        self.last_cut_ms = now_ms
        rate = max(MIN_RATE_PER_S * server.fleet_fraction(), server.answered_rate_per_s() * SPLASH)
        # Exception (newly met): in the first window of answers the rate stays at the even share or above.
        if not full and now_ms < server.known_since_ms + ANSWER_WINDOW_MS:
            rate = max(rate, server.even_share_per_s() or 0.0)
        self.rate_before_cut = bucket.rate if self.rate_before_cut is None else self.rate_before_cut
        bucket.rate = min(rate, bucket.rate)
        if now_ms - self._last_logged_ms >= LOG_INTERVAL_MS:
            self._last_logged_ms = now_ms
            self._context.log(f"server {server.entry.id}: congested, {reason}: rate {rate:.1f}/s")

    def on_full(self, processor_full: bool) -> None:
        """Cut the rate after a rejection for capacity; prompt answers do not undo this cut."""
        self.cut("processor full" if processor_full else "no free circuit", full=processor_full)
        self.rate_before_cut = None

    def on_answer(self, sent_ms: float, waited_ms: float) -> None:
        """Exception (eased cuts): prompt answers undo a cut that no "full" has confirmed."""
        prompt_ms = (self._server.min_delay_ms or 0.0) + PROMPT_FRACTION * self._context.congested_wait_ms
        prompt = sent_ms > self.last_cut_ms and waited_ms <= prompt_ms
        rate = self.bucket.rate
        self._prompt_answers = self._prompt_answers + 1 if prompt else 0
        if self.rate_before_cut is not None and self._prompt_answers >= MIN_ANSWERS:
            self.bucket.rate = min(max(rate, self.rate_before_cut), RECOVERY_FACTOR * rate)
            self._prompt_answers = 0
            self.rate_before_cut = self.rate_before_cut if self.rate_before_cut > self.bucket.rate else None

    def check(self, silent: bool) -> float:
        """Cut if answers are overdue, except those of a silent server; return when to check again."""
        since_ms = self._server.oldest_overdue_ms()
        after_ms = self._server.overdue_after_ms()
        if (waited_ms := self._context.now_ms - since_ms) >= after_ms and not silent:
            self.cut(f"no answer for {waited_ms:.0f} ms")
        return max(since_ms + after_ms, self.last_cut_ms + max(SECOND_MS, self._server.usual_delay_ms or 0.0))
