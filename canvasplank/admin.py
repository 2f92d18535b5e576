"""The operators' address: one line asked on a connection, one answer, then the connection is closed.

Kept apart from the callers' listener and its limits, so that a crowd of callers holding connections cannot
keep an operator's answer back: the front is owed one within a second under any load.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from canvasplank.config.addresses import parse_address
from canvasplank.runtime.streams import close_writer

LOG = logging.getLogger(__name__)
LINE_WAIT_S = 1.0  # an operator's line that has not come by then is not coming
WRITE_WAIT_S = 1.0  # an answer not taken by then is late anyway
LINE_MOST = 256  # bytes; no command is longer
MOST_AT_ONCE = 32  # connections; what comes past them is closed unanswered, not queued behind them
OK, BAD = "200", "400"


class Operated(Protocol):
    """What the operators may ask of the program."""

    def ready(self) -> bool:
        """Whether new callers are welcome here now."""

    def figures(self) -> list[str]:
        """The figures in the exposition form, a line each."""

    def quiesce(self) -> None:
        """Send callers away, keeping what stands and what is open."""

    def resume(self) -> None:
        """Take callers again."""


class Admin:
    """The listener on the admin address and its one-line commands."""

    def __init__(self, operated: Operated) -> None:
        self._operated = operated
        self._server: asyncio.Server | None = None
        self._at_once = 0

    async def listen(self, address: str) -> None:
        """Open the listener; its port is shared, for a new version started beside this one."""
        host, port = parse_address(address)
        self._server = await asyncio.start_server(self._serve, host, port, limit=LINE_MOST, reuse_port=True)

    def close(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()

    def answer(self, line: str) -> str:
        """The whole answer to one command, its lines ended by newlines."""
        match line.strip():
            case "health":
                return f"{OK} ready\n" if self._operated.ready() else f"{BAD} not ready\n"
            case "counters":
                lines = [f"{OK} counters", *self._operated.figures(), "EOF"]
                return "".join(f"{line}\n" for line in lines)
            case "quiesce":
                LOG.info("told to quiesce: callers are sent away")
                self._operated.quiesce()
                return f"{OK} quiescing\n"
            case "resume":
                LOG.info("told to resume")
                self._operated.resume()
                return f"{OK} resumed\n"
            case other:
                return f"{BAD} unknown command {other[:40]!r}\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection: its line, the answer, the end.  Guards against one that never says its line."""
        self._at_once += 1
        try:
            if self._at_once <= MOST_AT_ONCE:
                async with asyncio.timeout(LINE_WAIT_S):
                    line = await reader.readline()
                writer.write(self.answer(line.decode("ascii", "replace")).encode())
                async with asyncio.timeout(WRITE_WAIT_S):
                    await writer.drain()
        except (TimeoutError, ValueError, OSError) as error:  # ValueError: a line past the limit
            LOG.info("admin connection ended: %s", type(error).__name__)
        finally:
            self._at_once -= 1
            await close_writer(writer)
