"""Helpers for asyncio's streams, as the listeners for operators and for new instances use them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def suppress_cancellation(handler: ConnectionHandler) -> ConnectionHandler:
    """A handler for ``asyncio.start_server`` that returns where it is cancelled, as at the program's end.

    asyncio's own callback on the task of a handler logs a traceback for one that was cancelled.
    """

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await handler(reader, writer)

    return handle


async def close_writer(writer: asyncio.StreamWriter) -> None:
    """Close a connection and wait until it is closed; a reset by the peer meanwhile is no error."""
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
