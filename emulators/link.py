"""An emulator of a network path (TCP) that can be delayed, cut in one direction or both, or reset.

The direction ``there`` leads from the client to the server, and ``back`` from the server to the client.

A cut holds data back but loses none: the data arrives when the link heals, unless the connection is reset
before. A cut of ``back`` therefore emulates a commit whose response is missing, and a cut of ``there`` a
request that may still be executed.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol

from canvasplank.config.addresses import parse_address
from emulators.tasks import Tasks

READ_MAX_BYTES = 65_536


class LinkObserver(Protocol):
    """An observer of one connection, notified of its events on the client's side of the link."""

    def on_data(self, direction: str, data: bytes) -> None:
        """Called when data was read from the client (``there``) or will be written to it (``back``)."""

    def on_client_ended(self) -> None:
        """Called when the client has closed the connection, at least for writing, or has reset it."""

    def on_closed(self) -> None:
        """Called when both sides of the connection are closed."""


class Link:
    """Accepts clients and connects each of them to ``target`` (``host:port``)."""

    max_reads_ahead = 1  # reads queued in each direction while they cannot be forwarded; 0: no limit

    def __init__(self, target: str) -> None:
        self.target = target
        self.delay_s = 0.0  # of each read, in each direction
        self.connections = 0  # accepted so far
        self._unblocked = {"there": asyncio.Event(), "back": asyncio.Event()}  # set: data is forwarded
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks = Tasks()
        self.heal()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    @property
    def address(self) -> str:
        """The ``host:port`` for clients."""
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def cut(self, *directions: str) -> None:
        """Hold back the data of these directions (``there``, ``back``), or of both if none is given."""
        for direction in directions or self._unblocked:
            self._unblocked[direction].clear()

    def heal(self) -> None:
        """Forward data in both directions again, starting with the data that was held back."""
        for unblocked in self._unblocked.values():
            unblocked.set()

    def reset(self) -> None:
        """Reset every connection at both ends. The data held back on them is lost."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        self._server.close()
        self.reset()
        await self._tasks.end()

    def new_observer(self) -> LinkObserver | None:
        """Return the observer of a new connection, or None for a connection that is not observed."""
        return None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        observer = self.new_observer()
        requests = self._start_reading("there", reader, observer)
        self._writers.add(writer)
        try:
            await self._unblocked["there"].wait()
            target_reader, target_writer = await asyncio.open_connection(*parse_address(self.target))
        except OSError:
            writer.transport.abort()
            return
        finally:
            self._writers.discard(writer)
        responses = self._start_reading("back", target_reader, observer)
        writers = (writer, target_writer)
        self._writers.update(writers)
        forward_there = self._tasks.keep(self._forward("there", requests, target_writer, observer))
        forward_back = self._tasks.keep(self._forward("back", responses, writer, observer))
        for forwarding in (forward_there, forward_back):
            forwarding.add_done_callback(lambda task: _abort_on_error(task, writers))
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait({forward_there, forward_back})
        for each in writers:
            self._writers.discard(each)
            each.transport.abort()
        if observer is not None:
            observer.on_closed()

    def _start_reading(
        self, direction: str, reader: asyncio.StreamReader, observer: LinkObserver | None
    ) -> asyncio.Queue[bytes | OSError]:
        read_queue: asyncio.Queue[bytes | OSError] = asyncio.Queue(self.max_reads_ahead)
        self._tasks.keep(self._read(direction, reader, read_queue, observer))
        return read_queue

    async def _read(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        read_queue: asyncio.Queue[bytes | OSError],
        observer: LinkObserver | None,
    ) -> None:
        """Queue the data that is read, and at the end empty data, or the error that ended the connection."""
        data = b"-"
        try:
            while data:
                data = await reader.read(READ_MAX_BYTES)
                if observer is not None and direction == "there" and data:
                    observer.on_data(direction, data)
                if observer is not None and direction == "there" and not data:
                    observer.on_client_ended()
                await read_queue.put(data)
        except OSError as error:
            if observer is not None and direction == "there":
                observer.on_client_ended()
            await read_queue.put(error)

    async def _forward(
        self,
        direction: str,
        read_queue: asyncio.Queue[bytes | OSError],
        writer: asyncio.StreamWriter,
        observer: LinkObserver | None,
    ) -> None:
        """Write the queued data, and end-of-file after it; raise a queued error."""
        while data := await read_queue.get():
            if isinstance(data, OSError):
                raise data
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._unblocked[direction].wait()
            if observer is not None and direction == "back":
                observer.on_data(direction, data)
            writer.write(data)
            await writer.drain()
        await self._unblocked[direction].wait()
        writer.write_eof()


def _abort_on_error(forwarding: asyncio.Task[None], writers: tuple[asyncio.StreamWriter, ...]) -> None:
    """Reset both ends of a connection if forwarding in one direction failed or was cancelled."""
    if forwarding.cancelled() or forwarding.exception() is not None:
        for writer in writers:
            writer.transport.abort()
