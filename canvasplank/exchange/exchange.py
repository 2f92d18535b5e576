"""The exchange: the only place where callers, call servers and the decision module meet.

It owns the table of calls, the clock that the module is handed, the module itself, and each call's one final
answer.  It carries out what the module decides and reports what happens; it never chooses, retries, holds or
refuses by itself.  A protocol is a component that calls the methods of its side here and offers those of
``CallerSide`` or ``ServerSide``; the exchange knows nothing else of it.
"""

from __future__ import annotations

import logging
from collections import OrderedDict, deque
from collections.abc import Callable, Hashable

from canvasplank import interface as api
from canvasplank.counters import Counters
from canvasplank.exchange.call_records import NO_DETAILS, Attempt, CallRecord, FinalAnswer, RefusalDetails
from canvasplank.exchange.ports import CallerSide, Recorder, ServerSide
from canvasplank.runtime.scheduler import Scheduler

LOG = logging.getLogger(__name__)
NORMAL_CLEARING = 16  # Q.850: the cause of a call's ordinary end
CUT_CAUSE = 41  # Q.850: temporary failure, the cause of a call that was cut
UNWANTED_ANSWER_CAUSE = 31  # Q.850: normal, unspecified: nobody waits for this answer any more
MAX_ENDED_CALLS = (
    8192  # ids of calls that are over, remembered so that a release heard twice is passed on once
)
DESCRIPTIONS_FRACTION = 1 / 8  # of the memory: the most that descriptions of calls without an answer may take


class Exchange:
    """Callers on one side, call servers on the other, the decisions between them."""

    def __init__(
        self,
        scheduler: Scheduler,
        controller: Callable[[float, api.Event], list[api.Action]],
        counters: Counters,
        max_open: int,
        memory_bytes: float,
    ) -> None:
        self.scheduler = scheduler
        self.counters = counters
        self._callers: CallerSide
        self._servers: ServerSide
        self._recorder: Recorder | None = None
        self._decide = controller
        self._max_open = max_open
        self.set_memory_limit(memory_bytes)
        self._open: dict[str, CallRecord] = {}  # unanswered, or with an attempt in flight
        self._established: dict[str, CallRecord] = {}
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._description_bytes = 0
        self._events: deque[api.Event] = deque()
        self._dispatching = False

    @property
    def open_calls(self) -> int:
        """Calls that lack their final answer."""
        return sum(call.unanswered for call in self._open.values())

    @property
    def established_calls(self) -> int:
        """Calls that are established."""
        return len(self._established)

    def attach_callers(self, callers: CallerSide) -> None:
        """Give final answers and releases to this component; once, before the first call."""
        self._callers = callers

    def attach_servers(self, servers: ServerSide) -> None:
        """Send attempts and releases by this component; once, before the first call."""
        self._servers = servers

    def attach_recorder(self, recorder: Recorder) -> None:
        """Tell this component of each call's outcome."""
        self._recorder = recorder

    def set_memory_limit(self, memory_bytes: float) -> None:
        """Hold no more than the configuration has room for."""
        self._max_description_bytes = DESCRIPTIONS_FRACTION * memory_bytes

    # ------------------------------------------------------------------------------------ from the callers

    def offer(self, call: CallRecord) -> bool:
        """A caller's set-up; False: its id belongs to another call, and this one is not taken."""
        self.counters.add("taken.set_ups")
        call.taken_ms = self.scheduler.now_ms
        known = self._open.get(call.id) or self._established.get(call.id)
        if known is not None:
            # A set-up resent on a new connection is the same call, with one answer.  Guards against handing a
            # call to whoever repeats its id alone: the first caller would lose its answer, the other get it.
            if not known.unanswered or not known.is_retransmission_of(
                call
            ):  # an established one has had its answer
                return False
            if known.origin != call.origin:
                self._callers.remove_call(known.origin, call.id)
                known.origin = call.origin
            return True
        description_bytes = self._description_bytes + len(call.description)
        if len(self._open) >= self._max_open or description_bytes > self._max_description_bytes:
            # Guards the memory that this machine has by its configuration, be it 32 or 192 MB.
            self.counters.add("answered.over_capacity")
            self._reject_untracked(call, FinalAnswer.REFUSED)
            return True
        self._open[call.id] = call
        self._description_bytes += len(call.description)
        call.timer = self.scheduler.timers.add(call.expires_ms, lambda: self._on_caller_deadline(call))
        self._dispatch(
            api.Call(
                call.id,
                call.class_name,
                call.expires_ms,
                call.preferred_pool,
                tenant=call.tenant,
                number=call.number,
                was_cut=call.was_cut,
            )
        )
        return True

    def reject_invalid(self, call: CallRecord) -> None:
        """A set-up that no server can use: the edge's own to turn away."""
        self.counters.add("answered.invalid")
        call.taken_ms = self.scheduler.now_ms
        self._reject_untracked(call, FinalAnswer.INVALID)

    def _reject_untracked(self, call: CallRecord, final: FinalAnswer) -> None:
        """Answer a call that was never entered in the table."""
        self._count_final(call, final)
        self._callers.reject(call.origin, call.id, final, None)

    def on_released_by_caller(self, call_id: str, cause: int) -> None:
        """A release from a caller: of a set-up that it abandons, or of an established call."""
        call = self._open.get(call_id)
        if call is not None:
            self._abandon(call)
            return
        call = self._established.get(call_id)
        if call is not None:
            self.counters.add("taken.releases")
            self._servers.release(call.established_server_id, call_id, cause)
            self._callers.remove_call(call.origin, call_id)
            self._end_established(call, api.Outcome.CANCELLED)
        elif call_id not in self._ended:
            # Guards against losing a release after a restart of ours: the call may be at any server.
            self.counters.add("taken.releases_unknown")
            self._remember(call_id)
            self._servers.release(None, call_id, cause)

    def on_caller_disconnected(self, call_id: str, origin: Hashable) -> None:
        """The connection of an unanswered set-up has ended."""
        call = self._open.get(call_id)
        if call is not None and call.unanswered and call.origin == origin:
            self._abandon(call)

    def _abandon(self, call: CallRecord) -> None:
        if not call.unanswered:
            return
        self.counters.add("taken.given_up")
        call.unanswered = False
        self._callers.remove_call(call.origin, call.id)  # the word of it may have come on another connection
        if self._recorder is not None:
            self._recorder.call_answered(call, "given_up", self.scheduler.now_ms)
        self._dispatch(api.CallAbandoned(call.id))
        if call.in_flight is not None:
            self._end_attempt(call, api.Outcome.CANCELLED, cancel=True)
        else:
            self._close(call)

    def _on_caller_deadline(self, call: CallRecord) -> None:
        """The caller's time is up and the module has said nothing: guards rule 1 whatever the module does."""
        if call.unanswered:
            LOG.warning("call %s: no answer by the caller's time", call.id)
            self._reject(call, FinalAnswer.FAILED, None)
            self._dispatch(api.CallAbandoned(call.id))
            if call.in_flight is not None:
                self._end_attempt(call, api.Outcome.CANCELLED, cancel=True)

    # ------------------------------------------------------------------------------------ from the servers

    def on_established(self, server_id: str, call_id: str, attempt: int | None, description: bytes) -> None:
        """A server answered a set-up; an answer that nobody waits for is taken back there."""
        call = self._open.get(call_id)
        if (
            call is not None
            and self._is_in_flight(call, server_id, attempt)
            and not self._callers.is_reachable(call.origin)
        ):
            # Guards against a call established for nobody: its caller's connection ends in this very turn.
            self._abandon(call)
            call = None
        if call is None or not self._is_in_flight(call, server_id, attempt) or not call.unanswered:
            known = self._established.get(call_id)
            if known is None or known.established_server_id != server_id:
                self.counters.add("sent.taken_back")
                self._servers.release(server_id, call_id, UNWANTED_ANSWER_CAUSE)
            return
        in_flight = call.in_flight
        self.scheduler.timers.cancel(in_flight.timer)
        call.unanswered = False
        call.established_server_id, call.established_ms = server_id, self.scheduler.now_ms
        self._close(call)
        self._established[call_id] = call
        self.counters.add("answered.stands")
        self.counters.by_class("served", call.class_name)
        if self._recorder is not None:
            self._recorder.call_answered(call, "served", self.scheduler.now_ms)
        self._callers.answer(call.origin, call_id, description)
        waited_ms = self.scheduler.now_ms - in_flight.sent_ms
        self._dispatch(api.Established(call_id, in_flight.number, server_id, waited_ms))

    def on_attempt_ended(
        self,
        server_id: str,
        call_id: str,
        attempt: int,
        outcome: api.Outcome,
        details: RefusalDetails = NO_DETAILS,
    ) -> None:
        """An attempt that was not answered has ended."""
        call = self._open.get(call_id)
        if call is not None and self._is_in_flight(call, server_id, attempt):
            self._end_attempt(call, outcome, details=details)

    def on_released_by_server(
        self, server_id: str, call_id: str, cause: int, report: api.Report | None = None
    ) -> None:
        """A server ended an established call."""
        call = self._established.get(call_id)
        if call is not None:
            if call.established_server_id != server_id:
                return  # guards against the end of an attempt that was taken back there
            self.counters.add("taken.ends")
            self._callers.release(call.origin, call_id, cause)
            outcome = api.Outcome.ENDED if cause == NORMAL_CLEARING else api.Outcome.RESET
            self._end_established(call, outcome, report)
        elif call_id not in self._ended and call_id not in self._open:
            # Guards against losing a release after a restart of ours: the caller still counts on the call.
            self.counters.add("taken.ends_unknown")
            self._remember(call_id)
            self._callers.release(None, call_id, cause)

    def on_circuits_reported(self, server_id: str, free: float, circuits: float) -> None:
        """A server told its free lines."""
        self.counters.add("taken.states")
        self._dispatch(api.CircuitsReported(server_id, free, circuits))

    def on_probe_answered(self, server_id: str, answered: bool, report: api.Report | None = None) -> None:
        """What became of a probe."""
        self._dispatch(api.ProbeAnswered(server_id, answered, report))

    def has_calls_at(self, server_id: str) -> bool:
        """Whether a call is established at this server, or an attempt in flight there."""
        in_flight = (call.in_flight for call in self._open.values() if call.in_flight is not None)
        return any(call.established_server_id == server_id for call in self._established.values()) or any(
            attempt.server_id == server_id for attempt in in_flight
        )

    def process_ended(self, server_id: str, started_before_ms: float, *, notify_server: bool = False) -> None:
        """A server's process has ended without releasing its calls: release those that it held.

        With ``notify_server`` it may not have ended, and is told as well.
        Only those of before ``started_before_ms`` are over; a fresh process may hold calls already.
        """
        ended_calls = [
            c
            for c in self._established.values()
            if c.established_server_id == server_id and c.established_ms < started_before_ms
        ]
        for call in ended_calls:
            self.counters.add("sent.ends_for_servers")
            self._callers.release(call.origin, call.id, CUT_CAUSE)
            if notify_server:
                self._servers.release(server_id, call.id, CUT_CAUSE)
            self._end_established(call, api.Outcome.RESET)

    # ------------------------------------------------------------------------------------ from the board

    def endpoints_changed(self, kind: api.ListKind, servers: tuple[api.Server, ...]) -> None:
        """News of the list of servers."""
        self._dispatch(api.ServerList(kind, servers))

    def apply_hints(self, events: list[api.WarmStartHint]) -> None:
        """A running peer's aged word on servers, for this instance's start."""
        self.counters.add("taken.hints", len(events))
        for event in events:
            self._dispatch(event)

    def fail_all(self) -> None:
        """The program ends: whatever is still unanswered gets its answer."""
        for call in [c for c in self._open.values() if c.unanswered]:
            self._reject(call, FinalAnswer.FAILED, None)
            if call.in_flight is not None:
                self._end_attempt(call, api.Outcome.CANCELLED, cancel=True)

    # ------------------------------------------------------------------------------------ the module

    def _dispatch(self, event: api.Event) -> None:
        """Hand an event over and carry out what comes back; what that causes is told after it, in order."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self._decide(self.scheduler.now_ms, event)
                except Exception:  # a fault in one decision must not end the program and all its other calls
                    LOG.exception("the module failed on %s", type(event).__name__)
                    continue
                for action in actions:
                    self._execute(action)
        finally:
            self._dispatching = False

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.SetUp(call_id, server_id, timeout_ms):
                self._set_up(call_id, server_id, timeout_ms)
            case api.Cancel(call_id, attempt):
                call = self._open.get(call_id)
                if call is not None and call.in_flight is not None and call.in_flight.number == attempt:
                    self.counters.add("sent.cancels")
                    self._end_attempt(call, api.Outcome.CANCELLED, cancel=True)
            case api.Refuse(call_id, retry_after_ms):
                self._final_answer(call_id, FinalAnswer.REFUSED, retry_after_ms)
            case api.Fail(call_id):
                self._final_answer(call_id, FinalAnswer.FAILED, None)
            case api.SetTimer(after_ms, token):
                self.scheduler.call_later(after_ms, lambda: self._dispatch(api.TimerFired(token)))
            case api.Probe(server_id):
                self.counters.add("sent.probes")
                self._servers.probe(server_id)
            case api.Log(text):
                LOG.info("%s", text)

    def _set_up(self, call_id: str, server_id: str, timeout_ms: float) -> None:
        call = self._open.get(call_id)
        if call is None or not call.unanswered or call.in_flight is not None:
            LOG.error("set-up for call %s, which cannot have one", call_id)
            return
        in_flight = call.in_flight = Attempt(call.attempts, server_id, self.scheduler.now_ms)
        call.attempts += 1
        call.last_server_id = server_id
        in_flight.timer = self.scheduler.call_later(
            timeout_ms, lambda: self._on_attempt_timeout(call, in_flight)
        )
        self.counters.add("sent.set_ups")
        self._servers.set_up(server_id, call, in_flight.number, timeout_ms)

    def _on_attempt_timeout(self, call: CallRecord, in_flight: Attempt) -> None:
        if call.in_flight is in_flight:
            self._end_attempt(call, api.Outcome.TIMED_OUT, cancel=True)

    def _final_answer(self, call_id: str, final: FinalAnswer, retry_after_ms: float | None) -> None:
        call = self._open.get(call_id)
        if call is not None and call.unanswered:
            self._reject(call, final, retry_after_ms)

    # ------------------------------------------------------------------------------------ the call table

    def _is_in_flight(self, call: CallRecord, server_id: str, attempt: int | None) -> bool:
        in_flight = call.in_flight
        return in_flight is not None and (in_flight.server_id, in_flight.number) == (server_id, attempt)

    def _reject(self, call: CallRecord, final: FinalAnswer, retry_after_ms: float | None) -> None:
        call.unanswered = False
        self.counters.add(f"answered.{final.value}")
        self._count_final(call, final)
        self._callers.reject(call.origin, call.id, final, retry_after_ms)
        if call.in_flight is None:
            self._close(call)

    def _count_final(self, call: CallRecord, final: FinalAnswer) -> None:
        self.counters.by_class("refused" if final is FinalAnswer.REFUSED else "failed", call.class_name)
        if self._recorder is not None:
            self._recorder.call_answered(call, final.value, self.scheduler.now_ms)

    def _end_attempt(
        self,
        call: CallRecord,
        outcome: api.Outcome,
        *,
        cancel: bool = False,
        details: RefusalDetails = NO_DETAILS,
    ) -> None:
        in_flight, call.in_flight = call.in_flight, None
        self.scheduler.timers.cancel(in_flight.timer)
        self.counters.add(f"ended.{outcome.name.lower()}")
        if cancel:
            self._servers.cancel(in_flight.server_id, call.id)
        if not call.unanswered:
            self._close(call)
        self._dispatch(
            api.AttemptEnded(
                call.id,
                in_flight.number,
                in_flight.server_id,
                outcome,
                finished=not call.unanswered,
                processor_full=details.processor_full,
                number_busy=details.number_busy,
                report=details.report,
            )
        )

    def _close(self, call: CallRecord) -> None:
        """It is answered, and nothing is in flight."""
        if self._open.pop(call.id, None) is None:
            return
        self.scheduler.timers.cancel(call.timer)
        self._description_bytes -= len(call.description)
        call.description = b""
        if call.established_server_id is None:
            self._remember(call.id)

    def _end_established(
        self, call: CallRecord, outcome: api.Outcome, report: api.Report | None = None
    ) -> None:
        del self._established[call.id]
        self._remember(call.id)
        if self._recorder is not None:
            self._recorder.call_ended(call, outcome, self.scheduler.now_ms)
        self.counters.add(f"ended.{outcome.name.lower()}")
        self._dispatch(
            api.AttemptEnded(
                call.id, call.attempts - 1, call.established_server_id, outcome, finished=True, report=report
            )
        )

    def _remember(self, call_id: str) -> None:
        self._ended[call_id] = None
        if len(self._ended) > MAX_ENDED_CALLS:
            self._ended.popitem(last=False)
