"""The exchange: the only place where callers, call servers and the decision module meet.

It owns the table of calls, the clock that the decision module is given, the module itself, and each call's
one final answer.  It carries out what the module decides and reports what happens; it never chooses, retries,
queues or rejects by itself.  A protocol is a component that calls the methods of its side here and offers
those of ``CallerSide`` or ``ServerSide``; the exchange knows nothing else of it.
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
    """Callers on one side, call servers on the other, the decisions between them."""

    def __init__(
        self, scheduler: Scheduler, decide: Decide, counters: Counters, max_open: int, memory_bytes: float
    ) -> None:
        """``max_open``: calls that may be open at once; ``memory_bytes``: the configured memory."""
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
        """Send final answers and releases through this component; before the first call."""
        self._callers = self._answers.callers = callers

    def attach_servers(self, servers: ServerSide) -> None:
        """Send attempts and releases through this component; before the first call."""
        self._servers = self._attempts.servers = servers

    def attach_recorder(self, recorder: Recorder) -> None:
        """Report each call's outcome to this component."""
        self._outcomes.recorder = recorder

    def set_memory_limit(self, memory_bytes: float) -> None:
        """Bound what calls may take by the configured memory."""
        self._table.set_memory_limit(memory_bytes)

    @property
    def open_calls(self) -> int:
        """Calls that lack their final answer."""
        return len(self._table.unanswered())

    @property
    def established_calls(self) -> int:
        """Calls that are established."""
        return len(self._table.established)

    # ------------------------------------------------------------------------------------ from the callers

    def offer(self, call: CallRecord) -> bool:
        """Take a caller's set-up; False: its id belongs to another call, and this one is not taken.

        A set-up that is sent again on a new connection is the same call, with one answer.  One that repeats
        only the id is another call: were it taken for the same, the first caller would lose its answer.
        """
        self.counters.add("taken.set_ups")
        call.taken_ms = self.scheduler.now_ms
        known = self._table.find(call.id)
        if known is not None:
            return self._retransmitted(known, call)
        if not self._table.has_room_for(call):
            self.counters.add("answered.over_capacity")
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

    def _retransmitted(self, known: CallRecord, call: CallRecord) -> bool:
        if not known.unanswered or not known.is_retransmission_of(call):
            return False
        if known.origin != call.origin:
            self._callers.remove_call(known.origin, call.id)
            known.origin = call.origin
        return True

    def reject_invalid(self, call: CallRecord) -> None:
        """Reject a set-up that no server can use, which is the edge's own to decide."""
        self.counters.add("answered.invalid")
        call.taken_ms = self.scheduler.now_ms
        self._answers.reject_untracked(call, FinalAnswer.INVALID)

    def on_released_by_caller(self, call_id: str, cause: int) -> None:
        """A caller has released an established call, or abandoned an open one."""
        if (call := self._table.open.get(call_id)) is not None:
            self._answers.abandon(call)
        elif (call := self._table.established.get(call_id)) is not None:
            self.counters.add("taken.releases")
            self._servers.release(call.established_server_id, call_id, cause)
            self._callers.remove_call(call.origin, call_id)
            self._end_established(call, api.Outcome.CANCELLED)
        elif not self._table.has_ended(call_id):
            # After a restart of this program the call may be at any server.
            self.counters.add("taken.releases_unknown")
            self._table.remember_ended(call_id)
            self._servers.release(None, call_id, cause)

    def on_caller_disconnected(self, call_id: str, origin: Hashable) -> None:
        """The connection of an unanswered set-up has ended."""
        call = self._table.open.get(call_id)
        if call is not None and call.unanswered and call.origin == origin:
            self._answers.abandon(call)

    # ------------------------------------------------------------------------------------ from the servers

    def on_established(self, server_id: str, call_id: str, attempt: int | None, description: bytes) -> None:
        """A server has established a call; one that nobody waits for is released there again."""
        call = self._table.open.get(call_id)
        in_flight = None if call is None else call.attempt_in_flight(server_id, attempt)
        if call is not None and in_flight is not None and not self._callers.is_reachable(call.origin):
            # Its caller's connection ends in this very iteration: the call would be established for nobody.
            self._answers.abandon(call)
            call = None
        if call is None or in_flight is None or not call.unanswered:
            known = self._table.established.get(call_id)
            if known is None or known.established_server_id != server_id:
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
        """An attempt has ended without being answered."""
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
        """A server has released an established call.

        ``on_delivered`` is called once no caller remains to be notified of the release.  Until then it must
        not be confirmed to the server, which would not send it again: should this process end meanwhile, the
        caller would never be notified.
        """
        call = self._table.established.get(call_id)
        if call is not None:
            if call.established_server_id != server_id:
                on_delivered()  # the end of an attempt that was released there as unwanted
                return
            self.counters.add("taken.ends")
            self._callers.release(call.origin, CallerRelease(call_id, cause, on_delivered))
            outcome = api.Outcome.ENDED if cause == ReleaseCause.NORMAL_CLEARING else api.Outcome.RESET
            self._end_established(call, outcome, report)
        elif not self._table.has_ended(call_id) and call_id not in self._table.open:
            # After a restart of this program the caller still counts on the call.
            self.counters.add("taken.ends_unknown")
            self._table.remember_ended(call_id)
            self._callers.release(None, CallerRelease(call_id, cause, on_delivered))
        elif not self._callers.wait_for_delivery(call_id, on_delivered):
            on_delivered()

    def on_circuits_reported(self, server_id: str, free: float, circuits: float) -> None:
        """A server has reported its free circuits and all its circuits."""
        self.counters.add("taken.states")
        self._dispatcher.dispatch(api.CircuitsReported(server_id, free, circuits))

    def on_probe_answered(self, server_id: str, answered: bool, report: api.Report | None = None) -> None:
        """A probe was answered, or was not."""
        self._dispatcher.dispatch(api.ProbeAnswered(server_id, answered, report))

    def is_established_at(self, call_id: str, server_id: str) -> bool:
        """Whether this call is established, and at this server."""
        call = self._table.established.get(call_id)
        return call is not None and call.established_server_id == server_id

    def is_finished(self, call_id: str) -> bool:
        """Whether this call has had its final answer, and is not established."""
        call = self._table.find(call_id)
        return call is None or (not call.unanswered and call.established_server_id is None)

    def has_calls_at(self, server_id: str) -> bool:
        """Whether a call is established at this server, or an attempt in flight there."""
        return self._table.has_calls_at(server_id)

    def process_ended(self, server_id: str, started_before_ms: float, *, notify_server: bool = False) -> None:
        """Release the calls of a server's process that has ended without releasing them.

        Only calls established before ``started_before_ms`` are released: a new process may hold others.  With
        ``notify_server`` the process may still run, and its calls are released there too.
        """
        for call in self._table.established_at(server_id, started_before_ms):
            self.counters.add("sent.ends_for_servers")
            self._callers.release(call.origin, CallerRelease(call.id, ReleaseCause.TEMPORARY_FAILURE))
            if notify_server:
                self._servers.release(server_id, call.id, ReleaseCause.TEMPORARY_FAILURE)
            self._end_established(call, api.Outcome.RESET)

    # ------------------------------------------------------------------------------------ from discovery

    def endpoints_changed(self, kind: api.ListKind, servers: tuple[api.Server, ...]) -> None:
        """The list of servers has changed."""
        self._dispatcher.dispatch(api.ServerList(kind, servers))

    def apply_hints(self, hints: list[api.WarmStartHint]) -> None:
        """Give the module a running peer's view of servers, for this instance's start."""
        self.counters.add("taken.hints", len(hints))
        for event in hints:
            self._dispatcher.dispatch(event)

    def fail_all(self) -> None:
        """Fail every unanswered call, since the program ends."""
        self._answers.fail_all()

    # ------------------------------------------------------------------------------------ from the module

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
