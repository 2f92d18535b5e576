"""A thread for what blocks: a disk, a library that waits."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")
QueuedJob = tuple[Callable[[], object], asyncio.Future, asyncio.AbstractEventLoop]


class WorkerThreadBusyError(Exception):
    """What was asked before is still going on, though whoever asked may have given it up."""


class WorkerThread:
    """Does one thing after another; a daemon, so that a disk that hangs cannot keep the program alive."""

    def __init__(self, name: str) -> None:
        self._jobs: queue.SimpleQueue[QueuedJob] = queue.SimpleQueue()
        self.busy = False
        threading.Thread(target=self._run_jobs, name=name, daemon=True).start()

    async def run(self, job: Callable[[], Result]) -> Result:
        """Have it done there; one at a time, since what was given up may still be going on."""
        if self.busy:
            raise WorkerThreadBusyError("the last one is still going on")
        self.busy = True
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Result] = loop.create_future()
        self._jobs.put((job, future, loop))
        return await future

    def _run_jobs(self) -> None:
        while True:
            job, future, loop = self._jobs.get()
            try:
                result, error = job(), None
            except Exception as caught:  # told to whoever waits for it
                result, error = None, caught
            with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
                loop.call_soon_threadsafe(self._deliver, future, result, error)

    def _deliver(self, future: asyncio.Future, result: object, error: Exception | None) -> None:
        self.busy = False
        if future.done():
            return  # given up
        if error is None:
            future.set_result(result)
        else:
            future.set_exception(error)
