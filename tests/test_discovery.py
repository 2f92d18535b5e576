"""The notice board, on a clock of our own."""

from __future__ import annotations

import asyncio
import random
from itertools import pairwise

import pytest

from canvasplank.network.discovery import Discovery
from canvasplank.network.stream import BufferBudget
from canvasplank.runtime.scheduler import Scheduler, TimerQueue

COMMENT_MS = 1000.0  # between two words of a board that is well


def test_a_silent_board_is_left_before_a_second_comment_is_missed():
    """Found on sockets: what it holds back counts as told soon, and new servers were met seconds late."""

    async def run() -> float:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        now = [0.0]
        scheduler = Scheduler(TimerQueue(), clock=lambda: now[0])
        discovery = Discovery(scheduler, f"{host}:{port}", 1, lambda notice: None, BufferBudget(1e6))
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


class Watched:
    """A board on a real socket, met on a clock of our own; what it is asked is kept."""

    def __init__(self, says: bytes = b": \n\n") -> None:
        self.now_ms = 0.0
        self.scheduler = Scheduler(TimerQueue(), clock=lambda: self.now_ms)
        self.asked_ms: list[float] = []
        self.open: list[asyncio.StreamWriter] = []
        self.told: list[int] = []
        self._says = says

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.asked_ms.append(self.now_ms)
        self.open.append(writer)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        await reader.read()
        self.open.remove(writer)
        writer.close()

    async def listen(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def go(self, span_ms: float, step_ms: float = 500.0) -> None:
        """Let time pass; each step the board says what it says, and all is read before the next."""
        for _ in range(int(span_ms / step_ms)):
            self.now_ms += step_ms
            for writer in self.open:
                writer.write(self._says)
            for _ in range(4):
                self.scheduler.begin_iteration()
                await asyncio.sleep(0.005)


def watch(says: bytes, span_ms: float, *, moved: bool) -> Watched:
    async def run() -> Watched:
        watched = Watched(says)
        told, nobody = watched.told, "127.0.0.1:1"
        address = await watched.listen()
        discovery = Discovery(
            watched.scheduler,
            nobody if moved else address,
            1,
            lambda notice: told.append(notice.rev),
            BufferBudget(1e6),
            random.Random(1),
        )
        discovery.start()
        discovery.move_to(address)
        async with asyncio.timeout(60):
            while not watched.asked_ms:
                await asyncio.sleep(0.005)
            await watched.go(span_ms)
        assert len(watched.open) <= 1, "one watch at a time"
        watched.server.close()
        return watched

    return asyncio.run(run())


def test_a_board_that_only_comments_where_it_moved_to_is_asked_again_in_time_and_ever_less_often():
    """A watch that it took and forgot stayed for good: what it tells counts as told 4 s after the move."""
    asked_ms = watch(b": \n\n", 120_000, moved=True).asked_ms
    gaps_ms = [later - before for before, later in pairwise(asked_ms)]
    assert gaps_ms[0] <= 4_000, "news of before the watch is here in time"
    assert all(later > 1.4 * before for before, later in pairwise(gaps_ms)), "no storm of polls"


@pytest.mark.parametrize(
    ("says", "told", "moved"),
    [
        (b": \n\n", [], False),
        (b'id: 2\ndata: {"rev": 2}\n\nid: 3\ndata: {"rev": 3}\n\n', [2, 3], True),
    ],
    ids=["not moved", "moved, tells events, the same twice"],
)
def test_a_board_that_is_well_is_not_asked_again(says, told, moved):
    """And an event with an old id is not taken twice."""
    watched = watch(says, 30_000, moved=moved)
    assert watched.told == told
    assert len(watched.asked_ms) == 1


def test_a_board_that_has_moved_is_asked_whatever_wait_the_last_one_named():
    """Guards a move while a retry is pending: the new board was asked after the old one's minute."""

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
        watched = Watched()
        discovery = Discovery(
            watched.scheduler, f"{host}:{port}", 1, lambda notice: None, BufferBudget(1e6), random.Random(1)
        )
        discovery.use_poll_backoff(FixedBackoff())
        discovery.start()
        new = await watched.listen()
        async with asyncio.timeout(60):
            while discovery._backoff.failures == 0:
                watched.scheduler.begin_iteration()
                await asyncio.sleep(0.005)
            watched.server.close()  # nobody is there yet when it moves
            await watched.server.wait_closed()
            discovery.move_to(new)
            await watched.go(1_000, 100.0)
            watched.server = await asyncio.start_server(watched._serve, *new.split(":"))
            await watched.go(2_000, 100.0)
        old.close(), watched.server.close()
        return watched.asked_ms

    assert len(asyncio.run(run())) == 1
