"""Connection attempts."""

from __future__ import annotations

import asyncio
import socket
import struct

from canvasplank.codecs import sip
from canvasplank.network.connection_attempt import ConnectionAttempt
from canvasplank.network.stream import BufferBudget, Stream
from canvasplank.runtime.scheduler import Scheduler, TimerQueue


class RecordingStream(Stream):
    """A stream that records its events."""

    def __init__(self) -> None:
        super().__init__(Scheduler(TimerQueue()), "server", sip.Parser(), BufferBudget(1e6))
        self.events: list[bytes | str] = []

    def on_connected(self) -> None:
        self.events.append("up")

    def on_received(self, data: memoryview) -> None:
        self.events.append(bytes(data))
        assert not list(self.messages(data)), "the message is incomplete"


async def connect(listener: socket.socket, resets: bool) -> RecordingStream:
    """Connect to a peer that sends BYE, and may reset the connection before the attempt resumes."""
    stream, port = RecordingStream(), listener.getsockname()[1]
    ConnectionAttempt(stream, f"127.0.0.1:{port}", 20_000, lambda _: stream.events.append("failed"))
    await asyncio.sleep(0)  # the attempt has started and gets no event until the next await
    peer, _ = listener.accept()
    peer.sendall(b"BYE")
    if resets:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
    async with asyncio.timeout(20):
        while len(stream.events) < 2:
            await asyncio.sleep(0.01)
    return stream


def test_data_sent_before_a_reset_while_connecting_is_read():
    """A server sends an unconfirmed release again on the next connection; it must not be lost there too."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        stream = asyncio.run(connect(listener, resets=True))
        assert stream.events == [b"BYE", "failed"]
        assert stream.budget.total == 0, "an ended connection holds no budget"


def test_small_messages_are_sent_without_delay():
    """With Nagle's algorithm, a set-up waited 10 ms for the acknowledgement of earlier data."""

    async def run() -> int:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            stream = await connect(listener, resets=False)
            assert stream.events == ["up", b"BYE"]
            ours = stream.transport.get_extra_info("socket")
            option = ours.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            stream.transport.abort()
            return option

    assert asyncio.run(run())
