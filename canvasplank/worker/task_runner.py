"""The worker process, which runs the fleet's tasks (``canvasplank worker``).

A worker is a member of the fleet without budgets, and leads tasks under fencing tokens.  Every transaction of
a task carries its token: the store rejects the transaction once the term has ended, even if this process does
not know that yet.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from pathlib import Path

from canvasplank.counters import Counters
from canvasplank.database.errors import DatabaseUnavailableError, DataRejectedError
from canvasplank.database.migrations import Schema
from canvasplank.database.statements import Statement
from canvasplank.fleet.backend import Backend, FencingToken, StaleTermError
from canvasplank.fleet.config import FleetSettings
from canvasplank.fleet.lease_renewer import LeaseRenewer
from canvasplank.runtime.structured_logging import log_event
from canvasplank.runtime.worker_thread import WorkerThread, WorkerThreadBusyError
from canvasplank.store import schema as store_schema
from canvasplank.worker import export_files, usage_ledger
from canvasplank.worker.config import WorkerSettings
from canvasplank.worker.export_files import ExportError
from canvasplank.worker.usage_ledger import UsageSum

LOG = logging.getLogger(__name__)
MS_PER_S = 1000.0
HANDOVER_TIMEOUT_S = 1.0  # for leaving the fleet at shutdown
CLOSE, EXPORT, RETAIN = TASKS = ("close", "export", "retain")  # the names of the tasks in the database


def pause_at(point: str) -> None:
    """Suspend the process (SIGSTOP) if ``CANVASPLANK_PAUSE`` names this point; for tests and experiments."""
    if os.environ.get("CANVASPLANK_PAUSE") == point:
        log_event(LOG, "worker.paused", point=point)
        os.kill(os.getpid(), signal.SIGSTOP)


class TaskRunner:
    """Runs the due work of the tasks that this process leads."""

    def __init__(self, fleet: FleetSettings, settings: WorkerSettings, name: str, seed: int) -> None:
        self._settings = settings
        self._folder = Path(settings.export_folder)
        self._renewer = LeaseRenewer(fleet, name, seed, Counters(), capabilities=TASKS)
        self._backend: Backend = fleet.create_backend()
        self._schemas: tuple[Schema, ...] = (store_schema.SCHEMA, usage_ledger.SCHEMA)
        self._connected = False
        self._thread = WorkerThread("export")
        self._handlers: dict[str, Callable[[FencingToken], Awaitable[bool]]] = {
            CLOSE: self._close,
            EXPORT: self._export,
            RETAIN: self._retain,
        }
        self._stop_requested = asyncio.Event()
        self._last_closing_ms = float("-inf")  # this process's last closing, by the monotonic clock

    async def run(self) -> None:
        """Run tasks until SIGTERM or SIGINT, then leave the fleet so that others take over the tasks."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        self._renewer.start()
        while not self._stop_requested.is_set():
            for token in self._renewer.leadership.tokens():
                await self._run_task(token)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._settings.poll_interval_ms / MS_PER_S):
                    await self._stop_requested.wait()
        await self._renewer.close(HANDOVER_TIMEOUT_S)
        await self._backend.close()

    async def _run_task(self, token: FencingToken) -> None:
        """Run the due work of a task, and report success or failure to the task leadership."""
        leadership = self._renewer.leadership
        try:
            if not self._connected:
                await self._connect()
            progressed = await self._handlers[token.task](token)
        except StaleTermError as error:
            leadership.on_stale(token)
            log_event(LOG, "worker.refused", text=f"rejected: {error}", task=token.task, term=token.term)
        except (DatabaseUnavailableError, TimeoutError) as error:
            # The task is not given up, since another worker could not reach the store either.
            self._connected = False
            log_event(
                LOG,
                "worker.waits",
                text=f"{token.task}: the store is unavailable: {error}",
                task=token.task,
            )
        except (DataRejectedError, ExportError, WorkerThreadBusyError, OSError) as error:
            leadership.failed(token)
            log_event(
                LOG,
                "worker.failed",
                text=f"{token.task}: failed and given up: {error}",
                task=token.task,
                term=token.term,
            )
        else:
            leadership.succeeded(token)
            if progressed:
                log_event(LOG, "worker.did", text=f"{token.task}: done", task=token.task, term=token.term)

    async def _connect(self) -> None:
        await self._backend.open()
        for schema in self._schemas:
            await self._backend.migrate(schema)
        self._connected = True

    # ------------------------------------------------------------------------------------ tasks

    async def _close(self, token: FencingToken) -> bool:
        """Close the next period of the ledger if it is due and has records; returns whether it did."""
        settings = self._settings
        [(found,)] = await self._backend.read(usage_ledger.SELECT_LAST_CLOSING)
        last = None if found is None else int(found)
        overdue = time.monotonic() * MS_PER_S >= self._last_closing_ms + settings.period_ms
        closing = usage_ledger.next_closing(
            time.time() * MS_PER_S, settings.period_ms, settings.grace_ms, last, overdue
        )
        if closing is None:
            return False
        [(closable,)] = await self._backend.read(
            usage_ledger.COUNT_CLOSABLE, (closing.before_ms, int(settings.repeat_window_ms))
        )
        if not int(closable):
            return False
        pause_at("close:decided")
        self._last_closing_ms = time.monotonic() * MS_PER_S
        statements = usage_ledger.closing_statements(
            closing, settings.period_ms, int(settings.repeat_window_ms), last, token.term
        )
        await self._backend.execute_fenced(token, _pause_after(statements, "close:written"))
        pause_at("close:committed")
        return True

    async def _export(self, token: FencingToken) -> bool:
        """Publish the files of all closings not marked as exported; returns whether there were any."""
        unexported = await self._backend.read(usage_ledger.SELECT_UNEXPORTED)
        for (number,) in unexported:
            sums = [
                UsageSum(*row) for row in await self._backend.read(usage_ledger.SELECT_SUMS, (int(number),))
            ]
            pause_at("export:read")
            await self._thread.run(partial(self._publish, int(number), sums))
            pause_at("export:linked")
            await self._backend.execute_fenced(
                token, usage_ledger.mark_exported_statements(int(number), token.term)
            )
            pause_at("export:marked")
        return bool(unexported)

    def _publish(self, number: int, sums: list[UsageSum]) -> None:
        export_files.claim_folder(self._folder)
        export_files.remove_partial_files(self._folder)
        for format_name in self._settings.export_formats:
            content = export_files.ENCODERS[format_name](sums, self._settings.period_ms)
            export_files.publish(self._folder, f"usage-{number}.{format_name}", content, pause_at)

    async def _retain(self, token: FencingToken) -> bool:
        """Delete exported records older than the retention time; returns whether there were any."""
        before_ms = int(time.time() * MS_PER_S - self._settings.retention_ms)
        [(expired,)] = await self._backend.read(usage_ledger.COUNT_EXPIRED, (before_ms,))
        if not int(expired):
            return False
        pause_at("retain:decided")
        await self._backend.execute_fenced(
            token, _pause_after(usage_ledger.retention_statements(before_ms), "retain:written")
        )
        return True


def _pause_after(statements: Iterator[Statement], point: str) -> Iterator[Statement]:
    """Yield the statements, then pause at the point, which is before their commit."""
    yield from statements
    pause_at(point)
