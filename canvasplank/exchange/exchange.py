"""The exchange: the only component that connects callers, call servers and the decision module.

The exchange owns the table of calls, the decision module and its clock, and ensures that each call gets one
final answer.  It executes the actions of the decision module and reports events to it.  Server selection,
retries, queueing and admission are up to that module.  A protocol is a component that calls the methods
for its side on ``Exchange`` and implements ``CallerSide`` or ``ServerSide``, the exchange's only view of it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Hashable

from canvasplank import interface as api
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.counters import Counters
from canvasplank.exchange.attempts import Attempts
from canvasplank.exchange.call_records import (
    NO_DETAILS,
    CallerRelease,
    CallRecord,
    FinalAnswer,
    RefusalDetails,
)
from canvasplank.exchange.call_table import CallTable
from canvasplank.exchange.event_dispatcher import Decide, EventDispatcher
from canvasplank.exchange.final_answers import FinalAnswers
from canvasplank.exchange.outcomes import OutcomeReporter
from canvasplank.exchange.ports import CallerSide, Recorder, ServerSide
from canvasplank.runtime.scheduler import Scheduler

LOG = logging.getLogger(__name__)


class Exchange:
    """Connects callers and call servers as the decision module decides."""

    def __init__(
        self, scheduler: Scheduler, decide: Decide, counters: Counters, max_open: int, memory_bytes: float
    ) -> None:
        """``max_open``: the limit on open calls; ``memory_bytes``: the configured memory."""
        self.scheduler = scheduler
        self.counters = counters
        self._callers: CallerSide
        self._servers: ServerSide
        self._table = CallTable(scheduler.timers, max_open, memory_bytes)
        self._outcomes = OutcomeReporter(scheduler, counters)
        self._dispatcher = EventDispatcher(scheduler, decide, self._execute)
        self._attempts = Attempts(scheduler, self._table, counters, self._outcomes, self._dispatcher)
        self._answers = FinalAnswers(self._table, counters, self._outcomes, self._attempts, self._dispatcher)

    def attach_callers(self, callers: CallerSide) -> None:
        """Set the component that sends final answers and releases; must be called before the first call."""
        self._callers = self._answers.callers = callers

    def attach_servers(self, servers: ServerSide) -> None:
        """Set the component that sends attempts and releases; must be called before the first call."""
        self._servers = self._attempts.servers = servers

    def attach_other_process(self, announce_abandoned: Callable[[str], None]) -> None:
        """Set the function that tells another process of this instance of calls abandoned here."""
        self._answers.announce_abandoned = announce_abandoned

    def attach_recorder(self, recorder: Recorder) -> None:
        """Set the component that records the outcome of each call."""
        self._outcomes.recorder = recorder

    def set_memory_limit(self, memory_bytes: float) -> None:
        """Set the limits on the memory of calls from the configured memory."""
        self._table.set_memory_limit(memory_bytes)

    @property
    def open_calls(self) -> int:
        """The number of calls without a final answer."""
        return len(self._table.unanswered())

    @property
    def established_calls(self) -> int:
        """The number of established calls."""
        return len(self._table.established)

    # ------------------------------------------------------------------------------------ from the callers

    def offer(self, call: CallRecord, *, accept_new: bool = True) -> bool:
        """Accept a caller's set-up; return False if its id is that of another call, or of an answered one.

        A set-up that is retransmitted on a new connection belongs to the same call and gets one answer.  A
        set-up that repeats only the id belongs to another call; otherwise the first caller would lose its
        answer.  Without ``accept_new`` a new call is refused: its caller's connection has to be closed.
        """
        self.counters.add("taken.set_ups")
        call.taken_ms = self.scheduler.now_ms
        existing = self._table.find(call.id)
        if existing is not None:
            return self._accept_retransmission(existing, call)
        if self._table.was_attempted(call.id):
            # Its caller has left meanwhile, and the call may have run: no answer would be true but this one.
            self.counters.add("answered.attempted_before")
            self._answers.reject_untracked(call, FinalAnswer.FAILED)
            return True
        if not accept_new or not self._table.has_room_for(call):
            self.counters.add("answered.over_capacity" if accept_new else "answered.drain_overdue")
            self._answers.reject_untracked(call, FinalAnswer.REFUSED)
            return True
        self._table.add(call)
        call.timer = self.scheduler.timers.add(
            call.expires_ms, lambda: self._answers.on_caller_deadline(call)
        )
        self._dispatcher.dispatch(
            api.Call(
                call.id,
                call.class_name,
                call.expires_ms,
                call.preferred_pool,
                tenant=call.tenant,
                number=call.number,
                replaces_cut_call=call.replaces_cut_call,
            )
        )
        return True

    def _accept_retransmission(self, existing: CallRecord, call: CallRecord) -> bool:
        if not existing.unanswered or not existing.is_retransmission_of(call):
            return False
        if existing.origin != call.origin:
            self._callers.remove_call(existing.origin, call.id)
            existing.origin = call.origin
        return True

    def reject_invalid(self, call: CallRecord) -> None:
        """Reject a set-up that no server can use, without the decision module."""
        self.counters.add("answered.invalid")
        call.taken_ms = self.scheduler.now_ms
        self._answers.reject_untracked(call, FinalAnswer.INVALID)

    def reject_over_limit(self, call: CallRecord) -> None:
        """Reject a new set-up of a caller that sends too many, without the decision module."""
        self.counters.add("answered.over_caller_limit")
        call.taken_ms = self.scheduler.now_ms
        self._answers.reject_untracked(call, FinalAnswer.REFUSED)

    def on_released_by_caller(self, call_id: str, cause: int) -> None:
        """Handle a release by the caller of an established call, or of an open call, which it abandons."""
        if (call := self._table.open.get(call_id)) is not None:
            self._answers.abandon(call)
        elif (call := self._table.established.get(call_id)) is not None:
            self.counters.add("taken.releases")
            self._servers.release(call.established_server_id, call_id, cause)
            self._callers.remove_call(call.origin, call_id)
            self._end_established(call, api.Outcome.CANCELLED)
        elif not self._table.has_ended(call_id):
            # The call may date from before a restart of this program, and be established at any server.
            self.counters.add("taken.releases_unknown")
            self._table.remember_ended(call_id)
            self._servers.release(None, call_id, cause)

    def on_abandoned_elsewhere(self, call_id: str) -> None:
        """Handle the news that a call was abandoned after an attempt at another process of this instance."""
        self.counters.add("taken.abandoned_elsewhere")
        self._table.remember_attempted(call_id)
        self.give_up(call_id)

    def recently_attempted(self) -> list[str]:
        """Return the ids of the last calls that ended after an attempt, oldest first."""
        return self._table.recently_attempted()

    def give_up(self, call_id: str) -> None:
        """Reject an open call before its caller's deadline: its caller's connection has to be closed."""
        call = self._table.open.get(call_id)
        if call is not None:
            self._answers.give_up(call)

    def on_caller_disconnected(self, call_id: str, origin: Hashable) -> None:
        """Handle the end of a caller's connection on which an unanswered set-up arrived."""
        call = self._table.open.get(call_id)
        if call is not None and call.unanswered and call.origin == origin:
            self._answers.abandon(call)

    # ------------------------------------------------------------------------------------ from the servers

    def on_established(self, server_id: str, call_id: str, attempt: int | None, description: bytes) -> None:
        """Handle a server's positive answer; a call that no caller waits for is released at that server."""
        call = self._table.open.get(call_id)
        in_flight = None if call is None else call.attempt_in_flight(server_id, attempt)
        if call is not None and in_flight is not None and not self._callers.is_reachable(call.origin):
            # The caller's connection ends in this iteration of the event loop, so the call has no caller.
            self._answers.abandon(call)
            call = None
        if call is None or in_flight is None or not call.unanswered:
            established = self._table.established.get(call_id)
            if established is None or established.established_server_id != server_id:
                self.counters.add("sent.taken_back")
                self._servers.release(server_id, call_id, ReleaseCause.NORMAL_UNSPECIFIED)
            return
        self.scheduler.timers.cancel(in_flight.timer)
        call.unanswered = False
        self._table.establish(call, server_id, self.scheduler.now_ms)
        self._outcomes.established(call)
        self._callers.answer(call.origin, call_id, description)
        waited_ms = self.scheduler.now_ms - in_flight.sent_ms
        self._dispatcher.dispatch(api.Established(call_id, in_flight.number, server_id, waited_ms))

    def on_attempt_ended(
        self,
        server_id: str,
        call_id: str,
        attempt: int,
        outcome: api.Outcome,
        details: RefusalDetails = NO_DETAILS,
    ) -> None:
        """Handle the end of an attempt that did not establish the call."""
        call = self._table.open.get(call_id)
        if call is not None and call.attempt_in_flight(server_id, attempt) is not None:
            self._attempts.end(call, outcome, details=details)

    def on_released_by_server(
        self,
        server_id: str,
        call_id: str,
        cause: int,
        report: api.Report | None = None,
        on_delivered: Callable[[], None] = lambda: None,
    ) -> None:
        """Handle a release by a server.

        ``on_delivered`` is called once no caller remains to be notified.  The release must not be confirmed
        to the server earlier: the server does not retransmit a confirmed release, and if this process ended
        meanwhile, the caller would never be notified.
        """
        call = self._table.established.get(call_id)
        if call is not None:
            if call.established_server_id != server_id:
                # The call is established at another server; the attempt at this one was released as unwanted.
                on_delivered()
                return
            self.counters.add("taken.ends")
            self._callers.release(call.origin, CallerRelease(call_id, cause, on_delivered))
            outcome = api.Outcome.ENDED if cause == ReleaseCause.NORMAL_CLEARING else api.Outcome.RESET
            self._end_established(call, outcome, report)
        elif not self._table.has_ended(call_id) and call_id not in self._table.open:
            # The call may date from before a restart of this program, and its caller may still use it.
            self.counters.add("taken.ends_unknown")
            self._table.remember_ended(call_id)
            self._callers.release(None, CallerRelease(call_id, cause, on_delivered))
        elif not self._callers.wait_for_delivery(call_id, on_delivered):
            on_delivered()

    def on_circuits_reported(self, server_id: str, free: float, circuits: float) -> None:
        """Handle a server's report of its free circuits and of all its circuits."""
        self.counters.add("taken.states")
        self._dispatcher.dispatch(api.CircuitsReported(server_id, free, circuits))

    def on_probe_answered(self, server_id: str, answered: bool, report: api.Report | None = None) -> None:
        """Handle the end of a probe, answered or not."""
        self._dispatcher.dispatch(api.ProbeAnswered(server_id, answered, report))

    def has_call(self, call_id: str) -> bool:
        """Return whether a call with this id is open or established."""
        return self._table.find(call_id) is not None

    def knows(self, call_id: str) -> bool:
        """Return whether a call with this id is open, established, or among those that ended last."""
        return self._table.find(call_id) is not None or self._table.has_ended(call_id)

    def is_established_at(self, call_id: str, server_id: str) -> bool:
        """Return whether this call is established at this server."""
        call = self._table.established.get(call_id)
        return call is not None and call.established_server_id == server_id

    def is_finished(self, call_id: str) -> bool:
        """Return whether this call is unknown, or has a final answer and is not established."""
        call = self._table.find(call_id)
        return call is None or (not call.unanswered and call.established_server_id is None)

    def has_calls_at(self, server_id: str) -> bool:
        """Return whether this server has an established call or an attempt in flight."""
        return self._table.has_calls_at(server_id)

    def process_ended(self, server_id: str, started_before_ms: float, *, notify_server: bool = False) -> None:
        """Release the established calls of a server process that has ended without releasing them.

        Only calls established before ``started_before_ms`` are released, since a new process may have others.
        With ``notify_server`` the process may still run, and the calls are released there too.
        """
        for call in self._table.established_at(server_id, started_before_ms):
            self.counters.add("sent.ends_for_servers")
            self._callers.release(call.origin, CallerRelease(call.id, ReleaseCause.TEMPORARY_FAILURE))
            if notify_server:
                self._servers.release(server_id, call.id, ReleaseCause.TEMPORARY_FAILURE)
            self._end_established(call, api.Outcome.RESET)

    # ------------------------------------------------------------------------------------ from discovery

    def endpoints_changed(self, kind: api.ListKind, servers: tuple[api.Server, ...]) -> None:
        """Pass a new or changed server list to the decision module."""
        self._dispatcher.dispatch(api.ServerList(kind, servers))

    def apply_hints(self, hints: list[api.WarmStartHint]) -> None:
        """Pass a running peer's view of servers to the decision module, for the start of this instance."""
        self.counters.add("taken.hints", len(hints))
        for event in hints:
            self._dispatcher.dispatch(event)

    def fail_all(self) -> None:
        """Fail every unanswered call; for the end of the program."""
        self._answers.fail_all()

    # ---------------------------------------------------------------------------- from the decision module

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.SetUp(call_id, server_id, timeout_ms):
                self._attempts.start(call_id, server_id, timeout_ms)
            case api.Cancel(call_id, attempt):
                self._attempts.cancel(call_id, attempt)
            case api.Refuse(call_id, retry_after_ms):
                self._answers.reject(call_id, FinalAnswer.REFUSED, retry_after_ms)
            case api.Fail(call_id):
                self._answers.reject(call_id, FinalAnswer.FAILED)
            case api.SetTimer(after_ms, token):
                self.scheduler.call_later(after_ms, lambda: self._dispatcher.dispatch(api.TimerFired(token)))
            case api.Probe(server_id):
                self.counters.add("sent.probes")
                self._servers.probe(server_id)
            case api.Log(text):
                LOG.info("%s", text)

    def _end_established(
        self, call: CallRecord, outcome: api.Outcome, report: api.Report | None = None
    ) -> None:
        server_id = call.established_server_id
        assert server_id is not None, "the call is established"
        self._table.end_established(call)
        self._outcomes.ended(call, outcome)
        self._dispatcher.dispatch(
            api.AttemptEnded(call.id, call.attempts - 1, server_id, outcome, finished=True, report=report)
        )
