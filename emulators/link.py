"""An emulator of a network path (TCP) that can be delayed, cut in one direction or both, or reset.

A cut holds data back and loses none: it arrives, late, when the link heals, unless the connection was reset
meanwhile. So a response held back on the way to the client is a commit whose response is missing, and a
request held back on the way to the server is one that may yet be executed.
"""

from __future__ import annotations

import asyncio
import contextlib

from canvasplank.config.addresses import parse_address
from emulators.tasks import Tasks

READ_MAX_BYTES = 65_536


class Link:
    """Accepts clients and connects each to ``target`` (``host:port``)."""

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

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            await self._passing["there"].wait()
            target_reader, target_writer = await asyncio.open_connection(*parse_address(self.target))
        except OSError:
            writer.transport.abort()
            return
        finally:
            self._writers.discard(writer)
        self._writers |= {writer, target_writer}
        there = self._tasks.keep(self._pump("there", reader, target_writer))
        back = self._tasks.keep(self._pump("back", target_reader, writer))
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait({there, back}, return_when=asyncio.FIRST_COMPLETED)
        for end in (writer, target_writer):
            self._writers.discard(end)
            end.transport.abort()

    async def _pump(self, way: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_MAX_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._passing[way].wait()
                writer.write(data)
                await writer.drain()
