"""Releases of established calls reach their callers, whatever becomes of connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator

from race_conditions import ID, WAIT_S, CallerSide, run_coroutine
from server_side import ServerSide

from canvasplank.codecs import isup, sip
from canvasplank.network.caller_pool import IDLE_CHECK_INTERVAL_MS
from canvasplank.network.caller_releases import (
    MAX_FOREIGN_SENDS,
    MAX_RETRY_AGE_MS,
    RETRY_CHECK_INTERVAL_MS,
    RETRY_DELAY_MS,
)

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


def test_a_release_counts_as_passed_on_only_once_it_is_written_to_a_caller():
    """It was confirmed to the server while it waited for a connection, and lost if the process ended then."""

    async def run() -> None:
        passed_on: list[int] = []
        with listening_caller_side() as caller_side:

            def release(number: int) -> None:
                caller_side.exchange.on_released_by_server(
                    SERVER, ID, 16, None, lambda: passed_on.append(number)
                )

            (await calling_caller(caller_side)).close()
            await all_are_gone(caller_side)
            release(1)
            release(2)  # the server sends it again, on another connection: the first may have ended
            assert passed_on == []
            peer = await calling_caller(caller_side, pending=isup.release(ID, 16))
            assert passed_on == [2]
            release(3)
            assert passed_on == [2, 3], "the caller has been notified"
            peer.close()

    run_coroutine(run())


def test_a_server_gets_the_confirmation_once_its_release_is_passed_on(monkeypatch):
    async def run() -> None:
        rig = ServerSide(monkeypatch)
        waiting: list[Callable[[], None]] = []
        rig.callers.release = lambda origin, release: waiting.append(release.on_sent)
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
            await caller_side.let_pass(RETRY_DELAY_MS - 1)
            assert caller_side.exchange.counters["sent.releases_again"] == 0
            for peer in [older, newer][: MAX_FOREIGN_SENDS - 1]:
                await caller_side.let_pass(RETRY_DELAY_MS)
                assert await received(peer, len(RELEASED)) == RELEASED
            await caller_side.let_pass(RETRY_DELAY_MS)
            assert caller_side.exchange.counters["sent.releases_again"] == MAX_FOREIGN_SENDS - 1
            older.close(), newer.close()

    run_coroutine(run())


def test_a_confirmed_release_is_not_sent_again():
    async def run() -> None:
        with listening_caller_side() as caller_side:
            first = await calling_caller(caller_side)
            await confirmed_release(caller_side, first, ID)
            second = await calling_caller(caller_side)
            await caller_side.let_pass(RETRY_DELAY_MS)
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
            assert next_timer_ms(caller_side) == RETRY_CHECK_INTERVAL_MS
            assert await received(caller, len(RELEASED)) == RELEASED
            await caller_side.let_pass(RETRY_CHECK_INTERVAL_MS)
            assert next_timer_ms(caller_side) == RETRY_CHECK_INTERVAL_MS, "it may yet be sent again"
            await caller_side.let_pass(MAX_RETRY_AGE_MS)
            assert next_timer_ms(caller_side) == IDLE_CHECK_INTERVAL_MS
            caller.close()

    run_coroutine(run())
