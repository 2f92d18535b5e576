"""Fetching a peer's snapshot: fake peers on loopback that respond well, late, never, truncated or wrongly."""

from __future__ import annotations

import asyncio
import logging
import socket
import time

import pytest

from canvasplank.warm_start import peer_snapshot
from canvasplank.warm_start.client import fetch_first_snapshot, fetch_snapshot
from canvasplank.warm_start.peer_snapshot import PeerSnapshot, ServerSnapshot, frame

GOOD = PeerSnapshot(
    peer_snapshot.FORMAT_VERSION,
    "n1",
    1.8e12,
    [ServerSnapshot("s-1", None, 1.8e12, rate_per_s=12.0, slow=True)],
)
TIMEOUT_S = 0.3


def refused_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"  # closed again: nobody listens there


async def fake_peer(answer: bytes | None, delay_s: float = 0.0):
    """A peer that waits, then writes ``answer``; None: it never responds."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        if answer is None:
            await asyncio.sleep(60)
        await asyncio.sleep(delay_s)
        writer.write(answer)
        await writer.drain()
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


def fetched(answer: bytes | None, delay_s: float = 0.0) -> tuple[PeerSnapshot | None, float]:
    async def run() -> tuple[PeerSnapshot | None, float]:
        server = await fake_peer(answer, delay_s)
        async with server:
            port = server.sockets[0].getsockname()[1]
            started = time.monotonic()
            taken = await fetch_snapshot(f"127.0.0.1:{port}", TIMEOUT_S)
            return taken, time.monotonic() - started

    return asyncio.run(run())


def test_the_snapshot_of_a_peer_that_responds():
    taken, _ = fetched(frame(peer_snapshot.encode(GOOD)))
    assert taken == GOOD


@pytest.mark.parametrize(
    ("answer", "delay_s", "logged"),
    [
        (None, 0.0, "no complete response within 300 ms"),  # never responds
        (frame(peer_snapshot.encode(GOOD)), 5.0, "no complete response"),  # slow
        (frame(peer_snapshot.encode(GOOD))[:-4], 0.0, "bytes read"),  # truncated
        (b"\xff\xff\xff\xff", 0.0, "more than"),  # oversized
        (frame(b"\x93\x01\x02\x03"), 0.0, "cannot be read"),  # malformed
        (frame(peer_snapshot.encode(PeerSnapshot(2, "n1", 1.8e12, []))), 0.0, "version 2"),  # another release
    ],
)
def test_a_peer_that_fails_costs_one_line_and_no_more_than_the_timeout(answer, delay_s, logged, caplog):
    with caplog.at_level(logging.WARNING):
        taken, took_s = fetched(answer, delay_s)
    assert taken is None
    assert took_s < TIMEOUT_S + 1.0, "the start is not held up"
    [line] = [r.getMessage() for r in caplog.records if r.name == "canvasplank.warm_start.client"]
    assert logged in line and "starting without one" in line


def test_a_refused_connection_is_one_line(caplog):
    with caplog.at_level(logging.WARNING):
        assert asyncio.run(fetch_snapshot(refused_address(), TIMEOUT_S)) is None
    assert len(caplog.records) == 1


def test_a_running_instance_sends_its_snapshot_on_request_and_nothing_else():
    from canvasplank.warm_start.server import RequestCounts, SnapshotServer

    async def run() -> tuple[PeerSnapshot | None, RequestCounts]:
        snapshot_server = SnapshotServer(lambda: GOOD)
        await snapshot_server.listen("127.0.0.1:0")
        port = snapshot_server._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"something else\n")
        assert await reader.read() == b"", "closed unanswered"
        writer.close()
        taken = await fetch_snapshot(f"127.0.0.1:{port}", TIMEOUT_S)
        snapshot_server.close()
        return taken, snapshot_server.counts

    taken, counts = asyncio.run(run())
    assert taken == GOOD
    assert counts == RequestCounts(accepted=2, served=1, rejected=1)


def test_peers_are_tried_one_after_another_within_the_one_timeout():
    """The first refuses, the second hangs for its share of the time, the third responds."""

    async def run() -> tuple[PeerSnapshot | None, float]:
        hangs, answers = await fake_peer(None), await fake_peer(frame(peer_snapshot.encode(GOOD)))
        async with hangs, answers:
            addresses = [
                refused_address(),
                *(f"127.0.0.1:{each.sockets[0].getsockname()[1]}" for each in (hangs, answers)),
            ]
            started = time.monotonic()
            return await fetch_first_snapshot(addresses, TIMEOUT_S), time.monotonic() - started

    taken, took_s = asyncio.run(run())
    assert taken == GOOD and took_s < TIMEOUT_S + 1.0


def test_no_more_than_three_peers_are_tried(caplog):
    with caplog.at_level(logging.WARNING):
        assert asyncio.run(fetch_first_snapshot([refused_address() for _ in range(5)], TIMEOUT_S)) is None
    assert len(caplog.records) == 3
