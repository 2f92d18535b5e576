"""What every connection has in common: reading messages, bounds on what is buffered, and the ways to end.

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
MAX_UNSENT_BYTES = 1024 * 1024  # a peer that leaves more unread loses its connection
PAUSE_READING_UNSENT_BYTES = 16 * 1024  # a peer that leaves more unread is not read from meanwhile
UNSENT_CHECK_INTERVAL_MS = 10.0  # while an action waits for bytes that the kernel has not taken
LINGER_MS = 2000.0  # how long a peer may take to read the rest once its connection is to end
MAX_READS_AFTER_RESET = 256  # of what had arrived on a connection before it was reset
BUFFERED_FRACTION = 1 / 8  # of the memory: the bound on what all connections together hold

Message_co = TypeVar("Message_co", covariant=True)


class Parser(Protocol[Message_co]):
    """A codec's incremental reader of messages."""

    @property
    def in_message(self) -> bool:
        """Whether a message has started and is incomplete."""

    @property
    def buffered(self) -> int:
        """Bytes of the incomplete message."""

    def feed(self, data: memoryview) -> Iterator[Message_co]:
        """Messages completed by these bytes; raises ``BadMessageError``."""

    def clear(self) -> None:
        """Discard the incomplete message."""


class BufferBudget:
    """Bounds what all connections buffer together, unsent bytes and incomplete messages.

    Past the bound the connection that holds most is ended, and so on until the rest fits: hundreds of peers
    may each stay within the bounds of one connection and together take more memory than is configured.
    """

    def __init__(self, memory_bytes: float) -> None:
        self._by_stream: dict[Stream[object], int] = {}
        self.total = 0
        self.limit(memory_bytes)

    def limit(self, memory_bytes: float) -> None:
        """Take a new limit of the program's memory."""
        self._max_bytes = BUFFERED_FRACTION * memory_bytes

    def update(self, stream: Stream[object], size: int) -> None:
        """Record what a connection holds now."""
        self.total += size - self._by_stream.pop(stream, 0)
        if size:
            self._by_stream[stream] = size
        if self.total > self._max_bytes:
            self._shrink()

    def _shrink(self) -> None:
        """Measure all again, since bytes that were sent meanwhile are not recorded; then end the largest."""
        self._by_stream = {stream: stream.buffered for stream in self._by_stream if stream.buffered}
        self.total = sum(self._by_stream.values())
        while self.total > self._max_bytes:
            largest = max(self._by_stream, key=self._by_stream.__getitem__)
            size = self._by_stream.pop(largest)
            self.total -= size
            largest.abort_unreadable(f"leaves {size} bytes unread or without an end")


class Stream(asyncio.BufferedProtocol, Generic[Message_co]):
    """One connection; subclasses implement ``on_connected``, ``on_received`` and ``on_disconnected``."""

    # Bytes read are here only until ``buffer_updated``, which follows ``get_buffer`` at once, hands them to a
    # parser: one buffer serves all connections, instead of 16 KiB for each of hundreds of idle ones.
    _buffer = bytearray(MAX_MESSAGE_BYTES)

    def __init__(
        self, scheduler: Scheduler, label: str, parser: Parser[Message_co], budget: BufferBudget
    ) -> None:
        """``label`` names the peer in log lines."""
        self.scheduler = scheduler
        self.parser = parser
        self.budget = budget
        self.label = label
        self.transport: asyncio.Transport | None = None  # None: not connected yet
        self.last_received_ms = scheduler.now_ms
        self.last_used_ms = scheduler.now_ms  # when anything was last read or written
        self.message_started_ms = scheduler.now_ms  # when the incomplete message started, if there is one
        self.unreadable = False  # whether it was ended for a bad message
        self.writing_closed = False  # whether it is only read any more
        self._written_bytes = 0
        self._when_sent: deque[tuple[int, Callable[[], None]]] = deque()  # by the bytes written before each

    @property
    def is_open(self) -> bool:
        """Whether something may still be written."""
        return self.transport is not None and not self.writing_closed and not self.transport.is_closing()

    def on_connected(self) -> None:
        """The connection is established."""

    def on_received(self, data: memoryview) -> None:
        """Bytes were read; raises ``BadMessageError`` for what the peer must not send."""
        raise NotImplementedError

    def on_unread(self, data: memoryview | bytes) -> None:
        """These bytes came behind a bad message on a connection that its peer has ended."""

    def on_disconnected(self, error: Exception | None) -> None:
        """The connection has ended."""

    def messages(self, data: memoryview) -> Iterator[Message_co]:
        """Messages completed by these bytes; maintains ``message_started_ms``."""
        was_in_message = self.parser.in_message
        for message in self.parser.feed(data):
            was_in_message = False
            yield message
        if not was_in_message:
            self.message_started_ms = self.scheduler.now_ms

    def write(self, data: bytes) -> None:
        """Send, unless it is closed; a peer that leaves too much unread is disconnected."""
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
        """Call it once the kernel has taken all that is written by now, or the connection has ended."""
        if not self.unsent:
            action()
            return
        if not self._when_sent:
            self.scheduler.call_later(UNSENT_CHECK_INTERVAL_MS, self._check_sent)
        self._when_sent.append((self._written_bytes, action))

    def _check_sent(self) -> None:
        sent_bytes = self._written_bytes - self.unsent
        while self._when_sent and self._when_sent[0][0] <= sent_bytes:
            self._when_sent.popleft()[1]()
        if self._when_sent:
            self.scheduler.call_later(UNSENT_CHECK_INTERVAL_MS, self._check_sent)

    @property
    def buffered(self) -> int:
        """Bytes held for this connection: unsent, or of an incomplete message."""
        return self.unsent + self.parser.buffered

    @property
    def unsent(self) -> int:
        """Bytes written that the kernel has not taken yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def close(self) -> None:
        """End it once all is sent, or after ``LINGER_MS`` where the peer does not read the rest."""
        if self.transport is not None and self.is_open:
            if self.unsent:
                self.scheduler.call_later(LINGER_MS, self.transport.abort)
            self.transport.close()

    def close_writing(self) -> None:
        """Send no more, and read until the peer has ended it too, or for ``LINGER_MS``.

        What crosses our end of the connection, such as the release of an established call, is still read: a
        socket that is closed answers it with a reset.
        """
        if self.transport is not None and self.is_open:
            self.writing_closed = True
            with contextlib.suppress(OSError):  # the peer has reset it: what came before that is read next
                self.transport.write_eof()
            self.scheduler.call_later(LINGER_MS, self.abort_lingering)

    def abort_lingering(self) -> None:
        """End it after ``LINGER_MS``, unless its peer has ended it too."""
        if self.transport is not None:
            self.transport.abort()

    def abort_unsent(self) -> None:
        """End it at once, since its peer does not read, with a line in the log."""
        LOG.warning("%s: closed, leaves %d bytes unread", self.label, self.unsent)
        self.abort()

    def abort(self) -> None:
        """End it at once, whatever is unsent."""
        if self.transport is not None:
            self.transport.abort()
            self._shut_down_socket()

    def _shut_down_socket(self) -> None:
        """Let the peer know now that it has ended: asyncio closes the socket in a later iteration.

        So it does before anything is sent elsewhere because this connection has ended.
        """
        if self.transport is not None:
            with contextlib.suppress(OSError):  # the peer has ended it already
                self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    def abort_unreadable(self, reason: str) -> None:
        """End it at once, since nothing that the peer sends can be of further use, with a line in the log."""
        LOG.warning("%s: closed, %s", self.label, reason)
        self.unreadable = True
        self.parser.clear()  # now, and not only after an iteration that brings hundreds like it
        self.abort()

    # ------------------------------------------------------------------------------ called by asyncio

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
        """See asyncio; an error of reading ends this connection and no other."""
        self.scheduler.begin_iteration()
        self.last_received_ms = self.last_used_ms = self.scheduler.now_ms
        try:
            self.on_received(memoryview(self._buffer)[:nbytes])
            self.budget.update(self, self.buffered)
        except BadMessageError as error:
            self.abort_unreadable(str(error))
        except Exception:
            # A fault of ours must not pass for an ordinary end: calls that may be established are released.
            LOG.exception("%s: reading failed", self.label)
            self.abort_unreadable("its message met a fault of ours")

    def pause_writing(self) -> None:
        """See asyncio: the peer does not read, so nothing more is read from it meanwhile."""
        if self.transport is not None and self.is_open:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """See asyncio: the peer reads again; a connection closed for writing is read until its end, too."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio, which closes the socket only after this."""
        self.scheduler.begin_iteration()
        if exc is not None and self.transport is not None:
            with contextlib.suppress(OSError):
                descriptor = os.dup(self.transport.get_extra_info("socket").fileno())
                with socket.socket(fileno=descriptor) as remaining:
                    read_remaining(self, remaining)
        self._shut_down_socket()
        self.on_disconnected(exc)
        self.budget.update(self, 0)


def read_remaining(stream: Stream[object], remaining: socket.socket) -> None:
    """Let a stream read what had arrived before its connection was reset.

    asyncio reads no more once a write of ours, or the end of connecting, has met the reset; the release of an
    established call may be among it.
    """
    buffer = stream.get_buffer(MAX_MESSAGE_BYTES)
    with contextlib.suppress(OSError):
        for _ in range(MAX_READS_AFTER_RESET):
            count = remaining.recv_into(buffer)
            if not count:
                break
            if stream.unreadable:
                stream.on_unread(memoryview(buffer)[:count])
            else:
                stream.buffer_updated(count)
    stream.budget.update(stream, 0)  # an ended connection must not count against the budget for good
