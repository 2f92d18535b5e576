"""The decisions about calls: whether, when and to which server each is sent, and its final answer."""

from canvasplank import interface as api
from canvasplank.policy.call_queue import MAX_QUEUED_CALLS, CallQueue, CallRecord
from canvasplank.policy.decision_context import DecisionContext
from canvasplank.policy.leaky_bucket import NEVER
from canvasplank.policy.routing import Router
from canvasplank.policy.server import Server


class Controller:
    """Turns the events of one gateway into actions."""

    def __init__(self, settings: api.Settings, seed: int, budgets: api.BudgetDelay | None = None) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._context = DecisionContext(settings, seed)
        self._queue = CallQueue(self._context)
        self._router = Router(self._context, self._queue, budgets)
        self._servers = self._router.servers
        self._calls = self._queue.calls
        self._established: dict[str, CallRecord] = {}  # calls, from their answer until their end

    def learned_servers(self) -> list[api.LearnedServer]:
        """Return what was learned about each server, for the start of another instance."""
        return [server.learned() for server in self._servers.values()]

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Handle one event that occurs at ``now_ms``; return the actions, to be carried out in order."""
        self._context.start_event(now_ms)
        match event:
            case api.Call() if event.id not in self._calls and event.id not in self._established:
                self._on_call(event)
            case api.Established():
                self._on_established(event)
            case api.AttemptEnded():
                self._on_ended(event)
            case api.TimerFired(token) if self._context.take_timer(token):
                self._check_all()
            case api.ServerList():
                self._router.on_list(event)
                self._check_all()
            case api.CallAbandoned(call_id):
                if call_id in self._calls:
                    self._queue.remove(self._calls[call_id])
                self._established.pop(call_id, None)
            case api.ProbeAnswered(server_id, True, report) if server_id in self._servers:
                self._servers[server_id].on_report(report)
            case api.WarmStartHint(server_id) if server_id in self._servers:
                self._servers[server_id].on_warm_start_hint(event)
            case api.CircuitsReported(id_, _, circuits) if id_ in self._servers and 0 < circuits < NEVER:
                self._servers[id_].on_capacity(circuits, self._servers[id_].capacity_per_s)
        return self._context.actions

    def _on_call(self, request: api.Call) -> None:
        if request.class_name not in self._classes:
            self._context.actions.append(api.Refuse(request.id))
            return
        call = CallRecord(request, self._classes[request.class_name], self._context)
        self._queue.add(call)
        self._offer(call)
        if len(self._queue.waiting) > MAX_QUEUED_CALLS:
            self._refuse(min(self._queue.waiting.values(), key=self._queue.rank))

    def _on_established(self, event: api.Established) -> None:
        if (call := self._calls.get(event.call_id)) is not None:
            if not call.concerns_attempt_in_flight(event):
                return
            self._established[event.call_id] = self._calls.pop(event.call_id)
            self._queue.busy_numbers.pop(call.request.number, None)
        server = self._servers.get(event.server_id)
        if server is not None and event.call_id in server.pending:
            server.on_established(event)
            self._wake_for_queue()

    def _wake_for_queue(self) -> None:
        """Check the queue in a tick, after the rest of the batch: a server may have room again."""
        if self._queue.waiting:
            self._context.wake_at(self._context.now_ms + self._context.tick_ms)

    def _on_ended(self, event: api.AttemptEnded) -> None:
        call = self._calls.get(event.call_id) or self._established.get(event.call_id)
        if call is not None and not call.concerns_attempt_in_flight(event):
            return
        established = self._established.pop(event.call_id, None) is not None
        if call is not None and established and not event.finished:  # a cancel crossed the answer
            self._calls[event.call_id] = call
        if (server := self._servers.get(event.server_id)) is not None:
            server.on_ended(event)
            self._wake_for_queue()
        if call is None or (established and event.finished):
            return
        call.server = None
        call.failed_server_id = event.server_id
        call.cancel_sent = False
        if event.outcome in (api.Outcome.TIMED_OUT, api.Outcome.RESET, api.Outcome.CANCELLED):  # rule 5
            released_ms = max(self._context.now_ms, event.released_ms)
            call.not_before_ms = released_ms + self._settings.rules.release_ms + self._settings.tick_ms
        if event.finished:
            self._queue.remove(call)
        elif event.number_busy:
            self._queue.on_number_busy(call.request.number)
            self._refuse(call)
        else:
            self._offer(call)

    def _refuse(self, call: CallRecord) -> None:
        """Refuse a call with a random wait, half to all of the maximum, to spread the callers' retries."""
        self._queue.remove(call)
        wait_ms = self._settings.retry_after_max_ms
        spread_ms = wait_ms and wait_ms * self._context.rng.uniform(0.5, 1.0)
        self._context.actions.append(api.Refuse(call.request.id, spread_ms))

    def _check_all(self) -> None:
        """Check what changes with time alone: servers, overdue attempts, then calls that may be sent now."""
        now_ms = self._context.now_ms
        next_ms = NEVER
        if now_ms > self._context.resumed_ms:
            for server in [s for s in self._servers.values() if s.pending]:
                next_ms = min(next_ms, server.check())
        for call in list(self._calls.values()):
            if call.server is not None:
                next_ms = min(next_ms, self._check_attempt(call, call.server))
        blocked: set[tuple[object, ...]] = set()
        for call in sorted(self._queue.waiting.values(), key=self._queue.rank, reverse=True):
            # Pools and the fleet's budgets treat all calls with the same key alike, so where one finds no
            # room, one of lower rank finds none either.
            key = call.call_class.pools, call.request.tenant, call.attempts > 0
            if key in blocked and now_ms < call.deadline_ms:
                next_ms = min(next_ms, call.deadline_ms)
            else:
                self._offer(call)
                if now_ms >= call.not_before_ms and call.request.id in self._queue.waiting:
                    blocked.add(key)
        self._context.wake_at(next_ms)

    def _check_attempt(self, call: CallRecord, server: Server) -> float:
        """Fail a call at its deadline, or cancel an attempt that is lost; return when to check again."""
        now_ms = self._context.now_ms
        settings = self._settings
        if now_ms >= call.deadline_ms:
            self._fail(call)
            return NEVER
        sent_ms = server.pending.get(call.request.id, now_ms)
        # Exception (lost set-ups): a set-up sent before one that was established will not be answered.
        lost = sent_ms <= max(server.restart_seen_ms, server.established_sent_ms - 1)
        lost = lost or server.silence.silent or self._servers.get(server.entry.id) is not server
        may_cancel = (
            settings.cancel_allowed and not call.cancel_sent and call.attempts < settings.max_attempts
        )
        in_time = now_ms + settings.rules.release_ms < call.deadline_ms
        responding = (s for s in self._servers.values() if not s.silence.silent)
        if lost and may_cancel and in_time and any(self._router.serves(s, call) for s in responding):
            if now_ms < (cancel_at_ms := sent_ms + self._context.harmful_wait_ms):
                return min(cancel_at_ms, call.deadline_ms)
            self._cancel(call)
        return call.deadline_ms

    def _fail(self, call: CallRecord) -> None:
        """Fail a call, shortly before its caller stops waiting (rule 1)."""
        if call.server is not None:
            self._cancel(call)
            call.server.pending.pop(call.request.id, None)
        self._queue.remove(call)
        self._context.actions.append(api.Fail(call.request.id))

    def _cancel(self, call: CallRecord) -> None:
        if self._settings.cancel_allowed and not call.cancel_sent:
            call.cancel_sent = True
            self._context.actions.append(api.Cancel(call.request.id, call.attempts - 1))

    def _offer(self, call: CallRecord) -> None:
        """Answer, send or queue a call that has no attempt in flight."""
        now_ms = self._context.now_ms
        attempts_left = self._settings.max_attempts - call.attempts
        if attempts_left <= 0 or self._queue.is_number_busy(call.request.number):
            self._refuse(call)
        elif now_ms >= call.deadline_ms:
            self._fail(call)
        elif now_ms >= call.not_before_ms and any(self._gate(call, s) for s in self._router.candidates(call)):
            self._queue.waiting.pop(call.request.id, None)
        else:
            self._queue.waiting[call.request.id] = call
            next_offer_ms = max(call.not_before_ms, self._router.next_offer_at_ms(call))
            self._context.wake_at(min(call.deadline_ms, next_offer_ms))

    def _gate(self, call: CallRecord, server: Server) -> bool:
        """Send a set-up if the five rules allow it; return whether it was sent.  Nothing else sends one."""
        now_ms = self._context.now_ms
        call_id = call.request.id
        entry = server.entry
        if now_ms >= call.deadline_ms or self._calls.get(call_id) is not call:
            return False  # 1: only in time, and while the call is unanswered
        if call.server is not None or call.attempts >= self._settings.max_attempts:  # 2: one at a time
            return False
        if self._servers.get(entry.id) is not server or entry.state is not api.ServerState.READY:
            return False  # 3: only to a ready server of the list
        if server.slow_start.ready_at_ms() > now_ms or now_ms < call.not_before_ms:
            return False  # 4: within a cold server's budget; 5: after the release
        if self._router.budget_at_ms(server, call, take=True) > now_ms:  # the fleet's budgets
            return False
        server.on_sent(call_id)
        self._queue.on_sent(call.request.number)
        call.server = server
        call.attempts = call.attempts + 1
        self._context.actions.append(api.SetUp(call_id, entry.id, call.deadline_ms - now_ms))
        self._context.wake_at(min(now_ms + server.overdue_after_ms(), call.deadline_ms))
        return True
