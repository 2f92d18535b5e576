"""Writes the records in the outbox to the store; no other module waits for the store.

For the exchange, reporting the answer or the end of a call only appends to the queue.  One task writes the
batches, each within a time limit, and retries a failed write on a new connection after a backoff.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging

import msgspec

from canvasplank import interface as api
from canvasplank.counters import Counters
from canvasplank.database.errors import DatabaseUnavailableError, DataRejectedError
from canvasplank.database.location import close_within
from canvasplank.exchange.call_records import CallRecord
from canvasplank.store.backend import Backend
from canvasplank.store.outbox import Outbox
from canvasplank.store.records import ENDED, ENDING_BY_OUTCOME, CallOutcome, Final

LOG = logging.getLogger(__name__)
LOG_INTERVAL_S = 5.0  # between two log lines of the same kind
CLOSE_TIMEOUT_S = 0.5  # time limit on closing the connection
MS_PER_S = 1000.0


class Writer:
    """The exchange's ``Recorder``.  A task writes the records from ``start`` until ``drain``."""

    def __init__(
        self, outbox: Outbox, backend: Backend, instance: str, write_timeout_s: float, counters: Counters
    ) -> None:
        self._outbox, self._backend = outbox, backend
        self._instance, self._write_timeout_s, self._counters = instance, write_timeout_s, counters
        self._connected = False
        self._records_ready = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._last_logged_s: dict[str, float] = {}
        self._failing = False

    # ------------------------------------------------------------------------------------ for the exchange

    def call_answered(self, call: CallRecord, final: str, now_ms: float) -> None:
        """See ``Recorder``."""
        self._enqueue(self._make_record(call, final, call.last_server_id, now_ms))

    def call_ended(self, call: CallRecord, outcome: api.Outcome, now_ms: float) -> None:
        """See ``Recorder``."""
        answered = self._make_record(call, Final.SERVED, call.established_server_id, call.established_ms)
        ending = ENDING_BY_OUTCOME.get(outcome)
        self._enqueue(msgspec.structs.replace(answered, ended_ms=int(now_ms), ending=ending, version=ENDED))

    def _make_record(
        self, call: CallRecord, final: str, server_id: str | None, answered_ms: float
    ) -> CallOutcome:
        """Return the call's record as of its final answer."""
        return CallOutcome(
            call.id,
            self._instance,
            int(call.taken_ms),
            call.class_name,
            final,
            server_id,
            call.attempts,
            int(answered_ms),
            tenant=call.tenant,
            number=call.number,
        )

    def _enqueue(self, record: CallOutcome) -> None:
        was_empty = not len(self._outbox)
        if not self._outbox.put(record, self._now_ms()):
            self._log_limited(
                "queue",
                f"the queue is full ({len(self._outbox)} records), record of call {record.call_id} dropped",
            )
        if was_empty or self._outbox.has_full_batch:
            self._records_ready.set()

    # ------------------------------------------------------------------------------------ the task

    def start(self) -> None:
        """Start the task, which also opens the store, so that a slow store does not delay the start."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def drain(self, timeout_s: float) -> None:
        """Write the queued records within ``timeout_s`` and end the task; logs how many remain unwritten."""
        if self._task is None:
            return
        self._outbox.close()
        self._records_ready.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, timeout_s)):
                await asyncio.shield(self._task)
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self.export_metrics()
        if unwritten := len(self._outbox):
            LOG.error("store: %d records were not written before the end", unwritten)

    def export_metrics(self) -> None:
        """Copy the outbox's counts and the number of unwritten records to the counters."""
        for name, count in self._outbox.counts.items():
            self._counters.set(f"store.{name}", count)
        self._counters.set("store.waiting", len(self._outbox))

    async def _run(self) -> None:
        while True:
            wait_ms = self._outbox.wait_ms(self._now_ms())
            if wait_ms == 0:
                await self._write(self._outbox.take(self._now_ms()))
            elif self._outbox.drained:
                break
            else:
                await self._wait_for_records(wait_ms)
        await self._disconnect()

    async def _wait_for_records(self, wait_ms: float | None) -> None:
        """Wait until new records are queued, but at most for ``wait_ms``; None: no limit.

        The event is cleared first, so that records queued before this wait do not cut a backoff short.
        """
        self._records_ready.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(None if wait_ms is None else wait_ms / MS_PER_S):
                await self._records_ready.wait()

    async def _write(self, batch: list[CallOutcome]) -> None:
        try:
            async with asyncio.timeout(self._write_timeout_s):
                if not self._connected:
                    await self._backend.open()
                    self._connected = True
                await self._backend.write(batch)
        except DataRejectedError as error:
            if (rejected := self._outbox.on_rejected(self._now_ms())) is not None:
                self._log_limited(
                    "refused",
                    f"record of call {rejected.call_id} ({rejected.class_name}, {rejected.final}) "
                    f"rejected by the database and left out: {error}",
                )
        except (DatabaseUnavailableError, TimeoutError) as error:
            await self._on_write_failed(str(error) or f"no answer within {self._write_timeout_s:g} s")
        except Exception as error:  # a bug must not end the task
            LOG.exception("store: unexpected error while writing")
            await self._on_write_failed(type(error).__name__)
        else:
            self._outbox.on_written()
            if self._failing:
                self._failing = False
                LOG.info("store: records are written again, %d waiting", len(self._outbox))

    async def _on_write_failed(self, reason: str) -> None:
        self._outbox.on_failed(self._now_ms())
        if not self._failing:
            self._last_logged_s.pop("failed", None)
        self._failing = True
        self._log_limited(
            "failed", f"records cannot be written, {len(self._outbox)} waiting: {' '.join(reason.split())}"
        )
        await self._disconnect()

    async def _disconnect(self) -> None:
        self._connected = False
        await close_within(self._backend, CLOSE_TIMEOUT_S)

    def _log_limited(self, kind: str, text: str) -> None:
        """Log a warning, but at most one of each kind per ``LOG_INTERVAL_S``."""
        now_s = self._now_ms() / MS_PER_S
        if now_s >= self._last_logged_s.get(kind, -LOG_INTERVAL_S) + LOG_INTERVAL_S:
            self._last_logged_s[kind] = now_s
            LOG.warning("store: %s", text)

    def _now_ms(self) -> float:
        """Return the event loop's time, for backoff and lingering; times in records are Unix times."""
        return asyncio.get_running_loop().time() * MS_PER_S
