"""Negative final answers: calls that are rejected, or abandoned by their callers."""

from __future__ import annotations

import logging
from collections.abc import Callable

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
    """Rejects calls, and ends calls that their callers abandon."""

    def __init__(
        self,
        table: CallTable,
        counters: Counters,
        outcomes: OutcomeReporter,
        attempts: Attempts,
        dispatcher: EventDispatcher,
    ) -> None:
        self.callers: CallerSide
        self.announce_abandoned: Callable[[str], None] = lambda call_id: None
        self._table, self._counters, self._outcomes = table, counters, outcomes
        self._attempts, self._dispatcher = attempts, dispatcher

    def reject(self, call_id: str, final: FinalAnswer, retry_after_ms: float | None = None) -> None:
        """Reject the call with this id, if it is open and unanswered."""
        call = self._table.open.get(call_id)
        if call is not None and call.unanswered:
            self._reject(call, final, retry_after_ms)

    def reject_untracked(self, call: CallRecord, final: FinalAnswer) -> None:
        """Reject a call that is not in the table."""
        self._outcomes.rejected(call, final)
        self.callers.reject(call.origin, call.id, final, None)

    def abandon(self, call: CallRecord) -> None:
        """End an unanswered call that its caller has abandoned."""
        if not call.unanswered:
            return
        self._counters.add("taken.given_up")
        call.unanswered = False
        self.callers.remove_call(call.origin, call.id)  # the release may have come on another connection
        self._outcomes.abandoned(call)
        if call.attempts:
            self.announce_abandoned(call.id)
        self._dispatcher.dispatch(api.CallAbandoned(call.id))
        if call.in_flight is not None:
            self._attempts.end(call, api.Outcome.CANCELLED, cancel=True)
        else:
            self._table.close(call)

    def on_caller_deadline(self, call: CallRecord) -> None:
        """Fail a call at its caller's deadline, whatever the decision module does."""
        if call.unanswered:
            LOG.warning("call %s: not answered before the caller's deadline", call.id)
            self._reject_and_cancel(call, FinalAnswer.FAILED)

    def give_up(self, call: CallRecord) -> None:
        """Reject a call, whatever the decision module does: as refused if no server can have received it."""
        if call.unanswered:
            self._counters.add("answered.drain_expired")
            self._reject_and_cancel(call, FinalAnswer.FAILED if call.attempts else FinalAnswer.REFUSED)

    def _reject_and_cancel(self, call: CallRecord, final: FinalAnswer) -> None:
        self._reject(call, final, None)
        self._dispatcher.dispatch(api.CallAbandoned(call.id))
        self._attempts.end(call, api.Outcome.CANCELLED, cancel=True)

    def fail_all(self) -> None:
        """Fail every unanswered call; for the end of the program."""
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
