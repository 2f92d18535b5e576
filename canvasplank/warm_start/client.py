"""Fetches a snapshot from a running peer, once at the start of an instance.

After any failure (a refused connection, a slow or silent peer, a snapshot that is truncated, too large or of
another version) the client logs one line, and the instance starts without a snapshot.  The timeout limits the
delay of the start.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Sequence

from canvasplank.config.addresses import parse_address
from canvasplank.runtime.streams import close_writer
from canvasplank.warm_start.peer_snapshot import (
    LENGTH,
    MAX_BYTES,
    VIEW_REQUEST,
    PeerSnapshot,
    SnapshotError,
    decode,
)

LOG = logging.getLogger(__name__)
MAX_PEERS = 3  # tried in turn
TIMEOUT_S = 0.5  # maximum delay of a start, for all peers together


async def fetch_snapshot(address: str, timeout_s: float = TIMEOUT_S) -> PeerSnapshot | None:
    """Return the snapshot of the peer at an address; logs one line and returns None on failure."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _fetch(address)
    except TimeoutError:
        reason = f"no complete response within {timeout_s * 1000:.0f} ms"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        reason = " ".join(str(error).split()) or type(error).__name__
    LOG.warning("no view taken from %s: %s; starting without one", address, reason)
    return None


async def fetch_first_snapshot(addresses: Sequence[str], timeout_s: float = TIMEOUT_S) -> PeerSnapshot | None:
    """Return the first snapshot received from the first ``MAX_PEERS`` addresses, tried in order.

    Each peer gets an equal share of the remaining time, so that one that hangs does not use up ``timeout_s``.
    """
    deadline_s = time.monotonic() + timeout_s
    candidates = addresses[:MAX_PEERS]
    for index, address in enumerate(candidates):
        remaining_s = deadline_s - time.monotonic()
        if remaining_s <= 0:
            break
        snapshot = await fetch_snapshot(address, remaining_s / (len(candidates) - index))
        if snapshot is not None:
            return snapshot
    return None


async def _fetch(address: str) -> PeerSnapshot:
    """Request and decode a snapshot; raises ``OSError``, ``IncompleteReadError`` or ``SnapshotError``."""
    host, port = parse_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(VIEW_REQUEST)
        (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if length > MAX_BYTES:
            raise SnapshotError(f"a view of {length} bytes announced, more than the maximum {MAX_BYTES}")
        data = await reader.readexactly(length)
    finally:
        await close_writer(writer)
    return decode(data)
