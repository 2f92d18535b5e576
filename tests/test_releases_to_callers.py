"""Releases of established calls reach their callers even if connections end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator

import pytest
from race_conditions import ID, WAIT_S, CallerSideRig, run_coroutine, set_up
from server_side import ServerSideRig

from canvasplank.codecs import isup, sip
from canvasplank.exchange.call_records import CallerRelease
from canvasplank.network.caller_pool import IDLE_CHECK_INTERVAL_MS
from canvasplank.network.caller_releases import (
    CHECK_INTERVAL_MS,
    MAX_FOREIGN_SENDS,
    MAX_RETRY_AGE_MS,
    RETRY_DELAY_MS,
)
from canvasplank.network.release_retransmission import CONFIRMATION_WINDOW_MS

SERVER = "s-a"
OTHER_ID = "cc" * 8
RELEASED = isup.release(ID, 16)


@contextlib.contextmanager
def listening_caller_side() -> Iterator[CallerSideRig]:
    """Yield a callers' side that listens until the end of the block."""
    caller_side = CallerSideRig()
    caller_side.callers.listen("127.0.0.1", caller_side.port)
    try:
        yield caller_side
    finally:
        caller_side.callers.stop_listening()


async def caller_with_calls(caller_side: CallerSideRig, pending: bytes = b"") -> socket.socket:
    """Open a connection that counts as carrying calls; ``pending``: data expected on it before that."""
    peer = await caller_side.caller()
    peer.sendall(isup.release(OTHER_ID, 16))
    expected = pending + isup.release_confirmed(OTHER_ID)
    assert await received(peer, len(expected)) == expected
    return peer


async def received(peer: socket.socket, size: int) -> bytes:
    """Read ``size`` bytes, or up to the end of the connection."""
    loop, data = asyncio.get_running_loop(), b""
    while len(data) < size and (part := await loop.run_in_executor(None, peer.recv, size - len(data))):
        data += part
    return data


def parsed(request: bytes) -> sip.Message:
    return next(sip.Parser().feed(memoryview(request)))


async def wait_until_disconnected(caller_side: CallerSideRig) -> None:
    async with asyncio.timeout(WAIT_S):
        while caller_side.callers.streams:
            await asyncio.sleep(0.005)


def test_a_release_counts_as_delivered_only_once_its_caller_has_confirmed_it():
    """A release confirmed to the server too early was lost.

    Confirmed while it waited for a connection, it was lost if the process ended; confirmed when written, it
    was lost if the caller closed that connection.
    """

    async def run() -> None:
        delivered: list[int] = []
        with listening_caller_side() as caller_side:

            def release(number: int) -> None:
                caller_side.exchange.on_released_by_server(
                    SERVER, ID, 16, None, lambda: delivered.append(number)
                )

            (await caller_with_calls(caller_side)).close()
            await wait_until_disconnected(caller_side)
            release(1)
            release(2)  # the server sends it again, on another connection: the first may have ended
            assert delivered == []
            peer = await caller_with_calls(caller_side, pending=isup.release(ID, 16))
            assert delivered == [], "the release is written, but may be unread"
            peer.sendall(isup.release_confirmed(ID))
            async with asyncio.timeout(WAIT_S):
                while not delivered:
                    await asyncio.sleep(0.005)
            assert delivered == [2]
            release(3)
            assert delivered == [2, 3], "its caller has it already"
            peer.close()

    run_coroutine(run())


@pytest.mark.parametrize(
    ("on_its_connection", "window_ms"), [(True, CONFIRMATION_WINDOW_MS), (False, MAX_RETRY_AGE_MS)]
)
def test_a_release_that_nobody_confirms_counts_as_delivered_after_a_while(on_its_connection, window_ms):
    """Callers need not confirm, but the peer of a connection other than the call's may not know the call."""

    async def run() -> None:
        delivered: list[str] = []
        with listening_caller_side() as caller_side:
            peer = await caller_with_calls(caller_side)
            [stream] = caller_side.callers.streams
            origin = stream if on_its_connection else None
            release = CallerRelease(ID, 16, lambda: delivered.append(ID))
            caller_side.callers.releases.send(origin, release)
            assert await received(peer, len(RELEASED)) == RELEASED
            await caller_side.advance_time(window_ms - 1)
            assert delivered == []
            await caller_side.advance_time(1 + CHECK_INTERVAL_MS)
            assert delivered == [ID]
            peer.close()

    run_coroutine(run())


def test_a_release_never_counts_as_delivered_while_the_only_connection_has_ended():
    async def run() -> None:
        delivered: list[str] = []
        with listening_caller_side() as caller_side:
            peer = await caller_with_calls(caller_side)
            [stream] = caller_side.callers.streams
            caller_side.callers.releases.send(stream, CallerRelease(ID, 16, lambda: delivered.append(ID)))
            peer.close()
            await wait_until_disconnected(caller_side)
            await caller_side.advance_time(MAX_RETRY_AGE_MS)
            assert delivered == []

    run_coroutine(run())


def test_a_server_gets_the_confirmation_once_its_release_is_delivered(monkeypatch):
    async def run() -> None:
        rig = ServerSideRig(monkeypatch)
        waiting: list[Callable[[], None]] = []
        rig.callers.release = lambda origin, release: waiting.append(release.on_delivered)
        try:
            await rig.start()
            peer = rig.peers[SERVER]
            release = sip.request("BYE", "exchange", ID, 2, {"Reason": "Q.850;cause=16"})
            peer.sendall(release)
            async with asyncio.timeout(WAIT_S):
                while not waiting:
                    await rig.step()
            assert not rig.peers_have_data(SERVER)
            waiting[0]()
            confirmed = sip.response(200, "OK", parsed(release))
            assert await received(peer, len(confirmed)) == confirmed
        finally:
            rig.close()

    run_coroutine(run())


async def confirmed_release(caller_side: CallerSideRig, peer: socket.socket, call_id: str) -> None:
    """Have a release sent on the only connection, and confirm it there."""
    caller_side.exchange.on_released_by_server(SERVER, call_id, 16)
    release = isup.release(call_id, 16)
    assert await received(peer, len(release)) == release
    peer.sendall(isup.release_confirmed(call_id))
    [stream] = caller_side.callers.streams
    async with asyncio.timeout(WAIT_S):
        while stream.unconfirmed:
            await asyncio.sleep(0.005)


def test_a_release_whose_connection_has_ended_goes_to_a_caller_that_confirms_releases():
    """The release went to the newest connection, whose caller did not read or know the call."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            older = await caller_with_calls(caller_side)
            await confirmed_release(caller_side, older, "dd" * 8)
            newer = await caller_with_calls(caller_side)
            caller_side.exchange.on_released_by_server(SERVER, ID, 16)
            assert await received(older, len(RELEASED)) == RELEASED
            older.close(), newer.close()

    run_coroutine(run())


def test_a_release_that_nobody_confirms_is_sent_again_on_other_connections_a_few_times():
    """The release counted as read after a second, while its caller waited on another connection."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            older, newer = await caller_with_calls(caller_side), await caller_with_calls(caller_side)
            caller_side.exchange.on_released_by_server(SERVER, ID, 16)
            assert await received(newer, len(RELEASED)) == RELEASED
            await caller_side.advance_time(RETRY_DELAY_MS - 1)
            assert caller_side.exchange.counters["sent.releases_again"] == 0
            for peer in [older, newer][: MAX_FOREIGN_SENDS - 1]:
                await caller_side.advance_time(RETRY_DELAY_MS)
                assert await received(peer, len(RELEASED)) == RELEASED
            await caller_side.advance_time(RETRY_DELAY_MS)
            assert caller_side.exchange.counters["sent.releases_again"] == MAX_FOREIGN_SENDS - 1
            older.close(), newer.close()

    run_coroutine(run())


async def caller_with_set_up(caller_side: CallerSideRig) -> socket.socket:
    """Open a connection and set up a call on it."""
    peer = await caller_side.caller()
    open_calls = caller_side.exchange.open_calls
    peer.sendall(set_up(f"{open_calls + 1:016x}"))
    async with asyncio.timeout(WAIT_S):
        while caller_side.exchange.open_calls == open_calls:
            await asyncio.sleep(0.005)
    return peer


def test_a_release_goes_first_to_a_connection_on_which_a_call_was_set_up():
    """The release went only to the newest three connections, whose peers did not read."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            caller = await caller_with_set_up(caller_side)
            other_peers = [await caller_with_calls(caller_side) for _ in range(MAX_FOREIGN_SENDS + 1)]
            caller_side.exchange.on_released_by_server(SERVER, ID, 16)
            assert await received(caller, len(RELEASED)) == RELEASED
            for peer in [caller, *other_peers]:
                peer.close()

    run_coroutine(run())


def test_a_release_ignored_on_other_connections_goes_to_a_caller_that_connects_later():
    """Three connections whose peers did not read used up the allowed sends."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            other_peers = [await caller_with_calls(caller_side) for _ in range(MAX_FOREIGN_SENDS + 1)]
            caller_side.exchange.on_released_by_server(SERVER, ID, 16)
            for _ in range(2 * MAX_FOREIGN_SENDS):
                await caller_side.advance_time(RETRY_DELAY_MS)
            assert caller_side.exchange.counters["sent.releases_again"] == MAX_FOREIGN_SENDS - 1
            caller = await caller_with_set_up(caller_side)
            await caller_side.advance_time(CHECK_INTERVAL_MS)
            assert await received(caller, len(RELEASED)) == RELEASED
            for peer in [caller, *other_peers]:
                peer.close()

    run_coroutine(run())


def test_a_pending_release_is_written_before_the_process_closes_its_last_connection():
    """The release waited for a connection that carries calls, and was lost when the process ended."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            caller_side.callers.releases.send(None, CallerRelease(ID, 16))
            caller = await caller_side.caller()  # has only sent a test
            caller_side.callers.disconnect()
            assert await received(caller, len(RELEASED)) == RELEASED
            caller.close()

    run_coroutine(run())


@pytest.mark.parametrize("is_confirmed", [False, True])
def test_an_unconfirmed_release_is_written_on_other_connections_as_the_process_ends(is_confirmed):
    """The release was lost if the peer did not read the connection that it was written to."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            callers = [await caller_with_calls(caller_side) for _ in range(MAX_FOREIGN_SENDS + 1)]
            caller_side.callers.releases.send(None, CallerRelease(ID, 16))
            assert await received(callers[-1], len(RELEASED)) == RELEASED
            if is_confirmed:
                callers[-1].sendall(isup.release_confirmed(ID))
                async with asyncio.timeout(WAIT_S):
                    while any(stream.unconfirmed for stream in caller_side.callers.streams):
                        await asyncio.sleep(0.005)
            caller_side.callers.disconnect()
            read = [await received(caller, len(RELEASED)) for caller in callers[:-1]]
            assert read == [b"", *[b"" if is_confirmed else RELEASED] * (MAX_FOREIGN_SENDS - 1)]
            for caller in callers:
                caller.close()

    run_coroutine(run())


def test_a_confirmed_release_is_not_sent_again():
    async def run() -> None:
        with listening_caller_side() as caller_side:
            first = await caller_with_calls(caller_side)
            await confirmed_release(caller_side, first, ID)
            second = await caller_with_calls(caller_side)
            await caller_side.advance_time(RETRY_DELAY_MS)
            assert caller_side.exchange.counters["sent.releases_again"] == 0
            first.close(), second.close()

    run_coroutine(run())


def next_timer_ms(caller_side: CallerSideRig) -> float:
    """Return the time until the next timer is due, by the test's clock."""
    due_ms = caller_side.scheduler.timers.next_due_ms()
    assert due_ms is not None
    return due_ms - caller_side.now_ms


def test_unconfirmed_releases_are_checked_only_while_one_may_be_sent_again():
    """Releases were checked twenty times a second even in a process without calls."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            assert next_timer_ms(caller_side) == IDLE_CHECK_INTERVAL_MS
            caller = await caller_with_calls(caller_side)
            caller_side.exchange.on_released_by_server(SERVER, ID, 16)
            assert next_timer_ms(caller_side) == CHECK_INTERVAL_MS
            assert await received(caller, len(RELEASED)) == RELEASED
            await caller_side.advance_time(CHECK_INTERVAL_MS)
            assert next_timer_ms(caller_side) == CHECK_INTERVAL_MS, "the release may still be sent again"
            await caller_side.advance_time(MAX_RETRY_AGE_MS)
            assert next_timer_ms(caller_side) == IDLE_CHECK_INTERVAL_MS
            caller.close()

    run_coroutine(run())
