"""The admin address for operators: each connection carries one command and its answer.

It is separate from the callers' listener and its limits: the front, which sends callers to the proxies,
expects an answer within a second under any load, even while callers use all of their connections.
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
MAX_LINE_BYTES = 256  # all commands are shorter
MAX_CONNECTIONS = 32  # further connections are closed unanswered, not queued
OK, BAD = "200", "400"


class AdminCommands(Protocol):
    """The operations of the program that operators can invoke."""

    def ready(self) -> bool:
        """Whether new callers are accepted now."""

    def metric_lines(self) -> list[str]:
        """Return the lines of the metrics in the text exposition format."""

    def quiesce(self) -> None:
        """Drain callers; established and open calls continue."""

    def resume(self) -> None:
        """Accept callers again."""


class Admin:
    """Listens on the admin address and answers one-line commands."""

    def __init__(self, commands: AdminCommands) -> None:
        self._commands = commands
        self._server: asyncio.Server | None = None
        self._connections = 0

    async def listen(self, address: str) -> None:
        """Open the listener; a new version on an upgrade shares the port (``SO_REUSEPORT``)."""
        host, port = parse_address(address)
        self._server = await asyncio.start_server(
            suppress_cancellation(self._serve), host, port, limit=MAX_LINE_BYTES, reuse_port=True
        )

    def close(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()

    def answer(self, line: str) -> str:
        """Execute one command, and return the complete answer, each line ended by a newline."""
        match line.strip():
            case "health":
                return f"{OK} ready\n" if self._commands.ready() else f"{BAD} not ready\n"
            case "counters":
                lines = [f"{OK} counters", *self._commands.metric_lines(), "EOF"]
                return "".join(f"{line}\n" for line in lines)
            case "quiesce":
                LOG.info("quiesce requested: draining callers")
                self._commands.quiesce()
                return f"{OK} quiescing\n"
            case "resume":
                LOG.info("resume requested: accepting callers again")
                self._commands.resume()
                return f"{OK} resumed\n"
            case other:
                return f"{BAD} unknown command {other[:40]!r}\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the command of a connection, write the answer and close it, each within a bounded time."""
        self._connections += 1
        try:
            if self._connections <= MAX_CONNECTIONS:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    line = await reader.readline()
                writer.write(self.answer(line.decode("ascii", "replace")).encode())
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await writer.drain()
        except (TimeoutError, ValueError, OSError) as error:  # ValueError: the line is too long
            LOG.info("admin connection ended: %s", type(error).__name__)
        finally:
            self._connections -= 1
            await close_writer(writer)
