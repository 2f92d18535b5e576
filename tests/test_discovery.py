"""The client of service discovery, on a fake clock."""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import Callable
from itertools import pairwise

import pytest

from canvasplank.network.discovery import MAX_READS, MIN_RECONNECT_DELAY_MS, Discovery
from canvasplank.network.stream import BufferBudget
from canvasplank.runtime.scheduler import Scheduler, TimerQueue

COMMENT_INTERVAL_MS = 1000.0  # between comments of a healthy service


def test_a_silent_service_is_disconnected_before_a_second_comment_is_due():
    """Otherwise events were received, and new servers connected, seconds late."""

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

    assert COMMENT_INTERVAL_MS < asyncio.run(run()) < 2 * COMMENT_INTERVAL_MS


class FakeService:
    """A service on a real socket, on a fake clock; records when it is polled."""

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
        """Advance the clock in steps; in each the service sends its data and all is read."""
        for _ in range(int(span_ms / step_ms)):
            self.now_ms += step_ms
            for writer in self.watches:
                writer.write(self._sends)
            for _ in range(4):
                self.scheduler.begin_iteration()
                await asyncio.sleep(0.005)


def watch_service(sends: bytes, span_ms: float, *, moved: bool) -> FakeService:
    """Watch a fake service for a time; ``moved``: it is at the address only after a move."""

    async def run() -> FakeService:
        service = FakeService(sends)
        received, unused_address = service.received, "127.0.0.1:1"
        address = await service.listen()
        discovery = Discovery(
            service.scheduler,
            unused_address if moved else address,
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
    """A watch that the service had accepted and then lost was kept for good.

    A proxy has to know events 4 s after a move.
    """
    polled_ms = watch_service(b": \n\n", 120_000, moved=True).polled_ms
    gaps_ms = [later - earlier for earlier, later in pairwise(polled_ms)]
    assert gaps_ms[0] <= 4_000, "events from before the watch are received in time"
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
    """An event whose id was received before is not passed on again, either."""
    service = watch_service(sends, 30_000, moved=moved)
    assert service.received == received
    assert len(service.polled_ms) == 1


def test_a_moved_service_is_polled_despite_the_old_retry_after():
    """After a move with a retry pending, the new address was polled only after the old one's 60 s."""

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
            service.server.close()  # the new address refuses connections at first
            await service.server.wait_closed()
            discovery.move_to(new)
            await service.advance(1_000, 100.0)
            service.server = await asyncio.start_server(service._serve, *new.split(":"))
            await service.advance(2_000, 100.0)
        old.close(), service.server.close()
        return service.polled_ms

    assert len(asyncio.run(run())) == 1


class EventLog(FakeService):
    """A service that answers each poll with the events after its ``Last-Event-ID``, and sends nothing more.

    The clock stands still while a watch is open, so that a slow test run does not time it out.
    """

    def __init__(self, events: dict[int, bytes]) -> None:
        """``events``: the bytes of each event, by number."""
        super().__init__()
        self.events = events
        self.last_event_ids: list[int] = []  # of each poll

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await reader.readuntil(b"\r\n\r\n")
        last_id = int(re.search(rb"Last-Event-ID: (\d+)", request)[1])
        self.last_event_ids.append(last_id)
        self.polled_ms.append(self.now_ms)
        self.watches.append(writer)
        sent = [event for number, event in self.events.items() if number > last_id]
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"".join(sent))
        await reader.read()
        self.watches.remove(writer)
        writer.close()

    async def follow(self) -> Discovery:
        """Listen, and start a client that has received event 1."""
        address = await self.listen()
        discovery = Discovery(
            self.scheduler,
            address,
            1,
            lambda event: self.received.append(event.rev),
            BufferBudget(1e9),
            random.Random(1),
        )
        discovery.start()
        return discovery

    async def run_until(self, discovery: Discovery, is_done: Callable[[], bool]) -> None:
        """Run until ``is_done``; fails after 20 polls or 30 s."""
        async with asyncio.timeout(30):
            while not is_done() and len(self.polled_ms) < 20:
                if discovery._watch is None:  # the client waits for its next poll
                    self.now_ms += 10.0
                self.scheduler.begin_iteration()
                await asyncio.sleep(0.001)
        assert is_done(), f"polled {len(self.polled_ms)} times, received {self.received}"


def readable(number: int) -> bytes:
    return b'id: %d\ndata: {"rev": %d}\n\n' % (number, number)


OVERSIZED = b"data: x\n" * 300_000
WITHOUT_NUMBER = b"id: none\ndata: {}\n\n"
NUMBER_FIRST = b"id: 2\n" + OVERSIZED + b"\n"
NUMBER_LAST = OVERSIZED + b"id: 2\n\n"
ONE_LINE = b"id: 2\ndata: " + b"x" * 600_000 + b"\n\n"
UNDECODABLE = b'id: 3\ndata: {"rev": 3, "pool": 5}\n\n'
GARBLED = b'id: 3x\ndata: {"rev": 3}\n\n'


@pytest.mark.parametrize(
    ("events", "received", "last_event_ids"),
    [
        ({2: WITHOUT_NUMBER, 3: readable(3)}, [3], [1, 1, 1]),
        ({2: b"data: {}\n\n", 3: readable(3)}, [3], [1, 1, 1]),
        ({2: NUMBER_FIRST, 3: readable(3)}, [3], [1, 1, 1]),
        ({2: NUMBER_LAST, 3: readable(3)}, [3], [1, 1, 1]),
        ({2: ONE_LINE, 3: readable(3)}, [3], [1, 1, 1]),
        ({2: readable(2), 3: WITHOUT_NUMBER, 4: readable(4)}, [2, 4], [1, 2, 2]),
        ({2: WITHOUT_NUMBER, 3: WITHOUT_NUMBER, 4: readable(4)}, [4], [1] * 5),
        ({2: NUMBER_LAST, 3: UNDECODABLE, 4: readable(4)}, [4], [1] * 5),
        ({2: NUMBER_FIRST, 3: OVERSIZED + b"\n", 4: readable(4)}, [4], [1, 1, 1, 2, 2]),
        ({2: b"id: 1\n" + OVERSIZED + b"\n" + readable(2)}, [2], [1]),
    ],
    ids=[
        "id is no number",
        "no id",
        "oversized, its id first",
        "oversized, its id last",
        "oversized, one line",
        "after a readable one",
        "two without a number",
        "oversized, then not decodable",
        "two oversized",
        "oversized, received before",
    ],
)
def test_an_unreadable_event_is_requested_twice_more_then_skipped(events, received, last_event_ids):
    """The event was requested for ever, and no later event was read."""

    async def run() -> EventLog:
        service = EventLog(events)
        discovery = await service.follow()
        await service.run_until(discovery, lambda: service.received == received)
        service.server.close()
        return service

    service = asyncio.run(run())
    assert service.received == received
    assert service.last_event_ids == last_event_ids
    gaps_ms = [later - earlier for earlier, later in pairwise(service.polled_ms)]
    assert all(gap_ms >= MIN_RECONNECT_DELAY_MS for gap_ms in gaps_ms)


def test_an_event_garbled_after_one_without_a_number_is_requested_again():
    """The failed reads of the event before must not count for the garbled one, which would then be lost."""

    async def run() -> EventLog:
        # Event 2 can never be read; event 3 is first read in the poll that skips event 2, its third.
        service = EventLog({2: WITHOUT_NUMBER, 3: GARBLED, 4: readable(4)})
        discovery = await service.follow()
        await service.run_until(discovery, lambda: len(service.polled_ms) == MAX_READS)
        service.events[3] = readable(3)
        await service.run_until(discovery, lambda: service.received == [3, 4])
        service.server.close()
        return service

    service = asyncio.run(run())
    assert service.received == [3, 4]
    assert service.last_event_ids == [1] * (MAX_READS + 1)


def test_a_skipped_event_without_a_number_is_skipped_at_once_after_a_break(caplog):
    """The service sends it again on every poll as long as it is the last event."""

    async def run() -> EventLog:
        service = EventLog({2: WITHOUT_NUMBER})
        discovery = await service.follow()
        await service.run_until(discovery, lambda: "is skipped as unreadable" in caplog.text)
        service.watches[-1].close()
        await service.run_until(discovery, lambda: len(service.polled_ms) > MAX_READS)
        service.watches[-1].write(readable(3))
        await service.run_until(discovery, lambda: service.received == [3])
        service.server.close()
        return service

    service = asyncio.run(run())
    assert service.received == [3]
    assert service.last_event_ids == [1] * (MAX_READS + 1)
    assert caplog.text.count("is skipped as unreadable") == 1
