"""Releases by a server that meet the end of a process reach the caller by the process that comes next."""

from __future__ import annotations

import asyncio
import contextlib
import select
import signal
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
from race_conditions import ID, WAIT_S, run_coroutine, set_up
from server_side import ServerSide, offered_call
from two_processes import Deployment, StandInServer, read_message

from canvasplank.codecs import isup, sip

STOPS_WHEN_CONFIRMED = pytest.mark.parametrize(
    "stops_when_confirmed", [True, False], ids=["till confirmed", "in any case"]
)


@contextlib.contextmanager
def established_call(folder: Path, server: StandInServer) -> Iterator[tuple[Deployment, socket.socket]]:
    """A process, and the caller of a call that it has established at the server."""
    deployment = Deployment(folder, [server])
    try:
        deployment.start()
        connection = server.accept()
        with deployment.caller() as caller:
            caller.sendall(set_up())
            server.answer(connection, server.read_until(connection, "INVITE"))
            read_message(caller, isup.Kind.ANSWER)
            yield deployment, caller
    finally:
        deployment.stop()


def release_to_a_closing_caller(deployment: Deployment, caller: socket.socket) -> None:
    """Have the old process told to stop, and the call released as its caller closes its connection."""
    old, [server] = deployment.processes[0], deployment.servers
    connection = server.established[ID]
    old.send_signal(signal.SIGTERM)
    server.release(ID)
    assert select.select([caller], [], [], WAIT_S)[0], "the release is written"
    caller.close()  # and unread
    server.read_to_the_end(connection)
    assert old.wait(WAIT_S) == 0


def assert_released(deployment: Deployment) -> None:
    """The caller's next connection brings the release."""
    with deployment.caller() as caller:
        released = read_message(caller, isup.Kind.RELEASE)
    assert (released.call_id, released.cause) == (ID, 16)


@STOPS_WHEN_CONFIRMED
def test_a_release_written_to_a_caller_that_closes_reaches_it_after_a_restart(tmp_path, stops_when_confirmed):
    """It was confirmed to the server as it was written, and so not sent to the process that came next."""
    server = StandInServer(stops_when_confirmed)
    with established_call(tmp_path, server) as (deployment, caller):
        release_to_a_closing_caller(deployment, caller)
        deployment.start()
        server.accept()
        assert_released(deployment)


@STOPS_WHEN_CONFIRMED
def test_a_release_written_to_a_caller_that_closes_reaches_it_after_an_upgrade(
    tmp_path, stops_when_confirmed
):
    """The new process had its connections to servers before, and opened none on which it would be sent."""
    server = StandInServer(stops_when_confirmed)
    with established_call(tmp_path, server) as (deployment, caller):
        deployment.start()
        server.accept()
        release_to_a_closing_caller(deployment, caller)
        server.accept()
        assert_released(deployment)


def test_a_renewed_connection_takes_over_and_the_old_one_stays_for_its_calls(monkeypatch):
    async def run() -> None:
        async with offered_call(monkeypatch) as rig:
            old, name = rig.peers[rig.first_server], rig.first_server
            await answer_offered_call(rig, old)
            assert rig.exchange.established_calls == 1
            old_stream = rig.first_stream()
            rig.servers.renew_connections()
            await rig.accept()
            async with asyncio.timeout(WAIT_S):
                while rig.first_stream() is old_stream:
                    await rig.step()
            await rig.step()
            assert old_stream.is_open, "the call that was set up there is established"
            release = sip.request("BYE", "exchange", ID, 2, {"Reason": "Q.850;cause=16"})
            old.sendall(release)
            async with asyncio.timeout(WAIT_S):
                while rig.exchange.established_calls:
                    await rig.step()
            assert rig.peers[name] is not old
            old.close()

    run_coroutine(run())


async def answer_offered_call(rig: ServerSide, peer: socket.socket) -> None:
    """Establish the call that is out at its first server."""
    loop, parser = asyncio.get_running_loop(), sip.Parser()
    invite = next(parser.feed(memoryview(await loop.run_in_executor(None, peer.recv, 65_536))))
    peer.sendall(sip.response(200, "OK", invite))
    async with asyncio.timeout(WAIT_S):
        while not rig.exchange.established_calls:
            await rig.step()
