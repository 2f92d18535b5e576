"""What every connection has in common: a buffer, bounds on what is written, and an end on a bad message."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Iterator
from typing import Protocol, TypeVar

from canvasplank.codecs.errors import MAX_MESSAGE_BYTES, BadMessageError
from canvasplank.runtime.scheduler import Scheduler

LOG = logging.getLogger(__name__)
MAX_UNSENT_BYTES = 1024 * 1024  # bytes that a peer may leave unread before its connection is ended
LINGER_MS = 2000.0  # a peer may take so long to read the rest once its connection is to end
MAX_READS_AFTER_RESET = 256  # of what is left on a connection that was reset
PAUSE_READING_UNSENT_BYTES = 16 * 1024  # bytes left unread from which on nothing more is taken from the peer

BUFFERED_FRACTION = 1 / 8  # of the memory: the most that all connections together may hold

Message = TypeVar("Message", covariant=True)


class Parser(Protocol[Message]):
    """A codec's reader of messages."""

    @property
    def in_message(self) -> bool:
        """Whether a message has begun and is not whole."""

    @property
    def buffered(self) -> int:
        """Bytes of a message that is not whole."""

    def feed(self, data: memoryview) -> Iterator[Message]:
        """Messages completed by these bytes."""

    def clear(self) -> None:
        """Forget what is not whole."""


class BufferBudget:
    """What all connections hold, to be written or of messages not yet whole, and its bound.

    Guards against hundreds of peers that each stay within the bounds of one connection, and together take
    more than the memory that is configured: the one that holds most is ended, and so on.
    """

    def __init__(self, memory_bytes: float) -> None:
        self._by_stream: dict[Stream, int] = {}
        self.total = 0
        self.limit(memory_bytes)

    def limit(self, memory_bytes: float) -> None:
        """Hold no more than the configuration has room for."""
        self._most = BUFFERED_FRACTION * memory_bytes

    def update(self, stream: Stream, size: int) -> None:
        """What a connection holds now."""
        self.total += size - self._by_stream.pop(stream, 0)
        if size:
            self._by_stream[stream] = size
        if self.total > self._most:
            self._shrink()

    def _shrink(self) -> None:
        """Look again, since what has left is not noted; then end the largest until the rest fits."""
        self._by_stream = {stream: stream.buffered for stream in self._by_stream if stream.buffered}
        self.total = sum(self._by_stream.values())
        while self.total > self._most:
            largest = max(self._by_stream, key=self._by_stream.__getitem__)
            size = self._by_stream.pop(largest)
            self.total -= size
            largest.abort_unreadable(f"leaves {size} bytes unread or without an end")


class Stream(asyncio.BufferedProtocol):
    """One connection; subclasses read with ``on_received`` and hear of the end in ``on_disconnected``."""

    # What was read lies here until buffer_updated, which follows get_buffer at once, hands it to a parser.
    # One for all: guards against 16 KiB for each of hundreds of idle connections.
    _buffer = bytearray(MAX_MESSAGE_BYTES)

    def __init__(self, scheduler: Scheduler, label: str, parser: Parser, budget: BufferBudget) -> None:
        self.scheduler = scheduler
        self.parser = parser
        self.budget = budget
        self.label = label
        self.transport: asyncio.Transport | None = None
        self.last_received_ms = scheduler.now_ms
        self.last_used_ms = scheduler.now_ms
        self.message_started_ms = (
            scheduler.now_ms
        )  # when the message began that is not whole, if there is one
        self.unreadable = False  # whether it was ended for a bad message
        self.writing_closed = False  # whether it is only read any more

    @property
    def is_open(self) -> bool:
        """Whether something may still be written."""
        return self.transport is not None and not self.writing_closed and not self.transport.is_closing()

    def on_connected(self) -> None:
        """The connection is up."""

    def on_received(self, data: memoryview) -> None:
        """Bytes came in."""
        raise NotImplementedError

    def on_disconnected(self, error: Exception | None) -> None:
        """The connection is over."""

    def messages(self, data: memoryview) -> Iterator[Message]:
        """What these bytes complete, minding since when a further message is due."""
        was_in_message = self.parser.in_message
        for message in self.parser.feed(data):
            was_in_message = False
            yield message
        if not was_in_message:
            self.message_started_ms = self.scheduler.now_ms

    def write(self, data: bytes) -> None:
        """Send; a peer that never reads loses its connection and not our memory."""
        if not self.is_open:
            return
        self.last_used_ms = self.scheduler.now_ms
        self.transport.write(data)
        self._update_buffered()
        if self.unsent > MAX_UNSENT_BYTES:
            LOG.warning("%s: closed, leaves %d bytes unread", self.label, self.unsent)
            self.transport.abort()

    def _update_buffered(self) -> None:
        self.budget.update(self, self.buffered)

    @property
    def buffered(self) -> int:
        """Bytes kept for this connection, to be written or of a message that is not whole."""
        return self.unsent + self.parser.buffered

    @property
    def unsent(self) -> int:
        """Bytes that the machine has not taken yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def close(self) -> None:
        """End it once all is written, or soon: guards against a peer that never reads the rest."""
        if self.is_open:
            if self.unsent:
                self.scheduler.call_later(LINGER_MS, self.transport.abort)
            self.transport.close()

    def close_writing(self) -> None:
        """Say no more, and read on until the peer has ended it too, or for as long as it may linger.

        Guards against losing what crosses our end of it, as the release of an established call: a socket that
        is closed answers that with a reset.
        """
        if self.is_open:
            self.writing_closed = True
            self.transport.write_eof()
            self.scheduler.call_later(LINGER_MS, self.transport.abort)

    # asyncio's names from here on

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio."""
        self.scheduler.begin_iteration()
        self.transport = transport
        transport.set_write_buffer_limits(high=PAUSE_READING_UNSENT_BYTES)
        self.last_received_ms = self.last_used_ms = self.scheduler.now_ms
        self.on_connected()

    def get_buffer(self, sizehint: int) -> bytearray:
        """See asyncio."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """See asyncio."""
        self.scheduler.begin_iteration()
        self.last_received_ms = self.last_used_ms = self.scheduler.now_ms
        try:
            self.on_received(memoryview(self._buffer)[:nbytes])
            self._update_buffered()
        except BadMessageError as error:
            # Guards against a bad message ending the program: it ends its own connection, with one line.
            self.abort_unreadable(str(error))
        except Exception:
            # Guards against a fault of ours passing for an ordinary end: what may be there is released.
            LOG.exception("%s: reading failed", self.label)
            self.abort_unreadable("its message met a fault of ours")

    def abort_unreadable(self, reason: str) -> None:
        """What the peer says can be of no further use."""
        LOG.warning("%s: closed, %s", self.label, reason)
        self.unreadable = True
        self.parser.clear()  # now, and not at the end of a turn that brings hundreds like it
        if self.transport is not None:
            self.transport.abort()

    def read_remaining(self, remaining: socket.socket) -> None:
        """Read what had come before a connection was reset.

        Guards against losing it, as the release of an established call, where a write of ours or the end of
        connecting met the reset first: asyncio then reads no more.
        """
        with contextlib.suppress(OSError):
            for _ in range(MAX_READS_AFTER_RESET):
                count = 0 if self.unreadable else remaining.recv_into(self._buffer)
                if not count:
                    break
                self.buffer_updated(count)
        self.budget.update(self, 0)  # guards the bound against counting what is over, for good

    def pause_writing(self) -> None:
        """The peer does not read: take nothing more from it meanwhile."""
        if self.is_open:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """The peer reads again; so does a connection that is only read any more, until its end."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio, which closes the socket only after this."""
        self.scheduler.begin_iteration()
        if exc is not None:
            with contextlib.suppress(OSError):
                descriptor = os.dup(self.transport.get_extra_info("socket").fileno())
                with socket.socket(fileno=descriptor) as remaining:
                    self.read_remaining(remaining)
        self.on_disconnected(exc)
        self.budget.update(self, 0)
