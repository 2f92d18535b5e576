"""Reads connections to call servers after the proxy has ended them, for releases of their calls.

A server writes the release of a call once, on the connection of the call's set-up if it considers that open.
The release may follow an unreadable message, or be written before the server notices our end.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import socket
import struct
import termios
from collections.abc import Callable
from typing import NamedTuple

from canvasplank.codecs import sip
from canvasplank.codecs.sip_recovery import MessageFinder
from canvasplank.network.stream import LINGER_MS
from canvasplank.runtime.scheduler import Scheduler

QUIET_MS = 100.0  # a server that writes nothing for so long has no more messages queued
# A connection is closed for writing after this time if a message was found behind the unreadable one.
MAX_OPEN_MS = 400.0
# The same if no message was found: a server that sees our end may drop messages queued behind bad data.
MAX_UNREADABLE_MS = 2000.0
CHECK_INTERVAL_MS = 20.0
MAX_READ_BYTES = 4 * 1024 * 1024  # per connection
READ_BYTES = 64 * 1024
SOCKETS_FRACTION = 1 / 16  # share of the configured sockets that may be read after their end
DEFAULT_MAX_CONNECTIONS = 16  # until the limit on sockets is known
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER: enabled, zero timeout


class EndedStream(NamedTuple):
    """An ended connection that is to be read: its socket, unread data and callbacks."""

    connection: socket.socket
    unread: bytes  # received data that could not be parsed
    defer_half_close: bool  # whether the connection stays open for writing at first
    # Receives each message found, and a function that writes a response while that is possible.
    on_message: Callable[[sip.Message, Callable[[bytes], None]], None]
    on_closed: Callable[[], None]  # called once the server has ended it too, or reading has stopped


class EndedConnection:
    """Reads an ended connection until its server has ended it too, or for a bounded time.

    Only releases and positive answers are found: see ``MessageFinder``.
    """

    _buffer = bytearray(READ_BYTES)  # shared, since it is empty between reads

    def __init__(
        self, scheduler: Scheduler, stream: EndedStream, on_closed: Callable[[EndedConnection], None]
    ) -> None:
        """``on_closed`` is called once, when the connection is closed."""
        self._scheduler = scheduler
        self._connection = stream.connection
        self._on_message = stream.on_message
        self._on_stream_closed = stream.on_closed
        self._on_closed = on_closed
        self._message_finder = MessageFinder()
        self._read_bytes = 0
        # The iteration may have begun long ago, and our pause must not count as the server's: read the clock.
        self._started_ms = self._last_read_ms = scheduler.read_clock()
        self._found_message = False
        self._writing_closed_ms: float | None = None
        self._timer = scheduler.call_later(CHECK_INTERVAL_MS, self._check)
        asyncio.get_running_loop().add_reader(self._connection, self._read)
        if not stream.defer_half_close:
            self._close_writing()
        for message in self._message_finder.feed(stream.unread):
            if message.method == "BYE":  # not answers: one may itself be the unreadable message
                self._on_message(message, self._write)

    def _read(self) -> None:
        self._scheduler.begin_iteration()
        try:
            count = self._connection.recv_into(self._buffer)
        except BlockingIOError:
            return
        except OSError:  # the server has reset it
            count = 0
        self._last_read_ms = self._scheduler.read_clock()
        self._read_bytes += count
        for message in self._message_finder.feed(memoryview(self._buffer)[:count]):
            self._found_message = True
            self._on_message(message, self._write)
        if not count or self._read_bytes > MAX_READ_BYTES:
            self.close()

    def _check(self) -> None:
        now_ms = self._scheduler.now_ms
        if self._writing_closed_ms is None:
            max_open_ms = MAX_OPEN_MS if self._found_message else MAX_UNREADABLE_MS
            is_quiet = now_ms - self._last_read_ms >= QUIET_MS
            if is_quiet or now_ms - self._started_ms >= max_open_ms:
                self._close_writing()
        elif now_ms - self._writing_closed_ms >= LINGER_MS:
            reset_if_delivered(self._connection)
            self.close()
            return
        self._timer = self._scheduler.call_later(CHECK_INTERVAL_MS, self._check)

    def _write(self, data: bytes) -> None:
        """Send a response, except for bytes that do not fit into the kernel's buffer."""
        if self._writing_closed_ms is None:
            with contextlib.suppress(OSError):
                self._connection.send(data)

    def _close_writing(self) -> None:
        self._writing_closed_ms = self._scheduler.now_ms
        with contextlib.suppress(OSError):  # the server has ended it already: the next read shows that
            self._connection.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection without reading further data."""
        asyncio.get_running_loop().remove_reader(self._connection)
        self._scheduler.timers.cancel(self._timer)
        self._connection.close()
        self._on_closed(self)
        self._on_stream_closed()


class EndedConnections:
    """The ended connections that are still read, limited in number."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._max_connections = DEFAULT_MAX_CONNECTIONS
        self._connections: dict[EndedConnection, None] = {}  # the oldest first

    def limit(self, sockets: int) -> None:
        """Apply a new limit on the program's sockets."""
        self._max_connections = max(1, int(SOCKETS_FRACTION * sockets))

    def add(self, stream: EndedStream) -> None:
        """Start to read an ended connection; above the limit, close the oldest ones."""
        connection = EndedConnection(
            self._scheduler, stream, lambda closed: self._connections.pop(closed, None)
        )
        self._connections[connection] = None
        while len(self._connections) > self._max_connections:
            next(iter(self._connections)).close()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            connection.close()


def duplicate(connection: socket.socket) -> socket.socket | None:
    """Duplicate the socket's descriptor; None if no descriptor is left or the socket is closed."""
    try:
        return socket.socket(fileno=os.dup(connection.fileno()))
    except OSError:
        return None


def reset_if_delivered(connection: socket.socket) -> None:
    """Make closing reset the connection, to notify the server, unless unacknowledged bytes would be lost."""
    with contextlib.suppress(OSError):
        unacknowledged = fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(4))
        if unacknowledged == bytes(4):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
