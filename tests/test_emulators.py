"""The emulators themselves: one that stops unnoticed would let a test pass that observed nothing."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from canvasplank.codecs import sip
from canvasplank.codecs.errors import BadMessageError
from canvasplank.config.addresses import parse_address
from emulators.callers import Callers
from emulators.fleet import PortReservations, free_port
from emulators.server import CallServer
from emulators.unreadable_messages import UnreadableKind

ROOT = Path(__file__).parent.parent
EPHEMERAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")
WAIT_S = 20.0
RESERVE = """
import sys
from pathlib import Path
from emulators.fleet import PortReservations
reservations = PortReservations(Path(sys.argv[1]))
print(reservations.reserve(40_001), reservations.reserve(40_002), flush=True)
sys.stdin.read()
"""
CALL_ID = "0123456789abcdef"
WITHIN_S = 10.0  # for what is due at once
HOLD_MS = 100.0
LATE_S = 60.0  # longer than any test


@pytest.fixture(autouse=True)
def frequent_reports(monkeypatch):
    """A message that stops short is filled up with them: have them come soon."""
    monkeypatch.setattr("emulators.server.REPORT_INTERVAL_S", 0.02)


def test_calls_without_a_proxy_are_lost_and_arrivals_continue():
    async def run():
        callers = Callers(seed=1)
        await callers.offer(200.0, 0.3)
        assert len(callers.tries) > 20
        assert {attempt.outcome for attempt in callers.tries.values()} == {"lost"}

    asyncio.run(run())


def test_a_port_is_reserved_by_one_process_at_a_time(tmp_path):
    """Two runs of the tests at once could be given one port, and divide the callers of both proxies."""
    path = tmp_path / "ports"
    mine = PortReservations(path)
    assert mine.reserve(40_001) and not mine.reserve(40_001)
    command = [sys.executable, "-c", RESERVE, str(path)]
    with subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as other:
        try:
            assert other.stdout.readline().split() == [b"False", b"True"]
            assert not mine.reserve(40_002)
            other.stdin.close()
            assert other.wait(WAIT_S) == 0
        finally:
            other.kill()
    assert mine.reserve(40_002), "its process has ended"


def test_a_free_port_is_given_to_nobody_else_before_it_is_used():
    """The kernel gave it to another socket while a proxy was starting, and that ended: address in use."""
    first, last = map(int, EPHEMERAL_PORTS.read_text().split())
    ports = {free_port() for _ in range(50)}
    assert len(ports) == 50
    assert not [port for port in ports if first <= port <= last]


class Client:
    """One connection to a call server, and the messages that can be read on it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, sip.Parser()
        self.received: list[sip.Message] = []

    async def message(self, method: str) -> sip.Message:
        """The next message of this method; raises ``BadMessageError``, and ``EOFError`` at the end."""
        while True:
            for index, message in enumerate(self.received):
                if message.method == method:
                    return self.received.pop(index)
            if not (data := await self.reader.read(65_536)):
                raise EOFError
            self.received += self.parser.feed(data)

    async def has_release(self) -> bool:
        """Whether one was written here until now: the answer to a CANCEL of no call follows it."""
        self.writer.write(sip.request("CANCEL", "call", "f" * 16, 1))
        await self.message("CANCEL")
        return any(message.method == "BYE" for message in self.received)

    def invite(self) -> None:
        """Send a set-up."""
        self.writer.write(sip.request("INVITE", "number", CALL_ID, 1, {}, b"offer"))


async def connect(server: CallServer, address: str | None = None) -> Client:
    """A connection that the server has accepted, at this address or at the one for any proxy."""
    accepted = len(server.accepted)
    client = Client(*await asyncio.open_connection(*parse_address(address or server.address)))
    await until(lambda: len(server.accepted) > accepted)
    return client


async def until(condition: Callable[[], bool]) -> None:
    """Wait for it."""
    while not condition():
        await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def call_server(hold_ms: float = HOLD_MS) -> AsyncIterator[CallServer]:
    """A call server that holds calls for so long, stopped at the end of the block."""
    server = CallServer("s", capacity_per_s=1000.0, hold_ms=hold_ms)
    await server.start()
    try:
        async with asyncio.timeout(WITHIN_S):
            yield server
    finally:
        await server.stop()


def test_a_server_releases_a_call_on_its_connection_and_on_the_next_one_opened_and_no_other():
    async def run():
        async with call_server() as server:
            other, first = await connect(server), await connect(server)
            first.invite()
            assert (await first.message("INVITE")).status == 200
            assert (await first.message("BYE")).call_id == CALL_ID
            second = await connect(server)
            assert (await second.message("BYE")).call_id == CALL_ID
            third = await connect(server)
            assert not await other.has_release()
            assert not await third.has_release()

    asyncio.run(run())


def test_a_confirmed_release_is_not_sent_again():
    async def run():
        async with call_server() as server:
            first = await connect(server)
            first.invite()
            first.writer.write(sip.response(200, "OK", await first.message("BYE")))
            await until(lambda: not server._to_release_again)
            assert not await (await connect(server)).has_release()

    asyncio.run(run())


def test_a_server_releases_a_call_on_any_open_connection_once_its_own_has_ended():
    async def run():
        async with call_server() as server:
            other, own = await connect(server), await connect(server)
            own.invite()
            own.writer.close()
            assert (await other.message("BYE")).call_id == CALL_ID

    asyncio.run(run())


def test_a_server_that_knows_its_proxies_apart_releases_a_call_to_the_one_that_has_set_it_up_alone():
    """Neither on an open connection of another, nor on the next one that another opens."""

    async def run():
        async with call_server() as server:
            own_address, others_address = await server.address_for("p0"), await server.address_for("p1")
            others, own = await connect(server, others_address), await connect(server, own_address)
            own.invite()
            assert (await own.message("INVITE")).status == 200
            own.writer.close()
            await until(lambda: server.connections == 1 and CALL_ID in server.released_at_s)
            others_next = await connect(server, others_address)
            assert not await others.has_release()
            assert not await others_next.has_release()
            assert (await (await connect(server, own_address)).message("BYE")).call_id == CALL_ID

    asyncio.run(run())


@pytest.mark.parametrize("ended", ["closed", "reset"])
def test_a_server_that_notices_an_end_late_writes_the_release_to_the_ended_connection(ended):
    """A connection that was opened before that release never carries it."""

    async def run():
        async with call_server() as server:
            server.notices_end_after_s = LATE_S
            first, successor = await connect(server), await connect(server)
            first.invite()
            await first.message("INVITE")
            if ended == "closed":
                first.writer.close()
            else:
                server.spoil(UnreadableKind.FALSE_LENGTH, newest=False)  # unread as it ends: a reset
                first.writer.transport.abort()
            await until(lambda: CALL_ID in server.released_at_s)
            assert server.connections == 2
            assert not await successor.has_release()

    asyncio.run(run())


@pytest.mark.parametrize("kind", UnreadableKind)
@pytest.mark.parametrize("newest", [True, False])
def test_a_server_spoils_its_newest_connection_or_its_oldest(kind, newest):
    async def run():
        async with call_server() as server:
            connections = [await connect(server), await connect(server)]
            server.spoil(kind, newest=newest)
            spoiled, other = connections[::-1] if newest else connections
            with pytest.raises(BadMessageError):
                await _read_strictly(spoiled)
            assert not await other.has_release()

    asyncio.run(run())


@pytest.mark.parametrize("kind", UnreadableKind)
def test_a_server_spoils_its_next_answer_and_no_other(kind):
    async def run():
        async with call_server(hold_ms=60_000.0) as server:
            server.spoil_next_answer(kind)
            first, second = await connect(server), await connect(server)
            first.invite()
            with pytest.raises(BadMessageError):
                await _read_strictly(first)
            assert server.established == {CALL_ID}
            second.invite()
            assert (await second.message("INVITE")).status == 200

    asyncio.run(run())


async def _read_strictly(client: Client) -> None:
    """Read on, and raise ``BadMessageError`` for an answer that is filled up with what came after it."""
    while True:
        if b"SIP/2.0" in (await client.message("INVITE")).body:
            raise BadMessageError("an answer stops short")


def test_a_server_notes_what_happens_on_its_connections():
    async def run():
        async with call_server() as server:
            client = await connect(server)
            port = client.writer.get_extra_info("sockname")[1]
            client.invite()
            await client.message("BYE")
            server.spoil(UnreadableKind.RANDOM)
            client.writer.close()
            await until(lambda: not server.connections)
            assert {event.connection for event in server.events} == {port}
            assert [(event.text, event.call_id) for event in server.events] == [
                ("accepts it", ""),
                ("writes a release", CALL_ID),
                ("writes what is unreadable: random bytes", ""),
                ("its peer has ended it", ""),
                ("notices its end", ""),
            ]

    asyncio.run(run())
