"""Releases of established calls reach their callers, whatever becomes of connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator

import pytest
from race_conditions import ID, WAIT_S, CallerSide, run_coroutine, set_up
from server_side import ServerSide

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
def listening_caller_side() -> Iterator[CallerSide]:
    """The callers' side, listening until the end of the block."""
    caller_side = CallerSide()
    caller_side.callers.listen("127.0.0.1", caller_side.port)
    try:
        yield caller_side
    finally:
        caller_side.callers.stop_listening()


async def calling_caller(caller_side: CallerSide, pending: bytes = b"") -> socket.socket:
    """A connection that has carried calls; ``pending``: what has waited for it."""
    peer = await caller_side.caller()
    peer.sendall(isup.release(OTHER_ID, 16))
    expected = pending + isup.release_confirmed(OTHER_ID)
    assert await received(peer, len(expected)) == expected
    return peer


async def received(peer: socket.socket, size: int) -> bytes:
    """So many bytes, or all up to the end of the connection."""
    loop, data = asyncio.get_running_loop(), b""
    while len(data) < size and (part := await loop.run_in_executor(None, peer.recv, size - len(data))):
        data += part
    return data


def parsed(request: bytes) -> sip.Message:
    return next(sip.Parser().feed(memoryview(request)))


async def all_are_gone(caller_side: CallerSide) -> None:
    async with asyncio.timeout(WAIT_S):
        while caller_side.callers.streams:
            await asyncio.sleep(0.005)


def test_a_release_counts_as_delivered_only_once_its_caller_has_confirmed_it():
    """It was confirmed to the server while it waited for a connection, and lost if the process ended then.

    Later it was confirmed as it was written, and lost if the caller closed that connection just then.
    """

    async def run() -> None:
        delivered: list[int] = []
        with listening_caller_side() as caller_side:

            def release(number: int) -> None:
                caller_side.exchange.on_released_by_server(
                    SERVER, ID, 16, None, lambda: delivered.append(number)
                )

            (await calling_caller(caller_side)).close()
            await all_are_gone(caller_side)
            release(1)
            release(2)  # the server sends it again, on another connection: the first may have ended
            assert delivered == []
            peer = await calling_caller(caller_side, pending=isup.release(ID, 16))
            assert delivered == [], "written, which does not mean read"
            peer.sendall(isup.release_confirmed(ID))
            async with asyncio.timeout(WAIT_S):
                while not delivered:
                    await asyncio.sleep(0.005)
            assert delivered == [2]
            release(3)
            assert delivered == [2, 3], "its caller has it"
            peer.close()

    run_coroutine(run())


@pytest.mark.parametrize(
    ("on_its_connection", "window_ms"), [(True, CONFIRMATION_WINDOW_MS), (False, MAX_RETRY_AGE_MS)]
)
def test_a_release_that_nobody_confirms_counts_as_delivered_after_a_while(on_its_connection, window_ms):
    """Confirmations are free; but a peer of another connection than the call's may not know the call."""

    async def run() -> None:
        delivered: list[str] = []
        with listening_caller_side() as caller_side:
            peer = await calling_caller(caller_side)
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
            peer = await calling_caller(caller_side)
            [stream] = caller_side.callers.streams
            caller_side.callers.releases.send(stream, CallerRelease(ID, 16, lambda: delivered.append(ID)))
            peer.close()
            await all_are_gone(caller_side)
            await caller_side.advance_time(MAX_RETRY_AGE_MS)
            assert delivered == []

    run_coroutine(run())


def test_a_server_gets_the_confirmation_once_its_release_is_delivered(monkeypatch):
    async def run() -> None:
        rig = ServerSide(monkeypatch)
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


async def confirmed_release(caller_side: CallerSide, peer: socket.socket, call_id: str) -> None:
    """Have a release sent to this connection, the only one, and confirmed there."""
    caller_side.exchange.on_released_by_server(SERVER, call_id, 16)
    release = isup.release(call_id, 16)
    assert await received(peer, len(release)) == release
    peer.sendall(isup.release_confirmed(call_id))
    [stream] = caller_side.callers.streams
    async with asyncio.timeout(WAIT_S):
        while stream.unconfirmed:
            await asyncio.sleep(0.005)


def test_a_release_without_a_connection_of_its_own_goes_where_releases_are_confirmed():
    """It went to the newest, whose caller read nothing, and knew nothing of calls on other connections."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            older = await calling_caller(caller_side)
            await confirmed_release(caller_side, older, "dd" * 8)
            newer = await calling_caller(caller_side)
            caller_side.exchange.on_released_by_server(SERVER, ID, 16)
            assert await received(older, len(RELEASED)) == RELEASED
            older.close(), newer.close()

    run_coroutine(run())


def test_a_release_that_nobody_confirms_is_sent_again_on_other_connections_a_few_times():
    """It was taken for read after a second, while its caller waited on another connection."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            older, newer = await calling_caller(caller_side), await calling_caller(caller_side)
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


async def placing_caller(caller_side: CallerSide) -> socket.socket:
    """A connection on which a call was set up."""
    peer = await caller_side.caller()
    open_calls = caller_side.exchange.open_calls
    peer.sendall(set_up(f"{open_calls + 1:016x}"))
    async with asyncio.timeout(WAIT_S):
        while caller_side.exchange.open_calls == open_calls:
            await asyncio.sleep(0.005)
    return peer


def test_a_release_goes_to_a_caller_before_a_crowd_on_whose_connections_no_call_was_set_up():
    """It went to the newest three, all of a crowd that does not read, and to the caller never."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            caller = await placing_caller(caller_side)
            crowd = [await calling_caller(caller_side) for _ in range(MAX_FOREIGN_SENDS + 1)]
            caller_side.exchange.on_released_by_server(SERVER, ID, 16)
            assert await received(caller, len(RELEASED)) == RELEASED
            for peer in [caller, *crowd]:
                peer.close()

    run_coroutine(run())


def test_a_release_that_a_crowd_has_ignored_goes_to_the_caller_that_comes_later():
    """Three connections that did not read it used up its sends."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            crowd = [await calling_caller(caller_side) for _ in range(MAX_FOREIGN_SENDS + 1)]
            caller_side.exchange.on_released_by_server(SERVER, ID, 16)
            for _ in range(2 * MAX_FOREIGN_SENDS):
                await caller_side.advance_time(RETRY_DELAY_MS)
            assert caller_side.exchange.counters["sent.releases_again"] == MAX_FOREIGN_SENDS - 1
            caller = await placing_caller(caller_side)
            await caller_side.advance_time(CHECK_INTERVAL_MS)
            assert await received(caller, len(RELEASED)) == RELEASED
            for peer in [caller, *crowd]:
                peer.close()

    run_coroutine(run())


def test_a_release_that_waits_for_a_connection_is_written_as_the_process_ends_those_it_has():
    """It waited for one that carries calls, and was lost with a process that ended meanwhile."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            caller_side.callers.releases.send(None, CallerRelease(ID, 16))
            caller = await caller_side.caller()  # which has only tested
            caller_side.callers.disconnect()
            assert await received(caller, len(RELEASED)) == RELEASED
            caller.close()

    run_coroutine(run())


@pytest.mark.parametrize("is_confirmed", [False, True])
def test_a_release_that_nobody_has_confirmed_is_written_on_others_as_the_process_ends(is_confirmed):
    """It was lost where the connection that it was written on was not read."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            callers = [await calling_caller(caller_side) for _ in range(MAX_FOREIGN_SENDS + 1)]
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
            first = await calling_caller(caller_side)
            await confirmed_release(caller_side, first, ID)
            second = await calling_caller(caller_side)
            await caller_side.advance_time(RETRY_DELAY_MS)
            assert caller_side.exchange.counters["sent.releases_again"] == 0
            first.close(), second.close()

    run_coroutine(run())


def next_timer_ms(caller_side: CallerSide) -> float:
    """How long after the test's clock the next timer is due."""
    due_ms = caller_side.scheduler.timers.next_due_ms()
    assert due_ms is not None
    return due_ms - caller_side.now_ms


def test_unconfirmed_releases_are_checked_only_while_one_may_be_sent_again():
    """They were checked twenty times a second in a process without a call, too."""

    async def run() -> None:
        with listening_caller_side() as caller_side:
            assert next_timer_ms(caller_side) == IDLE_CHECK_INTERVAL_MS
            caller = await calling_caller(caller_side)
            caller_side.exchange.on_released_by_server(SERVER, ID, 16)
            assert next_timer_ms(caller_side) == CHECK_INTERVAL_MS
            assert await received(caller, len(RELEASED)) == RELEASED
            await caller_side.advance_time(CHECK_INTERVAL_MS)
            assert next_timer_ms(caller_side) == CHECK_INTERVAL_MS, "it may yet be sent again"
            await caller_side.advance_time(MAX_RETRY_AGE_MS)
            assert next_timer_ms(caller_side) == IDLE_CHECK_INTERVAL_MS
            caller.close()

    run_coroutine(run())
