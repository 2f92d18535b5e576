"""One call server: its events, slow start and silence detection."""

from __future__ import annotations

from canvasplank import interface as api
from canvasplank.policy.decision_context import DecisionContext
from canvasplank.policy.leaky_bucket import NEVER, SECOND_MS, SPLASH, LeakyBucket
from canvasplank.policy.rate_control import MIN_RATE_PER_S, SILENCE_DELAYS, RateControl
from canvasplank.policy.server_observations import ANSWER_WINDOW_MS, SMOOTHING_WEIGHT, ServerObservations

# The fraction of the limit of rule 4 that a cold server's budget uses, by the source of its known capacity.
# The first two are multiplied by the fraction of the capacity that is warm at the server's age.
CIRCUITS_FRACTION = 0.3  # its circuits
POOL_REPORT_FRACTION = 0.6  # an earlier report of the server or its pool
FRESH_REPORT_FRACTION = 0.8  # a fresh report of the server itself
ANSWERS_MULTIPLE = 1.2  # the budget is at least this multiple of the answered rate
REPORT_FRESH_MS = 2000.0  # age up to which a report counts as current
MASS_START_MS = 10_000.0  # duration of even spacing of set-ups where hundreds of gateways start at once

# The time between two trials of a silent server, in harmful waits, doubles from the first to the second.
INITIAL_TRIAL_BACKOFF = 2.0
MAX_TRIAL_BACKOFF = 8.0
# Slow start after a silence: the server may have restarted, which the server list shows seconds later.
RETURN_SLOW_START_MS = 5000.0


class Server(ServerObservations):
    """Passes the events of one server to rate control, slow start and silence detection.

    The order of these calls within a method matters.
    """

    def __init__(self, entry: api.Server, context: DecisionContext) -> None:
        super().__init__(entry, context)
        dither = context.rng.uniform(-0.5, 0.5)
        self.rate = RateControl(self, dither, entry.initial_rate_per_s)
        self.slow_start = SlowStart(self, dither)
        self.silence = SilenceDetection(self)
        self.slow_start.start(entry.started_ms)

    def on_entry(self, entry: api.Server) -> None:
        """Replace the list entry; a changed start time means a restart."""
        restarted = entry.started_ms != self.entry.started_ms
        self.entry = entry
        if restarted:  # set-ups that waited there are lost, which is no sign of silence
            self.answered_sent_ms = self.context.now_ms
            self.restart_seen_ms = self.context.now_ms
            self.silence.on_restart()
            self.slow_start.start(entry.started_ms)

    def on_warm_start_hint(self, hint: api.WarmStartHint) -> None:
        """Apply a running peer's knowledge of the server to its start values."""
        # Exception (learned start): only before this gateway's own observations.
        if not self.answered_ms and not self.pending:
            if hint.rate_per_s is not None:
                self.rate.limit(hint.rate_per_s)
            if hint.eject:
                self.silence.enter("reported by a running peer")

    def on_sent(self, call_id: str) -> None:
        self.silence.on_sent()
        self.rate.update()
        self.slow_start.bucket.add()
        self.rate.bucket.add()
        self.pending[call_id] = self.context.now_ms
        self.last_attempt_ms = self.context.now_ms

    def on_established(self, event: api.Established) -> None:
        self.rate.update()
        sent_ms = self.pending.pop(event.call_id)
        now_ms = self.context.now_ms
        self.silence.on_answer(sent_ms)
        self.last_received_ms = now_ms
        self.answered_sent_ms = max(self.answered_sent_ms, sent_ms)
        self.established_sent_ms = max(self.established_sent_ms, sent_ms)
        oldest_ms = next(iter(self.pending.values()), NEVER)
        if oldest_ms < self.established_sent_ms:  # it was overtaken: check it once its wait is harmful
            self.context.wake_at(max(now_ms, oldest_ms + self.context.harmful_wait_ms))
            if now_ms > oldest_ms + self.overdue_after_ms():
                self._last_loss_ms = now_ms
        if now_ms > self.context.resumed_ms:  # after a standstill the wait says nothing
            usual_ms = event.waited_ms if self.usual_delay_ms is None else self.usual_delay_ms
            self.usual_delay_ms = usual_ms + SMOOTHING_WEIGHT * (event.waited_ms - usual_ms)
            self.min_delay_ms = min(event.waited_ms, self.min_delay_ms or NEVER)
            was_slow = self.last_answer_slow
            self.last_answer_slow = event.waited_ms > self.overdue_after_ms()
            if was_slow and self.last_answer_slow:  # two in a row; the cut does not count this answer
                self.rate.cut(f"answers take {event.waited_ms:.0f} ms")
            self.rate.on_answer(sent_ms, event.waited_ms)
        self.answered_ms.append(now_ms)

    def on_ended(self, event: api.AttemptEnded) -> None:
        self.rate.update()
        sent_ms = self.pending.pop(event.call_id, None)
        if event.outcome in (api.Outcome.ENDED, api.Outcome.ERROR, api.Outcome.FULL):
            self.on_report(event.report)
            self.answered_sent_ms = max(self.answered_sent_ms, -1.0 if sent_ms is None else sent_ms)
        without_work = event.outcome in (api.Outcome.ERROR, api.Outcome.NO_CONNECTION, api.Outcome.NOT_SENT)
        if event.outcome is api.Outcome.FULL:
            self.rate.on_full(event.processor_full)
        elif sent_ms is not None and without_work:
            self.rate.bucket.add(-SPLASH)
        if event.outcome is api.Outcome.NO_CONNECTION:
            self.silence.enter("no connection")

    def check(self) -> float:
        """Check for overdue answers and silence; return when to check again."""
        rate_ms = self.rate.check(self.silence.silent)
        silent_ms = self.silence.check()
        return rate_ms if self.silence.silent else min(rate_ms, silent_ms)

    def learned(self) -> api.LearnedServer:
        """Return what was learned about the server, for the start of another instance."""
        rate = self.rate.bucket.rate if self.rate.bucket.rate < NEVER else None
        slow = (self.usual_delay_ms or 0.0) >= self.context.harmful_wait_ms
        silent = self.silence.silent
        silence_ms = max(self.silence.since_ms, self.last_attempt_ms) if silent else -NEVER
        observed_ms = max(self.last_received_ms, silence_ms)
        return api.LearnedServer(self.entry.id, self.entry.started_ms, rate, slow, silent, observed_ms)


class SlowStart:
    """Spaces the set-ups sent to one server with a bucket that holds one set-up."""

    def __init__(self, server: Server, dither: float) -> None:
        self._server = server
        self._context = server.context
        mass_start = server.entry.initial_rate_per_s
        self.bucket = LeakyBucket(self._context.now_ms, dither)
        self.until_ms = -NEVER
        self._paced_until_ms = -NEVER if mass_start is None else self._context.now_ms + MASS_START_MS

    def start(self, started_ms: float | None, span_ms: float = NEVER) -> None:
        """Begin slow start for a server started at this time; it lasts until the server is surely warm.

        ``span_ms`` shortens it where a restart is only suspected.
        """
        if started_ms is None:
            return
        span_ms = min(span_ms, self._context.settings.rules.warm_within_ms)
        self.until_ms = max(self.until_ms, started_ms + span_ms)
        self._server.discard_before(started_ms)
        self.bucket.leak(self._context.now_ms)
        self.bucket.fill = self._context.rng.random() * SPLASH  # random: all gateways learn of it at once

    def rate_per_s(self) -> float:
        """Return this gateway's set-ups a second to a cold server; all gateways together keep rule 4."""
        rules = self._context.settings.rules
        server = self._server
        now_ms = self._context.now_ms
        warm = rules.cold_share  # the fraction of its capacity that the server surely has
        if server.entry.started_ms is not None and rules.warm_within_ms > 0:
            age = min(1.0, max(0.0, (now_ms - server.entry.started_ms) / rules.warm_within_ms))
            warm = rules.cold_share + (1 - rules.cold_share) * age
        by_age = warm * (CIRCUITS_FRACTION if server.capacity_per_s is None else POOL_REPORT_FRACTION)
        fraction = FRESH_REPORT_FRACTION if now_ms < server.capacity_reported_ms + REPORT_FRESH_MS else by_age
        by_share = fraction * rules.overload_multiple * (server.even_share_per_s() or 0.0)
        # One answer fewer than counted, as a single one may be chance.
        answered = max(0.0, server.window_rate_per_s() - SECOND_MS / ANSWER_WINDOW_MS)
        by_answers = min(ANSWERS_MULTIPLE, rules.overload_multiple) * answered
        return max(MIN_RATE_PER_S / server.senders(), by_share, by_answers)

    def ready_at_ms(self) -> float:
        """Return when the next set-up may be sent.

        Set-ups are spaced at a cold server and, for a time (Exception: mass start), at any server.
        """
        now_ms = self._context.now_ms
        if max(self.until_ms, self._paced_until_ms) <= now_ms:
            return now_ms
        self.bucket.rate = self.rate_per_s() if now_ms < self.until_ms else self._server.rate.bucket.rate
        self.bucket.leak(now_ms)
        return self.bucket.admits_at_ms(SPLASH)


class SilenceDetection:
    """Decides whether one server is silent, and when a trial set-up may be sent to it."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._context = server.context
        self.silent = False
        self.since_ms = self._context.now_ms
        self.next_trial_ms = self._context.now_ms
        self._backoff = INITIAL_TRIAL_BACKOFF

    def enter(self, reason: str) -> None:
        """Mark the server as silent."""
        if not self.silent:
            self.silent = True
            self.since_ms = self._context.now_ms
            self._schedule_trial()
            self._context.log(f"server {self._server.entry.id}: silent: {reason}")

    def on_answer(self, sent_ms: float) -> None:
        """End the silence; ``sent_ms`` is the send time of the answered set-up."""
        if self.silent:
            self.silent = False
            self._backoff = INITIAL_TRIAL_BACKOFF
            if sent_ms >= self.since_ms + SECOND_MS:  # an answer to a trial: the server may have restarted
                self._server.slow_start.start(self._context.now_ms, RETURN_SLOW_START_MS)
            self._context.log(f"server {self._server.entry.id}: responding again")
            self._context.wake_at(self._context.now_ms + self._context.tick_ms)  # other calls can move here

    def on_restart(self) -> None:
        """End the silence: slow start limits the restarted server, so it needs no trials."""
        self.silent = False

    def is_trial_due(self) -> bool:
        return self.silent and self._context.now_ms >= self.next_trial_ms and not self._server.pending

    def on_sent(self) -> None:
        if self.silent:
            self._backoff = min(MAX_TRIAL_BACKOFF, 2 * self._backoff)
            self._schedule_trial()

    def _schedule_trial(self) -> None:
        """Set the next trial; a large fleet makes about as many as a few gateways, spread at random."""
        fraction = self._server.fleet_fraction()
        spread = 1.0 if fraction == 1.0 else self._context.rng.uniform(0.5, 1.5) / fraction
        self.next_trial_ms = self._context.now_ms + self._backoff * self._context.harmful_wait_ms * spread

    def check(self) -> float:
        """Enter silence if nothing was received for too long; return when the silence begins."""
        limit_ms = max(self._context.harmful_wait_ms, SILENCE_DELAYS * (self._server.usual_delay_ms or 0.0))
        silent_ms = max(self._server.oldest_unanswered_ms(), self._server.last_received_ms) + limit_ms
        if not self.silent and self._context.now_ms >= silent_ms:
            self.enter(f"{len(self._server.pending)} unanswered, nothing received for {limit_ms:.0f} ms")
        return silent_ms
