"""Keeps the roster on disk: read once at the start, written after news and while the board speaks."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from canvasplank.config.discovery_events import DiscoveryEvent
from canvasplank.endpoint_cache.cache_file import write
from canvasplank.endpoint_cache.endpoint_list import Roster
from canvasplank.runtime.scheduler import Scheduler
from canvasplank.runtime.worker_thread import WorkerThread, WorkerThreadBusyError

LOG = logging.getLogger(__name__)
WRITE_EVERY_MS = 1_000.0  # so that a release, which tells dozens of events, writes a few times
CONFIRM_EVERY_MS = 10_000.0
LAST_WRITE_S = 0.2  # at the end of the program
PAUSE_MS, PAUSE_MOST_MS = 1_000.0, 60_000.0  # after a write that failed, doubling


class Keeper:
    """Writes the roster; the serving never waits for it."""

    def __init__(
        self, path: str, roster: Roster, scheduler: Scheduler, heard_ms: Callable[[], float | None]
    ) -> None:
        self._path, self._roster, self._scheduler, self._heard_ms = path, roster, scheduler, heard_ms
        self._thread = WorkerThread("membership")
        self._written_ms = 0.0
        self._pause_ms = PAUSE_MS
        self._not_before_ms = 0.0
        self._failing = False
        self._task: asyncio.Task | None = None

    def told(self, notice: DiscoveryEvent) -> None:
        """An event of the board."""
        self._roster.told(notice, self._scheduler.now_ms)

    def start(self) -> None:
        """Look now and then whether there is something to write."""
        self._scheduler.call_later(WRITE_EVERY_MS, self.start)
        now_ms = self._scheduler.now_ms
        if not self._roster.known or now_ms < self._not_before_ms:
            return
        if (heard_ms := self._heard_ms()) is not None:
            self._roster.confirmed(heard_ms)
            due = now_ms - self._written_ms >= CONFIRM_EVERY_MS
        else:
            due = False  # a board that is silent confirms nothing: the list keeps its age
        if (self._roster.changed or due) and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._write())

    async def _write(self) -> None:
        kept, self._roster.changed = self._roster.kept(), False
        began_ms = self._scheduler.now_ms
        try:
            await self._thread.run(lambda: write(self._path, kept))
        except (OSError, WorkerThreadBusyError) as error:
            self._roster.changed = True
            self._not_before_ms = began_ms + self._pause_ms
            self._pause_ms = min(PAUSE_MOST_MS, 2 * self._pause_ms)
            if not self._failing:
                LOG.warning("the list of servers is not kept at %s: %s", self._path, error)
            self._failing = True
            return
        if self._failing:
            LOG.info("the list of servers is kept again at %s", self._path)
        self._failing, self._pause_ms, self._written_ms = False, PAUSE_MS, began_ms

    async def close(self) -> None:
        """Write what has changed, as far as that goes at once."""
        if self._roster.known and self._roster.changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LAST_WRITE_S):
                    await self._write()
