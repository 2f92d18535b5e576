"""A process that does the fleet's work: ``canvasplank worker``.

It is in the fleet like a proxy, without budgets, and owns tasks under terms.  Whatever it does for one is
done under the term that it was given: the store refuses the effect where that is over, however sure it is.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

from canvasplank.counters import Counters
from canvasplank.database.errors import StoreRefusedError, StoreUnavailableError
from canvasplank.database.migrations import Schema
from canvasplank.fleet.backend import Backend, FencingToken, StaleTermError
from canvasplank.fleet.config import Fleet
from canvasplank.fleet.lease_renewer import LeaseRenewer
from canvasplank.runtime.structured_logging import log_event
from canvasplank.runtime.worker_thread import WorkerThread, WorkerThreadBusyError
from canvasplank.store import schema as records
from canvasplank.worker import export_files, usage_ledger
from canvasplank.worker.config import Work
from canvasplank.worker.export_files import ContentError, FolderError
from canvasplank.worker.usage_ledger import Statement, Sum

LOG = logging.getLogger(__name__)
MS = 1000.0
LEAVE_S = 1.0
CLOSE, EXPORT, RETAIN = TASKS = ("close", "export", "retain")


def pause(point: str) -> None:
    """Stop here where ``CANVASPLANK_PAUSE`` names this point, until told to go on: for experiments."""
    if os.environ.get("CANVASPLANK_PAUSE") == point:
        log_event(LOG, "worker.paused", point=point)
        os.kill(os.getpid(), signal.SIGSTOP)


class Worker:
    """One worker process."""

    def __init__(self, fleet: Fleet, work: Work, name: str, seed: int) -> None:
        self._work = work
        self._folder = Path(work.folder)
        self._renewer = LeaseRenewer(fleet, name, seed, Counters(), works=TASKS)
        self._backend: Backend = fleet.create_backend()
        self._schemas: tuple[Schema, ...] = (records.SCHEMA, usage_ledger.SCHEMA)
        self._open = False
        self._thread = WorkerThread("export")
        self._steps: dict[str, Callable[[FencingToken], Awaitable[bool]]] = {
            CLOSE: self._close,
            EXPORT: self._export,
            RETAIN: self._retain,
        }
        self._stopping = asyncio.Event()
        self._closed_ms = float("-inf")  # when this one closed last, by its steady clock

    async def run(self) -> None:
        """Work until told to stop; then hand everything over at once."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        self._renewer.start()
        while not self._stopping.is_set():
            for token in self._renewer.leadership.tokens():
                await self._do(token)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._work.look_ms / MS):
                    await self._stopping.wait()
        await self._renewer.close(LEAVE_S)
        await self._backend.close()

    async def _do(self, token: FencingToken) -> None:
        """One look at a task: what it comes to is told the fleet, or refused by it."""
        leadership = self._renewer.leadership
        try:
            if not self._open:
                await self._prepare()
            progressed = await self._steps[token.task](token)
        except StaleTermError as refused:
            leadership.on_stale(token)
            log_event(LOG, "worker.refused", text=f"refused: {refused}", task=token.task, term=token.term)
        except (StoreUnavailableError, TimeoutError) as error:
            # Guards against taking the store's trouble for this worker's: elsewhere it would be no better.
            self._open = False
            log_event(
                LOG,
                "worker.waits",
                text=f"{token.task}: the store does not answer: {error}",
                task=token.task,
            )
        except (StoreRefusedError, FolderError, ContentError, WorkerThreadBusyError, OSError) as error:
            leadership.failed(token)
            log_event(
                LOG,
                "worker.failed",
                text=f"{token.task} failed here and is given up: {error}",
                task=token.task,
                term=token.term,
            )
        else:
            leadership.succeeded(token)
            if progressed:
                log_event(LOG, "worker.did", text=f"{token.task}: done", task=token.task, term=token.term)

    async def _prepare(self) -> None:
        await self._backend.open()
        for each in self._schemas:
            await self._backend.migrate(each)
        self._open = True

    # ------------------------------------------------------------------------------------ the tasks

    async def _close(self, token: FencingToken) -> bool:
        work = self._work
        [(found,)] = await self._backend.read(usage_ledger.LAST_CLOSED)
        last = None if found is None else int(found)
        late = time.monotonic() * MS >= self._closed_ms + work.period_ms
        made = usage_ledger.next_closing(time.time() * MS, work.period_ms, work.grace_ms, last, late)
        if made is None:
            return False
        [(waiting,)] = await self._backend.read(usage_ledger.WAITING, (made.before_ms, int(work.repeat_ms)))
        if not int(waiting):
            return False
        pause("close:decided")
        self._closed_ms = time.monotonic() * MS
        statements = usage_ledger.closing(made, work.period_ms, int(work.repeat_ms), last, token.term)
        await self._backend.execute_fenced(token, _paused(statements, "close:written"))
        pause("close:committed")
        return True

    async def _export(self, token: FencingToken) -> bool:
        waiting = await self._backend.read(usage_ledger.TO_EXPORT)
        for (number,) in waiting:
            sums = [Sum(*row) for row in await self._backend.read(usage_ledger.SUMS, (int(number),))]
            pause("export:read")
            await self._thread.run(lambda sums=sums, number=number: self._publish(int(number), sums))
            pause("export:linked")
            await self._backend.execute_fenced(token, usage_ledger.exported(int(number), token.term))
            pause("export:marked")
        return bool(waiting)

    def _publish(self, number: int, sums: list[Sum]) -> None:
        export_files.claim(self._folder)
        export_files.sweep(self._folder)
        for form in self._work.formats:
            content = export_files.FORMATS[form](sums, self._work.period_ms)
            export_files.publish(self._folder, f"usage-{number}.{form}", content, pause)

    async def _retain(self, token: FencingToken) -> bool:
        before_ms = int(time.time() * MS - self._work.keep_ms)
        [(old,)] = await self._backend.read(usage_ledger.TO_REMOVE, (before_ms,))
        if not int(old):
            return False
        pause("retain:decided")
        await self._backend.execute_fenced(
            token, _paused(usage_ledger.retention(before_ms), "retain:written")
        )
        return True


def _paused(statements: Iterator[Statement], point: str) -> Iterator[Statement]:
    """Effects, and a point after the last of them, before the commit."""
    yield from statements
    pause(point)
