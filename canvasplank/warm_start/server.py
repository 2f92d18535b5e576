"""Serves snapshots of what a running instance has learned, on a separate listener.

No listener is opened unless the settings have an address for it, since on some platforms instances must not
communicate.  Each snapshot is made when it is requested, so that its times are current.
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
TIMEOUT_S = 1.0  # for receiving the request, and again for sending the response
MAX_CONNECTIONS = 8  # at a time; further ones are closed without a response, since new instances are few
REQUEST_MARGIN_BYTES = 64  # a line that is longer than the valid request by more is not read to its end


@dataclass
class RequestCounts:
    """Numbers of connections: all, those that got a snapshot, and those that were closed without one."""

    accepted: int = 0
    served: int = 0
    rejected: int = 0


class SnapshotServer:
    """Responds to ``view``; closes the connection on any other request, or none within ``TIMEOUT_S``."""

    def __init__(self, take_snapshot: Callable[[], PeerSnapshot]) -> None:
        """``take_snapshot`` makes the snapshot for one request."""
        self._take_snapshot = take_snapshot
        self._server: asyncio.Server | None = None
        self._connections = 0
        self.counts = RequestCounts()

    async def listen(self, address: str) -> None:
        """Listen for new instances; raises ``OSError`` if the address cannot be used."""
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
            writer.write(frame(encode(self._take_snapshot())))
            async with asyncio.timeout(TIMEOUT_S):
                await writer.drain()
            self.counts.served += 1
        except (TimeoutError, ValueError, OSError) as error:
            self.counts.rejected += 1
            LOG.info("a view was not sent: %s", type(error).__name__)
        finally:
            self._connections -= 1
            await close_writer(writer)
