"""Unit tests of the exchange, without sockets."""

from __future__ import annotations

from types import SimpleNamespace

from canvasplank import interface as api
from canvasplank.counters import Counters
from canvasplank.exchange.call_records import CallerRelease, CallRecord, FinalAnswer
from canvasplank.exchange.call_table import CALL_RECORD_BYTES, RECORDS_FRACTION
from canvasplank.exchange.exchange import Exchange
from canvasplank.runtime.scheduler import Scheduler, TimerQueue

KIB = 1024
MEMORY_BYTES = 4 * KIB**2


class RejectionRecorder:
    """A caller side that records rejections."""

    def __init__(self) -> None:
        self.rejected: list[tuple[str, FinalAnswer]] = []

    def reject(self, origin: object, call_id: str, final: FinalAnswer, retry_after_ms: float | None) -> None:
        self.rejected.append((call_id, final))

    def is_reachable(self, origin: object) -> bool:
        """Every caller is reachable."""
        return True

    def answer(self, origin: object, call_id: str, description: bytes) -> None:
        """Answers are not recorded."""

    def release(self, origin: object, release: CallerRelease) -> None:
        """Releases are not recorded."""

    def remove_call(self, origin: object, call_id: str) -> None:
        """There are no connections."""


def test_descriptions_take_no_more_than_their_fraction_of_memory():
    """A fixed limit of 24 MiB is too much for a process with 32 MiB of memory."""
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
    assert exchange.open_calls == 4 * KIB // 15, "the memory of an ended call is available again"


def test_established_calls_take_no_more_than_their_fraction_of_memory():
    """The number of established calls was not bounded: a day of long calls could exhaust the memory."""
    scheduler = Scheduler(TimerQueue(), clock=lambda: 0.0)
    sent: list[str] = []

    def decide(now_ms: float, event: api.Event) -> list[api.Action]:
        return [api.SetUp(event.id, "a", 1000.0)] if isinstance(event, api.Call) else []

    exchange = Exchange(scheduler, decide, Counters(), 20_000, MEMORY_BYTES)
    callers = RejectionRecorder()
    exchange.attach_callers(callers)
    exchange.attach_servers(SimpleNamespace(set_up=lambda _, call, *__: sent.append(call.id)))

    def offer(number: int) -> None:
        exchange.offer(CallRecord(f"{number:016x}", "low", "1", 0, False, 1000.0, b"v=0", None))
        for call_id in sent:
            exchange.on_established("a", call_id, 0, b"v=0")
        sent.clear()

    max_calls = int(MEMORY_BYTES * RECORDS_FRACTION / CALL_RECORD_BYTES)
    for number in range(max_calls + 10):
        offer(number)
    assert exchange.established_calls == max_calls
    assert [final for _, final in callers.rejected] == [FinalAnswer.REFUSED] * 10
    exchange.on_released_by_server("a", f"{0:016x}", 16)
    offer(max_calls + 10)
    assert exchange.established_calls == max_calls, "the memory of an ended call is available again"
