"""An emulator of a network path (TCP) that can be delayed, cut in one direction or both, or reset.

A cut holds data back and loses none: it arrives, late, when the link heals, unless the connection was reset
meanwhile. So a response held back on the way to the client is a commit whose response is missing, and a
request held back on the way to the server is one that may yet be executed.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol

from canvasplank.config.addresses import parse_address
from emulators.tasks import Tasks

READ_MAX_BYTES = 65_536


class LinkObserver(Protocol):
    """What is told of one connection, as its client sees it."""

    def on_data(self, way: str, data: bytes) -> None:
        """Bytes were read from the client (``there``), or are about to be written to it (``back``)."""

    def on_client_ended(self) -> None:
        """The client has ended it, for writing at least, or has reset it."""

    def on_closed(self) -> None:
        """The connection has ended."""


class Link:
    """Accepts clients and connects each to ``target`` (``host:port``)."""

    max_reads_ahead = 1  # in each direction, while what was read cannot be passed on; 0: no bound

    def __init__(self, target: str) -> None:
        self.target = target
        self.delay_s = 0.0  # in each direction, for each read
        self.connections = 0  # accepted so far
        self._passing = {"there": asyncio.Event(), "back": asyncio.Event()}
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks = Tasks()
        self.heal()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    @property
    def address(self) -> str:
        """Its ``host:port`` for clients."""
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def cut(self, *ways: str) -> None:
        """Hold back one direction, ``there`` (to the server) or ``back``, or both (none named)."""
        for way in ways or self._passing:
            self._passing[way].clear()

    def heal(self) -> None:
        """Let both directions pass again, first what was held back."""
        for passing in self._passing.values():
            passing.set()

    def reset(self) -> None:
        """Abort every connection at both ends; what was held back on them is lost."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and abort every connection."""
        self._server.close()
        self.reset()
        await self._tasks.end()

    def observe(self) -> LinkObserver | None:
        """What is told of a new connection; None: nothing is."""
        return None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        observer = self.observe()
        requests = self._start_reading("there", reader, observer)
        self._writers.add(writer)
        try:
            await self._passing["there"].wait()
            target_reader, target_writer = await asyncio.open_connection(*parse_address(self.target))
        except OSError:
            writer.transport.abort()
            return
        finally:
            self._writers.discard(writer)
        responses = self._start_reading("back", target_reader, observer)
        ends = (writer, target_writer)
        self._writers.update(ends)
        there = self._tasks.keep(self._pass_on("there", requests, target_writer, observer))
        back = self._tasks.keep(self._pass_on("back", responses, writer, observer))
        for passing in (there, back):
            passing.add_done_callback(lambda task: _abort_on_error(task, ends))
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait({there, back})
        for end in ends:
            self._writers.discard(end)
            end.transport.abort()
        if observer is not None:
            observer.on_closed()

    def _start_reading(
        self, way: str, reader: asyncio.StreamReader, observer: LinkObserver | None
    ) -> asyncio.Queue[bytes | OSError]:
        reads: asyncio.Queue[bytes | OSError] = asyncio.Queue(self.max_reads_ahead)
        self._tasks.keep(self._read(way, reader, reads, observer))
        return reads

    async def _read(
        self,
        way: str,
        reader: asyncio.StreamReader,
        reads: asyncio.Queue[bytes | OSError],
        observer: LinkObserver | None,
    ) -> None:
        """Queue what is read, an empty read at the end, or the error that ended the connection."""
        data = b"-"
        try:
            while data:
                data = await reader.read(READ_MAX_BYTES)
                if observer is not None and way == "there" and data:
                    observer.on_data(way, data)
                if observer is not None and way == "there" and not data:
                    observer.on_client_ended()
                await reads.put(data)
        except OSError as error:
            if observer is not None and way == "there":
                observer.on_client_ended()
            await reads.put(error)

    async def _pass_on(
        self,
        way: str,
        reads: asyncio.Queue[bytes | OSError],
        writer: asyncio.StreamWriter,
        observer: LinkObserver | None,
    ) -> None:
        """Write what was read, and then its end; raises the error that ended it."""
        while data := await reads.get():
            if isinstance(data, OSError):
                raise data
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._passing[way].wait()
            if observer is not None and way == "back":
                observer.on_data(way, data)
            writer.write(data)
            await writer.drain()
        await self._passing[way].wait()
        writer.write_eof()


def _abort_on_error(passing: asyncio.Task[None], ends: tuple[asyncio.StreamWriter, ...]) -> None:
    """A connection that broke at one end is reset at the other."""
    if passing.cancelled() or passing.exception() is not None:
        for end in ends:
            end.transport.abort()
