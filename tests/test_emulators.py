"""The emulators themselves: with an emulator that fails silently, a test could pass without a check."""

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
EXIT_TIMEOUT_S = 20.0  # of a process
RESERVE_SCRIPT = """
import sys
from pathlib import Path
from emulators.fleet import PortReservations
reservations = PortReservations(Path(sys.argv[1]))
print(reservations.reserve(40_001), reservations.reserve(40_002), flush=True)
sys.stdin.read()
"""
CALL_ID = "0123456789abcdef"
TIMEOUT_S = 10.0  # of the steps with a call server, which take milliseconds
HOLD_MS = 100.0
LATE_S = 60.0  # longer than any test


@pytest.fixture(autouse=True)
def frequent_reports(monkeypatch):
    """Make the server report its load often: the bytes of reports complete a message that stops short."""
    monkeypatch.setattr("emulators.server.REPORT_INTERVAL_S", 0.02)


def test_calls_without_a_proxy_are_lost_and_arrivals_continue():
    async def run():
        callers = Callers(seed=1)
        await callers.offer(200.0, 0.3)
        assert len(callers.calls) > 20
        assert {call.outcome for call in callers.calls.values()} == {"lost"}

    asyncio.run(run())


def test_a_port_is_reserved_by_one_process_at_a_time(tmp_path):
    """Two simultaneous test runs could get the same port, and their proxies would share the callers."""
    path = tmp_path / "ports"
    reservations = PortReservations(path)
    assert reservations.reserve(40_001) and not reservations.reserve(40_001)
    command = [sys.executable, "-c", RESERVE_SCRIPT, str(path)]
    with subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as other:
        try:
            assert other.stdout.readline().split() == [b"False", b"True"]
            assert not reservations.reserve(40_002)
            other.stdin.close()
            assert other.wait(EXIT_TIMEOUT_S) == 0
        finally:
            other.kill()
    assert reservations.reserve(40_002), "the other process has exited"


def test_a_free_port_is_not_ephemeral_and_not_given_twice():
    """The kernel assigned a proxy's port to another socket before the proxy listened: address in use."""
    first, last = map(int, EPHEMERAL_PORTS.read_text().split())
    ports = {free_port() for _ in range(50)}
    assert len(ports) == 50
    assert not [port for port in ports if first <= port <= last]


class Client:
    """A connection to a call server, with a reader of its messages."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, sip.Parser()
        self.received: list[sip.Message] = []

    async def next_message(self, method: str) -> sip.Message:
        """Return the next message of a method.

        Raises ``BadMessageError`` for an unreadable message, and ``EOFError`` at the end of the connection.
        """
        while True:
            for index, message in enumerate(self.received):
                if message.method == method:
                    return self.received.pop(index)
            if not (data := await self.reader.read(65_536)):
                raise EOFError
            self.received += self.parser.feed(data)

    async def has_release(self) -> bool:
        """Whether the server has sent a release before its answer to a CANCEL of an unknown call."""
        self.writer.write(sip.request("CANCEL", "call", "f" * 16, 1))
        await self.next_message("CANCEL")
        return any(message.method == "BYE" for message in self.received)

    def invite(self) -> None:
        """Send a set-up."""
        self.writer.write(sip.request("INVITE", "number", CALL_ID, 1, {}, b"offer"))


async def connect(server: CallServer, address: str | None = None) -> Client:
    """Connect to an address of the server, by default the shared one, and wait until the server accepts."""
    accepted = len(server.accepted)
    client = Client(*await asyncio.open_connection(*parse_address(address or server.address)))
    await wait_until(lambda: len(server.accepted) > accepted)
    return client


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition is true."""
    while not condition():
        await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def call_server(hold_ms: float = HOLD_MS) -> AsyncIterator[CallServer]:
    """Yield a call server that releases calls after ``hold_ms``, and stop it at the end of the block."""
    server = CallServer("s", capacity_per_s=1000.0, hold_ms=hold_ms)
    await server.start()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield server
    finally:
        await server.stop()


def test_a_server_releases_a_call_on_its_connection_and_on_the_next_one_opened_and_no_other():
    async def run():
        async with call_server() as server:
            other, first = await connect(server), await connect(server)
            first.invite()
            assert (await first.next_message("INVITE")).status == 200
            assert (await first.next_message("BYE")).call_id == CALL_ID
            second = await connect(server)
            assert (await second.next_message("BYE")).call_id == CALL_ID
            third = await connect(server)
            assert not await other.has_release()
            assert not await third.has_release()

    asyncio.run(run())


def test_a_confirmed_release_is_not_sent_again():
    async def run():
        async with call_server() as server:
            first = await connect(server)
            first.invite()
            first.writer.write(sip.response(200, "OK", await first.next_message("BYE")))
            await wait_until(lambda: not server._releases_to_repeat)
            assert not await (await connect(server)).has_release()

    asyncio.run(run())


def test_a_server_releases_a_call_on_any_open_connection_once_its_own_has_ended():
    async def run():
        async with call_server() as server:
            other, own = await connect(server), await connect(server)
            own.invite()
            own.writer.close()
            assert (await other.next_message("BYE")).call_id == CALL_ID

    asyncio.run(run())


def test_a_server_with_an_address_for_each_proxy_releases_a_call_only_to_the_proxy_that_set_it_up():
    """The release is sent neither on an open connection of another proxy nor on the next one it opens."""

    async def run():
        async with call_server() as server:
            own_address, others_address = await server.address_for("p0"), await server.address_for("p1")
            others, own = await connect(server, others_address), await connect(server, own_address)
            own.invite()
            assert (await own.next_message("INVITE")).status == 200
            own.writer.close()
            await wait_until(lambda: server.connections == 1 and CALL_ID in server.released_at_s)
            others_next = await connect(server, others_address)
            assert not await others.has_release()
            assert not await others_next.has_release()
            assert (await (await connect(server, own_address)).next_message("BYE")).call_id == CALL_ID

    asyncio.run(run())


@pytest.mark.parametrize("ended", ["closed", "reset"])
def test_a_server_that_notices_an_end_late_writes_the_release_to_the_ended_connection(ended):
    """The release is not sent on a connection that was opened before the release was written."""

    async def run():
        async with call_server() as server:
            server.end_notice_delay_s = LATE_S
            first, successor = await connect(server), await connect(server)
            first.invite()
            await first.next_message("INVITE")
            if ended == "closed":
                first.writer.close()
            else:
                # Unread data when the connection ends makes it end with a reset.
                server.send_unreadable_message(UnreadableKind.FALSE_LENGTH, newest=False)
                first.writer.transport.abort()
            await wait_until(lambda: CALL_ID in server.released_at_s)
            assert server.connections == 2
            assert not await successor.has_release()

    asyncio.run(run())


@pytest.mark.parametrize("kind", UnreadableKind)
@pytest.mark.parametrize("newest", [True, False])
def test_a_server_sends_an_unreadable_message_on_its_newest_connection_or_its_oldest(kind, newest):
    async def run():
        async with call_server() as server:
            connections = [await connect(server), await connect(server)]
            server.send_unreadable_message(kind, newest=newest)
            unreadable, other = connections[::-1] if newest else connections
            with pytest.raises(BadMessageError):
                await _read_until_bad_message(unreadable)
            assert not await other.has_release()

    asyncio.run(run())


@pytest.mark.parametrize("kind", UnreadableKind)
def test_a_server_sends_an_unreadable_next_answer_and_no_other(kind):
    async def run():
        async with call_server(hold_ms=60_000.0) as server:
            server.make_next_answer_unreadable(kind)
            first, second = await connect(server), await connect(server)
            first.invite()
            with pytest.raises(BadMessageError):
                await _read_until_bad_message(first)
            assert server.established == {CALL_ID}
            second.invite()
            assert (await second.next_message("INVITE")).status == 200

    asyncio.run(run())


async def _read_until_bad_message(client: Client) -> None:
    """Read answers until one is unreadable or its body contains a later message: ``BadMessageError``."""
    while True:
        if b"SIP/2.0" in (await client.next_message("INVITE")).body:
            raise BadMessageError("an answer stops short")


def test_a_server_records_the_events_on_its_connections():
    async def run():
        async with call_server() as server:
            client = await connect(server)
            port = client.writer.get_extra_info("sockname")[1]
            client.invite()
            await client.next_message("BYE")
            server.send_unreadable_message(UnreadableKind.RANDOM)
            client.writer.close()
            await wait_until(lambda: not server.connections)
            assert {event.connection for event in server.events} == {port}
            assert [(event.text, event.call_id) for event in server.events] == [
                ("accepted", ""),
                ("wrote a release", CALL_ID),
                ("wrote an unreadable message: random bytes", ""),
                ("ended by the peer", ""),
                ("closed by the server", ""),
            ]

    asyncio.run(run())
