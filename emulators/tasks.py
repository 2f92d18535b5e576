"""Tasks that belong to an emulator and end with it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


class Tasks:
    """Keeps references to running tasks and cancels them at the end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def keep(self, work: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a coroutine as a task that ``end`` cancels."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def end(self) -> None:
        """Cancel the tasks that are still running and wait for them."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
