"""The operators' address: one command on a connection, one answer, then the connection is closed.

It is separate from the callers' listener and its limits: the front expects an answer within a second under
any load, also while callers hold all of their connections.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from canvasplank.config.addresses import parse_address
from canvasplank.runtime.streams import close_writer, suppress_cancellation

LOG = logging.getLogger(__name__)
READ_TIMEOUT_S = 1.0  # for the command
WRITE_TIMEOUT_S = 1.0  # the front expects an answer within a second
MAX_LINE_BYTES = 256  # no command is longer
MAX_CONNECTIONS = 32  # further ones are closed unanswered, not queued
OK, BAD = "200", "400"


class Operated(Protocol):
    """The commands of the program to its operators."""

    def ready(self) -> bool:
        """Whether new callers are accepted now."""

    def metric_lines(self) -> list[str]:
        """The figures in the exposition format, a line each."""

    def quiesce(self) -> None:
        """Send callers away; established and open calls continue."""

    def resume(self) -> None:
        """Accept callers again."""


class Admin:
    """The listener on the admin address and its one-line commands."""

    def __init__(self, operated: Operated) -> None:
        self._operated = operated
        self._server: asyncio.Server | None = None
        self._connections = 0

    async def listen(self, address: str) -> None:
        """Open the listener; a new version started beside this one shares its port (``SO_REUSEPORT``)."""
        host, port = parse_address(address)
        self._server = await asyncio.start_server(
            suppress_cancellation(self._serve), host, port, limit=MAX_LINE_BYTES, reuse_port=True
        )

    def close(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()

    def answer(self, line: str) -> str:
        """The complete answer to one command, each line ended by a newline."""
        match line.strip():
            case "health":
                return f"{OK} ready\n" if self._operated.ready() else f"{BAD} not ready\n"
            case "counters":
                lines = [f"{OK} counters", *self._operated.metric_lines(), "EOF"]
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
        """Serve one connection: read its command, write the answer, close it; each within a bounded time."""
        self._connections += 1
        try:
            if self._connections <= MAX_CONNECTIONS:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    line = await reader.readline()
                writer.write(self.answer(line.decode("ascii", "replace")).encode())
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await writer.drain()
        except (TimeoutError, ValueError, OSError) as error:  # ValueError: a line past the limit
            LOG.info("admin connection ended: %s", type(error).__name__)
        finally:
            self._connections -= 1
            await close_writer(writer)
