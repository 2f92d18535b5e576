"""The rate rule: at what rate the bucket of one server leaks, and when that rate is cut and grows."""

from __future__ import annotations

from canvasplank.policy.leaky_bucket import MAX_FILL, NEVER, SECOND_MS, SPLASH, LeakyBucket
from canvasplank.policy.server_observations import ANSWER_WINDOW_MS, MIN_ANSWERS, ServerObservations

MIN_RATE_PER_S = 1.0  # the rate rule (ND1621's adaptation): at least after a cut, and ...
GROWTH_FRACTION = 0.1  # ... of the rate per quiet second, or MIN_RATE_PER_S, whichever is more
MAX_LEAK_SHARES = 1.5  # highest leak rate, as a multiple of the even share or of the answered rate ...
MAX_LEAK_MULTIPLE = 4.0  # ... or, with MIN_ANSWERS in the window, this multiple of the answered rate
PROMPT_FRACTION = 0.5  # of the congested wait: MIN_ANSWERS no slower in a row show that congestion ended
RECOVERY_FACTOR = 1.5  # of the rate at each such row, up to what it was
LOG_INTERVAL_MS = 5000.0  # between two lines about the congestion of one server

SILENCE_DELAYS = 4.0  # usual delays without a word, and at least the harmful wait, are a silence


class RateControl:
    """The bucket of one server and the rate at which it leaks."""

    def __init__(self, server: ServerObservations, dither: float, initial_per_s: float | None) -> None:
        self._server = server
        self._context = server.context
        now_ms = server.context.now_ms
        self.quiet_since_ms = now_ms  # since when the present quiet second runs
        self.bucket = LeakyBucket(now_ms, dither, NEVER if initial_per_s is None else initial_per_s)
        self.rate_before_cut = None if initial_per_s is None else NEVER  # one that no 'full' has confirmed
        self.last_cut_ms = -NEVER
        self._last_logged_ms = -NEVER
        self._prompt_answers = 0  # in a row

    def limit(self, rate_per_s: float) -> None:
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S * self._server.fleet_fraction())
        self.bucket.rate = min(self.bucket.rate, rate_per_s)
        self.quiet_since_ms = self._context.now_ms

    def settle(self) -> None:
        """Bring the bucket up to now: what leaked, and what its rate grew in quiet seconds."""
        bucket = self.bucket
        server = self._server
        now_ms = self._context.now_ms
        if bucket.last_ms == now_ms:
            return
        after_ms = server.overdue_after_ms()
        overdue_ms = server.oldest_unanswered_ms() + after_ms
        # Exception (overdue answers): nothing leaks from when an answer is overdue until it comes.
        halt_ms = SILENCE_DELAYS * max(self._context.harmful_wait_ms, server.usual_delay_ms or 0.0)
        bucket.leak(now_ms, overdue_ms if now_ms < overdue_ms + halt_ms else NEVER)
        if now_ms > server.oldest_overdue_ms() + after_ms:
            self.quiet_since_ms = now_ms
        while bucket.rate < NEVER and now_ms - self.quiet_since_ms >= SECOND_MS:
            self.quiet_since_ms += SECOND_MS
            bucket.rate += max(GROWTH_FRACTION * bucket.rate, MIN_RATE_PER_S * server.fleet_fraction())
            if bucket.rate * self._context.tick_ms > MAX_FILL * SECOND_MS:  # it empties within a tick
                bucket.rate = NEVER
        # Exception (fleet size): a gateway that suddenly gets most of the calls waits until answers widen it.
        if (share := server.even_share_per_s()) is not None:
            answered = server.window_rate_per_s()
            by_answers = MAX_LEAK_MULTIPLE * answered * (len(server.answered_ms) >= MIN_ANSWERS)
            bucket.max_rate = max(MAX_LEAK_SHARES * max(share, answered), by_answers)

    def cut(self, reason: str, *, full: bool = False) -> None:
        now_ms = self._context.now_ms
        bucket = self.bucket
        server = self._server
        self.settle()
        self.quiet_since_ms = now_ms
        if now_ms - self.last_cut_ms < max(SECOND_MS, server.usual_delay_ms or 0.0):
            return
        self.last_cut_ms = now_ms
        rate = max(MIN_RATE_PER_S * server.fleet_fraction(), server.answered_rate_per_s() * SPLASH)
        # Exception (newly met): while answers are too few to go by, an even share bounds the cut.
        if not full and now_ms < server.known_since_ms + ANSWER_WINDOW_MS:
            rate = max(rate, server.even_share_per_s() or 0.0)
        self.rate_before_cut = bucket.rate if self.rate_before_cut is None else self.rate_before_cut
        bucket.rate = min(rate, bucket.rate)
        if now_ms - self._last_logged_ms >= LOG_INTERVAL_MS:
            self._last_logged_ms = now_ms
            self._context.log(f"server {server.entry.id}: congested, {reason}: rate {rate:.1f}/s")

    def on_full(self, processor_full: bool) -> None:
        self.cut("processor full" if processor_full else "no free circuit", full=processor_full)
        self.rate_before_cut = None  # recovery does not undo it

    def on_answer(self, sent_ms: float, waited_ms: float) -> None:
        """Exception (eased cuts): one that no 'full' has confirmed lasts only while answers wait."""
        prompt_ms = (self._server.min_delay_ms or 0.0) + PROMPT_FRACTION * self._context.congested_wait_ms
        prompt = sent_ms > self.last_cut_ms and waited_ms <= prompt_ms
        rate = self.bucket.rate
        self._prompt_answers = self._prompt_answers + 1 if prompt else 0
        if self.rate_before_cut is not None and self._prompt_answers >= MIN_ANSWERS:
            self.bucket.rate = min(max(rate, self.rate_before_cut), RECOVERY_FACTOR * rate)
            self._prompt_answers = 0
            self.rate_before_cut = self.rate_before_cut if self.rate_before_cut > self.bucket.rate else None

    def check(self, silent: bool) -> float:
        """Cut if answers are overdue, but not by trials of a silent server; gives when to check again."""
        since_ms = self._server.oldest_overdue_ms()
        after_ms = self._server.overdue_after_ms()
        if (waited_ms := self._context.now_ms - since_ms) >= after_ms and not silent:
            self.cut(f"no answer for {waited_ms:.0f} ms")
        return max(since_ms + after_ms, self.last_cut_ms + max(SECOND_MS, self._server.usual_delay_ms or 0.0))
