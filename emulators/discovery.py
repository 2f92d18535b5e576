"""An emulator of service discovery: server-sent events, with periodic comments while nothing changes."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

COMMENT_INTERVAL_S = 0.5


class Discovery:
    """Sends numbered events: on each request those after its ``Last-Event-ID``, then each new one.

    ``closes_connections``, ``busy_s`` and ``stalled`` inject faults and may be changed at any time.
    """

    def __init__(self) -> None:
        self._port = 0
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()  # connection handlers
        self.closes_connections = False  # connections are accepted and closed at once
        self.busy_s: int | None = None  # requests are rejected with this Retry-After, in seconds
        self.stalled = False  # connections are accepted, and nothing is sent
        # In seconds of the event loop's clock.
        self.polls: list[float] = []  # when each connection was accepted
        self.first_listed: list[float] = []  # when a request without a revision was answered with events

    async def start(self) -> None:
        """Listen on a free port. After ``stop``, listen on the same port and with the same events."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """The ``host:port`` for clients."""
        return f"127.0.0.1:{self._port}"

    async def publish(self, pool: dict[str, Any]) -> None:
        """Publish a new event with this ``pool`` object of the discovery protocol."""
        async with self._changed:
            self._events.append({"rev": len(self._events) + 1, "pool": pool})
            self._changed.notify_all()

    def clear_events(self) -> None:
        """Drop all events, so that the next event has revision 1 again."""
        self._events.clear()

    def known(self) -> dict[str, Any]:
        """Return the events so far in the form of ``known`` in a proxy's configuration."""
        return {"rev": len(self._events), "notices": list(self._events)}

    async def stop(self) -> None:
        """Stop listening and close all connections."""
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
        # Keeps asyncio from logging an error where ``stop`` cancels this handler.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            if not self.closes_connections:
                await self._answer(reader, writer)
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.stalled:
            await reader.read()
            return
        last_revision = _last_event_id(await reader.readuntil(b"\r\n\r\n"))
        if self.busy_s is not None:
            await self._reject(writer, self.busy_s)
        else:
            await self._stream(writer, last_revision)

    async def _reject(self, writer: asyncio.StreamWriter, retry_after_s: int) -> None:
        head = f"HTTP/1.1 503 Busy\r\nRetry-After: {retry_after_s}\r\nContent-Length: 0\r\n\r\n"
        writer.write(head.encode())
        await writer.drain()

    async def _stream(self, writer: asyncio.StreamWriter, revision: int) -> None:
        """Send the events after this revision, then each new one, and a comment at least every interval."""
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
    """Return the revision in the request's ``Last-Event-ID`` header, or 0 if it has none."""
    for line in head.decode().lower().splitlines():
        if line.startswith("last-event-id:"):
            return int(line.partition(":")[2])
    return 0
