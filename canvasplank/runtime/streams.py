"""Ending a stream connection of the one-line kind (admin, views) without its end raising."""

from __future__ import annotations

import asyncio
import contextlib


async def close_writer(writer: asyncio.StreamWriter) -> None:
    """Close and wait for the close; a peer that has reset it meanwhile changes nothing."""
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
