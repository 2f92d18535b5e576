"""Releases sent by a server at the end of a process reach the caller through the next process."""

from __future__ import annotations

import asyncio
import contextlib
import select
import signal
import socket
import subprocess
import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest
from exchange_replay import SETTINGS
from race_conditions import ID, TEST, WAIT_S, read_until_eof, run_coroutine, set_up
from server_side import ServerSideRig, offered_call
from two_processes import Deployment, FakeCallServer, read_message

from canvasplank.codecs import isup, sip
from canvasplank.network.caller_releases import PENDING_RELEASE_DELAY_MS
from canvasplank.network.release_retransmission import CONFIRMATION_WINDOW_MS
from canvasplank.network.server_stream import ServerStream
from canvasplank.program import PREDECESSOR_END_MS

STOPS_WHEN_CONFIRMED = pytest.mark.parametrize(
    "stops_when_confirmed", [True, False], ids=["until confirmed", "in any case"]
)


class AttemptedCall(NamedTuple):
    """An unanswered call whose server has read its set-up on ``connection``."""

    deployment: Deployment
    caller: socket.socket
    connection: socket.socket
    invite: sip.Message


@contextlib.contextmanager
def attempted_call(
    folder: Path, server: FakeCallServer, settings: dict | None = None, wait_ms: int = 9000
) -> Iterator[AttemptedCall]:
    """Start a process and have it send a call to the server; the caller waits for ``wait_ms``."""
    deployment = Deployment(folder, [server], settings)
    try:
        deployment.start()
        connection = server.accept()
        with deployment.caller() as caller:
            caller.sendall(set_up(wait_ms=wait_ms))
            invite = server.read_until(connection, "INVITE")
            yield AttemptedCall(deployment, caller, connection, invite)
    finally:
        deployment.stop()


@contextlib.contextmanager
def established_call(folder: Path, server: FakeCallServer) -> Iterator[tuple[Deployment, socket.socket]]:
    """Start a process and have it establish a call at the server; yields the caller's connection."""
    with attempted_call(folder, server) as (deployment, caller, connection, invite):
        server.answer(connection, invite)
        read_message(caller, isup.Kind.ANSWER)
        yield deployment, caller


def release_to_a_closing_caller(deployment: Deployment, caller: socket.socket) -> None:
    """Terminate the old process, and release the call while its caller closes its connection."""
    old, [server] = deployment.processes[0], deployment.servers
    connection = server.established[ID]
    old.send_signal(signal.SIGTERM)
    server.release(ID)
    assert select.select([caller], [], [], WAIT_S)[0], "the release is written"
    caller.close()  # without reading it
    server.read_until_eof(connection)
    assert old.wait(WAIT_S) == 0


def assert_released(deployment: Deployment) -> None:
    """Check that the caller's next connection carries the release."""
    with deployment.caller() as caller:
        released = read_message(caller, isup.Kind.RELEASE)
    assert (released.call_id, released.cause) == (ID, 16)


@STOPS_WHEN_CONFIRMED
def test_a_release_written_to_a_caller_that_closes_reaches_it_after_a_restart(tmp_path, stops_when_confirmed):
    """The release was confirmed to the server when written, and so not sent to the next process."""
    server = FakeCallServer(stops_when_confirmed)
    with established_call(tmp_path, server) as (deployment, caller):
        release_to_a_closing_caller(deployment, caller)
        deployment.start()
        server.accept()
        assert_released(deployment)


@STOPS_WHEN_CONFIRMED
def test_a_release_written_to_a_caller_that_closes_reaches_it_after_an_upgrade(
    tmp_path, stops_when_confirmed
):
    """The new process had connections to servers already, and opened none to receive the release."""
    server = FakeCallServer(stops_when_confirmed)
    with established_call(tmp_path, server) as (deployment, caller):
        deployment.start()
        server.accept()
        release_to_a_closing_caller(deployment, caller)
        server.accept()
        assert_released(deployment)


@pytest.mark.parametrize("lifecycles", [["draining"], ["draining", "ready"]], ids=["alone", "beside another"])
def test_a_call_at_a_server_that_drains_at_a_restart_is_released_to_its_caller(tmp_path, lifecycles):
    """With the deployed subset, a process that had just started connected to no draining server."""
    servers = [FakeCallServer() for _ in lifecycles]
    deployment = Deployment(tmp_path, servers, CANVASPLANK_STARTING="deploy/subset.toml")
    try:
        old = deployment.start()
        connection = servers[0].accept()
        with deployment.caller() as caller:
            caller.sendall(set_up())
            servers[0].answer(connection, servers[0].read_until(connection, "INVITE"))
            read_message(caller, isup.Kind.ANSWER)
            deployment.list(lifecycles)
            old.send_signal(signal.SIGTERM)
            servers[0].read_until_eof(connection)
        assert old.wait(WAIT_S) == 0
        deployment.start()
        servers[0].accept()
        servers[0].release(ID)
        assert_released(deployment)
    finally:
        deployment.stop()


LATE_CONNECTION_S = 0.3  # new connections may arrive until 0.4 s after SIGTERM


@contextlib.contextmanager
def released_by_the_process_itself(folder: Path) -> Iterator[Deployment]:
    """Have a process release a call whose server has gone while no caller is connected; terminate it."""
    server = FakeCallServer()
    with established_call(folder, server) as (deployment, caller):
        server.close()
        caller.close()
        process = deployment.processes[0]
        deadline_s = time.monotonic() + WAIT_S
        while "ends_for_servers=1" not in deployment.log():
            assert time.monotonic() < deadline_s, "the process has not released the call"
            process.send_signal(signal.SIGUSR1)  # prints the counters
            time.sleep(0.1)
        time.sleep(PENDING_RELEASE_DELAY_MS / 1000)  # until it has found no connection
        process.send_signal(signal.SIGTERM)
        yield deployment


def test_a_release_of_the_process_itself_reaches_a_caller_that_connects_before_its_end(tmp_path):
    """The release waited for a connection with calls and was lost: no server sends it to the next process."""
    with released_by_the_process_itself(tmp_path) as deployment:
        time.sleep(LATE_CONNECTION_S)
        with deployment.caller() as caller:
            caller.sendall(TEST)
            assert read_message(caller, isup.Kind.RELEASE).call_id == ID
        assert deployment.processes[0].wait(WAIT_S) == 0


def test_a_release_of_the_process_itself_reaches_a_caller_that_connects_after_its_end(tmp_path):
    """The release is lost if no caller connects before the process ends: nothing else knows of the call."""
    with released_by_the_process_itself(tmp_path) as deployment:
        assert deployment.processes[0].wait(WAIT_S) == 0
        deployment.start()
        with deployment.caller() as caller:
            caller.sendall(TEST)
            assert read_message(caller, isup.Kind.RELEASE).call_id == ID


# The process fails open calls 1.9 s after SIGTERM, before it considers a connection silent.
SHORT_DEADLINE_SETTINGS = SETTINGS | {
    "profiles": [profile | {"aim_ms": 1500.0, "deadline_ms": 1500.0} for profile in SETTINGS["profiles"]],
    "family_info": SETTINGS["family_info"] | {"resend_ms": 8000.0},
}
MARKER_ID = "dd" * 8


def fail_call_by_shutdown(deployment: Deployment, caller: socket.socket) -> None:
    """Terminate the process, which fails the caller's call before it ends."""
    deployment.processes[0].send_signal(signal.SIGTERM)
    assert read_message(caller, isup.Kind.RELEASE).call_id == ID
    read_until_eof(caller)


def assert_not_released_by_the_next_process(deployment: Deployment, server: FakeCallServer) -> None:
    """Start the next process and check that it passes on releases, except that of the failed call."""
    deployment.start()
    assert_not_released(deployment, server, server.accept())


def assert_not_released(deployment: Deployment, server: FakeCallServer, connection: socket.socket) -> None:
    """Check that the process on this connection passes on releases, except that of the failed call."""
    server.established[MARKER_ID] = connection
    for call_id in list(server.established):
        server.release(call_id)
    with deployment.caller() as caller:
        assert read_message(caller, isup.Kind.RELEASE).call_id == MARKER_ID


def test_a_call_whose_answer_crosses_its_cancellation_at_the_end_of_the_process_fails_once(tmp_path):
    """The server established the call; the next process passed its release on as a second final answer."""
    server = FakeCallServer()
    with attempted_call(tmp_path, server, SHORT_DEADLINE_SETTINGS) as (
        deployment,
        caller,
        connection,
        invite,
    ):
        fail_call_by_shutdown(deployment, caller)
        server.answer(connection, invite)  # before it has read the cancellation
        assert deployment.processes[0].wait(WAIT_S) == 0
        server.read_all_until_eof()
        assert_not_released_by_the_next_process(deployment, server)


def test_a_call_whose_cancellation_hangs_at_the_end_of_the_process_fails_once(tmp_path):
    """The connection of the set-up hangs; another is established before the process ends."""
    server = FakeCallServer()
    with attempted_call(tmp_path, server) as (deployment, caller, hung, _):
        server.established[ID] = hung  # its answer is lost
        server.accept()
        fail_call_by_shutdown(deployment, caller)
        assert deployment.processes[0].wait(WAIT_S) == 0
        server.connections.remove(hung)
        server.read_all_until_eof()
        hung.close()
        assert_not_released_by_the_next_process(deployment, server)


def hang(server: FakeCallServer, connection: socket.socket) -> None:
    """Leave the connection without traffic, and accept no other."""


def send_unreadable(server: FakeCallServer, connection: socket.socket) -> None:
    """Have the process end the connection, and accept no other that could carry the release."""
    server.listener.close()
    connection.sendall(b"noise\r\n\r\n")


@pytest.mark.parametrize("disturb", [hang, send_unreadable])
def test_a_call_that_failed_while_its_server_was_out_of_reach_fails_once_across_an_upgrade(tmp_path, disturb):
    """The server established the call and released it to the new process, which passed that on."""
    server = FakeCallServer()
    with attempted_call(tmp_path, server, SHORT_DEADLINE_SETTINGS) as (deployment, caller, out_of_reach, _):
        deployment.start()
        connection = server.accept()
        disturb(server, out_of_reach)
        fail_call_by_shutdown(deployment, caller)
        assert deployment.processes[0].wait(WAIT_S) == 0
        server.connections.remove(out_of_reach)
        server.established[ID] = connection  # its answer was lost
        assert_not_released(deployment, server, connection)
        out_of_reach.close()


CALLER_WAIT_MS = 1200  # the call fails well before the shutdown must be complete
OUT_OF_REACH_S = 1.0  # from the failure of the call


def refuse_connections(server: FakeCallServer) -> tuple[str, int]:
    """Close the server's listener, and return its address."""
    address = server.listener.getsockname()
    server.listener.close()
    return address


def serve_until_ended(server: FakeCallServer, process: subprocess.Popen) -> None:
    """Accept connections and read messages until the process ends."""
    deadline_s = time.monotonic() + WAIT_S
    while process.poll() is None:
        assert time.monotonic() < deadline_s, "the process does not end"
        readable, _, _ = select.select([server.listener, *server.connections], [], [], 0.01)
        for each in readable:
            if each is server.listener:
                server.accept()
            else:
                server.read_available(each)
    server.read_all_until_eof()


@pytest.mark.parametrize("ends_unreadably", [False, True], ids=["hangs", "is ended"])
@STOPS_WHEN_CONFIRMED
def test_a_call_that_failed_while_its_server_was_out_of_reach_fails_once_across_a_restart(
    tmp_path, ends_unreadably, stops_when_confirmed
):
    """The server is reachable again while the old process may run, and has released the call by itself."""
    server = FakeCallServer(stops_when_confirmed)
    with attempted_call(tmp_path, server, wait_ms=CALLER_WAIT_MS) as (deployment, caller, out_of_reach, _):
        address = refuse_connections(server)
        if ends_unreadably:
            out_of_reach.sendall(b"noise\r\n\r\n")
        old = deployment.processes[0]
        old.send_signal(signal.SIGTERM)
        assert read_message(caller, isup.Kind.RELEASE).call_id == ID
        time.sleep(OUT_OF_REACH_S)
        become_reachable_and_release(server, address, out_of_reach)
        serve_until_ended(server, old)
        assert old.returncode == 0
        assert_not_released_by_the_next_process(deployment, server)


def become_reachable_and_release(
    server: FakeCallServer, address: tuple[str, int], lost: socket.socket
) -> None:
    """Have the server accept connections again, and release the call, whose answer was lost."""
    server.listener = socket.create_server(address)
    server.established[ID] = lost
    server.release(ID)


def test_a_call_that_failed_while_its_server_was_out_of_reach_past_the_end_of_the_process_fails_once(
    tmp_path,
):
    """No process that knows the call is left, and the next cannot tell it from an established one."""
    server = FakeCallServer()
    with attempted_call(tmp_path, server, wait_ms=CALLER_WAIT_MS) as (deployment, caller, out_of_reach, _):
        address = refuse_connections(server)
        fail_call_by_shutdown(deployment, caller)
        assert deployment.processes[0].wait(WAIT_S) == 0
        become_reachable_and_release(server, address, out_of_reach)
        assert_not_released_by_the_next_process(deployment, server)


REFUSED = f"SIP/2.0 487 X\r\nCall-ID: {ID}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n".encode()
REPORTED = sip.request("NOTIFY", "exchange", "0" * 16, 1)


@pytest.mark.parametrize(
    ("after_ms", "received", "released"),
    [
        pytest.param(0.0, b"", True, id="nothing received"),
        pytest.param(CONFIRMATION_WINDOW_MS - 1, REPORTED, True, id="received too soon to tell"),
        pytest.param(CONFIRMATION_WINDOW_MS, REPORTED, False, id="received once no answer can be in transit"),
        pytest.param(0.0, REFUSED, False, id="refused"),
    ],
)
def test_a_cancelled_attempt_is_released_at_shutdown_if_its_answer_may_be_in_transit(
    monkeypatch, after_ms: float, received: bytes, released: bool
):
    async def run() -> bytes:
        async with offered_call(monkeypatch) as rig:
            stream, peer = rig.first_stream(), rig.peers[rig.first_server]
            rig.scheduler.begin_iteration()
            rig.exchange.on_released_by_caller(ID, 16)
            await rig.step(after_ms)
            stream.buffer_updated(fill(stream, received))
            rig.servers.disconnect()
            return await asyncio.get_running_loop().run_in_executor(None, read_until_eof, peer)

    sent = run_coroutine(run())
    assert b"CANCEL" in sent
    assert (b"BYE" in sent) == released


def fill(stream: ServerStream, data: bytes) -> int:
    """Put these bytes into the connection's read buffer, and return their number."""
    stream.get_buffer(len(data))[: len(data)] = data
    return len(data)


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


async def answer_offered_call(rig: ServerSideRig, peer: socket.socket) -> None:
    """Answer the offered call at its first server, and wait until it is established."""
    loop, parser = asyncio.get_running_loop(), sip.Parser()
    invite = next(parser.feed(memoryview(await loop.run_in_executor(None, peer.recv, 65_536))))
    peer.sendall(sip.response(200, "OK", invite))
    async with asyncio.timeout(WAIT_S):
        while not rig.exchange.established_calls:
            await rig.step()


def test_a_release_written_as_the_old_process_ends_reaches_the_new_one_soon_after(tmp_path):
    """The server had not noticed the end; the new process collected the release only 5 s after its start."""
    server = FakeCallServer()
    with established_call(tmp_path, server) as (deployment, _):
        started_s = time.monotonic()
        deployment.start()
        server.accept()
        old = deployment.processes[0]
        old.send_signal(signal.SIGTERM)
        assert old.wait(WAIT_S) == 0
        server.release(ID)  # on the ended connection, whose end it has not read yet
        server.accept()
        assert time.monotonic() - started_s < PREDECESSOR_END_MS / 1000
        assert_released(deployment)
