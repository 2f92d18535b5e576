"""A stand-in notice board: server-sent events on loopback, a comment each second, news when told."""

from __future__ import annotations

import asyncio
import contextlib
import json

COMMENT_INTERVAL_S = 0.5


class Discovery:
    """Holds its numbered events; whoever polls gets what came after its last, then what follows."""

    def __init__(self) -> None:
        self._port = 0
        self._events: list[dict] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()  # asyncio made them
        self.in_trouble = False  # accepts, and closes at once
        self.busy_s: int | None = None  # refuses, and names this wait
        self.stalled = False  # accepts, and says nothing
        self.polls: list[float] = []  # when each came, in seconds of the loop's clock
        self.first_listed: list[float] = []  # when one that knew nothing was told the list

    async def start(self) -> None:
        """Listen on a free port; after a stop at the same one, with the events told so far."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._port}"

    async def tell(self, pool: dict) -> None:
        """A new event: ``pool`` as in the protocol."""
        async with self._changed:
            self._events.append({"rev": len(self._events) + 1, "pool": pool})
            self._changed.notify_all()

    def anew(self) -> None:
        """Begin to count again, as for a proxy that has just started."""
        self._events.clear()

    def known(self) -> dict:
        """The events so far, as a configuration holds them where it does."""
        return {"rev": len(self._events), "notices": list(self._events)}

    async def stop(self) -> None:
        """End everything."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.add(task := asyncio.current_task())
        task.add_done_callback(self._tasks.discard)
        self.polls.append(asyncio.get_running_loop().time())
        if self.in_trouble:
            writer.close()
            return
        # A handler that is cancelled at the end is no error for asyncio to print.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            if self.stalled:
                await reader.read()
                return
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            last = next(
                (
                    int(line.partition(":")[2])
                    for line in head.splitlines()
                    if line.startswith("last-event-id:")
                ),
                0,
            )
            if self.busy_s is not None:
                refusal = f"HTTP/1.1 503 Busy\r\nRetry-After: {self.busy_s}\r\nContent-Length: 0\r\n\r\n"
                writer.write(refusal.encode())
                await writer.drain()
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            if last == 0 and self._events:
                self.first_listed.append(asyncio.get_running_loop().time())
            while not writer.is_closing():
                for event in self._events[last:]:
                    writer.write(f"id: {event['rev']}\ndata: {json.dumps(event)}\n\n".encode())
                last = len(self._events)
                writer.write(b":\n\n")
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(COMMENT_INTERVAL_S), self._changed:
                        await self._changed.wait_for(lambda: len(self._events) > last)  # noqa: B023
