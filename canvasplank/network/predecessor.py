"""The process that served this address before, such as the old version beside this one on an upgrade.

It is watched as a caller would: by a connection that is opened before this process listens there itself, and
that carries nothing but tests.  That connection ends together with those that it has to call servers.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from canvasplank.codecs import isup
from canvasplank.network.stream import BufferBudget, Stream
from canvasplank.runtime.scheduler import Scheduler

CONNECT_TIMEOUT_S = 0.2  # this process does not listen meanwhile
TEST_INTERVAL_MS = 500.0  # so that the connection never counts as idle there
NO_CALL_ID = "0" * 16


class PredecessorStream(Stream[isup.Message]):
    """A connection to the predecessor, until that ends it."""

    def __init__(self, scheduler: Scheduler, budget: BufferBudget, on_ended: Callable[[], None]) -> None:
        """``on_ended`` is called when the connection has ended, and not where it never came up."""
        super().__init__(scheduler, "predecessor", isup.Parser(), budget)
        self._on_ended = on_ended

    async def connect(self, host: str, port: int) -> None:
        """Connect, before this process listens there; one that is busy for too long is not watched."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):  # a time-out is one, too
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: self, host, port)

    def on_connected(self) -> None:
        """See ``Stream``."""
        self._send_test()

    def _send_test(self) -> None:
        if self.is_open:
            self.write(isup.test(NO_CALL_ID))
            self.scheduler.call_later(TEST_INTERVAL_MS, self._send_test)

    def on_received(self, data: memoryview) -> None:
        """See ``Stream``: results of tests, which are discarded."""
        for _ in self.messages(data):
            pass

    def on_disconnected(self, error: Exception | None) -> None:
        """See ``Stream``."""
        self._on_ended()
