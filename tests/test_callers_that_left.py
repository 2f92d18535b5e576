"""Callers that leave: none of their set-ups is sent on afterwards, and no call id runs twice."""

from __future__ import annotations

import asyncio
import contextlib
import math
import select
import socket
import subprocess
import time
from pathlib import Path

import pytest
from exchange_replay import SETTINGS
from race_conditions import ID, WAIT_S, set_up
from two_processes import Deployment, FakeCallServer, read_message

from canvasplank.codecs import isup
from canvasplank.codecs.q850 import ReleaseCause
from emulators.fleet import fleet
from emulators.misbehaving_callers import KNOWN_CLASS, Misbehaviour, start_misbehaving
from emulators.misbehaving_callers import set_up as usual_set_up
from emulators.server import CallServer

NOTICE_S = 0.3  # a caller's end is noticed by then
WATCHED_S = 1.5
SENDING_S = 1.0
OTHER_CALLERS = 300
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # SO_LINGER


def ids_of_set_ups(server: FakeCallServer, until_s: float) -> list[tuple[float, str]]:
    """Read all connections of a server up to a time; return when each set-up was read, and its call id."""
    seen: list[tuple[float, str]] = []
    on_message = server._on_message

    def record(message) -> None:
        if message.method == "INVITE" and not message.status:
            seen.append((time.monotonic(), message.call_id))
        on_message(message)

    server._on_message = record
    while (left_s := until_s - time.monotonic()) > 0:
        readable = select.select([server.listener, *server.connections], [], [], left_s)[0]
        for each in readable:
            if each is server.listener:
                server.accept()
            else:
                server.read_available(each)
    server._on_message = on_message
    return seen


def deployment_with(folder: Path, server: FakeCallServer) -> Deployment:
    return Deployment(folder, [server], SETTINGS)


@pytest.mark.parametrize("reads", [True, False], ids=["reads", "does not read"])
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
def test_no_set_up_is_sent_on_after_its_caller_has_left(tmp_path, reads, reset):
    """What was unread at the end of the connection was still offered, and sent on."""
    late, seen = asyncio.run(leave(tmp_path, reads=reads, reset=reset))
    assert seen > 0
    assert late == 0, f"of {seen}"


def test_no_set_up_is_sent_on_after_its_caller_has_left_a_busy_proxy(tmp_path):
    """Set-ups past the allowance of a connection wait for their turns; its end is not read before them."""
    late, _ = asyncio.run(leave(tmp_path, reads=True, reset=False, max_set_ups=150, others=OTHER_CALLERS))
    assert late == 0


async def leave(
    folder: Path, *, reads: bool, reset: bool, max_set_ups: float = math.inf, others: int = 0
) -> tuple[int, int]:
    """Have a caller leave; return how many set-ups arrived later at the server, and how many in all.

    ``others``: callers that misbehave meanwhile.
    """
    server = CallServer("s-0", 2000.0, hold_ms=100.0)
    async with fleet(folder, [server], 1) as deployment:
        proxy = await deployment.proxy("n0", 1)
        flood = await start_misbehaving(Misbehaviour.UNKNOWN_CLASSES, proxy.address, others, 5.0)
        if others:
            await asyncio.sleep(2.0)
        leaving = LeavingCaller(proxy.address, reads=reads)
        server.silent = bool(others)  # an answer would show that the caller has left
        await leaving.send_for(SENDING_S if not others else 0.1, max_set_ups)
        leaving.close(reset=reset)
        closed_s = asyncio.get_running_loop().time()
        await asyncio.sleep(WATCHED_S)
        late = [at_s for at_s in server.set_ups_at_s if at_s > closed_s + NOTICE_S]
        await flood.communicate()
        return len(late), server.set_ups


class LeavingCaller:
    """A caller that sends set-ups at full speed and leaves."""

    def __init__(self, address: str, *, reads: bool) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)), timeout=WAIT_S)
        self._socket.setblocking(False)
        self._reads = reads
        self._sent = 0

    async def send_for(self, seconds: float, max_set_ups: float) -> None:
        """Send set-ups under new ids for a time, and at most so many."""
        data, until_s = b"", time.monotonic() + seconds
        while time.monotonic() < until_s:
            if not data and self._sent < max_set_ups:
                data = b"".join(self._set_up() for _ in range(50))
            with contextlib.suppress(BlockingIOError):
                data = data[self._socket.send(data) :]
            if self._reads:
                with contextlib.suppress(BlockingIOError):
                    self._socket.recv(65536)
            await asyncio.sleep(0.001)

    def _set_up(self) -> bytes:
        self._sent += 1
        return usual_set_up(f"{self._sent:016x}", KNOWN_CLASS)

    def close(self, *, reset: bool) -> None:
        """Close the connection."""
        if reset:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._socket.close()


def test_an_id_that_ran_does_not_run_again_after_its_caller_has_left(tmp_path):
    """The caller's end cancelled the attempt, and the same id on a new connection was a new call."""
    server = FakeCallServer()
    deployment = deployment_with(tmp_path, server)
    try:
        deployment.start()
        connection = server.accept()
        with deployment.caller() as caller:
            caller.sendall(set_up())
            assert server.read_until(connection, "INVITE").call_id == ID
        server.read_until(connection, "CANCEL")
        with deployment.caller() as caller:
            caller.sendall(set_up())
            answer = read_message(caller, isup.Kind.RELEASE)
            assert (answer.call_id, answer.cause) == (ID, ReleaseCause.TEMPORARY_FAILURE)
            assert ids_of_set_ups(server, time.monotonic() + NOTICE_S) == []
    finally:
        deployment.stop()


@pytest.mark.parametrize("first", ["old", "new"])
def test_an_id_that_ran_does_not_run_at_the_other_process_of_an_upgrade(tmp_path, first):
    """Each process knew only its own calls: an id whose caller had left one ran again at the other."""
    server = FakeCallServer()
    deployment = deployment_with(tmp_path, server)
    try:
        old = deployment.start()
        server.accept()
        caller = deployment.caller()  # at the old process
        deployment.start()
        server.accept()
        if first == "new":
            caller.close()
            caller = caller_at(deployment, old, is_old=False)
        caller.sendall(set_up(wait_ms=60_000))
        assert [call_id for _, call_id in ids_of_set_ups(server, time.monotonic() + NOTICE_S)] == [ID]
        caller.close()
        time.sleep(2 * NOTICE_S)
        with caller_at(deployment, old, is_old=first == "new") as caller:
            caller.sendall(set_up())
            assert read_message(caller, isup.Kind.RELEASE).cause == ReleaseCause.TEMPORARY_FAILURE
        assert ids_of_set_ups(server, time.monotonic() + NOTICE_S) == []
    finally:
        deployment.stop()


def caller_at(deployment: Deployment, old: subprocess.Popen, *, is_old: bool) -> socket.socket:
    """Connect to the old process of an upgrade, or to the new one."""
    while True:
        caller = deployment.caller()
        if (caller.getsockname()[1] in ports_of_peers(old)) == is_old:
            return caller
        caller.close()


def ports_of_peers(process: subprocess.Popen) -> set[int]:
    """Return the remote ports of the TCP connections that a process holds."""
    inodes = set()
    for path in Path(f"/proc/{process.pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            inodes.add(path.readlink().name.removeprefix("socket:[").removesuffix("]"))
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return {int(row[2].rpartition(":")[2], 16) for row in rows if row[9] in inodes}


def test_a_caller_that_half_closes_gets_the_answers_to_all_that_it_sent(tmp_path):
    """Its end of stream is that of a caller that has left; only a write tells them apart."""
    count = 60
    server = FakeCallServer()
    deployment = deployment_with(tmp_path, server)
    try:
        deployment.start()
        server.accept()
        with deployment.caller() as caller:
            unknown = [set_up(f"{number:016x}").replace(b"low", b"mad") for number in range(1, count + 1)]
            caller.sendall(b"".join(unknown))
            caller.shutdown(socket.SHUT_WR)
            received, parser = [], isup.Parser()
            with contextlib.suppress(TimeoutError):
                while data := caller.recv(65536):
                    received += [each for each in parser.feed(data) if each.kind == isup.Kind.RELEASE]
            assert len({each.call_id for each in received}) == len(received) == count
    finally:
        deployment.stop()
