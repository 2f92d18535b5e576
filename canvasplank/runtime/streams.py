"""Helpers for asyncio's streams, as the listeners for operators and for new instances use them."""

from __future__ import annotations

import asyncio
import contextlib


async def close_writer(writer: asyncio.StreamWriter) -> None:
    """Close a connection and wait until it is closed; a reset by the peer meanwhile is no error."""
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
