"""The table of open and established calls, and of the ids of ended calls."""

from __future__ import annotations

from collections import OrderedDict

from canvasplank.exchange.call_records import CallRecord
from canvasplank.runtime.scheduler import TimerQueue

# Ids of ended calls that are kept, so that a retransmitted release is forwarded only once.
MAX_ENDED_CALLS = 8192
# Ids of ended calls that were sent to a server, which are kept so that none of them runs again.
MAX_ATTEMPTED_CALLS = 8192
MAX_RECENTLY_ATTEMPTED = 256
# The fraction of the configured memory that the descriptions of open calls may take.
DESCRIPTIONS_FRACTION = 1 / 8
# The fraction of the configured memory that the records of open and established calls may take.
RECORDS_FRACTION = 1 / 4
CALL_RECORD_BYTES = 2048  # of one call: here, in the decision module and in the connections


class CallTable:
    """The calls of the exchange by id, each in one state: open, established or ended.

    A call is open while it is unanswered or has an attempt in flight.  An open call then becomes established
    or ends.
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
        self._attempted: OrderedDict[str, None] = OrderedDict()
        self._description_bytes = 0

    def set_memory_limit(self, memory_bytes: float) -> None:
        """Set the limits on descriptions and on call records from the configured memory."""
        self._max_description_bytes = DESCRIPTIONS_FRACTION * memory_bytes
        self._max_calls = int(RECORDS_FRACTION * memory_bytes / CALL_RECORD_BYTES)

    def find(self, call_id: str) -> CallRecord | None:
        """Return the call with this id, if it is open or established."""
        return self.open.get(call_id) or self.established.get(call_id)

    def has_ended(self, call_id: str) -> bool:
        """Return whether a call with this id is among the last ``MAX_ENDED_CALLS`` that ended."""
        return call_id in self._ended

    def was_attempted(self, call_id: str) -> bool:
        """Return whether the last calls that ended after an attempt include one with this id."""
        return call_id in self._attempted

    def remember_attempted(self, call_id: str) -> None:
        """Record that a call with this id was sent to a server, and has ended."""
        self._attempted[call_id] = None
        if len(self._attempted) > MAX_ATTEMPTED_CALLS:
            self._attempted.popitem(last=False)

    def recently_attempted(self) -> list[str]:
        """Return the ids of the last ``MAX_RECENTLY_ATTEMPTED`` calls that ended after an attempt."""
        return list(self._attempted)[-MAX_RECENTLY_ATTEMPTED:]

    def has_room_for(self, call: CallRecord) -> bool:
        """Return whether this call can be added within the limits on calls and on memory."""
        description_bytes = self._description_bytes + len(call.description)
        calls = len(self.open) + len(self.established)
        has_room = len(self.open) < self._max_open and calls < self._max_calls
        return has_room and description_bytes <= self._max_description_bytes

    def add(self, call: CallRecord) -> None:
        """Add a new open call."""
        self.open[call.id] = call
        self._description_bytes += len(call.description)

    def close(self, call: CallRecord) -> None:
        """Remove an answered call without an attempt in flight from the open calls."""
        if self.open.pop(call.id, None) is None:
            return
        self._timers.cancel(call.timer)
        self._description_bytes -= len(call.description)
        call.description = b""
        if call.established_server_id is None:
            self.remember_ended(call.id)
            if call.attempts:
                self.remember_attempted(call.id)

    def establish(self, call: CallRecord, server_id: str, now_ms: float) -> None:
        """Move an open call to the established calls."""
        call.established_server_id, call.established_ms = server_id, now_ms
        self.close(call)
        self.established[call.id] = call

    def end_established(self, call: CallRecord) -> None:
        """Remove a call from the established calls."""
        del self.established[call.id]
        self.remember_ended(call.id)
        self.remember_attempted(call.id)

    def remember_ended(self, call_id: str) -> None:
        """Record that the call with this id has ended."""
        self._ended[call_id] = None
        if len(self._ended) > MAX_ENDED_CALLS:
            self._ended.popitem(last=False)

    def unanswered(self) -> list[CallRecord]:
        """Return the calls without a final answer."""
        return [call for call in self.open.values() if call.unanswered]

    def established_at(self, server_id: str, before_ms: float) -> list[CallRecord]:
        """Return the calls that were established at a server before a time."""
        return [
            call
            for call in self.established.values()
            if call.established_server_id == server_id and call.established_ms < before_ms
        ]

    def has_calls_at(self, server_id: str) -> bool:
        """Return whether a server has an established call or an attempt in flight."""
        in_flight = (call.in_flight for call in self.open.values() if call.in_flight is not None)
        return any(call.established_server_id == server_id for call in self.established.values()) or any(
            attempt.server_id == server_id for attempt in in_flight
        )
