"""Shows whether the peer of a connection has ended it, also behind data that is still unread."""

from __future__ import annotations

import asyncio
import enum
import select


class ConnectionEnd(enum.Enum):
    """What is known of the peer's end of a connection."""

    NONE = enum.auto()
    HALF_CLOSED = enum.auto()  # the peer sends no more; it may have left, or wait for what is sent to it
    RESET = enum.auto()


def peers_end(transport: asyncio.Transport) -> ConnectionEnd:
    """Return how the peer of an open connection has ended it, by poll(2); NONE where that cannot tell."""
    poll = select.poll()
    try:
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        events = next((events for _, events in poll.poll(0)), 0)
    except OSError:
        return ConnectionEnd.NONE
    if events & (select.POLLERR | select.POLLHUP):
        return ConnectionEnd.RESET
    return ConnectionEnd.HALF_CLOSED if events & select.POLLRDHUP else ConnectionEnd.NONE
