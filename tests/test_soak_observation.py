"""Tests of the soak's observed link: unreadable messages, ends noticed late, and muted servers."""

from __future__ import annotations

import asyncio
import time

import pytest

from canvasplank.codecs import sip
from canvasplank.config.addresses import parse_address
from emulators.unreadable_messages import UnreadableKind, unreadable_message
from experiments.soak.deployment import ObservedServer
from experiments.soak.observed_link import ObservedConnection, ObservedLink, ServerObserver
from verification.call_trace import CallTrace, End

CALL_ID, OTHER_ID = "0123456789abcdef", "fedcba9876543210"
TIMEOUT_S = 10.0
MUTE_DURATION_S = 0.3


def invite(call_id: str) -> bytes:
    return sip.request("INVITE", "number", call_id, 1, {}, b"offer")


def answer(call_id: str) -> bytes:
    """Return the answer to ``invite``."""
    [message] = sip.Parser().feed(invite(call_id))
    return sip.response(200, "OK", message)


@pytest.fixture
def trace() -> CallTrace:
    return CallTrace(release_wait_s=0.2, drain_grace_s=0.25)


@pytest.fixture
def observer(trace: CallTrace) -> ServerObserver:
    return ServerObserver("s", trace)


@pytest.fixture
def connection(observer: ServerObserver) -> ObservedConnection:
    return ObservedConnection(observer)


@pytest.mark.parametrize("kind", UnreadableKind)
def test_after_an_unreadable_message_no_answer_counts_and_requests_are_still_recorded(
    kind, trace, connection
):
    connection.on_data("there", invite(CALL_ID) + invite(OTHER_ID))
    connection.on_data("back", unreadable_message(kind, CALL_ID))
    for _ in range(10):  # the first ones complete an incomplete message
        connection.on_data("back", answer(OTHER_ID))
    assert not trace.established
    assert [attempt.end for attempt in trace.attempts] == [None, None]
    connection.on_data("there", sip.request("CANCEL", "call", OTHER_ID, 1))
    assert [attempt.end for attempt in trace.attempts] == [None, End.CANCELLED]


def test_the_releases_of_a_proxy_are_recorded_after_a_message_that_it_cannot_read(trace, connection):
    connection.on_data("there", invite(CALL_ID))
    connection.on_data("back", answer(CALL_ID) + unreadable_message(UnreadableKind.RANDOM, OTHER_ID))
    connection.on_data("there", sip.request("BYE", "call", CALL_ID, 1))
    assert trace.established[0].released_by_proxy_s is not None


def test_a_written_release_counts_unless_the_link_was_disturbed_or_the_call_not_established_yet(
    trace, observer, connection
):
    for call_id in (CALL_ID, OTHER_ID):
        connection.on_data("there", invite(call_id))
        connection.on_data("back", answer(call_id))
    first, second = trace.established
    written_s = {CALL_ID: first.established_s + 1.0, OTHER_ID: second.established_s - 0.1, "f" * 16: 1.0}
    observer.record_written_releases(written_s, lambda at_s: True)
    assert first.release_written_s is None
    observer.record_written_releases(written_s, lambda at_s: False)
    assert first.release_written_s == written_s[CALL_ID]
    assert second.release_written_s is None


@pytest.mark.parametrize("reset", [False, True])
def test_a_set_up_ends_when_the_proxy_ends_its_connection_though_the_server_keeps_its_own_open(reset, trace):
    async def run():
        released = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"x" * 100)  # the proxy closes with this unread, which resets the connection
            await released.wait()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        link = ObservedLink(f"127.0.0.1:{port}", ServerObserver("s", trace))
        await link.start()
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*parse_address(link.address))
            writer.write(invite(CALL_ID))
            await reader.readexactly(1)
            while not trace.attempts:
                await asyncio.sleep(0.002)
            if reset:
                writer.transport.abort()
            else:
                writer.write_eof()
            while trace.attempts[0].end is None:
                await asyncio.sleep(0.002)
            assert trace.attempts[0].end is End.DISCONNECTED
            assert trace.attempts[0].ended_s <= time.time()
            assert not released.is_set()
        released.set()
        await link.stop()
        server.close()

    asyncio.run(run())


def test_output_of_a_muted_server_passes_later_and_its_releases_meanwhile_do_not_count_as_written(trace):
    async def run():
        server = ObservedServer("s", 0, trace)
        await server.start()
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*parse_address(server.links[0].address))
            while not server.emulator.connections:
                await asyncio.sleep(0.002)
            from_s = time.time()
            muting = asyncio.create_task(server.mute(MUTE_DURATION_S))
            await asyncio.sleep(0)
            writer.write(invite(CALL_ID))
            await muting
            until_s = time.time()
            while not trace.established:
                await reader.read(16_384)
        assert trace.established[0].established_s >= from_s + MUTE_DURATION_S
        trace.established[0].established_s = from_s - 1.0
        for written_s, counts in [(from_s - 0.5, True), (from_s + 0.1, False), (until_s + 0.5, True)]:
            server.observer.record_written_releases({CALL_ID: written_s}, server.is_disturbed)
            assert (trace.established[0].release_written_s == written_s) is counts
        await server.stop()

    asyncio.run(run())
