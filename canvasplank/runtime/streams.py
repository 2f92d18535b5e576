"""Helpers for asyncio streams, used by the admin listener and the warm-start listener."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def suppress_cancellation(handler: ConnectionHandler) -> ConnectionHandler:
    """Wrap a handler for ``asyncio.start_server`` so that it returns when it is cancelled.

    asyncio logs a traceback for a handler's task that was cancelled, as at the end of the program.
    """

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await handler(reader, writer)

    return handle


async def close_writer(writer: asyncio.StreamWriter) -> None:
    """Close a connection and wait until it is closed; a reset by the peer is ignored."""
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
