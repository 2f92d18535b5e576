"""A link between two parties that can be made slow, stalled, cut one way or both, or reset.

What a cut or a stall holds back is not lost: it arrives when the link heals, late, as TCP has it, unless the
connection was reset meanwhile.  So an answer held back on the way to the client is a commit whose answer does
not arrive, and a request held back on the way to the server is one that may yet be carried out.
"""

from __future__ import annotations

import asyncio
import contextlib

from canvasplank.config.addresses import parse_address
from emulators.tasks import Tasks

READ_MAX_BYTES = 65_536


class Link:
    """Listens for clients and connects each to one server."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.delay_s = 0.0  # each way
        self.connections = 0
        self._passing = {"there": asyncio.Event(), "back": asyncio.Event()}
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks = Tasks()
        self.heal()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    @property
    def address(self) -> str:
        """Where clients find it."""
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def cut(self, *ways: str) -> None:
        """Hold back what goes these ways: ``there`` (to the server), ``back``, or both."""
        for way in ways or self._passing:
            self._passing[way].clear()

    def heal(self) -> None:
        """Let everything through."""
        for passing in self._passing.values():
            passing.set()

    def reset(self) -> None:
        """End every connection at both ends; what was held back on them is lost."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """End everything."""
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
