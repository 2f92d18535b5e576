"""A thread for blocking calls, such as disk access or a blocking library."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

Result = TypeVar("Result")


class WorkerThreadBusyError(Exception):
    """The previous call is still running, even if its caller no longer waits for it."""


class _Job(NamedTuple):
    """A call to be made on the thread, and the future that gets its result on the event loop."""

    call: Callable[[], Any]
    future: asyncio.Future[Any]
    loop: asyncio.AbstractEventLoop


class WorkerThread:
    """Runs one call at a time on a daemon thread, so that a hanging disk cannot delay the process's exit."""

    def __init__(self, name: str) -> None:
        self._jobs: queue.SimpleQueue[_Job] = queue.SimpleQueue()
        self.busy = False
        threading.Thread(target=self._run_jobs, name=name, daemon=True).start()

    async def run(self, call: Callable[[], Result]) -> Result:
        """Make a call on the thread, and return its result or raise its exception.

        Raises ``WorkerThreadBusyError`` while an earlier call is running, such as one that hangs and whose
        caller no longer waits.
        """
        if self.busy:
            raise WorkerThreadBusyError("the previous call is still running")
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
            except Exception as caught:  # raised in ``run``
                error = caught
            with contextlib.suppress(RuntimeError):  # the event loop may be closed by now
                job.loop.call_soon_threadsafe(self._deliver, job.future, result, error)

    def _deliver(self, future: asyncio.Future[Any], result: object, error: Exception | None) -> None:
        """Set the result of a call; runs on the event loop."""
        self.busy = False
        if future.done():
            return  # cancelled: nobody waits for the result
        if error is None:
            future.set_result(result)
        else:
            future.set_exception(error)
