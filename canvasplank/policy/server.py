"""One server as this gateway knows it, with a collaborator each for rate control, slow start and silence."""

from __future__ import annotations

from collections import deque

from canvasplank import interface as api
from canvasplank.policy.decision_context import DecisionContext
from canvasplank.policy.leaky_bucket import MAX_FILL, NEVER, SECOND_MS, SPLASH, LeakyBucket

ANSWER_WINDOW_MS, MIN_ANSWERS = 4000.0, 6  # answers before it count no more; fewer are no measure of a rate
SMOOTHING_WEIGHT = 0.25  # of the newest value in the usual delay and in the reported capacity
IGNORED_LOSSES, IGNORED_OVERDUE = 2, 1  # set-ups unanswered where some are lost; overdue after one in time
MIN_RATE_SHARE, MIN_RATE_GATEWAYS = 0.25, 8  # Exception (fleet size): of an even share; gateways at a second
MAX_POOLS = 256  # whose last report is remembered

MIN_RATE_PER_S = 1.0  # the rate rule (ND1621's adaptation): at least after a cut, and ...
GROWTH_FRACTION = 0.1  # ... of the rate per quiet second, or MIN_RATE_PER_S, whichever is more
MAX_LEAK_SHARES, MAX_LEAK_MULTIPLE = 1.5, 4.0  # of an even share; of the calls a second that it answers us
PROMPT_FRACTION = 0.5  # of the congested wait: MIN_ANSWERS no slower in a row show that congestion ended
RECOVERY_FACTOR = 1.5  # of the rate at each such row, up to what it was
LOG_INTERVAL_MS = 5000.0  # between two lines about the congestion of one server

BY_CIRCUITS, BY_POOL, BY_REPORT, ANSWERS_MULTIPLE = 0.3, 0.6, 0.8, 1.2  # of a cold server's budget; answers
REPORT_FRESH_MS = 2000.0  # so long a report counts as of now
MASS_START_MS = 10_000.0  # where hundreds of gateways start at once, set-ups come evenly spaced for so long

SILENCE_DELAYS = 4.0  # usual delays without a word, and at least the harmful wait, are a silence
INITIAL_TRIAL_BACKOFF, MAX_TRIAL_BACKOFF = 2.0, 8.0  # harmful waits between two trials, doubling
RETURN_SLOW_START_MS = 5000.0  # the list is seconds late: so long may a return from silence be a fresh start


class Server:
    """What this gateway knows of one server; its events go to the collaborators in an order that matters."""

    def __init__(self, entry: api.Server, context: DecisionContext) -> None:
        self.entry, self.context = entry, context
        # Exception (successors): until it reports, the last report of its pool stands in for its own.
        self.circuits, self.capacity_per_s = context.pool_reports.get(entry.pool, (None, None))
        self.capacity_reported_ms = -NEVER  # when it last reported that itself
        self.pending: dict[str, float] = {}  # unanswered set-ups of ours, by call, with the time of sending
        self.answered_ms: deque[float] = deque()  # when our set-ups were answered, within the window
        self.usual_delay_ms: float | None = None
        self.min_delay_ms: float | None = None  # the network's round trip, without a wait
        self.last_answer_slow = True  # no answer has come in time since the last that took too long
        self.known_since_ms = self.last_received_ms = self.last_attempt_ms = context.now_ms
        self.answered_sent_ms = -1.0  # the latest time of sending among the set-ups that it has answered
        self.established_sent_ms = -1.0  # and among those whose calls were established
        self.restart_seen_ms = -1.0  # when the list showed a restart
        self._last_loss_ms = -NEVER  # when a set-up was last found lost there
        dither = context.rng.uniform(-0.5, 0.5)
        self.rate = RateControl(self, dither, entry.initial_rate_per_s)
        self.slow_start = SlowStart(self, dither)
        self.silence = SilenceDetection(self)
        self.slow_start.start(entry.started_ms)

    def on_entry(self, entry: api.Server) -> None:
        restarted, self.entry = entry.started_ms != self.entry.started_ms, entry
        if restarted:  # what waited there is lost and proves nothing
            self.answered_sent_ms = self.restart_seen_ms = self.context.now_ms
            self.silence.on_restart()
            self.slow_start.start(entry.started_ms)

    def discard_before(self, started_ms: float) -> None:
        while self.answered_ms and self.answered_ms[0] < started_ms:  # that proves nothing of it now
            self.answered_ms.popleft()
        self.capacity_reported_ms = -NEVER

    def on_warm_start_hint(self, hint: api.WarmStartHint) -> None:
        if not self.answered_ms and not self.pending:  # Exception (learned start): only before any of our own
            if hint.rate_per_s is not None:
                self.rate.limit(hint.rate_per_s)
            if hint.eject:
                self.silence.enter("a running peer saw it so")

    def on_capacity(self, circuits: float | None, capacity_per_s: float | None) -> None:
        self.circuits, self.capacity_per_s, pools = circuits, capacity_per_s, self.context.pool_reports
        pools[self.entry.pool] = circuits, capacity_per_s
        if len(pools) > MAX_POOLS:
            del pools[next(iter(pools))]

    def on_report(self, report: api.Report | None) -> None:
        self.last_received_ms = self.context.now_ms
        rate = report and report.rate_per_s
        # Exception (load reports): a capacity reported without a wait is that for all senders.
        if report and rate and (report.wait_ms or 0.0) <= self.context.congested_wait_ms:
            old = self.capacity_per_s if self.capacity_reported_ms > -NEVER else None
            self.on_capacity(self.circuits, rate if old is None else old + SMOOTHING_WEIGHT * (rate - old))
            self.capacity_reported_ms = self.context.now_ms

    def on_sent(self, call_id: str) -> None:
        self.silence.on_sent()
        self.rate.settle()
        self.slow_start.bucket.add()
        self.rate.bucket.add()
        self.pending[call_id] = self.last_attempt_ms = self.context.now_ms

    def on_established(self, event: api.Established) -> None:
        self.rate.settle()
        sent_ms, now_ms = self.pending.pop(event.call_id), self.context.now_ms
        self.silence.on_answer(sent_ms)
        self.last_received_ms = now_ms
        self.answered_sent_ms = max(self.answered_sent_ms, sent_ms)
        self.established_sent_ms = max(self.established_sent_ms, sent_ms)
        oldest_ms = next(iter(self.pending.values()), NEVER)
        if oldest_ms < self.established_sent_ms:  # it was overtaken: it is checked when its wait does harm
            self.context.wake_at(max(now_ms, oldest_ms + self.context.harmful_wait_ms))
            if now_ms > oldest_ms + self.overdue_after_ms():
                self._last_loss_ms = now_ms
        if now_ms > self.context.resumed_ms:  # what is read on waking came some time before
            usual_ms = event.waited_ms if self.usual_delay_ms is None else self.usual_delay_ms
            self.usual_delay_ms = usual_ms + SMOOTHING_WEIGHT * (event.waited_ms - usual_ms)
            self.min_delay_ms = min(event.waited_ms, self.min_delay_ms or NEVER)
            was_slow, self.last_answer_slow = self.last_answer_slow, event.waited_ms > self.overdue_after_ms()
            if was_slow and self.last_answer_slow:  # cut to the answers before these two
                self.rate.cut(f"answers take {event.waited_ms:.0f} ms")
            self.rate.on_answer(sent_ms, event.waited_ms)
        self.answered_ms.append(now_ms)

    def on_ended(self, event: api.AttemptEnded) -> None:
        self.rate.settle()
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

    def check(self) -> float:  # gives when to check again
        rate_ms, silent_ms = self.rate.check(self.silence.silent), self.silence.check()
        return rate_ms if self.silence.silent else min(rate_ms, silent_ms)

    def learned(self) -> api.LearnedServer:
        rate = self.rate.bucket.rate if self.rate.bucket.rate < NEVER else None
        slow, silent = (self.usual_delay_ms or 0.0) >= self.context.harmful_wait_ms, self.silence.silent
        silence_ms = max(self.silence.since_ms, self.last_attempt_ms) if silent else -NEVER
        observed_ms = max(self.last_received_ms, silence_ms)
        return api.LearnedServer(self.entry.id, self.entry.started_ms, rate, slow, silent, observed_ms)

    def overdue_after_ms(self) -> float:
        return self.context.congested_wait_ms + (self.min_delay_ms or 0.0)  # over the network's round trip

    def oldest_unanswered_ms(self, ignored: int = 0) -> float:
        """When the oldest set-up was sent that no answer overtook (Exception: lost set-ups), or NEVER."""
        last_ms = next(reversed(self.pending.values()), -NEVER)
        ignored = max(ignored, IGNORED_LOSSES if last_ms < self._last_loss_ms + ANSWER_WINDOW_MS else 0)
        younger = [sent_ms for sent_ms in self.pending.values() if sent_ms > self.answered_sent_ms]
        return younger[ignored] if len(younger) > ignored else NEVER

    def oldest_overdue_ms(self) -> float:
        """The same for congestion, of which it takes two signs: a single one after one in time is chance."""
        return self.oldest_unanswered_ms(0 if self.last_answer_slow else IGNORED_OVERDUE)

    def window_rate_per_s(self) -> float:
        while self.answered_ms and self.answered_ms[0] <= self.context.now_ms - ANSWER_WINDOW_MS:
            self.answered_ms.popleft()
        return len(self.answered_ms) * SECOND_MS / ANSWER_WINDOW_MS

    def answered_rate_per_s(self) -> float:
        """Answered calls a second: of the last second, or longer where too few (Exception: noisy second)."""
        for span_ms in (SECOND_MS, 2 * SECOND_MS, 3 * SECOND_MS):
            count = sum(at_ms > self.context.now_ms - span_ms for at_ms in self.answered_ms)
            if count >= MIN_ANSWERS:
                return count * SECOND_MS / span_ms
        return self.window_rate_per_s()

    def senders(self) -> int:
        return self.entry.senders or self.context.settings.instances

    def even_share_per_s(self) -> float | None:
        """This gateway's even share of what a server takes a second, by its reports and its circuits."""
        hold_ms = self.context.mean_hold_ms
        by_circuits = self.circuits * SECOND_MS / hold_ms if self.circuits and hold_ms else None
        total = min(filter(None, (by_circuits, self.capacity_per_s)), default=None)
        return total and total / self.senders()

    def fleet_fraction(self) -> float:
        """This gateway's part of the one call a second that the rate rule never goes below or grows by."""
        share = self.even_share_per_s()
        return min(1.0, MIN_RATE_GATEWAYS / self.senders() if share is None else MIN_RATE_SHARE * share)


class RateControl:
    """The bucket of one server and the rate at which it leaks."""

    def __init__(self, server: Server, dither: float, initial_per_s: float | None) -> None:
        self._server, self._context = server, server.context
        self.quiet_since_ms = now_ms = server.context.now_ms  # since when the present quiet second runs
        self.bucket = LeakyBucket(now_ms, dither, NEVER if initial_per_s is None else initial_per_s)
        self.rate_before_cut = None if initial_per_s is None else NEVER  # one that no 'full' has confirmed
        self.last_cut_ms = self._last_logged_ms = -NEVER
        self._prompt_answers = 0  # in a row

    def limit(self, rate_per_s: float) -> None:
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S * self._server.fleet_fraction())
        self.bucket.rate = min(self.bucket.rate, rate_per_s)
        self.quiet_since_ms = self._context.now_ms

    def settle(self) -> None:
        """Bring the bucket up to now: what leaked, and what its rate grew in quiet seconds."""
        bucket, server, now_ms = self.bucket, self._server, self._context.now_ms
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
        now_ms, bucket, server = self._context.now_ms, self.bucket, self._server
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
        prompt, rate = sent_ms > self.last_cut_ms and waited_ms <= prompt_ms, self.bucket.rate
        self._prompt_answers = self._prompt_answers + 1 if prompt else 0
        if self.rate_before_cut is not None and self._prompt_answers >= MIN_ANSWERS:
            self.bucket.rate = min(max(rate, self.rate_before_cut), RECOVERY_FACTOR * rate)
            self._prompt_answers = 0
            self.rate_before_cut = self.rate_before_cut if self.rate_before_cut > self.bucket.rate else None

    def check(self, silent: bool) -> float:
        """Cut if answers are overdue, but not by trials of a silent server; gives when to check again."""
        since_ms, after_ms = self._server.oldest_overdue_ms(), self._server.overdue_after_ms()
        if (waited_ms := self._context.now_ms - since_ms) >= after_ms and not silent:
            self.cut(f"no answer for {waited_ms:.0f} ms")
        return max(since_ms + after_ms, self.last_cut_ms + max(SECOND_MS, self._server.usual_delay_ms or 0.0))


class SlowStart:
    """A bucket one set-up deep, which spaces what one server is sent."""

    def __init__(self, server: Server, dither: float) -> None:
        self._server, self._context, mass_start = server, server.context, server.entry.initial_rate_per_s
        self.bucket = LeakyBucket(self._context.now_ms, dither)
        self.until_ms = -NEVER
        self._paced_until_ms = -NEVER if mass_start is None else self._context.now_ms + MASS_START_MS

    def start(self, started_ms: float | None, span_ms: float = NEVER) -> None:
        """From its start until it is surely warm, or did not start, a server has a budget."""
        if started_ms is None:
            return
        span_ms = min(span_ms, self._context.settings.rules.warm_within_ms)
        self.until_ms = max(self.until_ms, started_ms + span_ms)
        self._server.discard_before(started_ms)
        self.bucket.leak(self._context.now_ms)
        self.bucket.fill = self._context.rng.random() * SPLASH  # all gateways hear of it at once

    def rate_per_s(self) -> float:
        """What we may send a cold server each second: over all gateways, within the rule's multiple."""
        rules, server, now_ms = self._context.settings.rules, self._server, self._context.now_ms
        warm = rules.cold_share  # the fraction of its capacity that it surely has
        if server.entry.started_ms is not None and rules.warm_within_ms > 0:
            age = min(1.0, max(0.0, (now_ms - server.entry.started_ms) / rules.warm_within_ms))
            warm = rules.cold_share + (1 - rules.cold_share) * age
        by_age = warm * (BY_CIRCUITS if server.capacity_per_s is None else BY_POOL)
        fraction = BY_REPORT if now_ms < server.capacity_reported_ms + REPORT_FRESH_MS else by_age
        by_share = fraction * rules.overload_multiple * (server.even_share_per_s() or 0.0)
        answered = max(0.0, server.window_rate_per_s() - SECOND_MS / ANSWER_WINDOW_MS)  # one alone is chance
        by_answers = min(ANSWERS_MULTIPLE, rules.overload_multiple) * answered
        return max(MIN_RATE_PER_S / server.senders(), by_share, by_answers)

    def ready_at_ms(self) -> float:
        """When the next set-up may go: spaced at a cold server and (Exception: mass start) at any."""
        now_ms = self._context.now_ms
        if max(self.until_ms, self._paced_until_ms) <= now_ms:
            return now_ms
        self.bucket.rate = self.rate_per_s() if now_ms < self.until_ms else self._server.rate.bucket.rate
        self.bucket.leak(now_ms)
        return self.bucket.admits_at_ms(SPLASH)


class SilenceDetection:
    """Whether one server is silent, and when it may be tried again."""

    def __init__(self, server: Server) -> None:
        self._server, self._context = server, server.context
        self.silent = False
        self.since_ms = self.next_trial_ms = self._context.now_ms
        self._backoff = INITIAL_TRIAL_BACKOFF

    def enter(self, reason: str) -> None:
        if not self.silent:
            self.silent, self.since_ms = True, self._context.now_ms
            self._schedule_trial()
            self._context.log(f"server {self._server.entry.id}: taken for silent: {reason}")

    def on_answer(self, sent_ms: float) -> None:
        if self.silent:
            self.silent, self._backoff = False, INITIAL_TRIAL_BACKOFF
            if sent_ms >= self.since_ms + SECOND_MS:  # an answer to a trial may come from a fresh start
                self._server.slow_start.start(self._context.now_ms, RETURN_SLOW_START_MS)
            self._context.log(f"server {self._server.entry.id}: answers again")
            self._context.wake_at(self._context.now_ms + self._context.tick_ms)  # others' calls can move here

    def on_restart(self) -> None:
        self.silent = False  # slow start paces what takes its place, which needs no trial

    def is_trial_due(self) -> bool:
        return self.silent and self._context.now_ms >= self.next_trial_ms and not self._server.pending

    def on_sent(self) -> None:
        if self.silent:
            self._backoff = min(MAX_TRIAL_BACKOFF, 2 * self._backoff)
            self._schedule_trial()

    def _schedule_trial(self) -> None:
        """All gateways together try a silent server about as often as a few would, and not in step."""
        fraction = self._server.fleet_fraction()
        spread = 1.0 if fraction == 1.0 else self._context.rng.uniform(0.5, 1.5) / fraction
        self.next_trial_ms = self._context.now_ms + self._backoff * self._context.harmful_wait_ms * spread

    def check(self) -> float:
        """Enter silence if nothing has come for too long; gives when that is."""
        limit_ms = max(self._context.harmful_wait_ms, SILENCE_DELAYS * (self._server.usual_delay_ms or 0.0))
        silent_ms = max(self._server.oldest_unanswered_ms(), self._server.last_received_ms) + limit_ms
        if not self.silent and self._context.now_ms >= silent_ms:
            self.enter(f"{len(self._server.pending)} unanswered, nothing received for {limit_ms:.0f} ms")
        return silent_ms
