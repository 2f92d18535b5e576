"""Asking a peer for its view: stand-in peers on loopback that answer well, late, never, short or wrongly."""

from __future__ import annotations

import asyncio
import logging
import socket
import time

import pytest

from canvasplank.warm_start import peer_snapshot
from canvasplank.warm_start.client import ask, ask_in_turn
from canvasplank.warm_start.peer_snapshot import Learned, PeerView, framed

GOOD = PeerView(
    peer_snapshot.VERSION, "n1", 1.8e12, [Learned("s-1", None, 1.8e12, rate_per_s=12.0, slow=True)]
)
BOUND_S = 0.3


def refused_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"  # closed again: nobody listens there


async def stand_in(answer: bytes | None, delay_s: float = 0.0):
    """A peer that waits, then writes ``answer``; None: it never says anything."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        if answer is None:
            await asyncio.sleep(60)
        await asyncio.sleep(delay_s)
        writer.write(answer)
        await writer.drain()
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


def played(answer: bytes | None, delay_s: float = 0.0) -> tuple[PeerView | None, float]:
    async def run() -> tuple[PeerView | None, float]:
        server = await stand_in(answer, delay_s)
        async with server:
            port = server.sockets[0].getsockname()[1]
            began = time.monotonic()
            taken = await ask(f"127.0.0.1:{port}", BOUND_S)
            return taken, time.monotonic() - began

    return asyncio.run(run())


def test_a_peer_that_answers_gives_its_view():
    taken, _ = played(framed(peer_snapshot.encode(GOOD)))
    assert taken == GOOD


@pytest.mark.parametrize(
    ("answer", "delay_s", "logged"),
    [
        (None, 0.0, "no whole answer within 300 ms"),  # never answers
        (framed(peer_snapshot.encode(GOOD)), 5.0, "no whole answer"),  # slow
        (framed(peer_snapshot.encode(GOOD))[:-4], 0.0, "bytes read"),  # cut short
        (b"\xff\xff\xff\xff", 0.0, "more than"),  # oversized
        (framed(b"\x93\x01\x02\x03"), 0.0, "cannot be read"),  # malformed
        (framed(peer_snapshot.encode(PeerView(2, "n1", 1.8e12, []))), 0.0, "version 2"),  # another release
    ],
)
def test_a_peer_that_fails_costs_one_line_and_no_more_than_the_bound(answer, delay_s, logged, caplog):
    with caplog.at_level(logging.WARNING):
        taken, took_s = played(answer, delay_s)
    assert taken is None
    assert took_s < BOUND_S + 1.0, "the start is not held up"
    [line] = [r.getMessage() for r in caplog.records if r.name == "canvasplank.warm_start.client"]
    assert logged in line and "asked no one" in line


def test_an_address_that_refuses(caplog):
    with caplog.at_level(logging.WARNING):
        assert asyncio.run(ask(refused_address(), BOUND_S)) is None
    assert len(caplog.records) == 1


def test_a_running_instance_gives_its_view_when_asked_and_nothing_else():
    from canvasplank.warm_start.server import Exporter

    async def run() -> tuple[PeerView | None, dict[str, int]]:
        exporter = Exporter(lambda: GOOD)
        await exporter.listen("127.0.0.1:0")
        port = exporter._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"something else\n")
        assert await reader.read() == b"", "closed unanswered"
        writer.close()
        taken = await ask(f"127.0.0.1:{port}", BOUND_S)
        exporter.close()
        return taken, exporter.counts

    taken, counts = asyncio.run(run())
    assert taken == GOOD
    assert counts == {"asked": 2, "given": 1, "refused": 1}


def test_peers_are_asked_one_after_another_within_the_one_bound():
    """The first refuses, the second hangs for its part of the time, the third answers."""

    async def run() -> tuple[PeerView | None, float]:
        hangs, answers = await stand_in(None), await stand_in(framed(peer_snapshot.encode(GOOD)))
        async with hangs, answers:
            addresses = [
                refused_address(),
                *(f"127.0.0.1:{each.sockets[0].getsockname()[1]}" for each in (hangs, answers)),
            ]
            began = time.monotonic()
            return await ask_in_turn(addresses, BOUND_S), time.monotonic() - began

    taken, took_s = asyncio.run(run())
    assert taken == GOOD and took_s < BOUND_S + 1.0


def test_no_more_than_three_peers_are_asked(caplog):
    with caplog.at_level(logging.WARNING):
        assert asyncio.run(ask_in_turn([refused_address() for _ in range(5)], BOUND_S)) is None
    assert len(caplog.records) == 3
