"""Race conditions on connections from callers: each is forced, on real sockets."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from types import SimpleNamespace

import pytest
from exchange_replay import PROGRESS, Player
from race_conditions import ANSWERED, ID, RELEASE, TEST, WAIT_S, Edge, _run, read_to_the_end, set_up

from canvasplank import interface as api
from canvasplank.codecs import isup


@pytest.fixture
def player(tmp_path):
    player = Player(tmp_path)
    yield player
    player.stop()


@pytest.mark.parametrize(
    ("close", "crossing", "hears"),
    [
        pytest.param(Edge.idle, set_up(), b"", id="idle-set-up"),
        pytest.param(Edge.idle, RELEASE, b"", id="idle-release"),
        pytest.param(Edge.for_room, set_up(), b"", id="room-set-up"),
        pytest.param(Edge.for_room, RELEASE, b"", id="room-release"),
        pytest.param(
            lambda edge: edge.callers.quiesce(), RELEASE, isup.release_confirmed(ID), id="quiesce-release"
        ),
    ],
)
def test_what_crosses_a_close_of_ours_meets_no_reset(
    close: Callable[[Edge], None], crossing: bytes, hears: bytes
):
    """The kernel reset a connection closed with bytes unread, and a release that lay there was lost.

    A set-up is left to its caller, who sends it again on a new connection; a release is passed on.  While
    quiesced a connection ends only once all is read: see the next but one for a set-up there.
    """

    async def run() -> tuple[bytes, Edge]:
        edge, loop = Edge(), asyncio.get_running_loop()
        edge.callers.listen("127.0.0.1", edge.port)
        first, second = await edge.caller(), await edge.caller()
        first.sendall(crossing)  # the loop has not run since: it lies in the machine, unread
        close(edge)
        async with asyncio.timeout(WAIT_S):
            came = await loop.run_in_executor(None, read_to_the_end, first)
        first.close(), second.close()
        await asyncio.sleep(0.05)
        edge.callers.stop_listening()
        return came, edge

    came, edge = _run(run())
    assert came == hears
    assert edge.exchange.open_calls == 0
    assert edge.released == ([ID] if crossing == RELEASE else [])


def test_an_answer_for_a_caller_whose_connection_ends_in_the_same_turn_is_taken_back():
    """It was written to nobody, and the call stood at its server until that ended it."""

    async def run() -> Edge:
        edge = Edge()
        edge.decide = lambda event: [api.SetUp(ID, "a", 9000)] if isinstance(event, api.Call) else []
        edge.callers.listen("127.0.0.1", edge.port)
        peer = await edge.caller()
        peer.sendall(set_up())
        async with asyncio.timeout(WAIT_S):
            await edge.taken()
        next(iter(edge.callers.streams)).abort_unreadable("it cannot be read")
        edge.exchange.on_established("a", ID, 0, b"v=0 answer")
        await asyncio.sleep(0.05)
        peer.close()
        edge.callers.stop_listening()
        return edge

    edge = _run(run())
    assert edge.released == [ID]
    assert (edge.exchange.open_calls, edge.exchange.established_calls) == (0, 0)


@pytest.mark.parametrize("first", ["a test", "a set-up that is out"])
def test_a_set_up_that_lies_unread_when_a_quiesced_connection_has_nothing_left_is_answered(first: str):
    """It met the end of the connection amid the turn: who had written it half a second ago lost it.

    So long after it no caller takes it for a crossing, and none sends it again.
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
        edge, loop = Edge(), asyncio.get_running_loop()
        edge.decide = decide
        edge.callers.listen("127.0.0.1", edge.port)
        peer = await edge.caller()
        async with asyncio.timeout(WAIT_S):
            if first != "a test":
                peer.sendall(set_up())
                await edge.taken()
            peer.sendall(set_up(second))  # in the machine, unread, all the while until the next await
            edge.scheduler.begin_iteration()
            edge.callers.quiesce()
            edge.exchange.on_attempt_ended("a", ID, 0, api.Outcome.FULL)
            came = await loop.run_in_executor(None, read_to_the_end, peer)
        peer.close()
        edge.callers.stop_listening()
        return came

    came = _run(run())
    assert [call_id.hex() for call_id in ANSWERED.findall(came)] == [ID, second][first == "a test" :]


@pytest.mark.parametrize("stands", [False, True], ids=["given up", "released"])
def test_a_connection_whose_call_is_over_by_word_on_another_carries_it_no_more(stands: bool):
    """It kept the call for ever: a half-closed or quiesced one was never ended."""

    async def run() -> tuple[bytes, Edge]:
        edge, loop = Edge(), asyncio.get_running_loop()
        edge.decide = lambda event: [api.SetUp(ID, "a", 9000)] if isinstance(event, api.Call) else []
        edge.callers.listen("127.0.0.1", edge.port)
        first, second = await edge.caller(), await edge.caller()
        first.sendall(set_up())
        async with asyncio.timeout(WAIT_S):
            await edge.taken()
            if stands:
                edge.exchange.on_established("a", ID, 0, b"v=0 answer")
                edge.callers.quiesce()
            else:
                first.shutdown(socket.SHUT_WR)
                await loop.run_in_executor(None, first.recv, 64)  # progress: its end of stream was read
            second.sendall(RELEASE)
            came = await loop.run_in_executor(None, read_to_the_end, first)
        first.close(), second.close()
        edge.callers.stop_listening()
        return came, edge

    came, edge = _run(run())
    assert came == (isup.answer(ID, b"v=0 answer") if stands else b"")
    assert (edge.exchange.open_calls, edge.exchange.established_calls) == (0, 0)


def test_a_connection_that_broke_in_the_queue_hides_none_behind_it_from_a_listener_that_closes():
    """accept(2) tells a broken connection's own fault: it went up, and the program's end never came."""

    async def run() -> bool:
        edge = Edge()
        edge.callers.listen("127.0.0.1", edge.port)
        listener = edge.callers._listener
        taken, faults = listener._socket, [OSError(errno.EPROTO, "broken"), ConnectionAbortedError()]

        def accept() -> tuple[socket.socket, object]:
            if faults:
                raise faults.pop()
            return taken.accept()

        listener._socket = SimpleNamespace(accept=accept, fileno=taken.fileno, close=taken.close)
        peer = socket.create_connection(("127.0.0.1", edge.port), timeout=WAIT_S)
        edge.callers.stop_listening()
        async with asyncio.timeout(WAIT_S):
            while not edge.callers.streams:
                await asyncio.sleep(0.005)
        peer.close()
        return taken.fileno() < 0

    assert _run(run()), "it is closed"


def test_a_flood_on_one_connection_has_one_answer_each_and_keeps_nobody_out(player):
    """More set-ups than may be open, in one write, at a server that never comes up."""
    ids = [f"{number + 1:016x}" for number in range(400)]
    player.step("known b never")
    player.start()
    flood, other = player.caller("flood").stream, player.caller("other")
    flood.settimeout(WAIT_S)
    flood.sendall(b"".join(set_up(call_id, 1500) for call_id in ids))
    other.stream.sendall(TEST)
    other.gets("\\x00\\x0d\\x35<*>\\x01")
    flood.shutdown(socket.SHUT_WR)
    answered = [call_id.hex() for call_id in ANSWERED.findall(PROGRESS.sub(b"", read_to_the_end(flood)))]
    assert sorted(answered) == ids


def test_those_who_do_not_hear_our_end_hold_no_descriptor_for_long():
    """Connections ended for room that stay half open are bounded, too."""

    async def run() -> int:
        edge = Edge(sockets=20)  # callers may hold 12, and one more in one go
        edge.callers.listen("127.0.0.1", edge.port)
        crowd = [await edge.caller() for _ in range(40)]
        held = len(edge.callers.streams)
        for peer in crowd:
            peer.close()
        edge.callers.stop_listening()
        return held

    assert _run(run()) <= 12 + 1
