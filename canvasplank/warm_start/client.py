"""The asking side: a new instance asks one running peer for its view, once, within a short bound.

On the wire: the line ``view`` and, back, four bytes of big-endian length and that many bytes of the view
(``learning.view``).  Whatever goes wrong (a refused address, a peer slow or silent, a view cut short, too
large or not ours) is one log line and no view: the instance then starts as if it had asked no one, and its
start is never held up past ``timeout_s``.
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
MAX_PEERS = 3  # peers, one after another
TIMEOUT_S = 0.5  # what a start may wait for a peer, all told


class RefusedError(Exception):
    """The peer's answer was no view; the message says why."""


async def fetch_snapshot(address: str, timeout_s: float = TIMEOUT_S) -> PeerSnapshot | None:
    """The peer's view, or None with one log line."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _fetch(address)
    except TimeoutError:
        why = f"no whole answer within {timeout_s * 1000:.0f} ms"
    except (OSError, ValueError, RefusedError, asyncio.IncompleteReadError) as error:
        why = " ".join(str(error).split()) or type(error).__name__
    LOG.warning("no view taken from %s: %s; as one that asked no one", address, why)
    return None


async def fetch_first_snapshot(addresses: Sequence[str], timeout_s: float = TIMEOUT_S) -> PeerSnapshot | None:
    """The first view that one of them gives, asked one after another; all of it within ``timeout_s``.

    Each has an even part of what is left: guards against one that hangs taking the time of all.
    """
    until_s = time.monotonic() + timeout_s
    for place, address in enumerate(addresses[:MAX_PEERS]):
        left_s = until_s - time.monotonic()
        if left_s <= 0:
            break
        if (
            seen := await fetch_snapshot(address, left_s / (min(MAX_PEERS, len(addresses)) - place))
        ) is not None:
            return seen
    return None


async def _fetch(address: str) -> PeerSnapshot:
    host, port = parse_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(VIEW_REQUEST)
        (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if length > MAX_BYTES:
            raise RefusedError(f"a view of {length} bytes announced, more than {MAX_BYTES}")
        data = await reader.readexactly(length)
    finally:
        await close_writer(writer)
    try:
        return decode(data)
    except SnapshotError as error:
        raise RefusedError(str(error)) from None
