"""Reading of connections to call servers after the proxy has ended them: what is read, and how long."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from conftest import RULES
from race_conditions import ID, WAIT_S, run_coroutine
from server_side import ServerSideRig

from canvasplank.codecs import sip
from canvasplank.config.discovery_events import Endpoint
from canvasplank.network.ended_connection import MAX_OPEN_MS, MAX_READ_BYTES, MAX_UNREADABLE_MS, QUIET_MS
from canvasplank.network.peer import Peer
from canvasplank.network.peer_table import MIN_RECONNECT_DELAY_MS
from canvasplank.network.server_stream import ServerStream
from canvasplank.network.stream import LINGER_MS, MAX_UNSENT_BYTES

SERVER = "s-a"
UNREADABLE = b"noise\r\n\r\n"
STEP_MS = 10.0
OTHER_ID = "cc" * 8
RELEASE = sip.request("BYE", "caller", ID, 2, {"Reason": "Q.850;cause=16"})
ANSWER = f"SIP/2.0 200 OK\r\nCall-ID: {ID}\r\nCSeq: 1 INVITE\r\nContent-Length: 3\r\n\r\nv=0".encode()
INCOMPLETE = f"SIP/2.0 200 OK\r\nCall-ID: {ID}\r\nCSeq: 1 INVITE\r\nContent-Length: 900\r\n\r\nv=0".encode()
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectionsRig(ServerSideRig):
    """A rig with one server, which accepts every connection and keeps it open."""

    def __init__(self, monkeypatch) -> None:
        super().__init__(monkeypatch)
        self.listeners.pop("s-b").close()
        self.accepted: list[socket.socket] = []
        self.connect_times_ms: list[float] = []  # when each connection attempt started
        connect = ServerStream.connect

        def recorded_connect(stream: ServerStream, *arguments: object) -> None:
            if stream.peer.server_id == SERVER:
                self.connect_times_ms.append(self.now_ms)
            connect(stream, *arguments)

        monkeypatch.setattr(ServerStream, "connect", recorded_connect)

    async def start(self) -> None:
        await super().start()
        self.accepted.append(self.peers[SERVER])
        self.peers[SERVER].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.listeners[SERVER].setblocking(False)

    async def advance_time(self, span_ms: float) -> None:
        """Advance the clock in small steps and accept connections."""
        for _ in range(round(span_ms / STEP_MS)):
            await self.step(STEP_MS)
            self.accept_pending()

    def accept_pending(self) -> None:
        with contextlib.suppress(OSError):  # no connection waits, or a test has closed the listener
            while True:
                connection, _ = self.listeners[SERVER].accept()
                self.accepted.append(connection)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def wait_until(self, happened: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not happened():
                await self.step(STEP_MS)
                self.accept_pending()

    def close(self) -> None:
        super().close()
        for each in self.accepted:
            each.close()

    @property
    def peer(self) -> Peer:
        return self.servers._peers[SERVER]

    @property
    def connected(self) -> int:
        """The number of open connections."""
        return len([each for each in self.peer.streams if each.is_open])

    async def establish(self) -> None:
        """Have the call answered on the newest connection."""
        await self.offer()
        self.accepted[-1].sendall(ANSWER)
        await self.wait_until(lambda: self.exchange.established_calls == 1)

    async def reconnect_after_unreadable(self) -> None:
        """Have the proxy end the newest connection and open another; the server does not end its side."""
        count, stream = len(self.accepted), self.peer.current
        self.accepted[-1].sendall(UNREADABLE)
        await self.wait_until(lambda: stream not in self.peer.streams)
        await self.wait_until(lambda: len(self.accepted) > count and self.connected == 1)

    async def replace_current(self) -> ServerStream:
        """Have the current connection replaced, as if it had hung."""
        count, replaced = len(self.accepted), self.peer.current
        self.scheduler.begin_iteration()
        replaced.on_replaced()
        self.servers._connections.connect(self.peer)
        await self.wait_until(lambda: len(self.accepted) > count and self.peer.current.is_open)
        return replaced

    def received(self) -> bytes:
        """Return all data that the server has not read, on all connections."""
        data = b""
        for each in self.accepted:
            each.setblocking(False)
            with contextlib.suppress(OSError):
                while chunk := each.recv(65_536):
                    data += chunk
        return data


@contextlib.asynccontextmanager
async def started_rig(monkeypatch) -> AsyncIterator[ConnectionsRig]:
    rig = ConnectionsRig(monkeypatch)
    try:
        await rig.start()
        yield rig
    finally:
        rig.close()


def run(scenario: Callable[[ConnectionsRig], Awaitable[None]], monkeypatch) -> None:
    async def main() -> None:
        async with started_rig(monkeypatch) as rig:
            await scenario(rig)

    run_coroutine(main())


def has_ended(connection: socket.socket) -> bool:
    """Whether the proxy has closed its side for writing or reset it; reads what it wrote."""
    connection.setblocking(False)
    try:
        while connection.recv(65_536):
            pass
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def test_a_connection_stays_open_while_its_server_still_writes(monkeypatch):
    """A server that sees our end may drop queued messages, such as releases."""

    async def scenario(rig: ConnectionsRig) -> None:
        old = rig.accepted[0]
        old.sendall(UNREADABLE)
        for _ in range(round(MAX_OPEN_MS / 2 / STEP_MS)):
            await rig.advance_time(STEP_MS)
            old.sendall(b"x" * 100)
        assert not has_ended(old)
        await rig.advance_time(QUIET_MS + 4 * STEP_MS)
        assert has_ended(old)

    run(scenario, monkeypatch)


@pytest.mark.parametrize(
    ("written", "max_open_ms"),
    [
        pytest.param(RELEASE, MAX_OPEN_MS, id="messages"),
        pytest.param(b"x" * 100, MAX_UNREADABLE_MS, id="only unreadable data"),
    ],
)
def test_a_server_that_never_pauses_is_closed_for_writing_in_time(monkeypatch, written, max_open_ms):
    async def scenario(rig: ConnectionsRig) -> None:
        old = rig.accepted[0]
        old.sendall(UNREADABLE)
        for _ in range(round((max_open_ms + 8 * STEP_MS) / STEP_MS)):
            await rig.advance_time(STEP_MS)
            old.sendall(written)
        assert has_ended(old)

    run(scenario, monkeypatch)


def test_a_long_iteration_of_the_process_is_no_pause_of_the_server(monkeypatch):
    """The server's pause was counted from the start of the iteration that read its last bytes."""

    async def scenario(rig: ConnectionsRig) -> None:
        old, stream = rig.accepted[0], rig.peer.current
        old.sendall(UNREADABLE)
        await rig.wait_until(lambda: stream not in rig.peer.streams)
        rig.scheduler.begin_iteration()
        rig.now_ms += 2 * QUIET_MS
        old.sendall(b"x" * 100)
        await rig.step(0.0)
        await rig.advance_time(STEP_MS)
        assert not has_ended(old)
        await rig.advance_time(QUIET_MS + 4 * STEP_MS)
        assert has_ended(old)

    run(scenario, monkeypatch)


def test_a_release_queued_behind_slowly_written_data_is_read(monkeypatch):
    """The proxy ended the connection after 0.4 s, and the server dropped what it had queued there."""

    async def scenario(rig: ConnectionsRig) -> None:
        await rig.establish()
        old = rig.accepted[0]
        old.sendall(UNREADABLE)
        for _ in range(round(2 * MAX_OPEN_MS / STEP_MS)):
            await rig.advance_time(STEP_MS)
            assert not has_ended(old)
            old.sendall(b"x" * 100)
        old.sendall(RELEASE)
        await rig.wait_until(lambda: rig.exchange.established_calls == 0)

    run(scenario, monkeypatch)


def test_a_pause_of_the_process_does_not_shorten_a_servers_time_to_write(monkeypatch):
    """The time was counted from the start of the iteration, and had passed when the connection ended."""

    async def scenario(rig: ConnectionsRig) -> None:
        old, stream = rig.accepted[0], rig.peer.current
        rig.scheduler.begin_iteration()
        rig.now_ms += 2 * QUIET_MS
        stream.abort_unreadable("a bad message")
        await rig.advance_time(QUIET_MS / 2)
        assert not has_ended(old)
        await rig.advance_time(QUIET_MS)
        assert has_ended(old)

    run(scenario, monkeypatch)


def test_a_server_that_never_ends_its_side_is_read_for_a_bounded_time_and_reset(monkeypatch):
    async def scenario(rig: ConnectionsRig) -> None:
        old = rig.accepted[0]
        await rig.reconnect_after_unreadable()
        await rig.advance_time(MAX_OPEN_MS + LINGER_MS + 100.0)
        old.setblocking(False)
        rig.received()
        with pytest.raises((ConnectionResetError, BrokenPipeError)):
            old.sendall(UNREADABLE)

    run(scenario, monkeypatch)


def test_an_ended_connection_is_not_read_if_no_message_was_bad(monkeypatch):
    async def scenario(rig: ConnectionsRig) -> None:
        rig.accepted[0].close()
        await rig.wait_until(lambda: len(rig.accepted) == 2)
        await rig.replace_current()
        await rig.wait_until(lambda: rig.connected == 1)
        assert not rig.servers._connections._ended._connections

    run(scenario, monkeypatch)


def test_a_server_whose_every_message_is_bad_is_connected_to_no_faster_than_the_backoff_allows(monkeypatch):
    async def scenario(rig: ConnectionsRig) -> None:
        start_ms, count = rig.now_ms, 0
        while rig.now_ms < start_ms + 3000.0:
            while count < len(rig.accepted):
                rig.accepted[count].sendall(UNREADABLE)
                count += 1
            await rig.advance_time(STEP_MS)
        assert 10 < len(rig.connect_times_ms) <= 2 + (rig.now_ms - start_ms) / MIN_RECONNECT_DELAY_MS

    run(scenario, monkeypatch)


def test_ended_connections_that_are_read_are_limited_and_the_oldest_is_closed_first(monkeypatch):
    async def scenario(rig: ConnectionsRig) -> None:
        rig.servers.limit(32)  # two are kept
        descriptors = len(os.listdir("/proc/self/fd")) - len(rig.accepted)
        for _ in range(6):
            await rig.reconnect_after_unreadable()
        assert len(os.listdir("/proc/self/fd")) - len(rig.accepted) - descriptors <= 2
        assert has_ended(rig.accepted[0])
        assert not has_ended(rig.accepted[-2])

    run(scenario, monkeypatch)


def test_an_ended_connection_is_read_for_a_bounded_number_of_bytes(monkeypatch):
    async def scenario(rig: ConnectionsRig) -> None:
        await rig.reconnect_after_unreadable()
        old, sent = rig.accepted[0], 0
        old.setblocking(False)
        with pytest.raises((ConnectionResetError, BrokenPipeError)):
            while sent <= 2 * MAX_READ_BYTES:
                with contextlib.suppress(BlockingIOError):
                    sent += old.send(b"x" * 65_536)
                await rig.step(0.0)
        assert sent >= MAX_READ_BYTES

    run(scenario, monkeypatch)


def test_a_set_up_does_not_wait_for_the_servers_end(monkeypatch):
    async def scenario(rig: ConnectionsRig) -> None:
        begun_ms = rig.now_ms
        rig.accepted[0].sendall(UNREADABLE)
        await rig.wait_until(lambda: rig.peer.current is None)
        rig.offer_call()
        await rig.wait_until(lambda: bool(rig.sent_ms))
        assert rig.now_ms - begun_ms < MIN_RECONNECT_DELAY_MS + 4 * STEP_MS

    run(scenario, monkeypatch)


def test_open_set_ups_are_cancelled_on_an_ended_connection(monkeypatch):
    """The cancellations are written at once, before the proxy closes the connection for writing."""

    async def scenario(rig: ConnectionsRig) -> None:
        await rig.offer()
        await rig.reconnect_after_unreadable()
        assert sip.request("CANCEL", "call", ID, 1) in rig.received()

    run(scenario, monkeypatch)


def do_nothing(rig: ConnectionsRig) -> None:
    """Leave the attempt as it is."""


def cancel(rig: ConnectionsRig) -> None:
    """Cancel the attempt, as the decision module does after its wait."""
    rig.scheduler.begin_iteration()
    rig.exchange._attempts.cancel(ID, 0)


@pytest.mark.parametrize("first_action", [do_nothing, cancel])
@pytest.mark.parametrize("second_action", [do_nothing, cancel])
def test_the_release_wait_of_an_attempt_on_an_ended_connection_counts_from_the_servers_end(
    monkeypatch, first_action, second_action
):
    """A server that sent unreadable data may read the cancellation late; it gives up all set-ups at its end.

    The wait ran from 150 ms after the cancellation, or from the module's own cancellation.
    """

    async def scenario(rig: ConnectionsRig) -> None:
        await rig.offer()
        rig.peer.current.abort_unreadable("a bad message")
        first_action(rig)
        await rig.advance_time(75.0)
        second_action(rig)
        await rig.advance_time(2 * RULES.release_ms)
        assert len(rig.sent_ms) == 1
        rig.accepted[0].close()
        ended_ms = rig.now_ms
        await rig.wait_until(lambda: len(rig.sent_ms) == 2)
        assert rig.sent_ms[1] - ended_ms >= RULES.release_ms

    run(scenario, monkeypatch)


def test_a_call_waits_a_bounded_time_for_a_server_that_never_ends_its_side(monkeypatch):
    async def scenario(rig: ConnectionsRig) -> None:
        await rig.offer()
        rig.accepted[0].sendall(UNREADABLE)
        await rig.advance_time(QUIET_MS + LINGER_MS + RULES.release_ms + 100.0)
        assert len(rig.sent_ms) == 2

    run(scenario, monkeypatch)


def test_a_release_behind_the_end_is_confirmed_while_that_is_possible(monkeypatch):
    async def scenario(rig: ConnectionsRig) -> None:
        await rig.establish()
        rig.callers.release = lambda origin, release: release.on_delivered()
        rig.accepted[0].sendall(UNREADABLE + b"x" * 10_000 + RELEASE)
        await rig.wait_until(lambda: rig.exchange.established_calls == 0)
        assert sip.response(200, "OK", next(sip.Parser().feed(RELEASE))) in rig.received()

    run(scenario, monkeypatch)


def test_a_release_behind_the_end_ends_no_call_of_another_server_and_none_that_is_unknown(monkeypatch):
    """Such a release may be part of another message's body, which the server has not written itself."""

    async def scenario(rig: ConnectionsRig) -> None:
        await rig.establish()
        call = rig.exchange._table.established[ID]
        call.established_server_id = "another"
        old = rig.accepted[0]
        await rig.reconnect_after_unreadable()
        old.sendall(RELEASE + RELEASE.replace(ID.encode(), OTHER_ID.encode()))
        await rig.advance_time(MAX_OPEN_MS)
        assert rig.exchange.established_calls == 1
        assert rig.exchange.counters["taken.ends_unknown"] == 0

    run(scenario, monkeypatch)


def test_a_call_answered_behind_the_end_is_released(monkeypatch):
    """Our release on the next connection was written before the server had answered."""

    async def scenario(rig: ConnectionsRig) -> None:
        await rig.offer()
        old = rig.accepted[0]
        await rig.reconnect_after_unreadable()
        await rig.advance_time(50.0)
        assert b"BYE" in rig.received(), "a release for the answer that may have been lost"
        rig.scheduler.begin_iteration()
        rig.exchange.on_released_by_caller(ID, 16)  # so that no attempt is in flight
        await rig.advance_time(50.0)
        rig.received()
        old.sendall(ANSWER)
        await rig.advance_time(50.0)
        assert b"BYE" in rig.received()

    run(scenario, monkeypatch)


def test_a_call_answered_behind_the_end_is_not_released_while_it_is_set_up_there_again(monkeypatch):
    """The release would end the later attempt, since releases carry only the call id."""

    async def scenario(rig: ConnectionsRig) -> None:
        await rig.offer()
        old = rig.accepted[0]
        rig.peer.current.abort_unsent()
        await rig.wait_until(lambda: len(rig.sent_ms) == 2)
        rig.received()
        old.sendall(ANSWER)
        await rig.advance_time(50.0)
        assert b"BYE" not in rig.received()

    run(scenario, monkeypatch)


@pytest.mark.parametrize("draining", [True, False])
def test_a_call_answered_behind_an_end_with_unsent_bytes_is_released(monkeypatch, draining):
    async def scenario(rig: ConnectionsRig) -> None:
        await rig.offer()
        old, stream = rig.accepted[0], rig.peer.current
        assert b"INVITE" in rig.received()
        stream.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        rig.scheduler.begin_iteration()
        stream.write(b"x" * (MAX_UNSENT_BYTES // 2))
        if draining:
            address = f"127.0.0.1:{rig.listeners[SERVER].getsockname()[1]}"
            rig.servers.update_endpoints(False, [Endpoint(SERVER, address, lifecycle="draining")])
        else:
            stream.write(b"x" * (MAX_UNSENT_BYTES + MAX_UNSENT_BYTES // 2))
        assert not stream.is_open
        old.sendall(ANSWER)
        await rig.wait_until(lambda: len(rig.accepted) == 2 and rig.connected == 1)
        await rig.advance_time(50.0)
        rig.scheduler.begin_iteration()
        if rig.exchange.open_calls:
            rig.exchange.on_released_by_caller(ID, 16)
        await rig.advance_time(100.0)
        assert b"BYE" in rig.received()

    run(scenario, monkeypatch)


def test_our_release_that_a_server_reads_late_is_not_lost_with_the_connection(monkeypatch):
    """The release was written well before the bad message, behind data that the server has not read."""

    async def scenario(rig: ConnectionsRig) -> None:
        old = rig.accepted[0]
        buffer = rig.peer.current.transport.get_extra_info("socket")
        buffer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1_000_000)
        rig.scheduler.begin_iteration()
        rig.peer.current.write(b"x" * 200_000)
        rig.servers.release(SERVER, ID, 16)
        await rig.advance_time(100.0)
        assert not rig.peer.current.unsent
        await rig.advance_time(3000.0)
        old.sendall(sip.request("NOTIFY", "exchange", "0" * 16, 1, {}))
        await rig.advance_time(50.0)
        await rig.reconnect_after_unreadable()
        await rig.advance_time(MAX_OPEN_MS + LINGER_MS + 100.0)
        old.settimeout(WAIT_S)
        data = b""
        while chunk := old.recv(65_536):
            data += chunk
        assert b"BYE" in data

    run(scenario, monkeypatch)


@pytest.mark.parametrize("closed_before", [True, False])
def test_a_release_swallowed_by_an_incomplete_message_counts_as_its_server_ends_the_connection(
    monkeypatch, closed_before
):
    async def scenario(rig: ConnectionsRig) -> None:
        await rig.establish()
        replaced = await rig.replace_current()
        # Received data marks the replaced connection as in use.
        replaced.on_received(memoryview(sip.request("NOTIFY", "exchange", "0" * 16, 1, {})))
        if closed_before:
            rig.scheduler.begin_iteration()
            replaced.close_writing()
        rig.accepted[0].sendall(INCOMPLETE + RELEASE)
        rig.accepted[0].close()
        await rig.advance_time(100.0)
        assert rig.exchange.established_calls == 0

    run(scenario, monkeypatch)


def test_a_release_swallowed_by_an_incomplete_message_on_a_closing_connection_counts_in_time(monkeypatch):
    """The server ends its side late; for 2 s the age of the incomplete message was not checked."""

    async def scenario(rig: ConnectionsRig) -> None:
        await rig.establish()
        replaced = await rig.replace_current()
        rig.scheduler.begin_iteration()
        replaced.close_writing()
        rig.accepted[0].sendall(INCOMPLETE + RELEASE)
        await rig.wait_until(lambda: bool(replaced.parser.in_message))
        timeout_ms = 100.0
        await rig.advance_time(2 * timeout_ms)
        assert replaced.is_message_overdue(timeout_ms)
        rig.servers._connections._check_messages(rig.peer)

    run(scenario, monkeypatch)


def test_closing_a_connection_that_was_reset_meanwhile_reads_the_release_on_it(monkeypatch):
    async def scenario(rig: ConnectionsRig) -> None:
        await rig.establish()
        stream, server = rig.peer.current, rig.accepted[0]
        server.sendall(RELEASE)
        server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        server.close()
        # Release and reset arrive before anything is read: the loop must not run meanwhile.
        time.sleep(0.05)  # noqa: ASYNC251
        rig.scheduler.begin_iteration()
        stream.close_writing()
        await rig.advance_time(100.0)
        assert rig.exchange.established_calls == 0

    run(scenario, monkeypatch)
