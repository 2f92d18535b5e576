"""Carries records from the outbox to the store: the only part of the program that ever waits on a store.

The exchange tells it of each call's answer and end, which costs a queue entry.  One task writes, each write
within a bound; what fails is taken up again after a pause, on a new connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging

from canvasplank import interface as api
from canvasplank.counters import Counters
from canvasplank.database.errors import StoreRefusedError, StoreUnavailableError
from canvasplank.database.location import close_within
from canvasplank.exchange.call_records import CallRecord
from canvasplank.store.backend import Backend
from canvasplank.store.outbox import Outbox
from canvasplank.store.records import ENDINGS, OVER, SERVED, Outcome

LOG = logging.getLogger(__name__)
LOG_EVERY_S = 5.0  # between two lines about the same trouble
CLOSE_S = 0.5  # a store may take so long to be let go of
MS = 1000.0


class Writer:
    """The ``Recorder`` of the exchange, and the task behind it."""

    def __init__(
        self, outbox: Outbox, backend: Backend, instance: str, write_s: float, counters: Counters
    ) -> None:
        self._outbox, self._backend = outbox, backend
        self._instance, self._write_s, self._counters = instance, write_s, counters
        self._open = False
        self._more = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._logged_s: dict[str, float] = {}
        self._troubled = False

    # ------------------------------------------------------------------------------------ for the exchange

    def call_answered(self, call: CallRecord, final: str, now_ms: float) -> None:
        """See ``Recorder``."""
        self._put(
            Outcome(
                call.id,
                self._instance,
                int(call.taken_ms),
                call.class_name,
                final,
                call.last_server_id,
                call.attempts,
                int(now_ms),
                member=call.tenant,
                number=call.number,
            )
        )

    def call_ended(self, call: CallRecord, outcome: api.Outcome, now_ms: float) -> None:
        """See ``Recorder``."""
        self._put(
            Outcome(
                call.id,
                self._instance,
                int(call.taken_ms),
                call.class_name,
                SERVED,
                call.established_server_id,
                call.attempts,
                int(call.established_ms),
                int(now_ms),
                ENDINGS.get(outcome),
                OVER,
                call.tenant,
                call.number,
            )
        )

    def _put(self, record: Outcome) -> None:
        was_empty = not len(self._outbox)
        if not self._outbox.put(record, self._now_ms()):
            self._say(
                "queue", f"the queue is full ({len(self._outbox)} records): call {record.call_id} dropped"
            )
        if was_empty or self._outbox.full_batch:
            self._more.set()

    # ------------------------------------------------------------------------------------ the task

    def start(self) -> None:
        """Begin to write; guards the serving against a store that is slow to open: nothing waits for it."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def drain(self, within_s: float) -> None:
        """Write what is left, as far as it goes in this time; what does not is told."""
        if self._task is None:
            return
        self._outbox.closing = True
        self._more.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, within_s)):
                await asyncio.shield(self._task)
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self.count()
        if left := len(self._outbox):
            LOG.error("store: %d records were not written before the end", left)

    def count(self) -> None:
        """Have the counters show the outbox's counts, and how many records wait."""
        for name, count in self._outbox.counts.items():
            self._counters.set(f"store.{name}", count)
        self._counters.set("store.waiting", len(self._outbox))

    async def _run(self) -> None:
        while True:
            wait_ms = self._outbox.wait_ms(self._now_ms())
            if wait_ms == 0:
                await self._write(self._outbox.take(self._now_ms()))
            elif wait_ms is None and self._outbox.closing:
                break
            else:
                await self._rest(wait_ms)
        await self._let_go()

    async def _rest(self, wait_ms: float | None) -> None:
        """Until there is more, or so long.  Guards against a full queue ending a pause after a failure."""
        self._more.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(None if wait_ms is None else wait_ms / MS):
                await self._more.wait()

    async def _write(self, batch: list[Outcome]) -> None:
        try:
            async with asyncio.timeout(self._write_s):
                if not self._open:
                    await self._backend.open()
                    self._open = True
                await self._backend.write(batch)
        except StoreRefusedError as error:
            if (bad := self._outbox.refused(self._now_ms())) is not None:
                self._say(
                    "refused",
                    f"call {bad.call_id} ({bad.class_name}, {bad.final}) is refused and left out: {error}",
                )
        except (StoreUnavailableError, TimeoutError) as error:
            await self._fail(str(error) or f"no answer within {self._write_s:g} s")
        except Exception as error:  # guards the records against a fault of ours: the task must go on
            LOG.exception("store: writing failed")
            await self._fail(type(error).__name__)
        else:
            self._outbox.written()
            if self._troubled:
                self._troubled = False
                LOG.info("store: written again, %d records wait", len(self._outbox))

    async def _fail(self, why: str) -> None:
        self._outbox.failed(self._now_ms())
        if not self._troubled:
            self._logged_s.pop("failed", None)
        self._troubled = True
        self._say("failed", f"not written, {len(self._outbox)} records wait: {' '.join(why.split())}")
        await self._let_go()

    async def _let_go(self) -> None:
        self._open = False
        await close_within(self._backend, CLOSE_S)

    def _say(self, about: str, text: str) -> None:
        """One line, and no more of its kind for a while."""
        now_s = self._now_ms() / MS
        if now_s >= self._logged_s.get(about, -LOG_EVERY_S) + LOG_EVERY_S:
            self._logged_s[about] = now_s
            LOG.warning("store: %s", text)

    def _now_ms(self) -> float:
        """The loop's steady time: only pauses are measured by it, records carry the program's one clock."""
        return asyncio.get_running_loop().time() * MS
