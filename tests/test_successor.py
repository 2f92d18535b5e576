"""Calls that a stopping process hands to its successor, and the detection of its predecessor's end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from race_conditions import ID, WAIT_S, run_coroutine
from server_side import ServerSideRig, offered_call

from canvasplank.codecs import isup, sip
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.interface import ServerState
from canvasplank.network.predecessor import TEST_INTERVAL_MS, PredecessorStream
from canvasplank.network.stream import BufferBudget
from canvasplank.network.successor import Successor
from canvasplank.runtime.scheduler import Scheduler, TimerQueue
from emulators.fleet import free_port

OTHER_ID = "bb" * 8


class ListeningProcess:
    """A process that listens at the address, confirms or ignores releases, and answers tests."""

    def __init__(self, *, confirms: bool = True) -> None:
        self.connections: list[asyncio.StreamWriter] = []
        self.received: list[tuple[isup.Kind, str]] = []
        self._confirms = confirms

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        self._server.close()
        for connection in self.connections:
            connection.close()

    async def wait_until(self, happened: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not happened():
                await asyncio.sleep(0.005)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        parser = isup.Parser()
        while data := await reader.read(65_536):
            for message in parser.feed(data):
                self.received.append((isup.Kind(message.kind), message.call_id))
                if message.kind == isup.Kind.TEST:
                    writer.write(isup.test_result(message.call_id, True))
                elif self._confirms:
                    writer.write(isup.release_confirmed(message.call_id))


def make_successor(address: str) -> Successor:
    return Successor(Scheduler(TimerQueue()), BufferBudget(1e6), address)


def test_each_call_is_released_once_on_one_connection():
    async def run() -> None:
        listener = ListeningProcess()
        successor = make_successor(await listener.start())
        successor.release([ID])
        successor.release([ID, OTHER_ID])
        await listener.wait_until(lambda: len(listener.received) == 2)
        successor.release([ID])
        await successor.close(WAIT_S)
        assert listener.received == [(isup.Kind.RELEASE, ID), (isup.Kind.RELEASE, OTHER_ID)]
        assert len(listener.connections) == 1
        await listener.stop()

    run_coroutine(run())


@pytest.mark.parametrize("confirms", [True, False])
def test_a_call_is_settled_once_its_release_is_confirmed(confirms):
    async def run() -> bool:
        listener = ListeningProcess(confirms=confirms)
        successor = make_successor(await listener.start())
        successor.release([ID])
        assert not successor.has_confirmed(ID)
        await listener.wait_until(lambda: len(listener.received) == 1)
        await successor.close(WAIT_S if confirms else 0.1)
        await listener.stop()
        return successor.has_confirmed(ID)

    assert run_coroutine(run()) is confirms


@pytest.mark.parametrize("listens", [True, False])
def test_the_end_of_a_process_waits_a_bounded_time_for_its_successor(listens):
    async def run() -> None:
        listener = ListeningProcess(confirms=False)
        successor = make_successor(await listener.start() if listens else f"127.0.0.1:{free_port()}")
        successor.release([ID])
        async with asyncio.timeout(WAIT_S):
            await successor.close(0.1 if listens else 2 * WAIT_S)
        if listens:
            await listener.stop()

    run_coroutine(run())


def test_no_connection_is_made_without_calls_to_pass_on():
    async def run() -> None:
        listener = ListeningProcess()
        await make_successor(await listener.start()).close(WAIT_S)
        await asyncio.sleep(0)
        assert not listener.connections
        await listener.stop()

    run_coroutine(run())


async def abandon(rig: ServerSideRig) -> None:
    """Have the caller release the call, so that its attempt is cancelled."""
    rig.scheduler.begin_iteration()
    rig.exchange.on_released_by_caller(ID, 16)
    await rig.step()


async def receive_report(rig: ServerSideRig) -> None:
    """Have the server report its circuits on the connection of the set-up."""
    receive(rig, sip.request("NOTIFY", "exchange", "0" * 16, 1))
    await rig.step()


RELEASED = sip.request("BYE", "exchange", ID, 2, {"Reason": "Q.850;cause=16"})
CONFIRMED = sip.response(200, "OK", next(sip.Parser().feed(memoryview(sip.request("BYE", "call", ID, 1)))))


@pytest.mark.parametrize(
    ("received", "unsettled"),
    [
        pytest.param(b"", [ID], id="nothing"),
        pytest.param(RELEASED, [], id="the server's release"),
        pytest.param(CONFIRMED, [], id="the confirmation of our release"),
    ],
)
def test_a_call_cancelled_on_a_connection_that_was_replaced_is_settled_on_the_current_one(
    monkeypatch, received, unsettled
):
    async def run() -> list[str]:
        async with offered_call(monkeypatch) as rig:
            await rig.step()
            await abandon(rig)
            hung, peer = rig.first_stream(), rig.peers[rig.first_server]
            rig.servers.renew_connections()
            await rig.accept()
            async with asyncio.timeout(WAIT_S):
                while rig.first_stream() is hung or hung in hung.peer.streams:
                    await rig.step()
            assert ID in rig.first_stream().unconfirmed
            receive(rig, received)
            peer.close()
            return rig.servers.unsettled_calls()

    assert run_coroutine(run()) == unsettled


def receive(rig: ServerSideRig, data: bytes) -> None:
    """Pass these bytes to the current connection to the first server, as received."""
    if data:
        stream = rig.first_stream()
        stream.get_buffer(len(data))[: len(data)] = data
        stream.buffer_updated(len(data))


@pytest.mark.parametrize(
    ("steps", "unsettled"),
    [
        pytest.param([], [], id="still open"),
        pytest.param([abandon], [ID], id="given up, nothing received since"),
        pytest.param([abandon, receive_report], [], id="given up, data received since"),
    ],
)
def test_calls_that_a_server_may_yet_release_are_unsettled(monkeypatch, steps, unsettled):
    async def run() -> list[str]:
        async with offered_call(monkeypatch) as rig:
            await rig.step()
            for step in steps:
                await step(rig)
            return rig.servers.unsettled_calls()

    assert run_coroutine(run()) == unsettled


@pytest.mark.parametrize(
    ("cause", "is_gone", "waited_for"),
    [
        pytest.param(ReleaseCause.NORMAL_UNSPECIFIED, False, True, id="cancelled"),
        pytest.param(ReleaseCause.NORMAL_CLEARING, False, False, id="ended by its caller"),
        pytest.param(ReleaseCause.NORMAL_UNSPECIFIED, True, False, id="at a server that is gone"),
    ],
)
def test_the_end_of_a_process_waits_for_failed_calls_at_servers_that_may_come_back(
    monkeypatch, cause, is_gone, waited_for
):
    async def run() -> tuple[list[str], list[str]]:
        async with offered_call(monkeypatch) as rig:
            peer = rig.first_stream().peer
            await abandon(rig)
            peer.current = None
            peer.send_release(OTHER_ID, cause)
            if is_gone:
                peer.state = ServerState.GONE
            return rig.servers.unsettled_calls(), rig.servers.unsettled_attempts()

    unsettled, attempts = run_coroutine(run())
    assert OTHER_ID in unsettled
    assert (OTHER_ID in attempts) is waited_for


def test_a_call_that_is_established_elsewhere_is_settled(monkeypatch):
    """A release at the successor would end a call that is established for its caller."""

    async def run() -> list[str]:
        async with offered_call(monkeypatch) as rig:
            stream = rig.first_stream()
            await rig.step()
            stream.send_cancel(ID, 0, lambda: None)
            rig.exchange.on_established(rig.first_server, ID, 0, b"v=0 answer")
            return rig.servers.unsettled_calls()

    assert run_coroutine(run()) == []


def test_a_predecessor_is_sent_tests_until_it_ends_the_connection():
    async def run() -> None:
        listener, ended = ListeningProcess(), asyncio.Event()
        host, port = (await listener.start()).split(":")
        clock = [1_000_000.0]
        scheduler = Scheduler(TimerQueue(), clock=lambda: clock[0])
        await PredecessorStream(scheduler, BufferBudget(1e6), ended.set, lambda _: None).connect(
            host, int(port)
        )
        await listener.wait_until(lambda: len(listener.received) == 1)
        clock[0] += TEST_INTERVAL_MS
        scheduler.begin_iteration()
        await listener.wait_until(lambda: len(listener.received) == 2)
        assert set(listener.received) == {(isup.Kind.TEST, isup.UPGRADE_ID)}
        assert not ended.is_set()
        await listener.stop()
        async with asyncio.timeout(WAIT_S):
            await ended.wait()

    run_coroutine(run())
