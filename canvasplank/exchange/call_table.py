"""The table of calls: open, established, and the ids of those that have ended."""

from __future__ import annotations

from collections import OrderedDict

from canvasplank.exchange.call_records import CallRecord
from canvasplank.runtime.scheduler import TimerQueue

# Ids of ended calls that are remembered, so that a release that comes twice is passed on once.
MAX_ENDED_CALLS = 8192
# Of the configured memory: the most that descriptions of unanswered calls may take.
DESCRIPTIONS_FRACTION = 1 / 8
# Of the configured memory: the most that the records of open and established calls may take.
RECORDS_FRACTION = 1 / 4
CALL_RECORD_BYTES = 2048  # of one call, in this table, the decision module's and the connections'


class CallTable:
    """Every call that the exchange knows, each in one state.

    A call is open while it is unanswered or has an attempt in flight, then established, or ended at once.
    """

    def __init__(self, timers: TimerQueue, max_open: int, memory_bytes: float) -> None:
        self._timers = timers
        self._max_open = max_open
        self._max_description_bytes = 0.0
        self._max_calls = 0
        self.set_memory_limit(memory_bytes)
        self.open: dict[str, CallRecord] = {}
        self.established: dict[str, CallRecord] = {}
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._description_bytes = 0

    def set_memory_limit(self, memory_bytes: float) -> None:
        """Bound what descriptions and the records of calls may take by the configured memory."""
        self._max_description_bytes = DESCRIPTIONS_FRACTION * memory_bytes
        self._max_calls = int(RECORDS_FRACTION * memory_bytes / CALL_RECORD_BYTES)

    def find(self, call_id: str) -> CallRecord | None:
        """The call, if it is open or established."""
        return self.open.get(call_id) or self.established.get(call_id)

    def has_ended(self, call_id: str) -> bool:
        """Whether the id is that of a call that ended recently."""
        return call_id in self._ended

    def has_room_for(self, call: CallRecord) -> bool:
        """Whether one more open call is within the bounds on calls and on memory."""
        description_bytes = self._description_bytes + len(call.description)
        calls = len(self.open) + len(self.established)
        has_room = len(self.open) < self._max_open and calls < self._max_calls
        return has_room and description_bytes <= self._max_description_bytes

    def add(self, call: CallRecord) -> None:
        """Enter a new call as open."""
        self.open[call.id] = call
        self._description_bytes += len(call.description)

    def close(self, call: CallRecord) -> None:
        """Take a call that is answered, with no attempt in flight, out of the open ones."""
        if self.open.pop(call.id, None) is None:
            return
        self._timers.cancel(call.timer)
        self._description_bytes -= len(call.description)
        call.description = b""
        if call.established_server_id is None:
            self.remember_ended(call.id)

    def establish(self, call: CallRecord, server_id: str, now_ms: float) -> None:
        """Move an open call to the established ones."""
        call.established_server_id, call.established_ms = server_id, now_ms
        self.close(call)
        self.established[call.id] = call

    def end_established(self, call: CallRecord) -> None:
        """Take a call out of the established ones."""
        del self.established[call.id]
        self.remember_ended(call.id)

    def remember_ended(self, call_id: str) -> None:
        """Remember that the call of this id has ended."""
        self._ended[call_id] = None
        if len(self._ended) > MAX_ENDED_CALLS:
            self._ended.popitem(last=False)

    def unanswered(self) -> list[CallRecord]:
        """Calls that lack their final answer."""
        return [call for call in self.open.values() if call.unanswered]

    def established_at(self, server_id: str, before_ms: float) -> list[CallRecord]:
        """Calls that were established at a server before a time."""
        return [
            call
            for call in self.established.values()
            if call.established_server_id == server_id and call.established_ms < before_ms
        ]

    def has_calls_at(self, server_id: str) -> bool:
        """Whether a call is established at a server, or an attempt in flight there."""
        in_flight = (call.in_flight for call in self.open.values() if call.in_flight is not None)
        return any(call.established_server_id == server_id for call in self.established.values()) or any(
            attempt.server_id == server_id for attempt in in_flight
        )
