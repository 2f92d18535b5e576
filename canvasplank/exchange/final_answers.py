"""The one final answer of each call, other than that it is established."""

from __future__ import annotations

import logging

from canvasplank import interface as api
from canvasplank.counters import Counters
from canvasplank.exchange.attempts import Attempts
from canvasplank.exchange.call_records import CallRecord, FinalAnswer
from canvasplank.exchange.call_table import CallTable
from canvasplank.exchange.event_dispatcher import EventDispatcher
from canvasplank.exchange.outcomes import OutcomeReporter
from canvasplank.exchange.ports import CallerSide

LOG = logging.getLogger(__name__)


class FinalAnswers:
    """Rejects calls, and ends those that their callers abandon."""

    def __init__(
        self,
        table: CallTable,
        counters: Counters,
        outcomes: OutcomeReporter,
        attempts: Attempts,
        dispatcher: EventDispatcher,
    ) -> None:
        self.callers: CallerSide
        self._table, self._counters, self._outcomes = table, counters, outcomes
        self._attempts, self._dispatcher = attempts, dispatcher

    def reject(self, call_id: str, final: FinalAnswer, retry_after_ms: float | None = None) -> None:
        """Reject a call by its id, unless it has been answered."""
        call = self._table.open.get(call_id)
        if call is not None and call.unanswered:
            self._reject(call, final, retry_after_ms)

    def reject_untracked(self, call: CallRecord, final: FinalAnswer) -> None:
        """Reject a call that was never entered in the table."""
        self._outcomes.rejected(call, final)
        self.callers.reject(call.origin, call.id, final, None)

    def abandon(self, call: CallRecord) -> None:
        """End an unanswered call that its caller has abandoned."""
        if not call.unanswered:
            return
        self._counters.add("taken.given_up")
        call.unanswered = False
        self.callers.remove_call(call.origin, call.id)  # it may have been abandoned on another connection
        self._outcomes.abandoned(call)
        self._dispatcher.dispatch(api.CallAbandoned(call.id))
        if call.in_flight is not None:
            self._attempts.end(call, api.Outcome.CANCELLED, cancel=True)
        else:
            self._table.close(call)

    def on_caller_deadline(self, call: CallRecord) -> None:
        """Fail a call whose caller's time is up, whatever the decision module does."""
        if call.unanswered:
            LOG.warning("call %s: no answer by the caller's time", call.id)
            self._reject(call, FinalAnswer.FAILED, None)
            self._dispatcher.dispatch(api.CallAbandoned(call.id))
            self._attempts.end(call, api.Outcome.CANCELLED, cancel=True)

    def fail_all(self) -> None:
        """Fail every unanswered call, since the program ends."""
        for call in self._table.unanswered():
            self._reject(call, FinalAnswer.FAILED, None)
            self._attempts.end(call, api.Outcome.CANCELLED, cancel=True)

    def _reject(self, call: CallRecord, final: FinalAnswer, retry_after_ms: float | None) -> None:
        call.unanswered = False
        self._counters.add(f"answered.{final.value}")
        self._outcomes.rejected(call, final)
        self.callers.reject(call.origin, call.id, final, retry_after_ms)
        if call.in_flight is None:
            self._table.close(call)
