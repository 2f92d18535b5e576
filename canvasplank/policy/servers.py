"""What a gateway knows of the servers, and what it lets each have: rates, silence, budgets of cold ones."""

from __future__ import annotations

import random
from collections import deque

from canvasplank import interface as api
from canvasplank.policy.restrictor import MAX_FILL, NEVER, SECOND_MS, SPLASH, LeakyBucket

FLOOR_RATE = 1.0  # the rate rule (ND1621's adaptation): calls/s, at least after a cut, and ...
GROWTH = 0.1  # ... per quiet second, or FLOOR_RATE, whichever is more
FAIR_PART = 0.25  # Exception (fleet size): of an even share, our part of that one call a second; where no
FEW_GATEWAYS = 8  # share is known, the second is shared past so many gateways
OPEN_SHARES = 1.5  # even shares: the most that a bucket leaks, with circuits reported, or so many times the
OPEN_TIMES = 4.0  # calls that the server answers us lately, if those are enough to tell
ENOUGH_ANSWERS = 6  # a second holds few: the cut looks back over as many as this, up to ...
LOOK_BACK_MS = 4000.0
PRESSED_SHARE = 0.5  # a sign of pressure: of the time after which waiting harms, first resend or least target
CALM_SHARE = 0.5  # of that wait: ENOUGH_ANSWERS no slower in a row tell that there is no pressure any more
EASING = 1.5  # times the rate at each such row, up to what it was
SILENT_DELAYS = 4.0  # silence: that time over, and this many of the server's usual answer delays
DELAY_WEIGHT = 0.25  # of the newest answer in the usual delay
LOST_SPARED = 2  # unanswered set-ups that tell nothing of a server that loses some
ALONE = 1  # overdue answers that tell nothing after one that came in time
TRIAL_TIMES, TRIAL_TIMES_MOST = 2.0, 8.0  # that time, between two trials of a silent server, doubling
CONFIRM_MS = 5000.0  # the list is seconds late: so long may a return from silence be a fresh start
# Of the budget of a cold server, by what tells what it can do: circuits are a rough measure of that, what its
# predecessor told a better one, and its own fresh report the best; or so many times what it answers us now.
COLD_BY_CIRCUITS, COLD_BY_POOL, COLD_BY_REPORT, COLD_TIMES = 0.3, 0.6, 0.8, 1.2
FRESH_MS = 2000.0  # so long a report counts as of now
BEGIN_MS = 10_000.0  # where hundreds start at once, first set-ups come evenly spaced for so long
POOLS_MOST = 256  # remembered, by what was last reported there
LOG_EVERY_MS = 5000.0  # between two lines about the pressure on one server


class ServerView:
    """What this gateway knows of one server, from its list and its own traffic alone."""

    def __init__(self, entry: api.Server, now_ms: float, dither: float) -> None:
        self.server_id = entry.id
        self.pool = entry.pool
        self.state = entry.state
        self.started_ms = entry.started_ms
        self.circuits: float | None = None  # all it has, where they are reported
        self.capacity: float | None = None  # set-ups a second from all senders, told while it had no wait
        self.reported_ms = -NEVER  # when it last told that itself
        self.bucket = LeakyBucket(now_ms, dither)
        self.bucket.rate = NEVER if entry.initial_rate_per_s is None else entry.initial_rate_per_s
        self.begin_until_ms = -NEVER if entry.initial_rate_per_s is None else now_ms + BEGIN_MS
        self.senders = 1  # gateways that share it
        self.pending: dict[str, float] = {}  # unanswered set-ups of ours, by call, with the time of sending
        self.answered: deque[float] = deque()  # when our set-ups were answered, one look back at most
        self.cold = LeakyBucket(now_ms, dither)  # one deep, for the budget of a cold server
        self.delay_ms: float | None = None  # the usual answer delay
        self.met_ms = now_ms  # since when we know it
        self.least_ms: float | None = None  # the least: the way there and back, without a wait
        self.slow = True  # no answer has come in time since the last that took too long
        self.calm = 0  # answers in a row that hardly waited
        self.spared = None if entry.initial_rate_per_s is None else NEVER  # rate before a cut without 'full'
        self.heard_ms = now_ms  # when it last said anything
        self.heard_sent_ms = -1.0  # the latest send time among the set-ups that it has answered
        self.stood_sent_ms = -1.0  # and among those whose calls stand
        self.lost_ms = -NEVER  # when it was last seen that a set-up is lost there
        self.cut_ms = -NEVER
        self.quiet_ms = now_ms  # since when the present quiet second runs
        self.cold_until_ms = -NEVER
        self.restarted_ms = -1.0  # when the list told of a restart
        self.silent = False
        self.silent_ms = now_ms  # since when
        self.tried_ms = now_ms  # when the last set-up went there: so fresh is our word of a silence
        self.trial_ms = now_ms
        self.trial_times = TRIAL_TIMES
        self.logged_ms = -NEVER

    def waiting_since(self, spared: int = 0) -> float:
        """When the oldest set-up was sent that is younger than the last one answered; NEVER: there is none.

        Answers come in order: one overtaken is lost and tells nothing, nor do the oldest ``spared``.
        Exception (lost set-ups): where some were lost lately, one or two unanswered tell nothing either.
        """
        last_ms = next(reversed(self.pending.values()), -NEVER)
        spared = max(spared, LOST_SPARED if last_ms < self.lost_ms + LOOK_BACK_MS else 0)
        for sent_ms in self.pending.values():
            if sent_ms > self.heard_sent_ms:
                if not spared:
                    return sent_ms
                spared -= 1
        return NEVER

    def pressed_since(self) -> float:
        """The same for signs of pressure, of which it takes two: one alone after one in time is chance."""
        return self.waiting_since(0 if self.slow else ALONE)

    def lately(self, now_ms: float) -> float:
        """Answered calls a second over the whole look back."""
        while self.answered and self.answered[0] <= now_ms - LOOK_BACK_MS:
            self.answered.popleft()
        return len(self.answered) * SECOND_MS / LOOK_BACK_MS

    def answered_rate(self, now_ms: float) -> float:
        """Answered calls a second: of the last second, or longer where too few (Exception: noisy second)."""
        self.lately(now_ms)
        span_ms, count = SECOND_MS, 0
        for at in reversed(self.answered):
            while at <= now_ms - span_ms:
                if count >= ENOUGH_ANSWERS:
                    return count * SECOND_MS / span_ms
                span_ms += SECOND_MS
            count += 1
        return count * SECOND_MS / (span_ms if count >= ENOUGH_ANSWERS else LOOK_BACK_MS)

    def learned(self, slow_ms: float) -> api.LearnedServer:
        rate = self.bucket.rate if self.bucket.rate < NEVER else None
        heard_ms = max(self.heard_ms, self.silent_ms, self.tried_ms) if self.silent else self.heard_ms
        slow = (self.delay_ms or 0.0) >= slow_ms
        return api.LearnedServer(self.server_id, self.started_ms, rate, slow, self.silent, heard_ms)


class ServerControl:
    """The decisions about servers; those about calls stand on them (``controller``)."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._random = random.Random(seed)
        self._now = 0.0
        self._servers: dict[str, ServerView] = {}
        self._last_reported: dict[int, tuple[float | None, float | None]] = {}  # circuits, capacity
        self._actions: list[api.Action] = []
        self._alarm_ms = NEVER  # when the one timer that counts comes due
        self._alarms = 0
        self._tick_ms = max(settings.tick_ms, 1.0)
        aim = min(c.target_ms for c in settings.classes)
        self._silent_ms = min(settings.resend_ms or aim, aim)
        self._pressed_ms = PRESSED_SHARE * self._silent_ms
        holds = [c.hold_ms for c in settings.classes if c.hold_ms is not None]
        self._hold_ms = sum(holds) / len(holds) if holds else None

    def learned_servers(self) -> list[api.LearnedServer]:
        """What a new instance may start from."""
        return [view.learned(self._silent_ms) for view in self._servers.values()]

    def _on_hint(self, hint: api.WarmStartHint) -> None:
        """Exception (learned start): a peer's word counts only before any of our own."""
        view = self._servers.get(hint.server_id)
        if view is None or view.answered or view.pending:
            return
        if hint.rate_per_s is not None:
            view.bucket.rate = min(view.bucket.rate, max(hint.rate_per_s, FLOOR_RATE * self._part(view)))
            view.quiet_ms = self._now
        if hint.shun:
            self._fall_silent(view, "a running peer saw it so")

    def _due(self, at_ms: float) -> None:
        """Look again at this time at the latest.  One timer counts; an earlier one takes its place."""
        if at_ms < self._alarm_ms:
            self._alarm_ms = max(at_ms, self._now + self._tick_ms)
            self._alarms += 1
            self._actions.append(api.SetTimer(self._alarm_ms - self._now, f"look {self._alarms}"))

    def _on_list(self, event: api.ServerList) -> None:
        named = {entry.id for entry in event.servers}
        for entry in event.servers:
            view = self._servers.get(entry.id)
            if entry.state is api.ServerState.GONE:
                if view is not None:
                    self._drop_server(view)
                continue
            if view is None:
                view = ServerView(entry, self._now, self._random.uniform(-0.5, 0.5))
                # Exception (successors): until it tells its own, what was last told in its pool is its.
                view.circuits, view.capacity = self._last_reported.get(entry.pool, (None, None))
                self._servers[entry.id] = view
                self._start_cold(view, entry.started_ms, self._settings.rules.warm_within_ms)
            elif entry.started_ms != view.started_ms:
                # What was silent is no more: the cold budget paces what takes its place and needs no trial;
                # what waited there is lost and tells nothing.
                view.silent = False
                view.heard_sent_ms = view.restarted_ms = self._now
                self._start_cold(view, entry.started_ms, self._settings.rules.warm_within_ms)
            view.started_ms, view.pool, view.state = entry.started_ms, entry.pool, entry.state
            view.senders = entry.senders or self._settings.instances
        if event.kind is not api.ListKind.CHANGES:
            for view in [v for v in self._servers.values() if v.server_id not in named]:
                self._drop_server(view)

    def _drop_server(self, view: ServerView) -> None:
        view.state = api.ServerState.GONE
        view.silent = True  # what waits there moves on
        del self._servers[view.server_id]

    def _on_report(self, view: ServerView, report: api.Report | None) -> None:
        """Exception (load reports): what it can take, told without a wait, is an even share's whole."""
        view.heard_ms = self._now
        rate = report and report.rate_per_s
        if rate and (report.wait_ms or 0.0) <= self._pressed_ms:
            old = view.capacity if view.reported_ms > -NEVER else None
            view.capacity = rate if old is None else old + DELAY_WEIGHT * (rate - old)
            view.reported_ms = self._now
            self._note_reported(view)

    def _note_reported(self, view: ServerView) -> None:
        self._last_reported[view.pool] = view.circuits, view.capacity
        if len(self._last_reported) > POOLS_MOST:
            del self._last_reported[next(iter(self._last_reported))]

    def _heard(self, view: ServerView, sent_ms: float) -> None:
        """A set-up was answered: the end of a silence.  An answer to a trial may come from a fresh start."""
        view.heard_ms = self._now
        if view.silent:
            view.silent = False
            view.trial_times = TRIAL_TIMES
            if sent_ms >= view.silent_ms + SECOND_MS:
                self._start_cold(view, self._now, CONFIRM_MS)
            self._actions.append(api.Log(f"server {view.server_id}: answers again"))
            self._due(self._now + self._tick_ms)  # what waits at other silent servers can move here

    def _fall_silent(self, view: ServerView, why: str) -> None:
        if not view.silent:
            view.silent = True
            view.silent_ms = self._now
            view.trial_ms = self._now + self._trial_wait(view)
            self._actions.append(api.Log(f"server {view.server_id}: taken for silent: {why}"))

    def _trial_wait(self, view: ServerView) -> float:
        """All gateways together try a silent server about as often as a few would, and not in step."""
        part = self._part(view)
        gap_ms = view.trial_times * self._silent_ms
        return gap_ms * (1.0 if part == 1.0 else self._random.uniform(0.5, 1.5) / part)

    def _fair(self, view: ServerView) -> float | None:
        """This gateway's even share of what a server takes a second, by its reports and its circuits."""
        by_circuits = view.circuits * SECOND_MS / self._hold_ms if view.circuits and self._hold_ms else None
        whole = min(filter(None, (by_circuits, view.capacity)), default=None)
        return whole and whole / view.senders

    def _part(self, view: ServerView) -> float:
        """This gateway's part of the one call a second that the rate rule never goes below or grows by."""
        fair = self._fair(view)
        return min(1.0, FEW_GATEWAYS / view.senders if fair is None else FAIR_PART * fair)

    def _start_cold(self, view: ServerView, started_ms: float | None, for_ms: float) -> None:
        """Rule 4: from its start until it is surely warm, or did not start, a server has a budget."""
        if started_ms is None:
            return
        until_ms = started_ms + min(for_ms, self._settings.rules.warm_within_ms)
        view.cold_until_ms = max(view.cold_until_ms, until_ms)
        while view.answered and view.answered[0] < started_ms:  # what it answered before proves nothing
            view.answered.popleft()
        view.cold.fill, view.cold.last_ms = self._random.random() * SPLASH, self._now  # all are told at once
        view.reported_ms = -NEVER  # nor does what it told

    def _share(self, view: ServerView) -> float:
        """The share of its capacity that a cold server surely has now."""
        rules = self._settings.rules
        if view.started_ms is None or rules.warm_within_ms <= 0:
            return rules.cold_share
        age = min(1.0, max(0.0, (self._now - view.started_ms) / rules.warm_within_ms))
        return rules.cold_share + (1 - rules.cold_share) * age

    def _cold_rate(self, view: ServerView) -> float:
        """What we may send a cold server each second: by our even share of it, or by what it answers us now.

        Over all gateways neither is more than the rule's multiple of what it can do, however uneven they are.
        """
        rules = self._settings.rules
        guess = self._share(view) * (COLD_BY_CIRCUITS if view.capacity is None else COLD_BY_POOL)
        safe = COLD_BY_REPORT if self._now < view.reported_ms + FRESH_MS else guess
        known = safe * rules.overload_multiple * (self._fair(view) or 0.0)
        proven = max(0.0, view.lately(self._now) - SECOND_MS / LOOK_BACK_MS)  # a single answer is chance
        return max(FLOOR_RATE / view.senders, known, min(COLD_TIMES, rules.overload_multiple) * proven)

    def _warm_at(self, view: ServerView) -> float:
        """When a server may have the next set-up: a cold one, and (Exception: mass start) any, is spared."""
        if max(view.cold_until_ms, view.begin_until_ms) <= self._now:
            return self._now
        view.cold.rate = self._cold_rate(view) if self._now < view.cold_until_ms else view.bucket.rate
        view.cold.leak(self._now, NEVER)
        return view.cold.admits_at(SPLASH)

    def _settle(self, view: ServerView) -> None:
        """Bring a bucket up to now: what leaked, and what its rate grew in quiet seconds.

        Exception (overdue answers): nothing leaks from when an answer is overdue until it comes.
        """
        bucket = view.bucket
        if bucket.last_ms == self._now:
            return
        overdue_ms = view.waiting_since() + self._overdue(view)
        halt_ms = SILENT_DELAYS * max(self._silent_ms, view.delay_ms or 0.0)
        bucket.leak(self._now, overdue_ms if self._now < overdue_ms + halt_ms else NEVER)
        if self._now > view.pressed_since() + self._overdue(view):
            view.quiet_ms = self._now
        while bucket.rate < NEVER and self._now - view.quiet_ms >= SECOND_MS:
            view.quiet_ms += SECOND_MS
            bucket.rate += max(GROWTH * bucket.rate, FLOOR_RATE * self._part(view))
            if bucket.rate * self._tick_ms > MAX_FILL * SECOND_MS:  # it empties within a tick
                bucket.rate = NEVER
        # Exception (fleet size): no bucket leaks faster than some even shares, or so many times what the
        # server answers us: a gateway that suddenly gets most of the calls waits until answers widen it.
        if (fair := self._fair(view)) is not None:
            lately = view.lately(self._now)
            seen = len(view.answered) >= ENOUGH_ANSWERS
            bucket.most = max(OPEN_SHARES * max(fair, lately), OPEN_TIMES * lately * seen)

    def _cut(self, view: ServerView, why: str, *, full: bool = False) -> None:
        """The rate rule's drop, once per feedback delay."""
        self._settle(view)
        view.quiet_ms = self._now
        if self._now - view.cut_ms < self._cut_gap(view):
            return
        view.cut_ms = self._now
        rate = max(FLOOR_RATE * self._part(view), view.answered_rate(self._now) * SPLASH)
        # Exception (newly met): while answers are too few to go by, a sign that is no 'processor full' cuts
        # to an even share.
        if not full and self._now < view.met_ms + LOOK_BACK_MS:
            rate = max(rate, self._fair(view) or 0.0)
        view.spared = view.bucket.rate if view.spared is None else view.spared
        view.bucket.rate = min(rate, view.bucket.rate)
        if self._now - view.logged_ms >= LOG_EVERY_MS:
            view.logged_ms = self._now
            self._actions.append(api.Log(f"server {view.server_id}: pressed, {why}: rate {rate:.1f}/s"))

    def _ease(self, view: ServerView, sent_ms: float, waited_ms: float) -> None:
        """Exception (eased cuts): one that no 'full' has borne out lasts only while answers wait."""
        calm = sent_ms > view.cut_ms and waited_ms <= (view.least_ms or 0.0) + CALM_SHARE * self._pressed_ms
        view.calm = view.calm + 1 if calm else 0
        if view.spared is not None and view.calm >= ENOUGH_ANSWERS:
            view.bucket.rate = min(max(view.bucket.rate, view.spared), EASING * view.bucket.rate)
            view.calm = 0
            view.spared = view.spared if view.spared > view.bucket.rate else None

    def _overdue(self, view: ServerView) -> float:
        """How long an answer may take before it tells of pressure, over the way there and back."""
        return self._pressed_ms + (view.least_ms or 0.0)

    def _cut_gap(self, view: ServerView) -> float:
        return max(SECOND_MS, view.delay_ms or 0.0)

    def _watch(self, view: ServerView) -> float:
        """What time alone tells of a server, overdue answers and silence, and when it may tell more."""
        since_ms, pressed_ms = view.waiting_since(), view.pressed_since()
        waited_ms = self._now - pressed_ms
        limit_ms = max(self._silent_ms, SILENT_DELAYS * (view.delay_ms or 0.0))
        silent_ms = max(since_ms, view.heard_ms) + limit_ms
        # One that is silent is not pressed as well: guards against trials that cut its rate to the floor.
        if waited_ms >= self._overdue(view) and not view.silent:
            self._cut(view, f"no answer for {waited_ms:.0f} ms")
        if not view.silent and self._now >= silent_ms:
            self._fall_silent(view, f"{len(view.pending)} unanswered, nothing heard for {limit_ms:.0f} ms")
        again_ms = max(pressed_ms + self._overdue(view), view.cut_ms + self._cut_gap(view))
        return again_ms if view.silent else min(again_ms, silent_ms)
