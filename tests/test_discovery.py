"""Service discovery, on a clock of our own."""

from __future__ import annotations

import asyncio
import random
from itertools import pairwise

import pytest

from canvasplank.network.discovery import Discovery
from canvasplank.network.stream import BufferBudget
from canvasplank.runtime.scheduler import Scheduler, TimerQueue

COMMENT_MS = 1000.0  # between two comments of a healthy service


def test_a_silent_service_is_disconnected_before_a_second_comment_is_due():
    """Found on sockets: events count as known soon, and new servers were connected seconds late."""

    async def run() -> float:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        now = [0.0]
        scheduler = Scheduler(TimerQueue(), clock=lambda: now[0])
        discovery = Discovery(scheduler, f"{host}:{port}", 1, lambda event: None, BufferBudget(1e6))
        discovery.start()
        first = discovery._watch
        async with asyncio.timeout(20):
            while not first.is_open:
                await asyncio.sleep(0.01)
            while discovery._watch is first:
                now[0] += 100.0
                scheduler.begin_iteration()
                await asyncio.sleep(0.01)
        server.close()
        return now[0] - first.last_received_ms

    assert COMMENT_MS < asyncio.run(run()) < 2 * COMMENT_MS


class FakeService:
    """A service on a real socket, used on a clock of our own; it records when it is polled."""

    def __init__(self, sends: bytes = b": \n\n") -> None:
        self.now_ms = 0.0
        self.scheduler = Scheduler(TimerQueue(), clock=lambda: self.now_ms)
        self.polled_ms: list[float] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.received: list[int] = []
        self._sends = sends

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.polled_ms.append(self.now_ms)
        self.watches.append(writer)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        await reader.read()
        self.watches.remove(writer)
        writer.close()

    async def listen(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def advance(self, span_ms: float, step_ms: float = 500.0) -> None:
        """Let time pass; each step the service sends its text, and all is read before the next."""
        for _ in range(int(span_ms / step_ms)):
            self.now_ms += step_ms
            for writer in self.watches:
                writer.write(self._sends)
            for _ in range(4):
                self.scheduler.begin_iteration()
                await asyncio.sleep(0.005)


def watch(sends: bytes, span_ms: float, *, moved: bool) -> FakeService:
    async def run() -> FakeService:
        service = FakeService(sends)
        received, nobody = service.received, "127.0.0.1:1"
        address = await service.listen()
        discovery = Discovery(
            service.scheduler,
            nobody if moved else address,
            1,
            lambda event: received.append(event.rev),
            BufferBudget(1e6),
            random.Random(1),
        )
        discovery.start()
        discovery.move_to(address)
        async with asyncio.timeout(60):
            while not service.polled_ms:
                await asyncio.sleep(0.005)
            await service.advance(span_ms)
        assert len(service.watches) <= 1, "one watch at a time"
        service.server.close()
        return service

    return asyncio.run(run())


def test_a_moved_service_that_only_comments_is_polled_again_with_backoff():
    """A watch that it accepted and lost stayed for good; events count as known 4 s after the move."""
    polled_ms = watch(b": \n\n", 120_000, moved=True).polled_ms
    gaps_ms = [later - earlier for earlier, later in pairwise(polled_ms)]
    assert gaps_ms[0] <= 4_000, "news of before the watch is here in time"
    assert all(later > 1.4 * earlier for earlier, later in pairwise(gaps_ms)), "no storm of polls"


@pytest.mark.parametrize(
    ("sends", "received", "moved"),
    [
        (b": \n\n", [], False),
        (b'id: 2\ndata: {"rev": 2}\n\nid: 3\ndata: {"rev": 3}\n\n', [2, 3], True),
    ],
    ids=["not moved", "moved, sends events, the same twice"],
)
def test_a_healthy_service_is_not_polled_again(sends, received, moved):
    """And an event with an old id is not passed on twice."""
    service = watch(sends, 30_000, moved=moved)
    assert service.received == received
    assert len(service.polled_ms) == 1


def test_a_moved_service_is_polled_whatever_the_old_retry_after():
    """A move while a retry is pending: the new address was polled only after the old one's minute."""

    class FixedBackoff:
        def initial_delay(self) -> float:
            return 0.0

        def retry_delay(self, now_ms: float, retry_after_ms: float) -> float:
            return retry_after_ms or 100.0

        def reset(self) -> None:
            pass

        def early_poll_delay(self, now_ms: float) -> float | None:
            return None

    async def refuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 503 Busy\r\nRetry-After: 60\r\n\r\n")
        writer.close()

    async def run() -> list[float]:
        old = await asyncio.start_server(refuse, "127.0.0.1", 0)
        host, port = old.sockets[0].getsockname()
        service = FakeService()
        discovery = Discovery(
            service.scheduler, f"{host}:{port}", 1, lambda event: None, BufferBudget(1e6), random.Random(1)
        )
        discovery.use_poll_backoff(FixedBackoff())
        discovery.start()
        new = await service.listen()
        async with asyncio.timeout(60):
            while discovery._backoff.failures == 0:
                service.scheduler.begin_iteration()
                await asyncio.sleep(0.005)
            service.server.close()  # nobody is there yet when it moves
            await service.server.wait_closed()
            discovery.move_to(new)
            await service.advance(1_000, 100.0)
            service.server = await asyncio.start_server(service._serve, *new.split(":"))
            await service.advance(2_000, 100.0)
        old.close(), service.server.close()
        return service.polled_ms

    assert len(asyncio.run(run())) == 1
