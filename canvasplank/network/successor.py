"""Hands unsettled calls to the process that serves this address next, such as a new version on an upgrade.

A call with a final answer may still be established at a server that cannot be reached.  That server would
release it to the next process, which must assume that the call is established for its caller.  So this
process releases such calls at its successor, as a caller would; the successor then knows that the calls are
over, and releases them at the servers.
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
    """A connection to the successor, which carries releases and their confirmations."""

    def __init__(
        self, scheduler: Scheduler, budget: BufferBudget, address: str, on_confirmed: Callable[[str], None]
    ) -> None:
        """``on_confirmed`` receives the call id of each confirmed release."""
        super().__init__(scheduler, "successor", isup.Parser(), budget)
        self.settled = asyncio.Event()  # no confirmation is awaited any more
        self.ended = False  # whether it has ended or could not be established
        self._unconfirmed: dict[str, None] = {}
        self._on_confirmed = on_confirmed
        ConnectionAttempt(self, address, CONNECT_TIMEOUT_MS, lambda _reason: self.on_disconnected(None))

    def release(self, call_id: str) -> None:
        """Send a release once the connection is established."""
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
    """Releases calls at the successor, if another process listens at this address."""

    def __init__(self, scheduler: Scheduler, budget: BufferBudget, address: str) -> None:
        """``address``: ``host:port``; this process must have stopped listening there before ``release``."""
        self._scheduler, self._budget, self._address = scheduler, budget, address
        self._stream: SuccessorStream | None = None
        self._released: set[str] = set()
        self._confirmed: set[str] = set()

    def release(self, call_ids: Iterable[str]) -> None:
        """Send the releases of these calls, each call only once."""
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
        """Whether the successor has confirmed this call's release, so that it passes no other release on."""
        return call_id in self._confirmed

    async def close(self, within_s: float) -> None:
        """Wait at most ``within_s`` seconds for the confirmations, then end the connection."""
        if self._stream is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await self._stream.settled.wait()
        self._stream.close()
