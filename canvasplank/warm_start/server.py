"""The server: a running instance answers the request ``view`` with a snapshot of what it has learned.

It has a listener of its own, for installations where instances may communicate; none is opened where the
settings name no address.  The snapshot is made on request, so that its times are those of the request.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from canvasplank.config.addresses import parse_address
from canvasplank.runtime.streams import close_writer, suppress_cancellation
from canvasplank.warm_start.peer_snapshot import VIEW_REQUEST, PeerSnapshot, encode, frame

LOG = logging.getLogger(__name__)
TIMEOUT_S = 1.0  # for the request, and again for the response to be sent
MAX_CONNECTIONS = 8  # new instances are few; further connections are closed without a response
REQUEST_MARGIN_BYTES = 64  # a line that exceeds the known request by more is not read to its end


@dataclass
class RequestCounts:
    """Connections so far: all, those that were sent a snapshot, and those that were closed without one."""

    accepted: int = 0
    served: int = 0
    rejected: int = 0


class SnapshotServer:
    """Answers ``view``; any other request, or none within a second, is closed without a response."""

    def __init__(self, produce: Callable[[], PeerSnapshot]) -> None:
        """``produce`` makes the snapshot for one request."""
        self._produce = produce
        self._server: asyncio.Server | None = None
        self._connections = 0
        self.counts = RequestCounts()

    async def listen(self, address: str) -> None:
        """Open the listener for new instances; raises ``OSError`` where the address cannot be used."""
        host, port = parse_address(address)
        limit = len(VIEW_REQUEST) + REQUEST_MARGIN_BYTES
        self._server = await asyncio.start_server(suppress_cancellation(self._serve), host, port, limit=limit)

    def close(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        self.counts.accepted += 1
        try:
            async with asyncio.timeout(TIMEOUT_S):
                request = await reader.readline()
            if self._connections > MAX_CONNECTIONS or request != VIEW_REQUEST:
                self.counts.rejected += 1
                return
            writer.write(frame(encode(self._produce())))
            async with asyncio.timeout(TIMEOUT_S):
                await writer.drain()
            self.counts.served += 1
        except (TimeoutError, ValueError, OSError) as error:
            self.counts.rejected += 1
            LOG.info("a view was not sent: %s", type(error).__name__)
        finally:
            self._connections -= 1
            await close_writer(writer)
