"""Counts outcomes of calls, and passes them to the recorder where there is one."""

from __future__ import annotations

from canvasplank import interface as api
from canvasplank.counters import Counters
from canvasplank.exchange.call_records import CallRecord, FinalAnswer
from canvasplank.exchange.ports import Recorder
from canvasplank.runtime.scheduler import Scheduler

SERVED, ABANDONED = "served", "given_up"  # the recorder's words for these answers, beside FinalAnswer's


class OutcomeReporter:
    """Reports each call's answer and end once."""

    def __init__(self, scheduler: Scheduler, counters: Counters) -> None:
        self._scheduler, self._counters = scheduler, counters
        self.recorder: Recorder | None = None

    def established(self, call: CallRecord) -> None:
        """The call got its answer that it is established."""
        self._counters.add("answered.stands")
        self._counters.count_for_class("served", call.class_name)
        self._record_answer(call, SERVED)

    def rejected(self, call: CallRecord, final: FinalAnswer) -> None:
        """The call got any other final answer."""
        self._counters.count_for_class(
            "refused" if final is FinalAnswer.REFUSED else "failed", call.class_name
        )
        self._record_answer(call, final.value)

    def abandoned(self, call: CallRecord) -> None:
        """The caller abandoned the call before it was answered."""
        self._record_answer(call, ABANDONED)

    def ended(self, call: CallRecord, outcome: api.Outcome) -> None:
        """The established call has ended."""
        if self.recorder is not None:
            self.recorder.call_ended(call, outcome, self._scheduler.now_ms)
        self.attempt_ended(outcome)

    def attempt_ended(self, outcome: api.Outcome) -> None:
        """An attempt has ended, by this outcome."""
        self._counters.add(f"ended.{outcome.name.lower()}")

    def _record_answer(self, call: CallRecord, final: str) -> None:
        if self.recorder is not None:
            self.recorder.call_answered(call, final, self._scheduler.now_ms)
