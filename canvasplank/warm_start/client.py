"""The client: a new instance fetches a snapshot from a running peer, once, within a short timeout.

Whatever goes wrong (a refused connection, a peer slow or silent, a snapshot truncated, too large or foreign)
is one log line and no snapshot: the instance then starts without one, and its start is never delayed past the
timeout.
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
MAX_PEERS = 3  # tried one after another
TIMEOUT_S = 0.5  # by which a start may be delayed, for all peers together


async def fetch_snapshot(address: str, timeout_s: float = TIMEOUT_S) -> PeerSnapshot | None:
    """The snapshot of the peer at this address, or None with one log line."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _fetch(address)
    except TimeoutError:
        why = f"no complete response within {timeout_s * 1000:.0f} ms"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        why = " ".join(str(error).split()) or type(error).__name__
    LOG.warning("no view taken from %s: %s; starting without one", address, why)
    return None


async def fetch_first_snapshot(addresses: Sequence[str], timeout_s: float = TIMEOUT_S) -> PeerSnapshot | None:
    """The first snapshot to be had from the first ``MAX_PEERS`` addresses, tried in order within
    ``timeout_s``.

    Each has an equal share of the time that is left, so that one that hangs does not use all of it.
    """
    deadline_s = time.monotonic() + timeout_s
    tried = addresses[:MAX_PEERS]
    for index, address in enumerate(tried):
        left_s = deadline_s - time.monotonic()
        if left_s <= 0:
            break
        snapshot = await fetch_snapshot(address, left_s / (len(tried) - index))
        if snapshot is not None:
            return snapshot
    return None


async def _fetch(address: str) -> PeerSnapshot:
    """Raises ``OSError``, ``IncompleteReadError``, or ``SnapshotError``."""
    host, port = parse_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(VIEW_REQUEST)
        (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if length > MAX_BYTES:
            raise SnapshotError(f"a view of {length} bytes announced, more than {MAX_BYTES}")
        data = await reader.readexactly(length)
    finally:
        await close_writer(writer)
    return decode(data)
