"""The phases of a drain of callers, and what they mean for a connection and its set-ups."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
from race_conditions import ID, WAIT_S, CallerSideRig, read_until_eof, run_coroutine, set_up

from canvasplank import interface as api
from canvasplank.codecs import isup
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.network.caller_drain import (
    CALLER_IDLE_MS,
    DRAIN_EXPIRED_MS,
    DRAIN_OVERDUE_MS,
    RECENT_SET_UP_MS,
    CallerDrain,
    DrainPhase,
)

ESTABLISHED, SECOND = "dd" * 8, "bb" * 8
REFUSED, FAILED = ReleaseCause.SWITCHING_CONGESTION, ReleaseCause.TEMPORARY_FAILURE
MANY = 400  # open set-ups on one connection, more than a call stack is deep with a few calls for each


@pytest.mark.parametrize(
    ("after_ms", "phase"),
    [
        (0.0, DrainPhase.QUIESCED),
        (DRAIN_OVERDUE_MS - 1, DrainPhase.QUIESCED),
        (DRAIN_OVERDUE_MS, DrainPhase.OVERDUE),
        (DRAIN_EXPIRED_MS, DrainPhase.EXPIRED),
        (1e9, DrainPhase.EXPIRED),
    ],
)
def test_the_phase_follows_the_time_since_the_first_quiesce(after_ms, phase):
    drain = CallerDrain()
    assert drain.phase(5.0) is DrainPhase.NONE
    assert drain.begin(5.0)
    assert not drain.begin(5.0 + DRAIN_OVERDUE_MS / 2), "a second quiesce does not begin the drain anew"
    assert drain.phase(5.0 + after_ms) is phase
    drain.end()
    assert drain.phase(5.0 + after_ms) is DrainPhase.NONE


class DrainRig(CallerSideRig):
    """The callers' side with one connected caller; calls in ``queued`` are never sent to a server."""

    def __init__(self) -> None:
        super().__init__()
        self.queued: set[str] = set()
        self.events: list[api.Event] = []
        self.decide = self._decide

    def _decide(self, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        if isinstance(event, api.Call) and event.id not in self.queued:
            return [api.SetUp(event.id, "a", 9000)]
        return []

    async def place(self, peer: socket.socket, *call_ids: str) -> None:
        """Send set-ups, and wait until they are read."""
        before = self.exchange.counters["taken.set_ups"]
        peer.sendall(b"".join(map(set_up, call_ids)))
        async with asyncio.timeout(WAIT_S):
            while self.exchange.counters["taken.set_ups"] < before + len(call_ids):
                await asyncio.sleep(0.002)

    async def establish(self, peer: socket.socket, call_id: str) -> None:
        """Place a call and have a server answer it."""
        await self.place(peer, call_id)
        self.exchange.on_established("a", call_id, 0, b"v=0 answer")

    async def quiesce(self) -> None:
        self.scheduler.begin_iteration()
        self.callers.quiesce()
        await self.advance_time(0.0)


def play(scenario: Callable[[DrainRig, socket.socket], Awaitable[None]]) -> tuple[dict[str, list[int]], bool]:
    """Run a scenario; return the causes received for each call, 0 for an answer, and whether the end came."""

    async def run() -> tuple[bytes, bool]:
        rig = DrainRig()
        rig.callers.listen("127.0.0.1", rig.port)
        peer = await rig.caller()
        await scenario(rig, peer)
        await rig.advance_time(0.0)  # the end of the iteration
        [stream] = rig.callers.streams or [None]
        ended = stream is None or stream.writing_closed
        if not ended:
            stream.close_writing()
        received = await asyncio.get_running_loop().run_in_executor(None, read_until_eof, peer)
        peer.close()
        rig.callers.stop_listening()
        return received, ended

    received, ended = run_coroutine(run())
    causes: dict[str, list[int]] = {}
    for message in isup.Parser().feed(memoryview(received)):
        if message.kind in (isup.Kind.ANSWER, isup.Kind.RELEASE):
            cause = message.cause if message.kind == isup.Kind.RELEASE else 0
            causes.setdefault(message.call_id, []).append(cause)
    return causes, ended


def test_an_overdue_drain_refuses_new_set_ups_and_closes_after_the_last_answer():
    """A connection on which set-ups overlapped always had one open, and was never closed."""

    async def scenario(rig: DrainRig, peer: socket.socket) -> None:
        await rig.place(peer, ID)
        await rig.quiesce()
        await rig.advance_time(DRAIN_OVERDUE_MS)
        await rig.place(peer, SECOND)
        assert rig.exchange.open_calls == 1, "the refused call reaches neither the table nor the module"
        rig.exchange.on_established("a", ID, 0, b"v=0 answer")

    assert play(scenario) == ({SECOND: [REFUSED], ID: [0]}, True)


def test_a_set_up_sent_again_in_an_overdue_drain_belongs_to_its_open_call():
    async def scenario(rig: DrainRig, peer: socket.socket) -> None:
        await rig.place(peer, ID)
        await rig.quiesce()
        await rig.advance_time(DRAIN_OVERDUE_MS)
        await rig.place(peer, ID)
        rig.exchange.on_established("a", ID, 0, b"v=0 answer")

    assert play(scenario) == ({ID: [0]}, True)


def test_set_ups_early_in_a_drain_are_served():
    async def scenario(rig: DrainRig, peer: socket.socket) -> None:
        await rig.place(peer, ID)
        await rig.quiesce()
        await rig.place(peer, SECOND)
        rig.exchange.on_established("a", ID, 0, b"v=0 answer")
        rig.exchange.on_established("a", SECOND, 0, b"v=0 answer")

    assert play(scenario) == ({ID: [0], SECOND: [0]}, False)


def test_an_expired_drain_gives_up_the_open_set_ups_of_a_connection_in_use():
    """A set-up that waited for its server or in the queue held its connection until its caller's deadline."""

    async def scenario(rig: DrainRig, peer: socket.socket) -> None:
        rig.queued = {SECOND}
        await rig.establish(peer, ESTABLISHED)
        await rig.quiesce()
        await rig.advance_time(DRAIN_OVERDUE_MS - 1)
        await rig.place(peer, ID, SECOND)
        await rig.advance_time(DRAIN_EXPIRED_MS - DRAIN_OVERDUE_MS + 1)
        assert {e.call_id for e in rig.events if isinstance(e, api.CallAbandoned)} == {ID, SECOND}
        [attempt] = rig.exchange._table.open.values()
        assert attempt.in_flight.cancelled, "the attempt is cancelled at its server"

    assert play(scenario) == ({ESTABLISHED: [0], ID: [FAILED], SECOND: [REFUSED]}, True)


def test_many_open_set_ups_are_given_up_at_once():
    call_ids = [f"{number:016x}" for number in range(1, MANY)]

    async def scenario(rig: DrainRig, peer: socket.socket) -> None:
        rig.exchange._table._max_open = MANY
        rig.queued = set(call_ids)
        await rig.establish(peer, ESTABLISHED)
        await rig.quiesce()
        await rig.advance_time(DRAIN_OVERDUE_MS - 1)
        await rig.place(peer, *call_ids)
        await rig.advance_time(DRAIN_EXPIRED_MS - DRAIN_OVERDUE_MS + 1)

    assert play(scenario) == ({ESTABLISHED: [0]} | {call_id: [REFUSED] for call_id in call_ids}, True)


def test_an_expired_drain_keeps_a_connection_whose_only_set_up_is_not_recent():
    """The page that limits a drain excuses it: its caller waits for longer than the drain may take."""

    async def scenario(rig: DrainRig, peer: socket.socket) -> None:
        await rig.place(peer, ID)
        await rig.quiesce()
        await rig.advance_time(DRAIN_EXPIRED_MS)
        assert rig.exchange.open_calls == 1

    assert play(scenario) == ({}, False)


def test_a_set_up_in_an_expired_drain_ends_the_connection_that_was_kept():
    async def scenario(rig: DrainRig, peer: socket.socket) -> None:
        await rig.place(peer, ID)
        await rig.quiesce()
        await rig.advance_time(DRAIN_EXPIRED_MS)
        await rig.place(peer, SECOND)

    assert play(scenario) == ({SECOND: [REFUSED], ID: [FAILED]}, True)


@pytest.mark.parametrize(
    ("last_set_up_ms", "drained_ms", "ended"),
    [
        (RECENT_SET_UP_MS - 1, DRAIN_OVERDUE_MS, True),
        (RECENT_SET_UP_MS, DRAIN_OVERDUE_MS, False),
        (CALLER_IDLE_MS - 1, DRAIN_EXPIRED_MS, True),
        (CALLER_IDLE_MS, DRAIN_EXPIRED_MS, False),
    ],
)
def test_a_connection_with_an_established_call_is_kept_only_if_its_caller_has_stopped_using_it(
    last_set_up_ms, drained_ms, ended
):
    """Callers use a connection that is open: its next set-up came after the time for the drain."""

    async def scenario(rig: DrainRig, peer: socket.socket) -> None:
        await rig.establish(peer, ESTABLISHED)
        before_quiesce_ms = max(0.0, last_set_up_ms - drained_ms)
        if before_quiesce_ms:
            await rig.establish(peer, ID)
            await rig.advance_time(before_quiesce_ms)
            await rig.quiesce()
            await rig.advance_time(drained_ms)
        else:
            await rig.quiesce()
            await rig.advance_time(drained_ms - last_set_up_ms)
            await rig.establish(peer, ID)
            await rig.advance_time(last_set_up_ms)

    assert play(scenario) == ({ESTABLISHED: [0], ID: [0]}, ended)


def test_a_resume_ends_the_refusals():
    async def scenario(rig: DrainRig, peer: socket.socket) -> None:
        await rig.place(peer, ID)
        await rig.quiesce()
        await rig.advance_time(DRAIN_OVERDUE_MS)
        rig.callers.resume()
        await rig.place(peer, SECOND)
        rig.exchange.on_established("a", SECOND, 0, b"v=0 answer")

    assert play(scenario) == ({SECOND: [0]}, False)
