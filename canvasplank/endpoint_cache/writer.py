"""Keeps the endpoint list on disk: read once at the start, written after news and while the board speaks."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from canvasplank.config.discovery_events import DiscoveryEvent
from canvasplank.endpoint_cache.cache_file import write_cached_list
from canvasplank.endpoint_cache.endpoint_list import EndpointList
from canvasplank.runtime.scheduler import Scheduler
from canvasplank.runtime.worker_thread import WorkerThread, WorkerThreadBusyError

LOG = logging.getLogger(__name__)
WRITE_INTERVAL_MS = 1_000.0  # so that a release, which tells dozens of events, writes a few times
CONFIRM_INTERVAL_MS = 10_000.0
FINAL_WRITE_TIMEOUT_S = 0.2  # at the end of the program
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 1_000.0, 60_000.0  # after a write that failed, doubling


class EndpointListWriter:
    """Writes the endpoint list; the serving never waits for it."""

    def __init__(
        self,
        path: str,
        endpoint_list: EndpointList,
        scheduler: Scheduler,
        last_received_ms: Callable[[], float | None],
    ) -> None:
        self._path, self._endpoint_list, self._scheduler, self._last_received_ms = (
            path,
            endpoint_list,
            scheduler,
            last_received_ms,
        )
        self._thread = WorkerThread("membership")
        self._written_ms = 0.0
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._retry_at_ms = 0.0
        self._failing = False
        self._task: asyncio.Task | None = None

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """An event of the board."""
        self._endpoint_list.on_discovery_event(event, self._scheduler.now_ms)

    def start(self) -> None:
        """Look now and then whether there is something to write."""
        self._scheduler.call_later(WRITE_INTERVAL_MS, self.start)
        now_ms = self._scheduler.now_ms
        if not self._endpoint_list.is_complete or now_ms < self._retry_at_ms:
            return
        if (last_received_ms := self._last_received_ms()) is not None:
            self._endpoint_list.confirm(last_received_ms)
            due = now_ms - self._written_ms >= CONFIRM_INTERVAL_MS
        else:
            due = False  # a board that is silent confirms nothing: the list keeps its age
        if (self._endpoint_list.changed or due) and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._write())

    async def _write(self) -> None:
        cached, self._endpoint_list.changed = self._endpoint_list.snapshot(), False
        started_ms = self._scheduler.now_ms
        try:
            await self._thread.run(lambda: write_cached_list(self._path, cached))
        except (OSError, WorkerThreadBusyError) as error:
            self._endpoint_list.changed = True
            self._retry_at_ms = started_ms + self._backoff_ms
            self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
            if not self._failing:
                LOG.warning("the list of servers is not kept at %s: %s", self._path, error)
            self._failing = True
            return
        if self._failing:
            LOG.info("the list of servers is kept again at %s", self._path)
        self._failing, self._backoff_ms, self._written_ms = False, INITIAL_BACKOFF_MS, started_ms

    async def close(self) -> None:
        """Write what has changed, as far as that goes at once."""
        if self._endpoint_list.is_complete and self._endpoint_list.changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FINAL_WRITE_TIMEOUT_S):
                    await self._write()
