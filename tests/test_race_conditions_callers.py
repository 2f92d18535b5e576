"""Race conditions on connections from callers, each forced on real sockets."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections.abc import Callable
from math import ceil
from types import SimpleNamespace

import pytest
from exchange_replay import PROGRESS, Replay
from race_conditions import (
    ID,
    REJECTED,
    RELEASE,
    TEST,
    WAIT_S,
    CallerSideRig,
    read_until_eof,
    run_coroutine,
    set_up,
)

from canvasplank import interface as api
from canvasplank.codecs import isup
from canvasplank.network.caller_drain import DRAIN_OVERDUE_MS
from canvasplank.network.caller_pool import FIRST_REQUEST_GRACE_MS, MAX_SOCKETS_FRACTION


@pytest.fixture
def replay(tmp_path):
    replay = Replay(tmp_path)
    yield replay
    replay.stop()


@pytest.mark.parametrize(
    ("close", "in_flight", "expected"),
    [
        pytest.param(CallerSideRig.close_idle, set_up(), b"", id="idle-set-up"),
        pytest.param(CallerSideRig.close_idle, RELEASE, b"", id="idle-release"),
        pytest.param(CallerSideRig.close_for_room, set_up(), b"", id="room-set-up"),
        pytest.param(CallerSideRig.close_for_room, RELEASE, b"", id="room-release"),
        pytest.param(
            lambda caller_side: caller_side.callers.quiesce(),
            RELEASE,
            isup.release_confirmed(ID),
            id="quiesce-release",
        ),
    ],
)
def test_data_in_flight_at_our_close_is_not_reset(
    close: Callable[[CallerSideRig], None], in_flight: bytes, expected: bytes
):
    """The kernel reset a connection that was closed with bytes unread, and a release among them was lost.

    The caller sends a set-up again on a new connection; a release is passed on.  While quiesced, a connection
    ends only once all is read: a set-up is then tested by
    ``test_an_unread_set_up_on_a_quiesced_unused_connection_is_answered``.
    """

    async def run() -> tuple[bytes, CallerSideRig]:
        caller_side, loop = CallerSideRig(), asyncio.get_running_loop()
        caller_side.callers.listen("127.0.0.1", caller_side.port)
        first, second = await caller_side.caller(), await caller_side.caller()
        first.sendall(in_flight)  # unread, since the loop does not run before the close
        close(caller_side)
        async with asyncio.timeout(WAIT_S):
            received = await loop.run_in_executor(None, read_until_eof, first)
        first.close(), second.close()
        await asyncio.sleep(0.05)
        caller_side.callers.stop_listening()
        return received, caller_side

    received, caller_side = run_coroutine(run())
    assert received == expected
    assert caller_side.exchange.open_calls == 0
    assert caller_side.released == ([ID] if in_flight == RELEASE else [])


def test_an_answer_is_released_when_the_callers_connection_ends_in_the_same_iteration():
    """The answer was lost, and the call stayed established at its server until the server ended it."""

    async def run() -> CallerSideRig:
        caller_side = CallerSideRig()
        caller_side.decide = lambda event: [api.SetUp(ID, "a", 9000)] if isinstance(event, api.Call) else []
        caller_side.callers.listen("127.0.0.1", caller_side.port)
        peer = await caller_side.caller()
        peer.sendall(set_up())
        async with asyncio.timeout(WAIT_S):
            await caller_side.set_up_was_read()
        next(iter(caller_side.callers.streams)).abort_unreadable("it cannot be read")
        caller_side.exchange.on_established("a", ID, 0, b"v=0 answer")
        await asyncio.sleep(0.05)
        peer.close()
        caller_side.callers.stop_listening()
        return caller_side

    caller_side = run_coroutine(run())
    assert caller_side.released == [ID]
    assert (caller_side.exchange.open_calls, caller_side.exchange.established_calls) == (0, 0)


@pytest.mark.parametrize("first", ["a test", "an open set-up"])
def test_an_unread_set_up_on_a_quiesced_unused_connection_is_answered(first: str):
    """The connection was closed in the iteration in which the set-up was to be read, and the set-up was lost.

    A caller that wrote the set-up 0.5 s before the close does not consider it lost, or send it again.
    """
    second = "bb" * 8

    def decide(event: api.Event) -> list[api.Action]:
        match event:
            case api.Call(id=call_id) if call_id == ID:
                return [api.SetUp(ID, "a", 9000)]
            case api.Call(id=call_id) | api.AttemptEnded(call_id=call_id):
                return [api.Refuse(call_id, None)]
        return []

    async def run() -> bytes:
        caller_side, loop = CallerSideRig(), asyncio.get_running_loop()
        caller_side.decide = decide
        caller_side.callers.listen("127.0.0.1", caller_side.port)
        peer = await caller_side.caller()
        async with asyncio.timeout(WAIT_S):
            if first != "a test":
                peer.sendall(set_up())
                await caller_side.set_up_was_read()
            peer.sendall(set_up(second))  # unread until the next await
            caller_side.scheduler.begin_iteration()
            caller_side.callers.quiesce()
            caller_side.exchange.on_attempt_ended("a", ID, 0, api.Outcome.FULL)
            received = await loop.run_in_executor(None, read_until_eof, peer)
        peer.close()
        caller_side.callers.stop_listening()
        return received

    received = run_coroutine(run())
    assert [call_id.hex() for call_id in REJECTED.findall(received)] == [ID, second][first == "a test" :]


@pytest.mark.parametrize("established", [False, True], ids=["given up", "released"])
def test_a_call_ended_on_another_connection_is_removed_from_its_own(established: bool):
    """The call was never removed, and its half-closed or quiesced connection was never closed."""

    async def run() -> tuple[bytes, CallerSideRig]:
        caller_side, loop = CallerSideRig(), asyncio.get_running_loop()
        caller_side.decide = lambda event: [api.SetUp(ID, "a", 9000)] if isinstance(event, api.Call) else []
        caller_side.callers.listen("127.0.0.1", caller_side.port)
        first, second = await caller_side.caller(), await caller_side.caller()
        first.sendall(set_up())
        async with asyncio.timeout(WAIT_S):
            await caller_side.set_up_was_read()
            if established:
                caller_side.exchange.on_established("a", ID, 0, b"v=0 answer")
                caller_side.callers.quiesce()
            else:
                first.shutdown(socket.SHUT_WR)
                await loop.run_in_executor(None, first.recv, 64)  # PROGRESS: the half-close was detected
            second.sendall(RELEASE)
            received = await loop.run_in_executor(None, read_until_eof, first)
        first.close(), second.close()
        caller_side.callers.stop_listening()
        return received, caller_side

    received, caller_side = run_coroutine(run())
    assert received == (isup.answer(ID, b"v=0 answer") if established else b"")
    assert (caller_side.exchange.open_calls, caller_side.exchange.established_calls) == (0, 0)


def test_a_closing_listener_accepts_those_queued_behind_a_broken_connection():
    """accept(2) reports the error of a broken connection; it was raised, and the shutdown never ended."""

    async def run() -> bool:
        caller_side = CallerSideRig()
        caller_side.callers.listen("127.0.0.1", caller_side.port)
        listener = caller_side.callers._listener
        real_socket, errors = listener._socket, [OSError(errno.EPROTO, "broken"), ConnectionAbortedError()]

        def accept() -> tuple[socket.socket, object]:
            if errors:
                raise errors.pop()
            return real_socket.accept()

        listener._socket = SimpleNamespace(accept=accept, fileno=real_socket.fileno, close=real_socket.close)
        peer = socket.create_connection(("127.0.0.1", caller_side.port), timeout=WAIT_S)
        caller_side.callers.stop_listening()
        async with asyncio.timeout(WAIT_S):
            while not caller_side.callers.streams:
                await asyncio.sleep(0.005)
        peer.close()
        return real_socket.fileno() < 0

    assert run_coroutine(run()), "the listener is closed"


def test_a_flood_on_one_connection_gets_one_answer_each_and_others_are_served(replay):
    """More set-ups than may be open arrive in one write, for a server that is never reachable."""
    ids = [f"{number + 1:016x}" for number in range(400)]
    replay.step("listed b unresponsive")
    replay.start()
    flood, other = replay.caller("flood").stream, replay.caller("other")
    flood.settimeout(WAIT_S)
    flood.sendall(b"".join(set_up(call_id, 1500) for call_id in ids))
    other.stream.sendall(TEST)
    other.gets("\\x00\\x0d\\x35<*>\\x01")
    flood.shutdown(socket.SHUT_WR)
    answered = [call_id.hex() for call_id in REJECTED.findall(PROGRESS.sub(b"", read_until_eof(flood)))]
    assert sorted(answered) == ids


def test_connections_whose_end_the_peer_ignores_are_bounded():
    """Connections closed past the limit stay half open where the peer does not close them."""

    async def run() -> int:
        caller_side = CallerSideRig(sockets=20)  # 12 connections, and one accept per iteration
        caller_side.callers.listen("127.0.0.1", caller_side.port)
        crowd = [await caller_side.caller() for _ in range(40)]
        held = len(caller_side.callers.streams)
        for peer in crowd:
            peer.close()
        caller_side.callers.stop_listening()
        return held

    assert run_coroutine(run()) <= 12 + 1


@pytest.mark.parametrize("late", [False, True], ids=["early in the drain", "late in the drain"])
def test_a_caller_that_still_sends_set_ups_is_disconnected_late_in_a_drain(late: bool):
    """An established call kept its connection open, and the caller kept sending set-ups on it."""
    second = "bb" * 8

    def decide(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Call):
            return [api.SetUp(ID, "a", 9000)] if event.id == ID else [api.Refuse(event.id, None)]
        return []

    async def run() -> tuple[bool, int]:
        caller_side, loop = CallerSideRig(), asyncio.get_running_loop()
        caller_side.decide = decide
        caller_side.callers.listen("127.0.0.1", caller_side.port)
        peer = await caller_side.caller()
        peer.sendall(set_up())
        async with asyncio.timeout(WAIT_S):
            await caller_side.set_up_was_read()
            caller_side.exchange.on_established("a", ID, 0, b"v=0 answer")
            await loop.run_in_executor(None, peer.recv, 64)
            caller_side.scheduler.begin_iteration()
            caller_side.callers.quiesce()
            await asyncio.sleep(0.01)  # the end of the iteration
            caller_side.now_ms += DRAIN_OVERDUE_MS if late else DRAIN_OVERDUE_MS / 2
            peer.sendall(set_up(second))
            received = await loop.run_in_executor(None, peer.recv, 64)
            assert REJECTED.findall(received)
            caller_side.callers._pool.close_idle_connections()
            await asyncio.sleep(0.01)
        ended = next(iter(caller_side.callers.streams), None) is None or any(
            stream.writing_closed for stream in caller_side.callers.streams
        )
        established = caller_side.exchange.established_calls
        peer.close()
        caller_side.callers.stop_listening()
        return ended, established

    assert run_coroutine(run()) == (late, 1)


def test_room_is_made_of_connections_without_calls_first():
    """Connections without calls had been used more recently, so those that carried all calls were closed."""

    async def run() -> list[bool]:
        caller_side = CallerSideRig()
        caller_side.decide = lambda event: [api.SetUp(ID, "a", 9000)] if isinstance(event, api.Call) else []
        caller_side.callers.listen("127.0.0.1", caller_side.port)
        peers = [await caller_side.caller()]
        peers[0].sendall(set_up())
        async with asyncio.timeout(WAIT_S):
            await caller_side.set_up_was_read()
        caller_side.exchange.on_established("a", ID, 0, b"v=0 answer")
        caller_side.now_ms += FIRST_REQUEST_GRACE_MS
        peers += [await caller_side.caller() for _ in range(2)]
        streams = list(caller_side.callers.streams)
        caller_side.callers.limit(ceil(2 / MAX_SOCKETS_FRACTION))
        caller_side.callers._pool.make_room()
        still_open = [stream.is_open for stream in streams]
        for peer in peers:
            peer.close()
        caller_side.callers.stop_listening()
        return still_open

    assert run_coroutine(run()) == [True, False, True]


def test_room_is_made_although_a_caller_has_reset_its_connection():
    """Closing the reset connection raised an error, and the new one was left partly registered."""

    async def run() -> tuple[int, int]:
        caller_side = CallerSideRig()
        errors: list[dict[str, object]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        caller_side.callers.listen("127.0.0.1", caller_side.port)
        reset, kept = await caller_side.caller(), await caller_side.caller()
        reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        reset.close()  # not detected yet, since the loop has not run
        caller_side.callers.limit(1)
        caller_side.callers._pool.make_room()
        await asyncio.sleep(0.05)
        remaining = len(caller_side.callers.streams)
        kept.close()
        caller_side.callers.stop_listening()
        return remaining, len(errors)

    assert run_coroutine(run()) == (1, 0)
