"""The notice board, on a clock of our own."""

from __future__ import annotations

import asyncio

from canvasplank.deadlines import Deadlines, Turns
from canvasplank.network.board import Board
from canvasplank.network.stream import Held

COMMENT_MS = 1000.0  # between two words of a board that is well


def test_a_silent_board_is_left_before_a_second_comment_is_missed():
    """Found on sockets: what it holds back counts as told soon, and new servers were met seconds late."""

    async def run() -> float:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        now = [0.0]
        turns = Turns(Deadlines(), clock=lambda: now[0])
        board = Board(turns, f"{host}:{port}", 1, lambda notice: None, Held(1e6))
        board.start()
        first = board._stream
        async with asyncio.timeout(20):
            while not first.is_open:
                await asyncio.sleep(0.01)
            while board._stream is first:
                now[0] += 100.0
                turns.begin()
                await asyncio.sleep(0.01)
        server.close()
        return now[0] - first.heard_ms

    assert COMMENT_MS < asyncio.run(run()) < 2 * COMMENT_MS
