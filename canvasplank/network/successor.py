"""The process that serves this address next, such as the new version beside this one on an upgrade.

A call that has had its final answer may still be established at a server that cannot be reached, and that
server would release it to the next process, which must take it for a call that its caller counts on.  So what
this process could not settle is released there, as a caller would: the next process then knows that the call
is over, and releases it at the servers.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable

from canvasplank.codecs import isup
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.network.connection_attempt import ConnectionAttempt
from canvasplank.network.stream import BufferBudget, Stream
from canvasplank.runtime.scheduler import Scheduler

CONNECT_TIMEOUT_MS = 200.0


class SuccessorStream(Stream[isup.Message]):
    """A connection to the successor; it carries releases, and their confirmations."""

    def __init__(
        self, scheduler: Scheduler, budget: BufferBudget, address: str, on_confirmed: Callable[[str], None]
    ) -> None:
        """``on_confirmed`` is given the call of each release that is confirmed."""
        super().__init__(scheduler, "successor", isup.Parser(), budget)
        self.settled = asyncio.Event()  # all are confirmed, or will not be
        self.ended = False  # or it never came up
        self._unconfirmed: dict[str, None] = {}
        self._on_confirmed = on_confirmed
        ConnectionAttempt(self, address, CONNECT_TIMEOUT_MS, lambda _reason: self.on_disconnected(None))

    def release(self, call_id: str) -> None:
        """Write a release, once it is up."""
        self.settled.clear()
        self._unconfirmed[call_id] = None
        self._write_release(call_id)

    def on_connected(self) -> None:
        """See ``Stream``."""
        for call_id in self._unconfirmed:
            self._write_release(call_id)

    def _write_release(self, call_id: str) -> None:
        if self.is_open:
            self.write(isup.release(call_id, ReleaseCause.NORMAL_CLEARING))

    def on_received(self, data: memoryview) -> None:
        """See ``Stream``."""
        for message in self.messages(data):
            if message.kind == isup.Kind.RELEASE_CONFIRMED:
                self._unconfirmed.pop(message.call_id, None)
                self._on_confirmed(message.call_id)
        if not self._unconfirmed:
            self.settled.set()

    def on_disconnected(self, error: Exception | None) -> None:
        """See ``Stream``."""
        self.ended = True
        self.settled.set()


class Successor:
    """What this process passes on at its end, if another one listens at its address."""

    def __init__(self, scheduler: Scheduler, budget: BufferBudget, address: str) -> None:
        """``address``: ``host:port``, where this process must not listen as the first call is released."""
        self._scheduler, self._budget, self._address = scheduler, budget, address
        self._stream: SuccessorStream | None = None
        self._released: set[str] = set()
        self._confirmed: set[str] = set()

    def release(self, call_ids: Iterable[str]) -> None:
        """Have it release these calls, each once."""
        for call_id in call_ids:
            if call_id in self._released:
                continue
            self._released.add(call_id)
            if self._stream is None or self._stream.ended:
                self._stream = SuccessorStream(
                    self._scheduler, self._budget, self._address, self._confirmed.add
                )
            self._stream.release(call_id)

    def has_confirmed(self, call_id: str) -> bool:
        """Whether it has confirmed the release of this call, and so passes no other on."""
        return call_id in self._confirmed

    async def close(self, within_s: float) -> None:
        """Wait until all is confirmed, for a bounded time, and end the connection."""
        if self._stream is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await self._stream.settled.wait()
        self._stream.close()
