"""A thread for what blocks: a disk, a library that waits."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")
Job = tuple[Callable[[], object], asyncio.Future, asyncio.AbstractEventLoop]


class BusyError(Exception):
    """What was asked before is still going on, though whoever asked may have given it up."""


class Thread:
    """Does one thing after another; a daemon, so that a disk that hangs cannot keep the program alive."""

    def __init__(self, name: str) -> None:
        self._jobs: queue.SimpleQueue[Job] = queue.SimpleQueue()
        self.busy = False
        threading.Thread(target=self._work, name=name, daemon=True).start()

    async def do(self, what: Callable[[], Result]) -> Result:
        """Have it done there; one at a time, since what was given up may still be going on."""
        if self.busy:
            raise BusyError("the last one is still going on")
        self.busy = True
        loop = asyncio.get_running_loop()
        done: asyncio.Future[Result] = loop.create_future()
        self._jobs.put((what, done, loop))
        return await done

    def _work(self) -> None:
        while True:
            what, done, loop = self._jobs.get()
            try:
                result, fault = what(), None
            except Exception as caught:  # told to whoever waits for it
                result, fault = None, caught
            with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
                loop.call_soon_threadsafe(self._tell, done, result, fault)

    def _tell(self, done: asyncio.Future, result: object, fault: Exception | None) -> None:
        self.busy = False
        if done.done():
            return  # given up
        if fault is None:
            done.set_result(result)
        else:
            done.set_exception(fault)
