"""Detects the end of the process that served this address before, such as the old version during an upgrade.

This process connects to its predecessor as a caller, before it listens at the address itself, and sends
tests.  The predecessor ends this connection together with its connections to call servers.

While both serve, a caller may leave one and come again at the other, with the same call id.  So each process
tells the other, by a release on this connection, which calls were abandoned after an attempt.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from canvasplank.codecs import isup
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.network.stream import BufferBudget, Stream
from canvasplank.runtime.scheduler import Scheduler

CONNECT_TIMEOUT_S = 0.2  # short, since this process does not listen meanwhile
TEST_INTERVAL_MS = 500.0  # keeps the predecessor from closing the connection as idle


class PredecessorStream(Stream[isup.Message]):
    """A connection to the predecessor, which stays open until the predecessor ends it."""

    def __init__(
        self,
        scheduler: Scheduler,
        budget: BufferBudget,
        on_ended: Callable[[], None],
        on_abandoned: Callable[[str], None],
    ) -> None:
        """``on_ended`` is called when the connection has ended, but not if it was never established.

        ``on_abandoned`` receives the id of each call that was abandoned at the predecessor after an attempt.
        """
        super().__init__(scheduler, "predecessor", isup.Parser(), budget)
        self._on_ended = on_ended
        self._on_abandoned = on_abandoned

    async def connect(self, host: str, port: int) -> None:
        """Connect before this process listens; ignore failures and a predecessor that is too slow."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):  # includes TimeoutError
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: self, host, port)

    def on_connected(self) -> None:
        """See ``Stream``."""
        self._send_test()

    def _send_test(self) -> None:
        if self.is_open:
            self.write(isup.test(isup.UPGRADE_ID))
            self.scheduler.call_later(TEST_INTERVAL_MS, self._send_test)

    def announce_abandoned(self, call_id: str) -> None:
        """Tell the predecessor of a call that was abandoned here after an attempt."""
        self.write(isup.release(call_id, ReleaseCause.NORMAL_CLEARING))

    def on_received(self, data: memoryview) -> None:
        """See ``Stream``; discards the test results."""
        for message in self.messages(data):
            if message.kind == isup.Kind.RELEASE:
                self._on_abandoned(message.call_id)

    def on_disconnected(self, error: Exception | None) -> None:
        """See ``Stream``."""
        self._on_ended()
