"""Attempts to set up a call at a server: a call has at most one in flight, and each ends once."""

from __future__ import annotations

import logging

from canvasplank import interface as api
from canvasplank.counters import Counters
from canvasplank.exchange.call_records import NO_DETAILS, Attempt, CallRecord, RefusalDetails
from canvasplank.exchange.call_table import CallTable
from canvasplank.exchange.event_dispatcher import EventDispatcher
from canvasplank.exchange.outcomes import OutcomeReporter
from canvasplank.exchange.ports import ServerSide
from canvasplank.runtime.scheduler import Scheduler

LOG = logging.getLogger(__name__)


class Attempts:
    """Starts the attempts that the decision module requests, and reports the end of each to it once."""

    def __init__(
        self,
        scheduler: Scheduler,
        table: CallTable,
        counters: Counters,
        outcomes: OutcomeReporter,
        dispatcher: EventDispatcher,
    ) -> None:
        self.servers: ServerSide
        self._scheduler, self._table, self._counters = scheduler, table, counters
        self._outcomes, self._dispatcher = outcomes, dispatcher

    def start(self, call_id: str, server_id: str, timeout_ms: float) -> None:
        """Send a call to a server; ``timeout_ms`` includes the time for connecting."""
        call = self._table.open.get(call_id)
        if call is None or not call.unanswered or call.in_flight is not None:
            LOG.error("attempt for call %s not started: the call is unknown, answered or in flight", call_id)
            return
        attempt = call.in_flight = Attempt(call.attempts, server_id, self._scheduler.now_ms)
        call.attempts += 1
        call.last_server_id = server_id
        attempt.timer = self._scheduler.call_later(timeout_ms, lambda: self._on_timeout(call, attempt))
        self._counters.add("sent.set_ups")
        self.servers.set_up(server_id, call, attempt.number, timeout_ms)

    def cancel(self, call_id: str, number: int) -> None:
        """Cancel the attempt with this number, if it is in flight."""
        call = self._table.open.get(call_id)
        if call is not None and call.in_flight is not None and call.in_flight.number == number:
            self._counters.add("sent.cancels")
            self.end(call, api.Outcome.CANCELLED, cancel=True)

    def end(
        self,
        call: CallRecord,
        outcome: api.Outcome,
        *,
        cancel: bool = False,
        details: RefusalDetails = NO_DETAILS,
    ) -> None:
        """End the attempt in flight, if any, and report its outcome.

        With ``cancel`` the attempt is cancelled at its server too, and stays in flight until the cancellation
        has left this process: the minimum delay before the call's next attempt counts from then.
        """
        attempt = call.in_flight
        if attempt is None or attempt.cancelled:
            return
        self._scheduler.timers.cancel(attempt.timer)
        if cancel:
            attempt.cancelled = True
            self.servers.cancel(
                attempt.server_id, call.id, lambda: self._on_ended(call, attempt, outcome, details)
            )
        else:
            self._on_ended(call, attempt, outcome, details)

    def _on_ended(
        self, call: CallRecord, attempt: Attempt, outcome: api.Outcome, details: RefusalDetails
    ) -> None:
        call.in_flight = None
        self._outcomes.attempt_ended(outcome)
        if not call.unanswered:
            self._table.close(call)
        self._dispatcher.dispatch(
            api.AttemptEnded(
                call.id,
                attempt.number,
                attempt.server_id,
                outcome,
                finished=not call.unanswered,
                processor_full=details.processor_full,
                number_busy=details.number_busy,
                report=details.report,
                released_ms=self._scheduler.read_clock(),
            )
        )

    def _on_timeout(self, call: CallRecord, attempt: Attempt) -> None:
        if call.in_flight is attempt:
            self.end(call, api.Outcome.TIMED_OUT, cancel=True)
