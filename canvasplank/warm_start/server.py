"""The exporting side: a running instance answers a new one's ``view`` with what it has learned.

A listener of its own, for installations where instances may talk; none is opened where the deploy file
keeps learning off.  The view is made when asked, so that its times are those of the asking.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from canvasplank.config.addresses import parse_address
from canvasplank.runtime.streams import close_writer
from canvasplank.warm_start.peer_snapshot import VIEW_REQUEST, PeerSnapshot, encode, frame

LOG = logging.getLogger(__name__)
REQUEST_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 8  # new instances are few; more at once are closed unanswered


class SnapshotServer:
    """Answers ``view``; anything else, or nothing within a second, ends the connection unanswered."""

    def __init__(self, produce: Callable[[], PeerSnapshot]) -> None:
        self._produce = produce
        self._server: asyncio.Server | None = None
        self._connections = 0
        self.counts = {"asked": 0, "given": 0, "refused": 0}

    async def listen(self, address: str) -> None:
        """Open the listener for new instances."""
        host, port = parse_address(address)
        self._server = await asyncio.start_server(self._serve, host, port, limit=len(VIEW_REQUEST) + 64)

    def close(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        self.counts["asked"] += 1
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                line = await reader.readline()
            if self._connections > MAX_CONNECTIONS or line != VIEW_REQUEST:
                self.counts["refused"] += 1
                return
            writer.write(frame(encode(self._produce())))
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await writer.drain()
            self.counts["given"] += 1
        except (TimeoutError, ValueError, OSError) as error:
            self.counts["refused"] += 1
            LOG.info("a view was not given: %s", type(error).__name__)
        finally:
            self._connections -= 1
            await close_writer(writer)
