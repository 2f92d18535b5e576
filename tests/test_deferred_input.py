"""Limits on what one connection from callers may ask for: deferred messages, set-ups, releases."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine

import pytest
from race_conditions import ID, RELEASE, WAIT_S, CallerSideRig, run_coroutine, set_up

from canvasplank.codecs import isup
from canvasplank.counters import Counters
from canvasplank.network.caller_stream import INITIAL_MESSAGES, MAX_SET_UPS, MAX_UNKNOWN_RELEASES
from canvasplank.network.deferred_input import MESSAGES_PER_TURN, DeferredInput
from canvasplank.network.token_bucket import TokenBucket
from canvasplank.runtime.scheduler import MAX_ITERATION_MS, Scheduler, TimerQueue


class TestTokenBucket:
    """What a connection may still ask for."""

    def test_tokens_accrue_up_to_the_capacity(self):
        bucket = TokenBucket(10.0, 2.0, now_ms=0.0)
        assert [bucket.take(0.0) for _ in range(3)] == [True, True, False]
        assert [bucket.take(100.0) for _ in range(2)] == [True, False]
        assert [bucket.take(10_000.0) for _ in range(3)] == [True, True, False]

    def test_tokens_are_added_up_to_the_capacity(self):
        bucket = TokenBucket(10.0, 2.0, now_ms=0.0, initial=0.0)
        assert not bucket.has_token(0.0)
        bucket.add(5.0)
        assert [bucket.take(0.0) for _ in range(3)] == [True, True, False]

    def test_a_clock_that_goes_back_takes_no_tokens(self):
        bucket = TokenBucket(10.0, 2.0, now_ms=1000.0, initial=1.0)
        assert bucket.take(0.0) and not bucket.take(1000.0)


def test_connections_with_deferred_messages_take_turns():
    turns: list[str] = []

    class Stream:
        def __init__(self, name: str, messages: int) -> None:
            self.name, self.messages = name, messages

        def handle_deferred(self, max_messages: int) -> bool:
            turns.append(self.name)
            self.messages -= max_messages
            return self.messages > 0

    async def run() -> None:
        deferred = DeferredInput(Scheduler(TimerQueue(), clock=lambda: 0.0), Counters())
        deferred.add(Stream("a", 3 * MESSAGES_PER_TURN))
        deferred.add(Stream("b", MESSAGES_PER_TURN))
        while len(turns) < 4:
            await asyncio.sleep(0)

    asyncio.run(asyncio.wait_for(run(), WAIT_S))
    assert turns == ["a", "b", "a", "a"]


def test_timers_run_while_input_never_pauses():
    """Input at each poll held the timers back for 16 polls, whatever these took."""
    polls = []

    async def run() -> None:
        now = [0.0]
        scheduler = Scheduler(TimerQueue(), clock=lambda: now[0])
        fired = asyncio.Event()
        scheduler.call_later(0.0, fired.set)
        while not fired.is_set():
            polls.append(now[0])
            now[0] += MAX_ITERATION_MS
            scheduler.begin_iteration()
            await asyncio.sleep(0)

    asyncio.run(asyncio.wait_for(run(), WAIT_S))
    assert len(polls) <= 4


def with_caller(play: Callable[[CallerSideRig, socket.socket], Coroutine[None, None, None]]) -> None:
    async def run() -> None:
        rig = CallerSideRig()
        rig.callers.listen("127.0.0.1", rig.port)
        with await rig.caller() as peer:
            peer.setblocking(False)
            await play(rig, peer)
        rig.callers.stop_listening()

    run_coroutine(asyncio.wait_for(run(), WAIT_S))


async def read_messages(peer: socket.socket, count: int) -> list[isup.Message]:
    """Read up to ``count`` messages; fewer if the connection ends."""
    parser, messages = isup.Parser(), []
    while len(messages) < count:
        data = await asyncio.get_running_loop().sock_recv(peer, 65536)
        if not data:
            break
        messages += parser.feed(data)
    return messages


def test_every_message_past_the_allowance_is_answered_in_order():
    ids = [f"{number:016x}" for number in range(1, int(20 * INITIAL_MESSAGES))]

    async def play(rig: CallerSideRig, peer: socket.socket) -> None:
        peer.sendall(b"".join(isup.test(call_id) for call_id in ids))
        assert [each.call_id for each in await read_messages(peer, len(ids))] == ids
        assert rig.exchange.counters["taken.deferred"] > 0

    with_caller(play)


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
def test_a_release_among_deferred_messages_is_handled_after_its_caller_has_left(reset):
    async def play(rig: CallerSideRig, peer: socket.socket) -> None:
        peer.sendall(b"".join(isup.progress(ID) for _ in range(int(INITIAL_MESSAGES))) + RELEASE)
        if reset:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        peer.close()
        while not rig.released:
            await asyncio.sleep(0.005)

    with_caller(play)


def test_a_drain_closes_a_connection_only_after_its_deferred_messages():
    """They had been read, and got no answer."""
    count = int(20 * INITIAL_MESSAGES)

    async def play(rig: CallerSideRig, peer: socket.socket) -> None:
        peer.sendall(b"".join(isup.test(f"{number:016x}") for number in range(1, count + 1)))
        while not rig.exchange.counters["taken.deferred"]:
            await asyncio.sleep(0)
        rig.callers._pool.quiesce()
        [stream] = rig.callers.streams
        stream._close_if_still_drained()
        assert len(await read_messages(peer, count)) == count

    with_caller(play)


def test_set_ups_past_the_limit_of_their_caller_are_refused_and_counted():
    """Set-ups released at once took all that the servers admitted, and other calls waited in vain."""
    count = int(MAX_SET_UPS) + 30
    ids = [f"{number:016x}" for number in range(1, count + 1)]

    async def play(rig: CallerSideRig, peer: socket.socket) -> None:
        data = b"".join(set_up(call_id) + isup.release(call_id, 16) for call_id in ids)
        rejected = asyncio.create_task(read_messages(peer, count + 30))
        await asyncio.get_running_loop().sock_sendall(peer, data)
        answers = [each for each in await rejected if each.kind == isup.Kind.RELEASE]
        assert [(each.call_id, each.cause) for each in answers] == [(call_id, 42) for call_id in ids[-30:]]
        assert rig.exchange.counters["answered.over_caller_limit"] == 30

    with_caller(play)


def test_a_caller_that_releases_too_many_unknown_calls_is_disconnected():
    """Each goes to every call server, whose connections no longer took anything else."""
    count = int(MAX_UNKNOWN_RELEASES) + 1

    async def play(rig: CallerSideRig, peer: socket.socket) -> None:
        data = b"".join(isup.release(f"{number:016x}", 16) for number in range(1, count + 1))
        reading = asyncio.create_task(read_messages(peer, count))
        await asyncio.get_running_loop().sock_sendall(peer, data)
        with contextlib.suppress(ConnectionResetError):  # or fewer answers, and the end of the stream
            assert len(await reading) < count
        assert len(rig.released) == count - 1
        assert rig.exchange.counters["taken.releases_over_limit"] == 1

    with_caller(play)


def test_set_ups_under_an_id_that_has_ended_count_as_new_ones():
    """An id that its caller had released was not counted, however often it came again."""
    count = int(MAX_SET_UPS) + 30

    async def play(rig: CallerSideRig, peer: socket.socket) -> None:
        reading = asyncio.create_task(read_messages(peer, count + 30))
        await asyncio.get_running_loop().sock_sendall(peer, (set_up() + RELEASE) * count)
        assert len([each for each in await reading if each.kind == isup.Kind.RELEASE]) == 30
        assert rig.exchange.counters["answered.over_caller_limit"] == 30

    with_caller(play)


def test_a_connection_has_one_place_among_those_that_take_turns():
    """A connection whose writing resumes while it waits for a turn was added again, for each time."""

    class Stream:
        def handle_deferred(self, max_messages: int) -> bool:
            return True

    async def run() -> int:
        deferred, stream = DeferredInput(Scheduler(TimerQueue(), clock=lambda: 0.0), Counters()), Stream()
        for _ in range(50):
            deferred.add(stream)
        await asyncio.sleep(0)
        return len(deferred._streams)

    assert asyncio.run(run()) == 1
