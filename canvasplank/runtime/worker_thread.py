"""A thread for calls that block: a disk, or a library that waits."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

Result = TypeVar("Result")


class WorkerThreadBusyError(Exception):
    """The previous job is still running, though whoever waited for it may have given it up."""


class _Job(NamedTuple):
    """A call to be made on the thread, and the future that takes its result on the event loop."""

    call: Callable[[], Any]
    future: asyncio.Future[Any]
    loop: asyncio.AbstractEventLoop


class WorkerThread:
    """Runs one job after another on a daemon thread: a disk that hangs cannot delay the process's end."""

    def __init__(self, name: str) -> None:
        self._jobs: queue.SimpleQueue[_Job] = queue.SimpleQueue()
        self.busy = False
        threading.Thread(target=self._run_jobs, name=name, daemon=True).start()

    async def run(self, call: Callable[[], Result]) -> Result:
        """Make the call on the thread and wait for its result; an exception of the call is raised here.

        Raises ``WorkerThreadBusyError`` while an earlier call goes on: one that was given up may hang.
        """
        if self.busy:
            raise WorkerThreadBusyError("the last one is still going on")
        self.busy = True
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Result] = loop.create_future()
        self._jobs.put(_Job(call, future, loop))
        return await future

    def _run_jobs(self) -> None:
        while True:
            job = self._jobs.get()
            result, error = None, None
            try:
                result = job.call()
            except Exception as caught:  # raised again where the result is awaited
                error = caught
            with contextlib.suppress(RuntimeError):  # the event loop has ended meanwhile
                job.loop.call_soon_threadsafe(self._deliver, job.future, result, error)

    def _deliver(self, future: asyncio.Future[Any], result: object, error: Exception | None) -> None:
        """Runs on the event loop."""
        self.busy = False
        if future.done():
            return  # given up
        if error is None:
            future.set_result(result)
        else:
            future.set_exception(error)
