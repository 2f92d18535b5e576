"""The release of an established call reaches its caller although the proxy ends its server's connection.

A server sends a release on the connection of the call's set-up if it considers that open, else on any other
open one.  It sends the release once more on the next connection that it accepts; if none is open, only there.
A release written behind an unreadable message, or on a connection that the proxy ends for another reason, may
be lost.  The caller must still receive the release within ``RELEASE_LIMIT_MS`` after the server first wrote
it, by the test's clock.

The server here follows these rules; each test sets when it notices an end and when it releases the call.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import pytest
from conftest import RULES
from race_conditions import ID, WAIT_S, run_coroutine
from server_side import CALL_MS, FakeCallerSide, ServerSideRig

from canvasplank.codecs import sip
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.config.discovery_events import Endpoint
from canvasplank.exchange.call_records import CallRecord
from canvasplank.network.server_stream import ServerStream
from canvasplank.network.stream import LINGER_MS, MAX_UNSENT_BYTES
from emulators.unreadable_messages import UnreadableKind, unreadable_message

SERVER, OTHER_SERVER = "s-a", "s-b"
OTHER_ID = "cc" * 8
NO_ID = "0" * 16
RESEND_MS = 500.0  # a connection counts as hung after this, a message as overdue after a quarter of it
RELEASE_LIMIT_MS = 1000.0  # the platform's limit for passing a release on
LATE_NOTICE_MS = 300.0  # a server may consider an ended connection open for so long
NEVER_MS = float("inf")
MARGIN_MS = 40.0  # time between a release and the notice of its connection's end
STEP_MS = 20.0
MAX_WAIT_MS = 5000.0  # on the test's clock, for each step before the release
REPETITION_MS = 400.0  # no second release may follow within this time
KERNEL_WAIT_S = 0.1  # for data in transit in the kernel, while the test's clock stands still
HALF_NOTIFY = sip.request("NOTIFY", "exchange", NO_ID, 1, {"X-Gauges": "free:12;size:40"})[:-20]

each_kind = pytest.mark.parametrize("kind", UnreadableKind, ids=lambda kind: kind.name.lower())


class DeliveredRelease(NamedTuple):
    """A release passed on to the callers' side."""

    call_id: str
    cause: int
    at_ms: float


class RecordingCallers(FakeCallerSide):
    """A callers' side that records releases; each counts as delivered at once."""

    def __init__(self, clock_ms: Callable[[], float]) -> None:
        super().__init__()
        self.delivered: list[DeliveredRelease] = []
        self._clock_ms = clock_ms

    def release(self, origin, release) -> None:
        self.delivered.append(DeliveredRelease(release.call_id, release.cause, self._clock_ms()))
        if release.on_delivered is not None:
            release.on_delivered()


@dataclass(eq=False)
class Connection:
    """A connection accepted by the server."""

    socket: socket.socket
    unsent: bytearray = field(default_factory=bytearray)
    parser: sip.Parser = field(default_factory=sip.Parser)
    received: list[sip.Message] = field(default_factory=list)
    reads: bool = True
    accepted_ms: float = 0.0
    ended_ms: float | None = None  # when the proxy's end of it arrived, noticed or not
    was_reset: bool = False
    noticed: bool = False  # the end was noticed: the connection is closed once all is written

    def flush(self) -> None:
        """Write what the kernel takes; on an error the rest counts as written, as with buffered writers."""
        try:
            while self.unsent:
                del self.unsent[: self.socket.send(self.unsent)]
        except BlockingIOError:
            pass
        except OSError:
            self.was_reset = True
            self.unsent.clear()

    def read(self, now_ms: float) -> list[sip.Message]:
        """Return the messages received since the last call; record an end."""
        messages: list[sip.Message] = []
        while self.reads and self.ended_ms is None:
            try:
                data = self.socket.recv(65536)
            except BlockingIOError:
                break
            except OSError:
                self.was_reset, data = True, b""
            if not data:
                self.ended_ms = now_ms
            messages += self.parser.feed(data)
        self.received += messages
        return messages

    def check_reset(self) -> None:
        """Record a reset, which reads do not report after the proxy's end or if nothing is read."""
        if not self.noticed and self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.was_reset = True


class ConformingServer:
    """A call server that releases its calls according to the platform's protocol."""

    def __init__(self, listener: socket.socket, clock_ms: Callable[[], float]) -> None:
        self._listener = listener
        self._clock_ms = clock_ms
        listener.setblocking(False)
        self.accepts = True
        self.answers = True
        self.notices_end_after_ms = 0.0
        self.notices_reset_at_once = False
        # Data written to the next accepted connections, before and after the releases sent there.
        self.greetings: list[tuple[bytes, bytes]] = []
        self.accepted: list[Connection] = []
        self.written_ms: dict[str, float] = {}  # when each call was first released
        self._set_up_on: dict[str, Connection] = {}
        self._to_release_again: list[str] = []

    @property
    def newest(self) -> Connection:
        return self.accepted[-1]

    @property
    def open(self) -> list[Connection]:
        """The connections that the server considers open, newest first."""
        return [each for each in reversed(self.accepted) if not each.noticed]

    def poll(self) -> None:
        """Write, read, notice ends and accept connections, as due at this time."""
        for connection in list(self.accepted):
            connection.flush()
            for message in connection.read(self._clock_ms()):
                self._on_message(connection, message)
            self._notice(connection)
            if connection.noticed and not connection.unsent:
                connection.socket.close()
        while self.accepts and (accepted := self._accept()) is not None:
            self._greet(accepted)

    def _accept(self) -> Connection | None:
        try:
            accepted, _ = self._listener.accept()
        except BlockingIOError:
            return None
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted.append(Connection(accepted, accepted_ms=self._clock_ms()))
        return self.newest

    def _greet(self, connection: Connection) -> None:
        before, after = self.greetings.pop(0) if self.greetings else (b"", b"")
        released, self._to_release_again = self._to_release_again, []
        self.write(connection, before + b"".join(bye(call_id) for call_id in released) + after)

    def _on_message(self, connection: Connection, message: sip.Message) -> None:
        if message.method == "INVITE" and not message.status:
            self._set_up_on[message.call_id] = connection
            if self.answers:
                self.answer(message.call_id)

    def _notice(self, connection: Connection) -> None:
        if connection.noticed:
            return
        connection.check_reset()
        ended_ms = NEVER_MS if connection.ended_ms is None else connection.ended_ms
        due = self._clock_ms() >= ended_ms + self.notices_end_after_ms
        if due or (self.notices_reset_at_once and connection.was_reset):
            connection.noticed = True

    def write(self, connection: Connection, data: bytes) -> None:
        connection.unsent += data
        connection.flush()

    def answer(self, call_id: str) -> None:
        """Answer a set-up on its connection."""
        head = (
            f"SIP/2.0 200 OK\r\nCall-ID: {call_id}\r\nCSeq: 1 INVITE\r\nContent-Length: 10\r\n\r\nv=0 answer"
        )
        self.write(self._set_up_on[call_id], head.encode())

    def has_set_up(self, call_id: str) -> bool:
        return call_id in self._set_up_on

    def connection_of(self, call_id: str) -> Connection:
        """The connection of the call's set-up."""
        return self._set_up_on[call_id]

    def release(self, call_id: str, behind: bytes = b"", *, on: Connection | None = None) -> None:
        """Release a call, in one write after ``behind``; ``on``: used where any open connection will do."""
        self.written_ms[call_id] = self._clock_ms()
        self._to_release_again.append(call_id)
        if not self._set_up_on[call_id].noticed:
            on = self._set_up_on[call_id]
        elif on is None and self.open:
            on = self.open[0]
        if on is not None:
            self.write(on, behind + bye(call_id))

    def close(self) -> None:
        for connection in self.accepted:
            connection.socket.close()


def bye(call_id: str) -> bytes:
    return sip.request("BYE", "caller", call_id, 2, {"Reason": "Q.850;cause=16"})


class Scenario:
    """The proxy's call servers' side, and conforming servers; ``SERVER`` holds an established call."""

    def __init__(self, monkeypatch, *, servers: tuple[str, ...] = (SERVER,)) -> None:
        self.rig = ServerSideRig(monkeypatch, resend_ms=RESEND_MS)
        for name in [name for name in self.rig.listeners if name not in servers]:
            self.rig.listeners.pop(name).close()
        self.callers = RecordingCallers(lambda: self.rig.now_ms)
        self.rig.exchange.attach_callers(self.callers)
        self.servers = {
            name: ConformingServer(listener, lambda: self.rig.now_ms)
            for name, listener in self.rig.listeners.items()
        }

    @property
    def server(self) -> ConformingServer:
        return self.servers[SERVER]

    @property
    def connection(self) -> Connection:
        """The connection of the established call."""
        return self.server.connection_of(ID)

    async def start(self) -> None:
        self.rig.list_servers()
        connected = "sockets.servers"
        await self.wait_until(lambda: self.rig.exchange.counters[connected] == len(self.servers))
        await self.establish(ID)

    async def establish(self, call_id: str) -> None:
        established = self.rig.exchange.established_calls
        self.offer(call_id)
        await self.wait_until(lambda: self.rig.exchange.established_calls > established)

    def offer(self, call_id: str) -> None:
        expires_ms = self.rig.now_ms + CALL_MS
        call = CallRecord(call_id, "low", "7f3a", -1, False, expires_ms, b"v=0 offer", "caller")
        self.rig.scheduler.begin_iteration()
        self.rig.exchange.offer(call)

    async def step(self, ms: float = STEP_MS) -> None:
        await self.rig.step(ms)
        for server in self.servers.values():
            server.poll()
        await asyncio.sleep(0.001)

    async def wait_until(self, condition: Callable[[], object], within_ms: float = MAX_WAIT_MS) -> None:
        until_ms = self.rig.now_ms + within_ms
        while not condition():
            assert self.rig.now_ms < until_ms, "the condition was not met in time"
            await self.step()

    async def pass_ms(self, span_ms: float) -> None:
        until_ms = self.rig.now_ms + span_ms
        while self.rig.now_ms < until_ms:
            await self.step()

    async def wait_until_ended(self, connection: Connection) -> None:
        """Wait until the proxy's end of the connection has arrived, whether or not the server notices it."""
        await self.wait_until(lambda: connection.ended_ms is not None)

    async def wait_until_accepted_or_nearly_noticed(self, old: Connection, count: int) -> None:
        """Wait for ``count`` accepted connections, or until the end of ``old`` is about to be noticed."""

        def is_nearly_noticed() -> bool:
            notice_ms = (old.ended_ms or NEVER_MS) + self.server.notices_end_after_ms
            return self.rig.now_ms >= notice_ms - MARGIN_MS

        await self.wait_until(lambda: len(self.server.accepted) >= count or is_nearly_noticed())

    async def wait_for_releases(self, call_id: str = ID) -> list[DeliveredRelease]:
        """Wait for a release of the call and for a repetition; return all that were delivered."""

        def releases() -> list[DeliveredRelease]:
            return [each for each in self.callers.delivered if each.call_id == call_id]

        limit_ms = self.server.written_ms[call_id] + RELEASE_LIMIT_MS
        while not releases() and self.rig.now_ms + STEP_MS <= limit_ms:
            await self.step()
        waited_s = 0.0
        while not releases() and waited_s < KERNEL_WAIT_S:
            await self.step(0.0)
            waited_s += 0.001
        if releases():
            await self.pass_ms(REPETITION_MS)
        return releases()

    async def assert_delivered_once(self, call_id: str = ID) -> None:
        delivered = await self.wait_for_releases(call_id)
        assert [each.cause for each in delivered] == [ReleaseCause.NORMAL_CLEARING], self.description()
        assert delivered[0].at_ms <= self.server.written_ms[call_id] + RELEASE_LIMIT_MS

    def description(self) -> str:
        """Describe the server's connections, for the message of a failed check."""
        lines = [f"released at {self.server.written_ms}, the clock is {self.rig.now_ms}"]
        for number, each in enumerate(self.server.accepted, 1):
            ended = f"ended {each.ended_ms}, reset {each.was_reset}"
            lines.append(f"connection {number}: accepted {each.accepted_ms}, {ended}")
        return "\n".join(lines)

    def close(self) -> None:
        for server in self.servers.values():
            server.close()
        self.rig.close()


Script = Callable[[Scenario], Coroutine[object, object, None]]


@pytest.fixture
def run_scenario(monkeypatch) -> Iterator[Callable[..., None]]:
    """Run a script with a call established, then close all sockets."""

    def run(script: Script, **options: object) -> None:
        async def started() -> None:
            scenario = Scenario(monkeypatch, **options)
            try:
                async with asyncio.timeout(WAIT_S):
                    await scenario.start()
                    await script(scenario)
            finally:
                scenario.close()

        run_coroutine(started())

    return run


def unreadable(kind: UnreadableKind) -> bytes:
    return unreadable_message(kind, NO_ID)


# ---------------------------------------------------------------------------- behind an unreadable message


@each_kind
def test_a_release_in_the_same_segment(run_scenario, kind):
    async def script(scenario: Scenario) -> None:
        scenario.server.release(ID, behind=unreadable(kind))
        await scenario.assert_delivered_once()

    run_scenario(script)


@each_kind
def test_a_release_in_the_next_segment_that_the_proxy_has_yet_to_read(run_scenario, kind):
    async def script(scenario: Scenario) -> None:
        scenario.server.write(scenario.connection, unreadable(kind))
        scenario.server.release(ID)
        await scenario.assert_delivered_once()

    run_scenario(script)


@each_kind
def test_a_release_before_the_end_is_noticed_and_the_next_connection_accepted(run_scenario, kind):
    async def script(scenario: Scenario) -> None:
        scenario.server.accepts = False
        scenario.server.notices_end_after_ms = LATE_NOTICE_MS
        scenario.server.write(scenario.connection, unreadable(kind))
        await scenario.wait_until_ended(scenario.connection)
        scenario.server.release(ID)
        scenario.server.accepts = True
        await scenario.assert_delivered_once()

    run_scenario(script)


@each_kind
def test_a_release_after_the_next_connection_is_accepted_and_before_the_end_is_noticed(run_scenario, kind):
    """No connection is accepted after the release was written."""

    async def script(scenario: Scenario) -> None:
        scenario.server.notices_end_after_ms = LATE_NOTICE_MS
        scenario.server.write(scenario.connection, unreadable(kind))
        await scenario.wait_until_accepted_or_nearly_noticed(scenario.connection, 2)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()

    run_scenario(script)


@each_kind
def test_a_release_after_a_set_up_had_the_next_connection_made_at_once(run_scenario, kind):
    """For a set-up, the next connection is made without delay."""

    async def script(scenario: Scenario) -> None:
        scenario.server.notices_end_after_ms = LATE_NOTICE_MS
        scenario.server.write(scenario.connection, unreadable(kind))
        await scenario.wait_until_ended(scenario.connection)
        scenario.offer(OTHER_ID)
        await scenario.wait_until_accepted_or_nearly_noticed(scenario.connection, 2)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()
        await scenario.wait_until(lambda: scenario.rig.exchange.established_calls == 1)
        assert scenario.server.has_set_up(OTHER_ID)

    run_scenario(script)


@each_kind
def test_a_release_behind_the_unreadable_answer_of_another_call(run_scenario, kind):
    """The next connection is made for the release of the other call, which may be established."""

    async def script(scenario: Scenario) -> None:
        scenario.server.answers = False
        scenario.offer(OTHER_ID)
        await scenario.wait_until(lambda: scenario.server.has_set_up(OTHER_ID))
        scenario.server.answers = True
        scenario.server.notices_end_after_ms = LATE_NOTICE_MS
        scenario.server.write(scenario.connection, unreadable_message(kind, OTHER_ID))
        await scenario.wait_until_accepted_or_nearly_noticed(scenario.connection, 2)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()
        assert [each.call_id for each in scenario.callers.delivered] == [ID]

    run_scenario(script)


@each_kind
def test_a_release_just_before_the_end_is_noticed(run_scenario, kind):
    async def script(scenario: Scenario) -> None:
        scenario.server.notices_end_after_ms = LATE_NOTICE_MS
        scenario.server.write(scenario.connection, unreadable(kind))
        await scenario.wait_until_ended(scenario.connection)
        await scenario.pass_ms(LATE_NOTICE_MS - MARGIN_MS)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()

    run_scenario(script)


# -------------------------------------------------------------------- an unreadable next connection


@each_kind
def test_a_release_sent_twice_behind_a_bad_message(run_scenario, kind):
    """On the next connection, a bad message precedes the repeated release."""

    async def script(scenario: Scenario) -> None:
        scenario.server.greetings = [(unreadable(kind), b"")]
        scenario.server.release(ID, behind=unreadable(kind))
        await scenario.assert_delivered_once()

    run_scenario(script)


@each_kind
def test_a_release_on_the_next_connection_before_a_bad_message(run_scenario, kind):
    async def script(scenario: Scenario) -> None:
        scenario.server.greetings = [(b"", unreadable(kind))]
        scenario.server.release(ID, behind=unreadable(kind))
        await scenario.assert_delivered_once()

    run_scenario(script)


@each_kind
def test_a_release_on_the_first_connection_once_the_second_is_unreadable(run_scenario, kind):
    async def script(scenario: Scenario) -> None:
        scenario.server.notices_end_after_ms = LATE_NOTICE_MS
        scenario.server.greetings = [(b"", unreadable(kind))]
        scenario.server.write(scenario.connection, unreadable(kind))
        await scenario.wait_until_accepted_or_nearly_noticed(scenario.connection, 2)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()

    run_scenario(script)


@each_kind
def test_a_release_on_the_first_connection_once_the_third_is_accepted(run_scenario, kind):
    async def script(scenario: Scenario) -> None:
        scenario.server.notices_end_after_ms = LATE_NOTICE_MS
        scenario.server.greetings = [(b"", unreadable(kind))]
        scenario.server.write(scenario.connection, unreadable(kind))
        await scenario.wait_until_accepted_or_nearly_noticed(scenario.connection, 3)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()

    run_scenario(script)


@each_kind
def test_a_release_behind_the_bad_message_of_the_second_connection(run_scenario, kind):
    """The end of the first connection was noticed, so the release goes to the second."""

    async def script(scenario: Scenario) -> None:
        scenario.server.write(scenario.connection, unreadable(kind))
        await scenario.wait_until(lambda: scenario.connection.noticed and len(scenario.server.accepted) == 2)
        scenario.server.release(ID, behind=unreadable(kind))
        await scenario.assert_delivered_once()

    run_scenario(script)


@each_kind
def test_a_release_on_the_second_connection_once_the_third_is_accepted(run_scenario, kind):
    """The end of the first connection was noticed, that of the second was not."""

    async def script(scenario: Scenario) -> None:
        scenario.server.write(scenario.connection, unreadable(kind))
        await scenario.wait_until(lambda: scenario.connection.noticed and len(scenario.server.accepted) == 2)
        second = scenario.server.newest
        scenario.server.notices_end_after_ms = LATE_NOTICE_MS
        scenario.server.write(second, unreadable(kind))
        await scenario.wait_until_accepted_or_nearly_noticed(second, 3)
        scenario.server.release(ID, on=second)
        await scenario.assert_delivered_once()

    run_scenario(script)


# ---------------------------------------------------------------------------------- a replaced connection


async def replace_connection(scenario: Scenario) -> None:
    """Have the call's connection hang and be replaced; the first is then used again."""
    scenario.server.answers = False
    scenario.offer(OTHER_ID)
    await scenario.wait_until(lambda: len(scenario.server.accepted) == 2)
    scenario.server.answers = True
    scenario.server.answer(OTHER_ID)
    await scenario.wait_until(lambda: scenario.rig.exchange.established_calls == 2)
    assert scenario.connection.ended_ms is None
    assert scenario.connection is scenario.server.connection_of(OTHER_ID)


@each_kind
def test_a_release_in_the_same_segment_on_a_replaced_connection(run_scenario, kind):
    """The new connection has long been established, and no other follows."""

    async def script(scenario: Scenario) -> None:
        await replace_connection(scenario)
        scenario.server.release(ID, behind=unreadable(kind))
        await scenario.assert_delivered_once()

    run_scenario(script)


@each_kind
def test_a_release_before_the_end_of_a_replaced_connection_is_noticed(run_scenario, kind):
    async def script(scenario: Scenario) -> None:
        await replace_connection(scenario)
        scenario.server.notices_end_after_ms = LATE_NOTICE_MS
        scenario.server.write(scenario.connection, unreadable(kind))
        await scenario.wait_until_ended(scenario.connection)
        await scenario.pass_ms(LATE_NOTICE_MS - MARGIN_MS)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()

    run_scenario(script)


# ------------------------------------------------------------------------------------ a half-open server


def make_half_open(scenario: Scenario) -> None:
    """Have the server end its side of a connection only after a reset."""
    scenario.server.notices_end_after_ms = NEVER_MS
    scenario.server.notices_reset_at_once = True


@each_kind
def test_a_release_in_the_same_segment_to_a_half_open_server(run_scenario, kind):
    async def script(scenario: Scenario) -> None:
        make_half_open(scenario)
        scenario.server.release(ID, behind=unreadable(kind))
        await scenario.assert_delivered_once()

    run_scenario(script)


@pytest.mark.parametrize("delay_ms", [0.0, 200.0], ids=["at_once", "later"])
@each_kind
def test_a_release_after_the_proxys_end_of_a_connection_that_the_server_does_not_end(
    run_scenario, kind, delay_ms
):
    async def script(scenario: Scenario) -> None:
        make_half_open(scenario)
        scenario.server.write(scenario.connection, unreadable(kind))
        await scenario.wait_until_ended(scenario.connection)
        await scenario.pass_ms(delay_ms)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()

    run_scenario(script)


@each_kind
def test_a_release_on_a_replaced_connection_that_the_server_does_not_end(run_scenario, kind):
    async def script(scenario: Scenario) -> None:
        await replace_connection(scenario)
        make_half_open(scenario)
        scenario.server.release(ID, behind=unreadable(kind))
        await scenario.assert_delivered_once()

    run_scenario(script)


# ------------------------------------------------------------------- no second release, no double set-up


@each_kind
def test_a_release_that_comes_on_two_connections_is_passed_on_once(run_scenario, kind):
    async def script(scenario: Scenario) -> None:
        scenario.server.release(ID)
        scenario.server.write(scenario.connection, unreadable(kind))
        await scenario.assert_delivered_once()
        await scenario.wait_until(lambda: len(scenario.server.accepted) == 2)
        await scenario.pass_ms(STEP_MS)
        confirmed = [each for each in scenario.server.newest.received if each.method == "BYE" and each.status]
        assert [each.call_id for each in confirmed] == [ID]
        await scenario.pass_ms(REPETITION_MS)
        assert len(scenario.callers.delivered) == 1

    run_scenario(script)


def record_releases(monkeypatch, scenario: Scenario) -> dict[str, float]:
    """Record when the proxy writes its own releases, by call."""
    written_ms: dict[str, float] = {}
    send_release = ServerStream.send_release

    def recorded(stream: ServerStream, call_id: str, *arguments: object) -> None:
        written_ms.setdefault(call_id, scenario.rig.now_ms)
        send_release(stream, call_id, *arguments)

    monkeypatch.setattr(ServerStream, "send_release", recorded)
    return written_ms


@pytest.mark.parametrize(
    "notices_end_after_ms", [0.0, LATE_NOTICE_MS, NEVER_MS], ids=["noticed_at_once", "noticed_late", "never"]
)
@each_kind
def test_an_attempt_whose_answer_cannot_be_read_is_released_before_the_call_is_sent_again(
    run_scenario, monkeypatch, kind, notices_end_after_ms
):
    async def script(scenario: Scenario) -> None:
        for server in scenario.servers.values():
            server.answers = False
        scenario.offer(OTHER_ID)
        await scenario.wait_until(lambda: len(scenario.rig.sent_ms) == 2)
        server = scenario.servers[scenario.rig.servers_sent_to[1]]
        await scenario.wait_until(lambda: server.has_set_up(OTHER_ID))
        server.notices_end_after_ms = notices_end_after_ms
        written_ms = record_releases(monkeypatch, scenario)
        server.write(server.connection_of(OTHER_ID), unreadable_message(kind, OTHER_ID))
        await scenario.wait_until(lambda: len(scenario.rig.sent_ms) == 3)
        await scenario.step(0.0)
        assert OTHER_ID in written_ms, "the call was sent again, and was not released"
        assert scenario.rig.sent_ms[2] - written_ms[OTHER_ID] >= RULES.release_ms
        first = server.accepted[1].received[0]
        assert (first.method, first.status, first.call_id) == ("BYE", 0, OTHER_ID)

    run_scenario(script, servers=(SERVER, OTHER_SERVER))


# --------------------------------------------------------------- connections that are ended for other reasons


def leave_unread(scenario: Scenario) -> ServerStream:
    """Stop the server's reading on the call's connection; return the proxy's stream of it."""
    scenario.connection.reads = False
    [stream] = scenario.rig.servers._peers[SERVER].streams
    stream.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return stream


def list_as_draining(scenario: Scenario) -> None:
    port = scenario.rig.listeners[SERVER].getsockname()[1]
    scenario.rig.scheduler.begin_iteration()
    scenario.rig.servers.update_endpoints(
        False, [Endpoint(SERVER, f"127.0.0.1:{port}", lifecycle="draining")]
    )


def test_a_release_on_a_connection_that_was_left_unread(run_scenario):
    """The server has not read the proxy's end of the connection when it accepts the next."""

    async def script(scenario: Scenario) -> None:
        make_half_open(scenario)
        leave_unread(scenario).write(b"x" * (2 * MAX_UNSENT_BYTES))
        await scenario.wait_until(lambda: len(scenario.server.accepted) == 2)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()

    run_scenario(script)


def test_a_release_on_a_connection_whose_unsent_set_ups_were_withdrawn(run_scenario):
    """The connection to a draining server is replaced at the moment the old one is ended."""

    async def script(scenario: Scenario) -> None:
        make_half_open(scenario)
        leave_unread(scenario).write(b"x" * (MAX_UNSENT_BYTES // 2))
        scenario.offer(OTHER_ID)
        await scenario.wait_until(lambda: len(scenario.rig.sent_ms) == 2)
        list_as_draining(scenario)
        await scenario.wait_until(lambda: len(scenario.server.accepted) == 2)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()

    run_scenario(script)


def test_a_release_on_a_connection_with_an_overdue_message(run_scenario):
    async def script(scenario: Scenario) -> None:
        scenario.server.notices_end_after_ms = LATE_NOTICE_MS
        scenario.server.write(scenario.connection, HALF_NOTIFY)
        await scenario.wait_until_accepted_or_nearly_noticed(scenario.connection, 2)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()

    run_scenario(script)


async def supersede_connection(scenario: Scenario) -> None:
    """Have the call's connection hang and be replaced; the first is then closed for writing."""
    scenario.server.answers = False
    scenario.offer(OTHER_ID)
    await scenario.wait_until(lambda: len(scenario.server.accepted) == 2)
    scenario.rig.exchange.on_released_by_caller(OTHER_ID, ReleaseCause.NORMAL_CLEARING)
    await scenario.wait_until_ended(scenario.connection)


def test_a_release_on_a_superseded_connection_that_was_closed_for_writing(run_scenario):
    """The connection is still read, so that a release that crosses its end is not lost."""

    async def script(scenario: Scenario) -> None:
        scenario.server.notices_end_after_ms = LATE_NOTICE_MS
        await supersede_connection(scenario)
        await scenario.pass_ms(LATE_NOTICE_MS - MARGIN_MS)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()

    run_scenario(script)


@each_kind
def test_a_release_behind_a_bad_message_on_a_superseded_connection_that_was_closed_for_writing(
    run_scenario, kind
):
    """An incomplete message there absorbs what follows it until the connection ends."""

    async def script(scenario: Scenario) -> None:
        scenario.server.notices_end_after_ms = LATE_NOTICE_MS
        await supersede_connection(scenario)
        scenario.server.release(ID, behind=unreadable(kind))
        await scenario.assert_delivered_once()

    run_scenario(script)


def test_a_release_on_a_superseded_connection_that_the_server_does_not_end(run_scenario):
    """The proxy reads the connection for a bounded time after its own end."""

    async def script(scenario: Scenario) -> None:
        make_half_open(scenario)
        await supersede_connection(scenario)
        await scenario.pass_ms(LINGER_MS + LATE_NOTICE_MS)
        scenario.server.release(ID)
        await scenario.assert_delivered_once()

    run_scenario(script)
