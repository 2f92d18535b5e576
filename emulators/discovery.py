"""An emulator of service discovery: server-sent events on loopback, with a comment while nothing changes."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

COMMENT_INTERVAL_S = 0.5


class Discovery:
    """Has numbered events; a poll gets those after its ``Last-Event-ID``, then each new one.

    ``in_trouble``, ``busy_s`` and ``stalled`` inject faults, and may be set while it runs.
    """

    def __init__(self) -> None:
        self._port = 0
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()  # the handlers, that asyncio made
        self.in_trouble = False  # accepts and closes at once
        self.busy_s: int | None = None  # rejects with this Retry-After, in seconds
        self.stalled = False  # accepts and sends nothing
        self.polls: list[float] = []  # when each was received, in seconds of the loop's clock
        self.first_listed: list[float] = []  # when a client without a revision was sent the list

    async def start(self) -> None:
        """Listen on a free port; after a stop on the same one, with the same events."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Its ``host:port``."""
        return f"127.0.0.1:{self._port}"

    async def tell(self, pool: dict[str, Any]) -> None:
        """Publish a new event: ``pool`` as in the protocol."""
        async with self._changed:
            self._events.append({"rev": len(self._events) + 1, "pool": pool})
            self._changed.notify_all()

    def anew(self) -> None:
        """Drop all events: the next revision is 1 again."""
        self._events.clear()

    def known(self) -> dict[str, Any]:
        """The events so far, in the form of a configuration's ``known``."""
        return {"rev": len(self._events), "notices": list(self._events)}

    async def stop(self) -> None:
        """Stop listening and end every connection."""
        assert self._server is not None, "start() first"
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.polls.append(asyncio.get_running_loop().time())
        if self.in_trouble:
            writer.close()
            return
        # A handler that is cancelled by ``stop`` is no error for asyncio to print.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            if self.stalled:
                await reader.read()
                return
            last_revision = _last_event_id(await reader.readuntil(b"\r\n\r\n"))
            if self.busy_s is not None:
                await self._reject(writer, self.busy_s)
                return
            await self._stream(writer, last_revision)

    async def _reject(self, writer: asyncio.StreamWriter, retry_after_s: int) -> None:
        head = f"HTTP/1.1 503 Busy\r\nRetry-After: {retry_after_s}\r\nContent-Length: 0\r\n\r\n"
        writer.write(head.encode())
        await writer.drain()
        writer.close()

    async def _stream(self, writer: asyncio.StreamWriter, revision: int) -> None:
        """Send the events after this revision, then each new one, and a comment at least each interval."""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        if revision == 0 and self._events:
            self.first_listed.append(asyncio.get_running_loop().time())
        while not writer.is_closing():
            for event in self._events[revision:]:
                writer.write(f"id: {event['rev']}\ndata: {json.dumps(event)}\n\n".encode())
            revision = len(self._events)
            writer.write(b":\n\n")
            await writer.drain()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(COMMENT_INTERVAL_S), self._changed:
                    await self._changed.wait_for(lambda: len(self._events) > revision)  # noqa: B023


def _last_event_id(head: bytes) -> int:
    """The revision in the request's ``Last-Event-ID`` header (server-sent events); 0 without one."""
    for line in head.decode().lower().splitlines():
        if line.startswith("last-event-id:"):
            return int(line.partition(":")[2])
    return 0
