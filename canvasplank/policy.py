"""Every decision of the call controller: one multi-priority leaky bucket per server, and what guards it.

The types, events, actions and settings are in ``canvasplank/interface.py``; read that first.  ``_gate`` is
the one place through which every set-up leaves, and it checks the five rules.  Time acts through one timer:
``_due`` names the next instant at which something can change, ``_look`` is what happens then.

The ordinary path is the bucket test, thresholds that rise with worth, the rate rule and the route rule.  What
departs from it is marked "Exception"; ``docs/design.md`` says when each acts and what it guards against.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Iterator

from canvasplank import interface as api

# The bucket.  A set-up of any class is the same work here, so the splash is the unit of all figures below.
SPLASH = 1.0
INITIAL_FILL = 0.5  # with ND1621's uniform(-0.5, 0.5), so that gateways started together do not act together
LOWEST_THRESHOLD = 1.0  # for the least worth: only into an empty bucket
HIGHEST_THRESHOLD = 2.5  # for the most worth: all gateways together run ahead so far at each server
MAX_FILL = 3.0
WORKLESS = (api.Outcome.ERROR, api.Outcome.NO_CONNECTION, api.Outcome.NOT_SENT)  # without a call's work
# The rate rule (ND1621's adaptation).
FLOOR_RATE = 1.0  # calls/s, at least after a cut, and ...
GROWTH = 0.1  # ... per quiet second, or FLOOR_RATE, whichever is more
SECOND_MS = 1000.0
# Exception (fleet size): a gateway's part of the one call a second is this much of an even share of what a
# server's circuits can carry; while these are not reported, the second is shared past so many gateways.
FAIR_PART = 0.25
FEW_GATEWAYS = 8
OPEN_SHARES = 1.5  # even shares: the most that a bucket leaks, with circuits reported, or so many times the
OPEN_TIMES = 4.0  # calls that the server answers us lately, if those are enough to tell
DRAWN = 2  # second choices looked at
# A second holds few answers; the cut looks back over as many as this many answers, up to LOOK_BACK_MS.
ENOUGH_ANSWERS = 6
LOOK_BACK_MS = 4000.0
# A sign of pressure, as a share of the time after which waiting does harm: the first resend or shortest aim.
PRESSED_SHARE = 0.5
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
MARGIN_MS, MARGIN_TICKS = 25.0, 2  # a final answer leaves both before the caller's time is up
MARGIN_SHARE = 0.1  # of the caller's wait, where that is less than MARGIN_MS
STALL_TICKS = 4  # a timer so late tells that this gateway stood still
NEVER = float("inf")
QUEUED_MOST = 400  # calls held; past it the least worth is refused
POOLS_MOST, REDIALS_MOST, BUSY_MOST = 256, 4000, 1000  # remembered: pools, unserved calls, busy numbers
BUSY_MS, BUSY_MOST_MS = 500.0, 4000.0  # a number found busy is left alone so long, doubling
CREDIT_MOST = 4.0  # calls that a customer may bring in a row beyond its part of the traffic
LOG_EVERY_MS = 5000.0  # between two lines about the pressure on one server


class LeakyBucket:
    """ND1621's floating-point leaky bucket: several thresholds over one fill."""

    __slots__ = ("fill", "last_ms", "most", "rate")

    def __init__(self, now_ms: float, dither: float) -> None:
        self.fill = max(0.0, INITIAL_FILL + dither)
        self.last_ms = now_ms
        self.rate = NEVER  # splash a second; NEVER: open
        self.most = NEVER  # it leaks no faster, whatever the rate

    def leak(self, now_ms: float, until_ms: float) -> None:
        """Let the fill fall for the time since the last look; only what lies before ``until_ms`` counts."""
        elapsed_ms = min(now_ms, until_ms) - self.last_ms
        self.last_ms = now_ms
        if elapsed_ms > 0:
            self.fill = max(0.0, self.fill - min(self.rate, self.most) * elapsed_ms / SECOND_MS)

    def admits(self, threshold: float) -> bool:
        return self.fill + SPLASH <= threshold

    def admits_at(self, threshold: float) -> float:
        """When it will, if nothing is added."""
        over = max(0.0, self.fill + SPLASH - threshold)
        return self.last_ms + over * SECOND_MS / min(self.rate, self.most)

    def add(self) -> None:
        self.fill = min(MAX_FILL, self.fill + SPLASH)

    def give_back(self) -> None:
        """Exception (workless failures): the splash stands for work, and this set-up made none."""
        self.fill = max(0.0, self.fill - SPLASH)


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
        self.bucket.rate = NEVER if entry.begin_per_s is None else entry.begin_per_s
        self.begin_until_ms = -NEVER if entry.begin_per_s is None else now_ms + BEGIN_MS
        self.senders = 1  # gateways that share it
        self.pending: dict[str, float] = {}  # unanswered set-ups of ours, by call, with the time of sending
        self.answered: deque[float] = deque()  # when our set-ups were answered, one look back at most
        self.cold = LeakyBucket(now_ms, dither)  # one deep, for the budget of a cold server
        self.delay_ms: float | None = None  # the usual answer delay
        self.met_ms = now_ms  # since when we know it
        self.least_ms: float | None = None  # the least: the way there and back, without a wait
        self.slow = True  # no answer has come in time since the last that took too long
        self.calm = 0  # answers in a row that hardly waited
        self.spared = None if entry.begin_per_s is None else NEVER  # the rate before a cut without a 'full'
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


class CallState:
    """One call that still lacks its final answer."""

    def __init__(self, call: api.Call, call_class: api.CallClass, now_ms: float, first_ms: float,
                 part: float) -> None:
        self.call = call
        self.call_class = call_class
        self.part = part  # of its class's worth that it has: less past its customer's share
        self.arrived_ms = now_ms
        self.margin_ms = max(0.0, min(MARGIN_MS, MARGIN_SHARE * (call.expires_ms - now_ms)))
        self.first_ms = first_ms
        self.target_ms = first_ms + call_class.target_ms  # counted from the caller's first try
        self.attempts = 0
        self.cancelled = False
        self.failed_at: str | None = None  # the server where its latest attempt failed
        self.server: ServerView | None = None  # where its one attempt is out
        self.not_before_ms = now_ms  # rule 5

    def is_in_flight(self, event: api.Established | api.AttemptEnded) -> bool:
        return self.server is not None and event.attempt == self.attempts - 1  # told twice it frees nothing


class Controller:
    """The decisions of one gateway."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.spend: api.Spend | None = None  # fleet-wide budgets, where there are any
        self._settings = settings
        self._random = random.Random(seed)
        self._now = 0.0
        self._classes = {c.name: c for c in settings.classes}
        self._servers: dict[str, ServerView] = {}
        self._last_reported: dict[int, tuple[float | None, float | None]] = {}  # circuits, capacity
        self._calls: dict[str, CallState] = {}  # those that still lack their final answer
        self._queued: dict[str, CallState] = {}  # those of them that have no attempt out
        self._established: dict[str, CallState] = {}  # those that stand, until they end
        # First tries of calls that may be dialled again, with the time of the note, which is their order.
        self._unserved: OrderedDict[tuple[str, str], tuple[float, float, float]] = OrderedDict()
        quotas = sum(c.quota_per_s for c in settings.tenants)
        self._parts = {c.name: c.quota_per_s / quotas for c in settings.tenants if quotas}
        self._credit = dict.fromkeys(self._parts, CREDIT_MOST)
        self._busy: dict[str, tuple[float, float]] = {}  # numbers found busy: when to try again, the gap then
        self._memory_ms = max(c.deadline_ms for c in settings.classes)
        self._actions: list[api.Action] = []
        self._alarm_ms = NEVER  # when the one timer that counts comes due
        self._alarms = 0
        self._woke_ms = -1.0  # the instant at which a standstill of ours was noticed
        self._tick_ms = max(settings.tick_ms, 1.0)
        aim = min(c.target_ms for c in settings.classes)
        self._silent_ms = min(settings.resend_ms or aim, aim)
        self._pressed_ms = PRESSED_SHARE * self._silent_ms
        self._least_weight = min(c.weight for c in settings.classes)
        holds = [c.hold_ms for c in settings.classes if c.hold_ms is not None]
        self._hold_ms = sum(holds) / len(holds) if holds else None
        parts = {1.0, settings.over_quota_weight if self._parts else 1.0}
        weights = sorted({c.weight * part * late for c in settings.classes for part in parts
                         for late in (1.0, c.late_weight)})
        step = (HIGHEST_THRESHOLD - LOWEST_THRESHOLD) / max(1, len(weights) - 1)
        self._thresholds = {weight: LOWEST_THRESHOLD + step * rank for rank, weight in enumerate(weights)}

    # ------------------------------------------------------------------------------------------------ events

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Take one event and say what to do; a clock that steps back stands still."""
        self._now = max(self._now, now_ms)
        self._actions = []
        if self._now > self._alarm_ms + STALL_TICKS * self._tick_ms:
            # Exception (standstill): what a batch brings after one is read whole before time tells anything.
            self._woke_ms = self._now
            self._alarm_ms = NEVER
            self._due(self._now + self._tick_ms)
        match event:
            case api.Call():
                self._on_call(event)
            case api.Established():
                self._on_established(event)
            case api.AttemptEnded():
                self._on_ended(event)
            case api.TimerFired(token):
                if token == f"look {self._alarms}":
                    self._alarm_ms = NEVER
                    self._look()
            case api.ServerList():
                self._on_list(event)
                self._look()
            case api.CallAbandoned(call_id):
                if call_id in self._calls:
                    self._forget(self._calls[call_id])
                self._established.pop(call_id, None)
            case api.ProbeAnswered():
                self._on_probe(event)
            case api.Hinted():
                self._on_hint(event)
            case api.CircuitsReported():
                view = self._servers.get(event.server_id)
                if view is not None and 0 < event.circuits < NEVER:
                    view.circuits = event.circuits
                    self._note_reported(view)
        return self._actions

    def learned(self) -> list[tuple[str, float | None, float | None, bool, bool, float]]:
        """For a new instance: each server's id, start, rate (None: open), whether slow, silent, last word."""
        return [(v.server_id, v.started_ms, v.bucket.rate if v.bucket.rate < NEVER else None,
                 (v.delay_ms or 0.0) >= self._silent_ms, v.silent,
                 max(v.heard_ms, v.silent_ms, v.tried_ms) if v.silent else v.heard_ms)
                for v in self._servers.values()]

    def _on_hint(self, hint: api.Hinted) -> None:
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
        named = set()
        for entry in event.servers:
            named.add(entry.id)
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

    def _on_call(self, call: api.Call) -> None:
        call_class = self._classes.get(call.class_name)
        if call.id in self._calls or call.id in self._established:
            return
        if call_class is None:
            self._actions.append(api.Refuse(call.id))
            return
        known = None
        if call.number is not None and not call.was_cut:
            known = self._unserved.pop((call.number, call.class_name), None)
        first_ms, _, part = known or (self._now, self._now, self._part_of_weight(call))
        state = self._calls[call.id] = CallState(call, call_class, self._now, first_ms, part)
        self._offer(state)
        if len(self._queued) > QUEUED_MOST:
            self._refuse(min(self._queued.values(), key=self._rank))

    def _on_established(self, event: api.Established) -> None:
        view = self._servers.get(event.server_id)
        call = self._calls.get(event.call_id)
        if call is not None:
            if not call.is_in_flight(event):
                return
            self._established[event.call_id] = self._calls.pop(event.call_id)
            self._busy.pop(call.call.number, None)
        if view is None or event.call_id not in view.pending:
            return
        self._settle(view)
        sent_ms = view.pending.pop(event.call_id)
        self._heard(view, sent_ms)
        view.heard_sent_ms = max(view.heard_sent_ms, sent_ms)
        view.stood_sent_ms = max(view.stood_sent_ms, sent_ms)
        oldest_ms = next(iter(view.pending.values()), NEVER)
        if oldest_ms < view.stood_sent_ms:
            self._due(max(self._now, oldest_ms + self._silent_ms))
            view.lost_ms = self._now if self._now > oldest_ms + self._overdue(view) else view.lost_ms
        if self._now > self._woke_ms:  # what is read on waking came at some time before
            view.delay_ms = event.waited_ms if view.delay_ms is None else (
                view.delay_ms + DELAY_WEIGHT * (event.waited_ms - view.delay_ms))
            view.least_ms = min(event.waited_ms, view.least_ms or NEVER)
            was_slow, view.slow = view.slow, event.waited_ms > self._overdue(view)
            if was_slow and view.slow:  # cut to the answers before them: they came by no chance
                self._cut(view, f"answers take {event.waited_ms:.0f} ms")
            self._ease(view, sent_ms, event.waited_ms)
        view.answered.append(self._now)
        self._look_soon()

    def _look_soon(self) -> None:
        if self._queued:  # a server has room again: calls that are held may leave, once the batch is read
            self._due(self._now + self._tick_ms)

    def _on_ended(self, event: api.AttemptEnded) -> None:
        view = self._servers.get(event.server_id)
        call = self._calls.get(event.call_id) or self._established.get(event.call_id)
        if call is not None and not call.is_in_flight(event):
            return
        if self._established.pop(event.call_id, None) is not None:
            if event.finished:
                call = None
            else:  # guards against a cancel that crossed the answer: the call is owed one again
                self._calls[event.call_id] = call
        if view is not None:
            self._settle(view)
            sent_ms = view.pending.pop(event.call_id, None)
            if event.outcome in (api.Outcome.ENDED, api.Outcome.ERROR, api.Outcome.FULL):
                self._on_report(view, event.report)
                if sent_ms is not None:
                    view.heard_sent_ms = max(view.heard_sent_ms, sent_ms)
            if event.outcome is api.Outcome.FULL:
                why = "it says it is full" if event.processor_full else "it has no line free"
                self._cut(view, why, full=event.processor_full)
                view.spared = None
            elif sent_ms is not None and event.outcome in WORKLESS:
                view.bucket.give_back()
            if event.outcome is api.Outcome.NO_CONNECTION:
                self._fall_silent(view, "no connection")
            self._look_soon()
        if call is None:
            return
        if event.finished:
            self._forget(call)
            return
        call.server = None
        if event.number_busy:
            self._found_busy(call)
            return
        call.failed_at = event.server_id
        call.cancelled = False
        if event.outcome in (api.Outcome.TIMED_OUT, api.Outcome.RESET, api.Outcome.CANCELLED):
            call.not_before_ms = self._now + self._settings.rules.release_ms + self._settings.tick_ms
        self._offer(call)

    def _on_probe(self, event: api.ProbeAnswered) -> None:
        view = self._servers.get(event.server_id)
        if view is not None and event.answered:
            self._on_report(view, event.report)

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

    # --------------------------------------------------------------------------------------- state of servers

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
        if view.spared is None:
            view.spared = view.bucket.rate
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

    # ---------------------------------------------------------------------------------------- state of calls

    def _weight(self, call: CallState) -> float:
        late = self._now >= call.target_ms
        return call.call_class.weight * call.part * (call.call_class.late_weight if late else 1.0)

    def _part_of_weight(self, call: api.Call) -> float:
        """Exception (customers' shares): each call credits all with their parts and takes one of its own."""
        if call.tenant not in self._parts:
            return 1.0
        for name, part in self._parts.items():
            self._credit[name] = min(CREDIT_MOST, self._credit[name] + part)
        within = self._credit[call.tenant] >= 1.0
        self._credit[call.tenant] -= within
        return 1.0 if within else self._settings.over_quota_weight

    def _rank(self, call: CallState) -> tuple[float, float]:
        """Most worth first; among equals the newest, which has most of its aim left."""
        return self._weight(call), call.arrived_ms

    def _forget(self, call: CallState) -> None:
        """Drop an unserved call, remembering when it first came.

        Exception (redials): the aim of a caller back under its number and class runs from the first try;
        harms a second caller to a number that was just given up by another, whose call then ranks as late.
        """
        del self._calls[call.call.id]
        self._queued.pop(call.call.id, None)
        if call.call.number is None:
            return
        self._unserved[call.call.number, call.call_class.name] = call.first_ms, self._now, call.part
        for _ in range(2):  # two out for one in: bounded and cheap
            _, noted_ms, _ = next(iter(self._unserved.values()), (0.0, self._now, 1.0))
            if noted_ms < self._now - self._memory_ms or len(self._unserved) > REDIALS_MOST:
                self._unserved.popitem(last=False)

    def _refuse(self, call: CallState) -> None:
        """Refuse it; callers who heed the wait are spread over its second half, not back together."""
        self._forget(call)
        wait_ms = self._settings.retry_after_max_ms
        self._actions.append(api.Refuse(call.call.id, wait_ms and wait_ms * self._random.uniform(0.5, 1.0)))

    def _is_busy(self, call: CallState) -> bool:
        return self._busy.get(call.call.number, (0.0, 0.0))[0] > self._now

    def _found_busy(self, call: CallState) -> None:
        """Exception (busy numbers): no server has a line to it, so none is tried for a while that doubles."""
        number = call.call.number
        if number is not None:
            _, gap_ms = self._busy.pop(number, (0.0, BUSY_MS))
            self._busy[number] = self._now + gap_ms, min(2 * gap_ms, BUSY_MOST_MS)
            if len(self._busy) > BUSY_MOST:
                del self._busy[next(iter(self._busy))]
        self._refuse(call)

    def _ends_ms(self, call: CallState) -> float:
        return call.call.expires_ms - call.margin_ms - MARGIN_TICKS * self._tick_ms

    # -------------------------------------------------------------------------------------------------- look

    def _look(self) -> None:
        """Look at the clock: servers, overdue calls, then whatever may leave now."""
        again_ms = NEVER
        if self._now > self._woke_ms:
            for view in self._servers.values():
                if view.pending:
                    again_ms = min(again_ms, self._watch(view))
        for call in [c for c in self._calls.values() if c.server is not None]:
            again_ms = min(again_ms, self._mind(call))
        stuck: set[tuple] = set()
        for call in sorted(self._queued.values(), key=self._rank, reverse=True):
            like = call.call_class.pools, call.call.tenant, call.attempts > 0  # budgets tell these apart
            if like in stuck and self._now < self._ends_ms(call):
                again_ms = min(again_ms, self._ends_ms(call))
            else:  # where a call found no room, one of less worth finds none
                self._offer(call)
                if self._now >= call.not_before_ms and call.call.id in self._queued:
                    stuck.add(like)
        self._due(again_ms)

    def _mind(self, call: CallState) -> float:
        """Look after a call whose attempt is out; gives when to look again."""
        if self._now >= self._ends_ms(call):
            self._end(call)
            return NEVER
        sent_ms = call.server.pending.get(call.call.id, self._now)
        # Exception (lost set-ups): one overtaken by a call that stands will not be answered any more.
        lost = call.server.silent or sent_ms <= max(call.server.restarted_ms, call.server.stood_sent_ms - 1)
        if not lost or call.cancelled or not self._may_move(call):
            return self._ends_ms(call)
        moves_ms = sent_ms + self._silent_ms
        if self._now >= moves_ms:
            self._cancel(call)
        return min(moves_ms, self._ends_ms(call)) if self._now < moves_ms else self._ends_ms(call)

    def _may_move(self, call: CallState) -> bool:
        """Whether a call that waits in vain has time and somewhere to go."""
        return (self._settings.cancel_allowed and call.attempts < self._settings.max_attempts
                and self._now + self._settings.rules.release_ms < self._ends_ms(call)
                and any(self._serves(v, call) and not v.silent for v in self._servers.values()))

    def _end(self, call: CallState) -> None:
        """Rule 1: the caller's time is nearly up."""
        if call.server is not None:
            self._cancel(call)
            call.server.pending.pop(call.call.id, None)
        self._forget(call)
        self._actions.append(api.Fail(call.call.id))

    def _cancel(self, call: CallState) -> None:
        if self._settings.cancel_allowed and not call.cancelled:
            call.cancelled = True
            self._actions.append(api.Cancel(call.call.id, call.attempts - 1))

    def _offer(self, call: CallState) -> None:
        """What becomes of a call without an attempt out: an end, an attempt, or it is held for one."""
        if call.attempts >= self._settings.max_attempts or self._is_busy(call):
            self._refuse(call)
        elif self._now >= self._ends_ms(call):
            self._end(call)
        elif self._now >= call.not_before_ms and any(self._gate(call, view) for view in self._route(call)):
            self._queued.pop(call.call.id, None)
        else:
            self._queued[call.call.id] = call
            self._due(min(self._ends_ms(call), max(call.not_before_ms, self._room_at(call))))

    def _room_at(self, call: CallState) -> float:
        """When a server may next take a call that finds no room now, by time alone; rates grow meanwhile."""
        at_ms = self._now + SECOND_MS
        threshold = self._thresholds[self._weight(call)]
        for view in self._servers.values():
            if self._serves(view, call) and (not view.silent or not view.pending):
                ready_ms = view.trial_ms if view.silent else view.bucket.admits_at(threshold)
                at_ms = min(at_ms, max(ready_ms, self._warm_at(view), self._budget_at(view, call)))
        return at_ms

    def _route(self, call: CallState) -> Iterator[ServerView]:
        """The route rule: first choice while its bucket admits it, else the idler of two drawn at random."""
        serving = [v for v in self._servers.values() if self._serves(v, call)]
        # Exception (silence): one set-up at a time tries whether a silent server is back.
        if self._weight(call) <= self._least_weight:
            yield from (v for v in serving if v.silent and self._now >= v.trial_ms and not v.pending)
        # Exception (failures): after a failed attempt other servers come first, the same one last.
        again = [v for v in serving if v.server_id == call.failed_at]
        first = [v for v in serving if v.pool == call.call.preferred_pool and v not in again]
        yield from (v for v in first if self._admits(v, call))
        others = [v for v in serving if v not in first and v not in again and self._admits(v, call)]
        yield from sorted(self._draw_two(others), key=lambda v: len(v.pending))
        yield from (v for v in again if self._admits(v, call))

    def _draw_two(self, others: list[ServerView]) -> list[ServerView]:
        """Two at random; Exception (fleet size): each with the weight of our part of it."""
        if len(others) <= DRAWN:
            return others
        first = self._random.choices(others, [self._part(v) for v in others])[0]
        rest = [v for v in others if v is not first]
        return [first, self._random.choices(rest, [self._part(v) for v in rest])[0]]

    def _serves(self, view: ServerView, call: CallState) -> bool:
        pools = call.call_class.pools
        return view.state is api.ServerState.READY and (pools is None or view.pool in pools)

    def _admits(self, view: ServerView, call: CallState) -> bool:
        self._settle(view)
        return (not view.silent and self._warm_at(view) <= self._now
                and view.bucket.admits(self._thresholds[self._weight(call)])
                and self._budget_at(view, call) <= self._now)

    def _budget_at(self, view: ServerView, call: CallState, *, take: bool = False) -> float:
        return self._now + (self.spend(call.call, call.attempts, view.server_id, take) if self.spend else 0.0)

    def _warm_at(self, view: ServerView) -> float:
        """When a server may have the next set-up: a cold one, and (Exception: mass start) any, is spared."""
        if max(view.cold_until_ms, view.begin_until_ms) <= self._now:
            return self._now
        view.cold.rate = self._cold_rate(view) if self._now < view.cold_until_ms else view.bucket.rate
        view.cold.leak(self._now, NEVER)
        return view.cold.admits_at(SPLASH)

    def _gate(self, call: CallState, view: ServerView) -> bool:
        """The one way out for a set-up; keeps the five rules whatever came before."""
        now = self._now
        left_ms = self._ends_ms(call) - now
        if left_ms <= 0 or self._calls.get(call.call.id) is not call:  # 1: in time, and only while it is owed
            return False
        if call.server is not None or call.attempts >= self._settings.max_attempts:  # 2: one at a time
            return False
        if self._servers.get(view.server_id) is not view or view.state is not api.ServerState.READY:
            return False  # 3: drains
        if self._warm_at(view) > now:  # 4: a cold server's budget
            return False
        if now < call.not_before_ms:  # 5: release awaited
            return False
        if self._budget_at(view, call, take=True) > now:  # what the whole fleet may
            return False
        if view.silent:
            view.trial_times = min(TRIAL_TIMES_MOST, 2 * view.trial_times)
            view.trial_ms = now + self._trial_wait(view)
        self._settle(view)
        view.cold.add()
        view.bucket.add()
        view.pending[call.call.id] = view.tried_ms = now
        if call.call.number in self._busy:
            gap_ms = self._busy[call.call.number][1]
            self._busy[call.call.number] = now + gap_ms, gap_ms
        call.server = view
        call.attempts += 1
        self._actions.append(api.SetUp(call.call.id, view.server_id, left_ms))
        self._due(min(now + self._overdue(view), self._ends_ms(call)))
        return True
