"""The release of an established call reaches its caller although the proxy ends its server's connection.

A server sends a release on the connection of the call's set-up if it takes that for open, or else on any open
one, and again, once, on the next connection that it accepts; with none open, on that one alone.  What is
written behind a message that cannot be read, or on a connection that the proxy ends for another reason, may
be lost; the caller is still to be told within ``RELEASE_LIMIT_MS``, on the test's clock, of when the server
wrote the release first.

The server here keeps to that; the test decides when it notices the end of a connection, and when it releases.
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
from server_side import CALL_MS, CallerSide, ServerSide

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
RESEND_MS = 500.0  # a connection hangs after this, and a message is overdue after a quarter of it
RELEASE_LIMIT_MS = 1000.0  # the platform's: for a release to be passed on
LATE_NOTICE_MS = 300.0  # a server may take an ended connection for open for so long
NEVER_MS = float("inf")
MARGIN_MS = 40.0  # a release is written so long before the end of its connection is noticed
STEP_MS = 20.0
MAX_WAIT_MS = 5000.0  # on the test's clock, for what has to come before the release
REPETITION_MS = 400.0  # for so long after the release no second one may come
KERNEL_WAIT_S = 0.1  # with the clock held: for what the kernel may have on its way
HALF_NOTIFY = sip.request("NOTIFY", "exchange", NO_ID, 1, {"X-Gauges": "free:12;size:40"})[:-20]

each_kind = pytest.mark.parametrize("kind", UnreadableKind, ids=lambda kind: kind.name.lower())


class ToldRelease(NamedTuple):
    """A release that was passed on to the callers' side."""

    call_id: str
    cause: int
    at_ms: float


class RecordingCallers(CallerSide):
    """Callers that note what they are told; a release counts as written to its caller at once."""

    def __init__(self, clock_ms: Callable[[], float]) -> None:
        super().__init__()
        self.told: list[ToldRelease] = []
        self._clock_ms = clock_ms

    def release(self, origin, release) -> None:
        self.told.append(ToldRelease(release.call_id, release.cause, self._clock_ms()))
        if release.on_delivered is not None:
            release.on_delivered()


@dataclass(eq=False)
class Connection:
    """A connection that the server has accepted and takes for open."""

    socket: socket.socket
    unsent: bytearray = field(default_factory=bytearray)
    parser: sip.Parser = field(default_factory=sip.Parser)
    received: list[sip.Message] = field(default_factory=list)
    reads: bool = True
    accepted_ms: float = 0.0
    ended_ms: float | None = None  # when the proxy's end of it arrived, whether or not that was noticed
    was_reset: bool = False
    noticed: bool = False  # it is taken for open no more, and is closed once all is written

    def flush(self) -> None:
        """Write what the kernel takes; what meets an error counts as written, as with buffered writers."""
        try:
            while self.unsent:
                del self.unsent[: self.socket.send(self.unsent)]
        except BlockingIOError:
            pass
        except OSError:
            self.was_reset = True
            self.unsent.clear()

    def read(self, now_ms: float) -> list[sip.Message]:
        """What has come since; an end is noted."""
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
        """Note a reset, which reading does not show behind the proxy's end, or where nothing is read."""
        if not self.noticed and self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.was_reset = True


class ConformingServer:
    """A call server that releases its calls as the platform's protocol says."""

    def __init__(self, listener: socket.socket, clock_ms: Callable[[], float]) -> None:
        self._listener = listener
        self._clock_ms = clock_ms
        listener.setblocking(False)
        self.accepts = True
        self.answers = True
        self.notices_end_after_ms = 0.0
        self.notices_reset_at_once = False
        # What the next connection is sent as it is accepted, before and after the releases that go there.
        self.greetings: list[tuple[bytes, bytes]] = []
        self.accepted: list[Connection] = []
        self.written_ms: dict[str, float] = {}  # when each call was released first
        self._set_up_on: dict[str, Connection] = {}
        self._to_release_again: list[str] = []

    @property
    def newest(self) -> Connection:
        return self.accepted[-1]

    @property
    def open(self) -> list[Connection]:
        """The connections that it takes for open, the newest first."""
        return [each for each in reversed(self.accepted) if not each.noticed]

    def poll(self) -> None:
        """Do what is to be done now."""
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
        """That of the call's set-up."""
        return self._set_up_on[call_id]

    def release(self, call_id: str, behind: bytes = b"", *, on: Connection | None = None) -> None:
        """End a call, in one write behind these bytes; ``on``: this one, where any that is open will do."""
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


class Play:
    """The proxy's side of the call servers, and a conforming server with one established call."""

    def __init__(self, monkeypatch, *, servers: tuple[str, ...] = (SERVER,)) -> None:
        self.rig = ServerSide(monkeypatch, resend_ms=RESEND_MS)
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
        """That of the established call."""
        return self.server.connection_of(ID)

    async def start(self) -> None:
        self.rig.list_servers()
        connected = "sockets.servers"
        await self.until(lambda: self.rig.exchange.counters[connected] == len(self.servers))
        await self.establish(ID)

    async def establish(self, call_id: str) -> None:
        established = self.rig.exchange.established_calls
        self.offer(call_id)
        await self.until(lambda: self.rig.exchange.established_calls > established)

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

    async def until(self, condition: Callable[[], object], within_ms: float = MAX_WAIT_MS) -> None:
        until_ms = self.rig.now_ms + within_ms
        while not condition():
            assert self.rig.now_ms < until_ms, "it did not come"
            await self.step()

    async def pass_ms(self, span_ms: float) -> None:
        until_ms = self.rig.now_ms + span_ms
        while self.rig.now_ms < until_ms:
            await self.step()

    async def until_ended(self, connection: Connection) -> None:
        """Until the proxy's end of it has arrived; whether the server notices that is its own affair."""
        await self.until(lambda: connection.ended_ms is not None)

    async def until_accepted_or_nearly_noticed(self, old: Connection, count: int) -> None:
        """Until this many connections were accepted, or the end of this one is about to be noticed."""

        def is_nearly_noticed() -> bool:
            notice_ms = (old.ended_ms or NEVER_MS) + self.server.notices_end_after_ms
            return self.rig.now_ms >= notice_ms - MARGIN_MS

        await self.until(lambda: len(self.server.accepted) >= count or is_nearly_noticed())

    async def told(self, call_id: str = ID) -> list[ToldRelease]:
        """All that the callers' side is told of this call, in time for the first and for a repetition."""

        def releases() -> list[ToldRelease]:
            return [each for each in self.callers.told if each.call_id == call_id]

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

    async def assert_told_once(self, call_id: str = ID) -> None:
        told = await self.told(call_id)
        assert [each.cause for each in told] == [ReleaseCause.NORMAL_CLEARING], self.description()
        assert told[0].at_ms <= self.server.written_ms[call_id] + RELEASE_LIMIT_MS

    def description(self) -> str:
        """What the server saw of its connections, for a failure's text."""
        lines = [f"released at {self.server.written_ms}, the clock is {self.rig.now_ms}"]
        for number, each in enumerate(self.server.accepted, 1):
            ended = f"ended {each.ended_ms}, reset {each.was_reset}"
            lines.append(f"connection {number}: accepted {each.accepted_ms}, {ended}")
        return "\n".join(lines)

    def close(self) -> None:
        for server in self.servers.values():
            server.close()
        self.rig.close()


Script = Callable[[Play], Coroutine[object, object, None]]


@pytest.fixture
def run_play(monkeypatch) -> Iterator[Callable[..., None]]:
    """Run a script with a call established, and let go of all sockets."""

    def run(script: Script, **options: object) -> None:
        async def started() -> None:
            play = Play(monkeypatch, **options)
            try:
                async with asyncio.timeout(WAIT_S):
                    await play.start()
                    await script(play)
            finally:
                play.close()

        run_coroutine(started())

    return run


def bad(kind: UnreadableKind) -> bytes:
    return unreadable_message(kind, NO_ID)


# -------------------------------------------------------------------- behind a message that cannot be read


@each_kind
def test_in_the_same_segment(run_play, kind):
    async def script(play: Play) -> None:
        play.server.release(ID, behind=bad(kind))
        await play.assert_told_once()

    run_play(script)


@each_kind
def test_in_the_next_segment_that_the_proxy_has_yet_to_read(run_play, kind):
    async def script(play: Play) -> None:
        play.server.write(play.connection, bad(kind))
        play.server.release(ID)
        await play.assert_told_once()

    run_play(script)


@each_kind
def test_before_the_end_is_noticed_and_the_next_connection_accepted(run_play, kind):
    async def script(play: Play) -> None:
        play.server.accepts = False
        play.server.notices_end_after_ms = LATE_NOTICE_MS
        play.server.write(play.connection, bad(kind))
        await play.until_ended(play.connection)
        play.server.release(ID)
        play.server.accepts = True
        await play.assert_told_once()

    run_play(script)


@each_kind
def test_after_the_next_connection_is_accepted_and_before_the_end_is_noticed(run_play, kind):
    """No connection follows the one that was accepted before the release was written."""

    async def script(play: Play) -> None:
        play.server.notices_end_after_ms = LATE_NOTICE_MS
        play.server.write(play.connection, bad(kind))
        await play.until_accepted_or_nearly_noticed(play.connection, 2)
        play.server.release(ID)
        await play.assert_told_once()

    run_play(script)


@each_kind
def test_after_a_set_up_had_the_next_connection_made_at_once(run_play, kind):
    """A set-up waits for no delay before the next connection."""

    async def script(play: Play) -> None:
        play.server.notices_end_after_ms = LATE_NOTICE_MS
        play.server.write(play.connection, bad(kind))
        await play.until_ended(play.connection)
        play.offer(OTHER_ID)
        await play.until_accepted_or_nearly_noticed(play.connection, 2)
        play.server.release(ID)
        await play.assert_told_once()
        await play.until(lambda: play.rig.exchange.established_calls == 1)
        assert play.server.has_set_up(OTHER_ID)

    run_play(script)


@each_kind
def test_behind_the_unreadable_answer_of_another_call(run_play, kind):
    """The release of the other call, which its answer may have established, has the next connection made."""

    async def script(play: Play) -> None:
        play.server.answers = False
        play.offer(OTHER_ID)
        await play.until(lambda: play.server.has_set_up(OTHER_ID))
        play.server.answers = True
        play.server.notices_end_after_ms = LATE_NOTICE_MS
        play.server.write(play.connection, unreadable_message(kind, OTHER_ID))
        await play.until_accepted_or_nearly_noticed(play.connection, 2)
        play.server.release(ID)
        await play.assert_told_once()
        assert [each.call_id for each in play.callers.told] == [ID]

    run_play(script)


@each_kind
def test_just_before_the_end_is_noticed(run_play, kind):
    async def script(play: Play) -> None:
        play.server.notices_end_after_ms = LATE_NOTICE_MS
        play.server.write(play.connection, bad(kind))
        await play.until_ended(play.connection)
        await play.pass_ms(LATE_NOTICE_MS - MARGIN_MS)
        play.server.release(ID)
        await play.assert_told_once()

    run_play(script)


# ------------------------------------------------------------------------ the next connection is spoiled, too


@each_kind
def test_both_sendings_are_behind_a_bad_message(run_play, kind):
    """The next connection brings a bad message before the release that is sent there again."""

    async def script(play: Play) -> None:
        play.server.greetings = [(bad(kind), b"")]
        play.server.release(ID, behind=bad(kind))
        await play.assert_told_once()

    run_play(script)


@each_kind
def test_the_next_connection_is_spoiled_behind_the_release(run_play, kind):
    async def script(play: Play) -> None:
        play.server.greetings = [(b"", bad(kind))]
        play.server.release(ID, behind=bad(kind))
        await play.assert_told_once()

    run_play(script)


@each_kind
def test_on_the_first_connection_once_the_second_is_spoiled(run_play, kind):
    async def script(play: Play) -> None:
        play.server.notices_end_after_ms = LATE_NOTICE_MS
        play.server.greetings = [(b"", bad(kind))]
        play.server.write(play.connection, bad(kind))
        await play.until_accepted_or_nearly_noticed(play.connection, 2)
        play.server.release(ID)
        await play.assert_told_once()

    run_play(script)


@each_kind
def test_on_the_first_connection_once_the_third_is_accepted(run_play, kind):
    async def script(play: Play) -> None:
        play.server.notices_end_after_ms = LATE_NOTICE_MS
        play.server.greetings = [(b"", bad(kind))]
        play.server.write(play.connection, bad(kind))
        await play.until_accepted_or_nearly_noticed(play.connection, 3)
        play.server.release(ID)
        await play.assert_told_once()

    run_play(script)


@each_kind
def test_behind_the_bad_message_of_the_second_connection(run_play, kind):
    """The end of the first was noticed, and the release goes on the other that is open."""

    async def script(play: Play) -> None:
        play.server.write(play.connection, bad(kind))
        await play.until(lambda: play.connection.noticed and len(play.server.accepted) == 2)
        play.server.release(ID, behind=bad(kind))
        await play.assert_told_once()

    run_play(script)


@each_kind
def test_on_the_second_connection_once_the_third_is_accepted(run_play, kind):
    """The end of the first was noticed, that of the second was not."""

    async def script(play: Play) -> None:
        play.server.write(play.connection, bad(kind))
        await play.until(lambda: play.connection.noticed and len(play.server.accepted) == 2)
        second = play.server.newest
        play.server.notices_end_after_ms = LATE_NOTICE_MS
        play.server.write(second, bad(kind))
        await play.until_accepted_or_nearly_noticed(second, 3)
        play.server.release(ID, on=second)
        await play.assert_told_once()

    run_play(script)


# ---------------------------------------------------------------------------------- a replaced connection


async def replace_connection(play: Play) -> None:
    """Have the call's connection hang and another take its place; the first is in use again after that."""
    play.server.answers = False
    play.offer(OTHER_ID)
    await play.until(lambda: len(play.server.accepted) == 2)
    play.server.answers = True
    play.server.answer(OTHER_ID)
    await play.until(lambda: play.rig.exchange.established_calls == 2)
    assert play.connection.ended_ms is None
    assert play.connection is play.server.connection_of(OTHER_ID)


@each_kind
def test_in_the_same_segment_on_a_replaced_connection(run_play, kind):
    """Its successor has long been up, and no connection follows."""

    async def script(play: Play) -> None:
        await replace_connection(play)
        play.server.release(ID, behind=bad(kind))
        await play.assert_told_once()

    run_play(script)


@each_kind
def test_before_the_end_of_a_replaced_connection_is_noticed(run_play, kind):
    async def script(play: Play) -> None:
        await replace_connection(play)
        play.server.notices_end_after_ms = LATE_NOTICE_MS
        play.server.write(play.connection, bad(kind))
        await play.until_ended(play.connection)
        await play.pass_ms(LATE_NOTICE_MS - MARGIN_MS)
        play.server.release(ID)
        await play.assert_told_once()

    run_play(script)


# ------------------------------------------------------------------------------------ a half-open server


def make_half_open(play: Play) -> None:
    """Have the server end its side of a connection only once it is reset."""
    play.server.notices_end_after_ms = NEVER_MS
    play.server.notices_reset_at_once = True


@each_kind
def test_in_the_same_segment_to_a_half_open_server(run_play, kind):
    async def script(play: Play) -> None:
        make_half_open(play)
        play.server.release(ID, behind=bad(kind))
        await play.assert_told_once()

    run_play(script)


@pytest.mark.parametrize("delay_ms", [0.0, 200.0], ids=["at_once", "later"])
@each_kind
def test_after_the_proxys_end_of_a_connection_that_the_server_does_not_end(run_play, kind, delay_ms):
    async def script(play: Play) -> None:
        make_half_open(play)
        play.server.write(play.connection, bad(kind))
        await play.until_ended(play.connection)
        await play.pass_ms(delay_ms)
        play.server.release(ID)
        await play.assert_told_once()

    run_play(script)


@each_kind
def test_on_a_replaced_connection_that_the_server_does_not_end(run_play, kind):
    async def script(play: Play) -> None:
        await replace_connection(play)
        make_half_open(play)
        play.server.release(ID, behind=bad(kind))
        await play.assert_told_once()

    run_play(script)


# ------------------------------------------------------------------------------- what must stay as it was


@each_kind
def test_a_release_that_comes_on_two_connections_is_passed_on_once(run_play, kind):
    async def script(play: Play) -> None:
        play.server.release(ID)
        play.server.write(play.connection, bad(kind))
        await play.assert_told_once()
        await play.until(lambda: len(play.server.accepted) == 2)
        await play.pass_ms(STEP_MS)
        confirmed = [each for each in play.server.newest.received if each.method == "BYE" and each.status]
        assert [each.call_id for each in confirmed] == [ID]
        await play.pass_ms(REPETITION_MS)
        assert len(play.callers.told) == 1

    run_play(script)


def record_releases(monkeypatch, play: Play) -> dict[str, float]:
    """When the proxy wrote its own releases, by call."""
    written_ms: dict[str, float] = {}
    send_release = ServerStream.send_release

    def recorded(stream: ServerStream, call_id: str, *arguments: object) -> None:
        written_ms.setdefault(call_id, play.rig.now_ms)
        send_release(stream, call_id, *arguments)

    monkeypatch.setattr(ServerStream, "send_release", recorded)
    return written_ms


@pytest.mark.parametrize(
    "notices_end_after_ms", [0.0, LATE_NOTICE_MS, NEVER_MS], ids=["noticed_at_once", "noticed_late", "never"]
)
@each_kind
def test_an_attempt_whose_answer_cannot_be_read_is_released_before_the_call_is_sent_again(
    run_play, monkeypatch, kind, notices_end_after_ms
):
    async def script(play: Play) -> None:
        for server in play.servers.values():
            server.answers = False
        play.offer(OTHER_ID)
        await play.until(lambda: len(play.rig.sent_ms) == 2)
        server = play.servers[play.rig.servers_sent_to[1]]
        await play.until(lambda: server.has_set_up(OTHER_ID))
        server.notices_end_after_ms = notices_end_after_ms
        written_ms = record_releases(monkeypatch, play)
        server.write(server.connection_of(OTHER_ID), unreadable_message(kind, OTHER_ID))
        await play.until(lambda: len(play.rig.sent_ms) == 3)
        await play.step(0.0)
        assert OTHER_ID in written_ms, "the call was sent again, and was not released"
        assert play.rig.sent_ms[2] - written_ms[OTHER_ID] >= RULES.release_ms
        first = server.accepted[1].received[0]
        assert (first.method, first.status, first.call_id) == ("BYE", 0, OTHER_ID)

    run_play(script, servers=(SERVER, OTHER_SERVER))


# --------------------------------------------------------------- connections that are ended for other reasons


def leave_unread(play: Play) -> ServerStream:
    """Have the server read nothing more on the call's connection; the proxy's end of it."""
    play.connection.reads = False
    [stream] = play.rig.servers._peers[SERVER].streams
    stream.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return stream


def list_as_draining(play: Play) -> None:
    port = play.rig.listeners[SERVER].getsockname()[1]
    play.rig.scheduler.begin_iteration()
    play.rig.servers.update_endpoints(False, [Endpoint(SERVER, f"127.0.0.1:{port}", lifecycle="draining")])


def test_a_connection_that_was_left_unread(run_play):
    """The server has not read up to the proxy's end of it when it accepts the next."""

    async def script(play: Play) -> None:
        make_half_open(play)
        leave_unread(play).write(b"x" * (2 * MAX_UNSENT_BYTES))
        await play.until(lambda: len(play.server.accepted) == 2)
        play.server.release(ID)
        await play.assert_told_once()

    run_play(script)


def test_a_connection_whose_unsent_set_ups_were_withdrawn(run_play):
    """A server that drains gets a new connection in the instant in which the old one is ended."""

    async def script(play: Play) -> None:
        make_half_open(play)
        leave_unread(play).write(b"x" * (MAX_UNSENT_BYTES // 2))
        play.offer(OTHER_ID)
        await play.until(lambda: len(play.rig.sent_ms) == 2)
        list_as_draining(play)
        await play.until(lambda: len(play.server.accepted) == 2)
        play.server.release(ID)
        await play.assert_told_once()

    run_play(script)


def test_a_connection_with_an_overdue_message(run_play):
    async def script(play: Play) -> None:
        play.server.notices_end_after_ms = LATE_NOTICE_MS
        play.server.write(play.connection, HALF_NOTIFY)
        await play.until_accepted_or_nearly_noticed(play.connection, 2)
        play.server.release(ID)
        await play.assert_told_once()

    run_play(script)


async def supersede_connection(play: Play) -> None:
    """Have the call's connection hang and another take its place; the first is then closed for writing."""
    play.server.answers = False
    play.offer(OTHER_ID)
    await play.until(lambda: len(play.server.accepted) == 2)
    play.rig.exchange.on_released_by_caller(OTHER_ID, ReleaseCause.NORMAL_CLEARING)
    await play.until_ended(play.connection)


def test_a_superseded_connection_that_was_closed_for_writing(run_play):
    """It is read on, so a release that crosses its end is not lost."""

    async def script(play: Play) -> None:
        play.server.notices_end_after_ms = LATE_NOTICE_MS
        await supersede_connection(play)
        await play.pass_ms(LATE_NOTICE_MS - MARGIN_MS)
        play.server.release(ID)
        await play.assert_told_once()

    run_play(script)


@each_kind
def test_behind_a_bad_message_on_a_superseded_connection_that_was_closed_for_writing(run_play, kind):
    """A message there that stops short holds up what follows it until the connection's end."""

    async def script(play: Play) -> None:
        play.server.notices_end_after_ms = LATE_NOTICE_MS
        await supersede_connection(play)
        play.server.release(ID, behind=bad(kind))
        await play.assert_told_once()

    run_play(script)


def test_a_superseded_connection_that_the_server_does_not_end(run_play):
    """The proxy reads it for some time after its own end, and not for ever."""

    async def script(play: Play) -> None:
        make_half_open(play)
        await supersede_connection(play)
        await play.pass_ms(LINGER_MS + LATE_NOTICE_MS)
        play.server.release(ID)
        await play.assert_told_once()

    run_play(script)
