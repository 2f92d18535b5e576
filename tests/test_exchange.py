"""The exchange without sockets."""

from __future__ import annotations

from canvasplank.counters import Counters
from canvasplank.exchange.call_records import CallRecord, FinalAnswer
from canvasplank.exchange.exchange import Exchange
from canvasplank.runtime.scheduler import Scheduler, TimerQueue

KIB = 1024


class RejectionRecorder:
    """A caller side that records rejections."""

    def __init__(self) -> None:
        self.rejected: list[tuple[str, FinalAnswer]] = []

    def reject(self, origin: object, call_id: str, final: FinalAnswer, retry_after_ms: float | None) -> None:
        self.rejected.append((call_id, final))

    def remove_call(self, origin: object, call_id: str) -> None:
        """There is no connection to release."""


def test_descriptions_take_no_more_than_their_fraction_of_memory():
    """With 32 MB of memory, a fixed limit of 24 MiB would have ended the program."""
    scheduler = Scheduler(TimerQueue(), clock=lambda: 0.0)
    exchange = Exchange(scheduler, lambda now_ms, event: [], Counters(), 20_000, 32 * KIB**2)
    callers = RejectionRecorder()
    exchange.attach_callers(callers)
    for number in range(2000):
        exchange.offer(CallRecord(f"{number:016x}", "low", "1", 0, False, 1000.0, bytes(15 * KIB), None))
    assert exchange.open_calls == 4 * KIB // 15
    assert len(callers.rejected) == 2000 - exchange.open_calls
    assert {final for _, final in callers.rejected} == {FinalAnswer.REFUSED}
    exchange.on_released_by_caller(f"{0:016x}", 16)
    exchange.offer(CallRecord("f" * 16, "low", "1", 0, False, 1000.0, bytes(15 * KIB), None))
    assert exchange.open_calls == 4 * KIB // 15, "what a call held is free again at its end"
