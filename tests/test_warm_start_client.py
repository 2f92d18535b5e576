"""Tests of fetching a snapshot from fake peers, whose responses may be valid, invalid, late or missing."""

from __future__ import annotations

import asyncio
import logging
import socket
import time

import pytest

from canvasplank.warm_start import peer_snapshot
from canvasplank.warm_start.client import fetch_first_snapshot, fetch_snapshot
from canvasplank.warm_start.peer_snapshot import PeerSnapshot, ServerSnapshot, frame

SNAPSHOT = PeerSnapshot(
    peer_snapshot.FORMAT_VERSION,
    "n1",
    1.8e12,
    [ServerSnapshot("s-1", None, 1.8e12, rate_per_s=12.0, slow=True)],
)
TIMEOUT_S = 0.3


def unused_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"  # closed again, so that connections are refused


async def fake_peer(response: bytes | None, delay_s: float = 0.0):
    """Start a server that sends ``response`` after a delay, or never responds if it is None."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        if response is None:
            await asyncio.sleep(60)
        await asyncio.sleep(delay_s)
        writer.write(response)
        await writer.drain()
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


def fetch_from_fake_peer(response: bytes | None, delay_s: float = 0.0) -> tuple[PeerSnapshot | None, float]:
    async def run() -> tuple[PeerSnapshot | None, float]:
        server = await fake_peer(response, delay_s)
        async with server:
            port = server.sockets[0].getsockname()[1]
            started = time.monotonic()
            fetched = await fetch_snapshot(f"127.0.0.1:{port}", TIMEOUT_S)
            return fetched, time.monotonic() - started

    return asyncio.run(run())


def test_a_snapshot_is_fetched_from_a_peer():
    fetched, _ = fetch_from_fake_peer(frame(peer_snapshot.encode(SNAPSHOT)))
    assert fetched == SNAPSHOT


@pytest.mark.parametrize(
    ("response", "delay_s", "message"),
    [
        (None, 0.0, "no complete response within 300 ms"),  # never responds
        (frame(peer_snapshot.encode(SNAPSHOT)), 5.0, "no complete response"),  # slow
        (frame(peer_snapshot.encode(SNAPSHOT))[:-4], 0.0, "bytes read"),  # truncated
        (b"\xff\xff\xff\xff", 0.0, "more than"),  # oversized
        (frame(b"\x93\x01\x02\x03"), 0.0, "cannot be read"),  # malformed
        (frame(peer_snapshot.encode(PeerSnapshot(2, "n1", 1.8e12, []))), 0.0, "version 2"),  # another release
    ],
)
def test_after_a_failure_one_line_is_logged_within_the_timeout(response, delay_s, message, caplog):
    with caplog.at_level(logging.WARNING):
        fetched, took_s = fetch_from_fake_peer(response, delay_s)
    assert fetched is None
    assert took_s < TIMEOUT_S + 1.0, "the start must not be delayed further"
    [line] = [r.getMessage() for r in caplog.records if r.name == "canvasplank.warm_start.client"]
    assert message in line and "starting without one" in line


def test_a_refused_connection_is_logged_in_one_line(caplog):
    with caplog.at_level(logging.WARNING):
        assert asyncio.run(fetch_snapshot(unused_address(), TIMEOUT_S)) is None
    assert len(caplog.records) == 1


def test_the_server_sends_its_snapshot_only_on_a_valid_request():
    from canvasplank.warm_start.server import RequestCounts, SnapshotServer

    async def run() -> tuple[PeerSnapshot | None, RequestCounts]:
        snapshot_server = SnapshotServer(lambda: SNAPSHOT)
        await snapshot_server.listen("127.0.0.1:0")
        port = snapshot_server._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"something else\n")
        assert await reader.read() == b"", "closed without a response"
        writer.close()
        fetched = await fetch_snapshot(f"127.0.0.1:{port}", TIMEOUT_S)
        snapshot_server.close()
        return fetched, snapshot_server.counts

    fetched, counts = asyncio.run(run())
    assert fetched == SNAPSHOT
    assert counts == RequestCounts(accepted=2, served=1, rejected=1)


def test_peers_are_tried_in_turn_within_one_timeout():
    """The first refuses, the second hangs for its share of the time, the third responds."""

    async def run() -> tuple[PeerSnapshot | None, float]:
        hanging, responding = await fake_peer(None), await fake_peer(frame(peer_snapshot.encode(SNAPSHOT)))
        async with hanging, responding:
            addresses = [
                unused_address(),
                *(f"127.0.0.1:{each.sockets[0].getsockname()[1]}" for each in (hanging, responding)),
            ]
            started = time.monotonic()
            return await fetch_first_snapshot(addresses, TIMEOUT_S), time.monotonic() - started

    fetched, took_s = asyncio.run(run())
    assert fetched == SNAPSHOT and took_s < TIMEOUT_S + 1.0


def test_no_more_than_three_peers_are_tried(caplog):
    with caplog.at_level(logging.WARNING):
        assert asyncio.run(fetch_first_snapshot([unused_address() for _ in range(5)], TIMEOUT_S)) is None
    assert len(caplog.records) == 3
