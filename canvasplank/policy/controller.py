"""The decisions about calls: whether, when and where to each is sent, and what it is answered."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from canvasplank import interface as api
from canvasplank.policy.restrictor import HIGHEST_THRESHOLD, LOWEST_THRESHOLD, NEVER, SECOND_MS
from canvasplank.policy.servers import DELAY_WEIGHT, TRIAL_TIMES_MOST, ServerControl, ServerView

WORKLESS = (api.Outcome.ERROR, api.Outcome.NO_CONNECTION, api.Outcome.NOT_SENT)  # without a call's work
DRAWN = 2  # second choices looked at
MARGIN_MS, MARGIN_TICKS = 25.0, 2  # a final answer leaves both before the caller's time is up
MARGIN_SHARE = 0.1  # of the caller's wait, where that is less than MARGIN_MS
STALL_TICKS = 4  # a timer so late tells that this gateway stood still
QUEUED_MOST = 400  # calls held; past it the least worth is refused
REDIALS_MOST, BUSY_MOST = 4000, 1000  # remembered: unserved calls, busy numbers
BUSY_MS, BUSY_MOST_MS = 500.0, 4000.0  # a number found busy is left alone so long, doubling
CREDIT_MOST = 4.0  # calls that a customer may bring in a row beyond its part of the traffic


class CallState:
    """One call that still lacks its final answer."""

    def __init__(
        self, call: api.Call, call_class: api.CallClass, now_ms: float, first_ms: float, part: float
    ) -> None:
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


class Controller(ServerControl):
    """The decisions of one gateway."""

    def __init__(self, settings: api.Settings, seed: int, budgets: api.BudgetDelay | None = None) -> None:
        super().__init__(settings, seed)
        self._budgets = budgets  # fleet-wide, where there are any
        self._classes = {c.name: c for c in settings.classes}
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
        self._woke_ms = -1.0  # the instant at which a standstill of ours was noticed
        self._least_weight = min(c.weight for c in settings.classes)
        parts = {1.0, settings.over_quota_weight if self._parts else 1.0}
        weighted = [(c.weight * part, c.late_weight) for c in settings.classes for part in parts]
        weights = sorted({weight * late for weight, late_weight in weighted for late in (1.0, late_weight)})
        step = (HIGHEST_THRESHOLD - LOWEST_THRESHOLD) / max(1, len(weights) - 1)
        self._thresholds = {weight: LOWEST_THRESHOLD + step * rank for rank, weight in enumerate(weights)}

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
            case api.TimerFired(token) if token == f"look {self._alarms}":
                self._alarm_ms = NEVER
                self._look()
            case api.ServerList():
                self._on_list(event)
                self._look()
            case api.CallAbandoned(call_id):
                if call_id in self._calls:
                    self._forget(self._calls[call_id])
                self._established.pop(call_id, None)
            case api.ProbeAnswered(server_id, True, report) if server_id in self._servers:
                self._on_report(self._servers[server_id], report)
            case api.WarmStartHint():
                self._on_hint(event)
            case api.CircuitsReported(server_id, _, circuits) if 0 < circuits < NEVER:
                if server_id in self._servers:
                    self._servers[server_id].circuits = circuits
                    self._note_reported(self._servers[server_id])
        return self._actions

    def _on_call(self, call: api.Call) -> None:
        call_class = self._classes.get(call.class_name)
        if call.id in self._calls or call.id in self._established:
            return
        if call_class is None:
            self._actions.append(api.Refuse(call.id))
            return
        known = None if call.was_cut else self._unserved.pop((call.number, call.class_name), None)
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
            usual_ms = event.waited_ms if view.delay_ms is None else view.delay_ms
            view.delay_ms = usual_ms + DELAY_WEIGHT * (event.waited_ms - usual_ms)
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
        if not self._settings.cancel_allowed or call.attempts >= self._settings.max_attempts:
            return False
        in_time = self._now + self._settings.rules.release_ms < self._ends_ms(call)
        return in_time and any(self._serves(v, call) and not v.silent for v in self._servers.values())

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
        ready = not view.silent and self._warm_at(view) <= self._now
        admits = ready and view.bucket.admits(self._thresholds[self._weight(call)])
        return admits and self._budget_at(view, call) <= self._now

    def _budget_at(self, view: ServerView, call: CallState, *, take: bool = False) -> float:
        delay = self._budgets
        return self._now + (delay(call.call, call.attempts, view.server_id, take) if delay else 0.0)

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
