"""Writes the endpoint list to disk after changes, and periodically while discovery confirms it."""

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
WRITE_INTERVAL_MS = 1_000.0  # combines the dozens of events per second of a roll-out into few writes
CONFIRM_INTERVAL_MS = 10_000.0  # about the maximum age of the file at a crash, if nothing changes
FINAL_WRITE_TIMEOUT_S = 0.2  # at shutdown
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 1_000.0, 60_000.0  # after a failed write; doubles with each failure


class EndpointListWriter:
    """Writes an endpoint list to its file on a separate thread, so that calls never wait for the disk."""

    def __init__(
        self,
        path: str,
        endpoint_list: EndpointList,
        scheduler: Scheduler,
        last_received_ms: Callable[[], float | None],
    ) -> None:
        """``last_received_ms`` returns when discovery last sent data, in Unix ms; None if not connected."""
        self._path = path
        self._endpoint_list = endpoint_list
        self._scheduler = scheduler
        self._last_received_ms = last_received_ms
        self._thread = WorkerThread("membership")
        self._written_ms = 0.0
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._retry_at_ms = 0.0
        self._failing = False
        self._write_task: asyncio.Task[None] | None = None

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """Apply an event from service discovery to the list."""
        self._endpoint_list.on_discovery_event(event, self._scheduler.now_ms)

    def start(self) -> None:
        """Start checking every ``WRITE_INTERVAL_MS`` whether a write is due."""
        self._write_if_due()

    def _write_if_due(self) -> None:
        self._scheduler.call_later(WRITE_INTERVAL_MS, self._write_if_due)
        now_ms = self._scheduler.now_ms
        if not self._endpoint_list.is_complete or now_ms < self._retry_at_ms:
            return
        # Without a connection to discovery nothing confirms the list, so its time on disk stays.
        refresh_due = False
        if (last_received_ms := self._last_received_ms()) is not None:
            self._endpoint_list.confirm(last_received_ms)
            refresh_due = now_ms - self._written_ms >= CONFIRM_INTERVAL_MS
        idle = self._write_task is None or self._write_task.done()
        if (self._endpoint_list.is_dirty or refresh_due) and idle:
            self._write_task = asyncio.get_running_loop().create_task(self._write())

    async def _write(self) -> None:
        snapshot = self._endpoint_list.snapshot()
        self._endpoint_list.mark_saved()
        started_ms = self._scheduler.now_ms
        try:
            await self._thread.run(lambda: write_cached_list(self._path, snapshot))
        except (OSError, WorkerThreadBusyError) as error:
            self._endpoint_list.mark_unsaved()
            self._on_write_failed(started_ms, error)
            return
        if self._failing:
            LOG.info("the endpoint list can be written to %s again", self._path)
        self._failing, self._backoff_ms, self._written_ms = False, INITIAL_BACKOFF_MS, started_ms

    def _on_write_failed(self, started_ms: float, error: Exception) -> None:
        """Log the first of consecutive failures, and schedule a retry after a backoff."""
        self._retry_at_ms = started_ms + self._backoff_ms
        self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
        if not self._failing:
            LOG.warning("cannot write the endpoint list to %s: %s", self._path, error)
        self._failing = True

    async def close(self) -> None:
        """Finish a write in progress and write unsaved changes within ``FINAL_WRITE_TIMEOUT_S``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_WRITE_TIMEOUT_S):
                if self._write_task is not None:
                    await self._write_task
                if self._endpoint_list.is_complete and self._endpoint_list.is_dirty:
                    await self._write()
