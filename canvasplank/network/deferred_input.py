"""Messages of callers' connections that have sent more than their allowance, handled in turns.

A client that sends at full speed would otherwise have all of its messages handled before any other connection
is read and before any timer runs.  The connections here take turns, for a bounded time in each poll of the
sockets.  All others, and the timers, come in between.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Protocol

from canvasplank.counters import Counters
from canvasplank.runtime.scheduler import Scheduler

MESSAGES_PER_TURN = 4
MAX_SLICE_S = 0.01  # per poll of the sockets, for all these connections together


class DeferrableStream(Protocol):
    """A connection whose messages may be deferred."""

    def handle_deferred(self, max_messages: int) -> bool:
        """Handle some messages; return whether more are to be handled in a later turn."""


class DeferredInput:
    """The connections with deferred messages, in the order of their turns."""

    def __init__(self, scheduler: Scheduler, counters: Counters) -> None:
        self._scheduler, self._counters = scheduler, counters
        self._streams: deque[DeferrableStream] = deque()
        self._is_scheduled = False

    def add(self, stream: DeferrableStream) -> None:
        """Give a connection turns until its ``handle_deferred`` returns False."""
        self._counters.add("taken.deferred")
        self._streams.append(stream)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_slice)

    def _run_slice(self) -> None:
        self._is_scheduled = False
        self._scheduler.begin_iteration(input_read=False)
        end_s = time.monotonic() + MAX_SLICE_S
        while self._streams and time.monotonic() < end_s:
            stream = self._streams.popleft()
            if stream.handle_deferred(MESSAGES_PER_TURN):
                self._streams.append(stream)
        if self._streams:
            self._schedule()
