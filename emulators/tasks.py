"""Tasks that belong to a stand-in and end with it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine


class Tasks:
    """Keeps tasks from being collected while they run, and ends them all."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def keep(self, work: Coroutine) -> asyncio.Task:
        """Have it done beside everything else."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def end(self) -> None:
        """Cancel what still runs."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
