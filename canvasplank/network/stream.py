"""The base class of all connections: reads messages, bounds buffered bytes, and closes or aborts.

All times are in milliseconds, on the scheduler's clock; all sizes are in bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar, cast

from canvasplank.codecs.errors import MAX_MESSAGE_BYTES, BadMessageError
from canvasplank.runtime.scheduler import Scheduler

LOG = logging.getLogger(__name__)
MAX_UNSENT_BYTES = 1024 * 1024  # a connection with more unsent bytes is aborted
PAUSE_READING_UNSENT_BYTES = 16 * 1024  # reading from a peer is paused while more bytes are unsent
UNSENT_CHECK_INTERVAL_MS = 10.0  # between checks of the unsent bytes while an action waits for them
LINGER_MS = 2000.0  # how long a peer may take to read the remaining bytes of a closing connection
MAX_READS_AFTER_RESET = 256  # reads of the data that had arrived before a connection was reset
BUFFERED_FRACTION = 1 / 8  # share of the program's memory that all connections together may buffer

Message_co = TypeVar("Message_co", covariant=True)


class Parser(Protocol[Message_co]):
    """An incremental message parser of a codec."""

    @property
    def in_message(self) -> bool:
        """Whether a message has started and is incomplete."""

    @property
    def buffered(self) -> int:
        """The number of bytes held of the incomplete message."""

    def feed(self, data: memoryview) -> Iterator[Message_co]:
        """Yields the messages that these bytes complete; raises ``BadMessageError``."""

    def clear(self) -> None:
        """Discard the incomplete message."""


class BufferBudget:
    """Bounds the unsent bytes and incomplete messages that all connections buffer together.

    Past the bound, the connections that buffer most are aborted until the rest fits.  Hundreds of peers may
    each stay within the bounds of one connection and together exceed the configured memory.
    """

    def __init__(self, memory_bytes: float) -> None:
        self._by_stream: dict[Stream[object], int] = {}
        self.total = 0
        self.limit(memory_bytes)

    def limit(self, memory_bytes: float) -> None:
        """Apply a new limit on the program's memory."""
        self._max_bytes = BUFFERED_FRACTION * memory_bytes

    def update(self, stream: Stream[object], size: int) -> None:
        """Record how many bytes a connection buffers now, and abort connections past the bound."""
        self.total += size - self._by_stream.pop(stream, 0)
        if size:
            self._by_stream[stream] = size
        if self.total > self._max_bytes:
            self._shrink()

    def _shrink(self) -> None:
        """Measure all connections again, since sent bytes are not recorded at once, and abort the largest."""
        self._by_stream = {stream: stream.buffered for stream in self._by_stream if stream.buffered}
        self.total = sum(self._by_stream.values())
        while self.total > self._max_bytes:
            largest = max(self._by_stream, key=self._by_stream.__getitem__)
            size = self._by_stream.pop(largest)
            self.total -= size
            largest.abort_unreadable(f"{size} bytes buffered, too many for the memory limit")


class Stream(asyncio.BufferedProtocol, Generic[Message_co]):
    """One connection; subclasses implement ``on_connected``, ``on_received`` and ``on_disconnected``."""

    # All connections share one read buffer, instead of 16 KiB for each of hundreds of idle ones:
    # ``buffer_updated`` follows ``get_buffer`` at once and hands the bytes to a parser.
    _buffer = bytearray(MAX_MESSAGE_BYTES)

    def __init__(
        self, scheduler: Scheduler, label: str, parser: Parser[Message_co], budget: BufferBudget
    ) -> None:
        """Create a connection that is not established yet; ``label`` names the peer in log lines."""
        self.scheduler = scheduler
        self.parser = parser
        self.budget = budget
        self.label = label
        self.transport: asyncio.Transport | None = None  # None until connected
        self.last_received_ms = scheduler.now_ms
        self.last_used_ms = scheduler.now_ms  # when anything was last read or written
        self.message_started_ms = scheduler.now_ms  # when the incomplete message, if any, started
        self.unreadable = False  # whether it was aborted for a bad message
        self.writing_closed = False  # whether it is closed for writing and only read from
        self.is_writing_paused = False  # whether more is unsent than ``PAUSE_READING_UNSENT_BYTES``
        self._written_bytes = 0
        # Actions that wait until all bytes written before them are sent, each with the number of those bytes.
        self._on_sent: deque[tuple[int, Callable[[], None]]] = deque()

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be written to."""
        return self.transport is not None and not self.writing_closed and not self.transport.is_closing()

    @property
    def reads_after_reset(self) -> bool:
        """Whether data that had arrived before the peer reset the connection is still to be read."""
        return True

    def on_connected(self) -> None:
        """Called when the connection is established."""

    def on_received(self, data: memoryview) -> None:
        """Called with bytes that were read; raises ``BadMessageError`` for an invalid message."""
        raise NotImplementedError

    def on_unread(self, data: memoryview | bytes) -> None:
        """Called with bytes that followed a bad message on a connection that the peer has ended."""

    def on_disconnected(self, error: Exception | None) -> None:
        """Called when the connection has ended."""

    def messages(self, data: memoryview) -> Iterator[Message_co]:
        """Yields the messages that these bytes complete, and maintains ``message_started_ms``."""
        was_in_message = self.parser.in_message
        for message in self.parser.feed(data):
            was_in_message = False
            yield message
        if not was_in_message:
            self.message_started_ms = self.scheduler.now_ms

    def write(self, data: bytes) -> None:
        """Send data unless the connection is closed; abort it past ``MAX_UNSENT_BYTES``."""
        transport = self.transport
        if transport is None or self.writing_closed or transport.is_closing():
            return
        self.last_used_ms = self.scheduler.now_ms
        transport.write(data)
        self._written_bytes += len(data)
        self.budget.update(self, self.buffered)
        if self.unsent > MAX_UNSENT_BYTES:
            self.abort_unsent()

    def call_when_sent(self, action: Callable[[], None]) -> None:
        """Call an action once the kernel has taken all bytes written so far, or the connection has ended."""
        if not self.unsent:
            action()
            return
        if not self._on_sent:
            self.scheduler.call_later(UNSENT_CHECK_INTERVAL_MS, self._check_sent)
        self._on_sent.append((self._written_bytes, action))

    def _check_sent(self) -> None:
        sent_bytes = self._written_bytes - self.unsent
        while self._on_sent and self._on_sent[0][0] <= sent_bytes:
            self._on_sent.popleft()[1]()
        if self._on_sent:
            self.scheduler.call_later(UNSENT_CHECK_INTERVAL_MS, self._check_sent)

    @property
    def buffered(self) -> int:
        """The number of bytes held for this connection: unsent, or of an incomplete message."""
        return self.unsent + self.parser.buffered

    @property
    def unsent(self) -> int:
        """The number of bytes written that the kernel has not taken yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def close(self) -> None:
        """Close the connection once all is sent; abort it after ``LINGER_MS``."""
        if self.transport is not None and self.is_open:
            if self.unsent:
                self.scheduler.call_later(LINGER_MS, self.transport.abort)
            self.transport.close()

    def close_writing(self) -> None:
        """Shut down writing, and keep reading until the peer closes too, for ``LINGER_MS`` at most.

        Data already in flight from the peer, such as the release of an established call, is still read: a
        closed socket would answer it with a reset.
        """
        if self.transport is not None and self.is_open:
            self.writing_closed = True
            with contextlib.suppress(OSError):  # the peer has reset it: data received before is read next
                self.transport.write_eof()
            self.scheduler.call_later(LINGER_MS, self.abort_lingering)

    def abort_lingering(self) -> None:
        """Abort a connection closed for writing whose peer has not closed it within ``LINGER_MS``."""
        if self.transport is not None:
            self.transport.abort()

    def abort_unsent(self) -> None:
        """Abort the connection, since its peer does not read, and log a warning."""
        LOG.warning("%s: closed, the peer does not read: %d bytes unsent", self.label, self.unsent)
        self.abort()

    def abort(self) -> None:
        """End the connection at once and discard unsent bytes."""
        if self.transport is not None:
            self.transport.abort()
            self._shut_down_socket()

    def _shut_down_socket(self) -> None:
        """Shut down the socket now, since asyncio closes it only in a later iteration.

        The peer thus sees the end before anything is sent elsewhere because of it.
        """
        if self.transport is not None:
            with contextlib.suppress(OSError):  # already closed by the peer
                self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    def abort_unreadable(self, reason: str) -> None:
        """Abort the connection, since further data of the peer cannot be used, and log the reason."""
        LOG.warning("%s: closed, %s", self.label, reason)
        self.unreadable = True
        self.parser.clear()  # frees the memory now: one iteration may abort hundreds of connections
        self.abort()

    # ------------------------------------------------------------------------------ asyncio protocol methods

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio."""
        self.scheduler.begin_iteration()
        self.transport = cast(asyncio.Transport, transport)  # TCP: asyncio's own socket transport
        self.transport.set_write_buffer_limits(high=PAUSE_READING_UNSENT_BYTES)
        self.last_received_ms = self.last_used_ms = self.scheduler.now_ms
        self.on_connected()

    def get_buffer(self, sizehint: int) -> bytearray:
        """See asyncio."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """See asyncio; an error while reading ends only this connection."""
        self.scheduler.begin_iteration()
        self.last_received_ms = self.last_used_ms = self.scheduler.now_ms
        self.handle(lambda: self.on_received(memoryview(self._buffer)[:nbytes]))

    def handle(self, action: Callable[[], None]) -> None:
        """Handle received messages; an error ends only this connection."""
        try:
            action()
            self.budget.update(self, self.buffered)
        except BadMessageError as error:
            self.abort_unreadable(str(error))
        except Exception:
            # Aborted as unreadable, and not as an ordinary end: calls that may be established are released.
            LOG.exception("%s: reading failed", self.label)
            self.abort_unreadable("internal error while reading a message")

    def pause_writing(self) -> None:
        """See asyncio; pauses reading while the peer does not read."""
        self.is_writing_paused = True
        if self.transport is not None and self.is_open:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """See asyncio; resumes reading, also on a connection closed for writing, which is read to its end."""
        self.is_writing_paused = False
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio, which closes the socket after this call."""
        self.scheduler.begin_iteration()
        if exc is not None and self.transport is not None and self.reads_after_reset:
            with contextlib.suppress(OSError):
                descriptor = os.dup(self.transport.get_extra_info("socket").fileno())
                with socket.socket(fileno=descriptor) as remaining:
                    read_remaining(self, remaining)
        self._shut_down_socket()
        self.on_disconnected(exc)
        self.budget.update(self, 0)


def read_remaining(stream: Stream[object], remaining: socket.socket) -> None:
    """Hand a stream the data that had arrived before its connection was reset.

    asyncio stops reading once a write, or the completion of connecting, has failed with the reset.  The data
    left unread may hold the release of an established call.
    """
    buffer = stream.get_buffer(MAX_MESSAGE_BYTES)
    with contextlib.suppress(OSError):
        for _ in range(MAX_READS_AFTER_RESET):
            count = remaining.recv_into(buffer)
            if not count or not stream.reads_after_reset:
                break
            if stream.unreadable:
                stream.on_unread(memoryview(buffer)[:count])
            else:
                stream.buffer_updated(count)
    stream.budget.update(stream, 0)  # or the ended connection would count against the budget for good
