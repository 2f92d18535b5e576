"""A request, an answer or a signal comes between two lines: each crossing is forced, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest
from exchange_replay import PROGRESS, SETTINGS, Player
from test_operations import free_port

from canvasplank import interface as api
from canvasplank.codecs import isup, sip
from canvasplank.config.configuration import load_configuration
from canvasplank.config.discovery_events import Endpoint
from canvasplank.config.platform_settings import ConnectionLimits, LoadReportReader, RequestBounds
from canvasplank.counters import Counters
from canvasplank.exchange.call_records import CallRecord
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.callers import Callers
from canvasplank.network.servers import Servers
from canvasplank.network.stream import BufferBudget
from canvasplank.program import Program
from canvasplank.runtime.event_loop import PipeEventLoop
from canvasplank.runtime.scheduler import Scheduler, TimerQueue
from canvasplank.runtime.shutdown import LAME_DUCK_MS

ROOT = Path(__file__).parent.parent
WAIT_S = 20.0  # bounds every wait here; none depends on speed
ID = "aa" * 8
TEST = isup.encode(isup.Message(isup.Kind.TEST, ID, {isup.Parameter.CAUSE: b"\0"}))
RELEASE = isup.release(ID, 16)


def set_up(call_id: str = ID, wait_ms: int = 9000) -> bytes:
    return isup.encode(
        isup.Message(
            isup.Kind.SET_UP,
            call_id,
            {
                isup.Parameter.CLASS: b"low",
                isup.Parameter.WAIT: b"%d" % wait_ms,
                isup.Parameter.NUMBER: b"7f3a",
                isup.Parameter.FIGURES: b"dest:0;width:1;via:-1",
                isup.Parameter.DESCRIPTION: b"v=0 offer",
            },
        )
    )


def read_to_the_end(peer: socket.socket) -> bytes:
    """All that comes; a reset is an error."""
    came = b""
    while chunk := peer.recv(65536):
        came += chunk
    return came


# ------------------------------------------------------------ a close of ours crosses what a caller writes


class Edge:
    """The callers' side alone, on a clock of our own, with a module that holds every call."""

    def __init__(self, sockets: int = 64) -> None:
        self.now_ms = 0.0
        self.scheduler = Scheduler(TimerQueue(), clock=lambda: self.now_ms)
        self.exchange = Exchange(
            self.scheduler, lambda now_ms, event: self.decide(event), Counters(), 100, 1e6
        )
        self.decide: Callable[[api.Event], list[api.Action]] = lambda event: []
        self.released: list[str] = []
        self.exchange.attach_servers(
            SimpleNamespace(
                release=lambda _, call_id, __: self.released.append(call_id),
                set_up=lambda *_: None,
                cancel=lambda *_: None,
            )
        )
        figures = RequestBounds(frozenset({"low"}), frozenset(), None, None)
        self.callers = Callers(self.exchange, figures, sockets, 1000.0, BufferBudget(1e6))
        self.exchange.attach_callers(self.callers)
        self.port = free_port()

    async def caller(self) -> socket.socket:
        """A connection that was tested, and has nothing open."""
        peer = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT_S)
        peer.sendall(TEST)
        loop = asyncio.get_running_loop()
        assert len(await loop.run_in_executor(None, peer.recv, 64)) == 15
        return peer

    async def taken(self) -> None:
        """Until a set-up has been read; the caller bounds the wait."""
        while not self.exchange.open_calls:
            await asyncio.sleep(0.005)

    def idle(self) -> None:
        self.now_ms += 5000.0
        self.scheduler.now_ms = self.now_ms
        self.callers._look_for_idle()

    def for_room(self) -> None:
        self.callers.limit(1)
        self.callers._make_room()


@pytest.mark.parametrize(
    ("close", "crossing", "hears"),
    [
        pytest.param(Edge.idle, set_up(), b"", id="idle-set-up"),
        pytest.param(Edge.idle, RELEASE, b"", id="idle-release"),
        pytest.param(Edge.for_room, set_up(), b"", id="room-set-up"),
        pytest.param(Edge.for_room, RELEASE, b"", id="room-release"),
        pytest.param(
            lambda edge: edge.callers.quiesce(), RELEASE, isup.release_heard(ID), id="quiesce-release"
        ),
    ],
)
def test_what_crosses_a_close_of_ours_meets_no_reset(
    close: Callable[[Edge], None], crossing: bytes, hears: bytes
):
    """The kernel reset a connection closed with bytes unread, and a release that lay there was lost.

    A set-up is left to its caller, who sends it again on a new connection; a release is passed on.  While
    quiesced a connection ends only once all is read: see the next but one for a set-up there.
    """

    async def run() -> tuple[bytes, Edge]:
        edge, loop = Edge(), asyncio.get_running_loop()
        edge.callers.listen("127.0.0.1", edge.port)
        first, second = await edge.caller(), await edge.caller()
        first.sendall(crossing)  # the loop has not run since: it lies in the machine, unread
        close(edge)
        async with asyncio.timeout(WAIT_S):
            came = await loop.run_in_executor(None, read_to_the_end, first)
        first.close(), second.close()
        await asyncio.sleep(0.05)
        edge.callers.stop_listening()
        return came, edge

    came, edge = _run(run())
    assert came == hears
    assert edge.exchange.open_calls == 0
    assert edge.released == ([ID] if crossing == RELEASE else [])


def _run(coroutine: object) -> object:
    with asyncio.Runner(loop_factory=PipeEventLoop) as runner:
        return runner.run(coroutine)


def test_an_answer_for_a_caller_whose_connection_ends_in_the_same_turn_is_taken_back():
    """It was written to nobody, and the call stood at its server until that ended it."""

    async def run() -> Edge:
        edge = Edge()
        edge.decide = lambda event: [api.SetUp(ID, "a", 9000)] if isinstance(event, api.Call) else []
        edge.callers.listen("127.0.0.1", edge.port)
        peer = await edge.caller()
        peer.sendall(set_up())
        async with asyncio.timeout(WAIT_S):
            await edge.taken()
        next(iter(edge.callers.streams)).end_spoilt("it cannot be read")
        edge.exchange.on_established("a", ID, 0, b"v=0 answer")
        await asyncio.sleep(0.05)
        peer.close()
        edge.callers.stop_listening()
        return edge

    edge = _run(run())
    assert edge.released == [ID]
    assert (edge.exchange.open_calls, edge.exchange.established_calls) == (0, 0)


@pytest.mark.parametrize("first", ["a test", "a set-up that is out"])
def test_a_set_up_that_lies_unread_when_a_quiesced_connection_has_nothing_left_is_answered(first: str):
    """It met the end of the connection amid the turn: who had written it half a second ago lost it.

    So long after it no caller takes it for a crossing, and none sends it again.
    """
    second = "bb" * 8

    def decide(event: api.Event) -> list[api.Action]:
        match event:
            case api.Call(id=call_id) if call_id == ID:
                return [api.SetUp(ID, "a", 9000)]
            case api.Call(id=call_id) | api.AttemptEnded(call_id=call_id):
                return [api.Refuse(call_id, None)]
        return []

    async def run() -> bytes:
        edge, loop = Edge(), asyncio.get_running_loop()
        edge.decide = decide
        edge.callers.listen("127.0.0.1", edge.port)
        peer = await edge.caller()
        async with asyncio.timeout(WAIT_S):
            if first != "a test":
                peer.sendall(set_up())
                await edge.taken()
            peer.sendall(set_up(second))  # in the machine, unread, all the while until the next await
            edge.scheduler.begin_iteration()
            edge.callers.quiesce()
            edge.exchange.on_attempt_ended("a", ID, 0, api.Outcome.FULL)
            came = await loop.run_in_executor(None, read_to_the_end, peer)
        peer.close()
        edge.callers.stop_listening()
        return came

    came = _run(run())
    assert [call_id.hex() for call_id in ANSWERED.findall(came)] == [ID, second][first == "a test" :]


@pytest.mark.parametrize("stands", [False, True], ids=["given up", "released"])
def test_a_connection_whose_call_is_over_by_word_on_another_carries_it_no_more(stands: bool):
    """It kept the call for ever: a half-closed or quiesced one was never ended."""

    async def run() -> tuple[bytes, Edge]:
        edge, loop = Edge(), asyncio.get_running_loop()
        edge.decide = lambda event: [api.SetUp(ID, "a", 9000)] if isinstance(event, api.Call) else []
        edge.callers.listen("127.0.0.1", edge.port)
        first, second = await edge.caller(), await edge.caller()
        first.sendall(set_up())
        async with asyncio.timeout(WAIT_S):
            await edge.taken()
            if stands:
                edge.exchange.on_established("a", ID, 0, b"v=0 answer")
                edge.callers.quiesce()
            else:
                first.shutdown(socket.SHUT_WR)
                await loop.run_in_executor(None, first.recv, 64)  # progress: its end of stream was read
            second.sendall(RELEASE)
            came = await loop.run_in_executor(None, read_to_the_end, first)
        first.close(), second.close()
        edge.callers.stop_listening()
        return came, edge

    came, edge = _run(run())
    assert came == (isup.answer(ID, b"v=0 answer") if stands else b"")
    assert (edge.exchange.open_calls, edge.exchange.established_calls) == (0, 0)


def test_a_connection_that_broke_in_the_queue_hides_none_behind_it_from_a_listener_that_closes():
    """accept(2) tells a broken connection's own fault: it went up, and the program's end never came."""

    async def run() -> bool:
        edge = Edge()
        edge.callers.listen("127.0.0.1", edge.port)
        listener = edge.callers._listener
        taken, faults = listener._socket, [OSError(errno.EPROTO, "broken"), ConnectionAbortedError()]

        def accept() -> tuple[socket.socket, object]:
            if faults:
                raise faults.pop()
            return taken.accept()

        listener._socket = SimpleNamespace(accept=accept, fileno=taken.fileno, close=taken.close)
        peer = socket.create_connection(("127.0.0.1", edge.port), timeout=WAIT_S)
        edge.callers.stop_listening()
        async with asyncio.timeout(WAIT_S):
            while not edge.callers.streams:
                await asyncio.sleep(0.005)
        peer.close()
        return taken.fileno() < 0

    assert _run(run()), "it is closed"


def test_a_flood_on_one_connection_has_one_answer_each_and_keeps_nobody_out(player):
    """More set-ups than may be open, in one write, at a server that never comes up."""
    ids = [f"{number + 1:016x}" for number in range(400)]
    player.step("known b never")
    player.start()
    flood, other = player.caller("flood").stream, player.caller("other")
    flood.settimeout(WAIT_S)
    flood.sendall(b"".join(set_up(call_id, 1500) for call_id in ids))
    other.stream.sendall(TEST)
    other.gets("\\x00\\x0d\\x35<*>\\x01")
    flood.shutdown(socket.SHUT_WR)
    answered = [call_id.hex() for call_id in ANSWERED.findall(PROGRESS.sub(b"", read_to_the_end(flood)))]
    assert sorted(answered) == ids


def test_those_who_do_not_hear_our_end_hold_no_descriptor_for_long():
    """Connections ended for room that stay half open are bounded, too."""

    async def run() -> int:
        edge = Edge(sockets=20)  # callers may hold 12, and one more in one go
        edge.callers.listen("127.0.0.1", edge.port)
        crowd = [await edge.caller() for _ in range(40)]
        held = len(edge.callers.streams)
        for peer in crowd:
            peer.close()
        edge.callers.stop_listening()
        return held

    assert _run(run()) <= 12 + 1


# ---------------------------------------------------------------- SIGTERM, and what comes with it or after it


@pytest.fixture
def player(tmp_path):
    player = Player(tmp_path)
    yield player
    player.stop()


ANSWERED = re.compile(rb"\x00.\x0c(.{8})", re.DOTALL)


def test_who_came_while_the_program_looked_elsewhere_is_answered_before_it_ends(player):
    """Stopped past the end of its last 0.7 s, it closed its listener on those who had come meanwhile.

    More of them than are accepted in one go, each with a set-up written to a connection the machine took.
    """
    player.start()
    old = player.caller("old")
    old.stream.sendall(TEST)
    old.gets("\\x00\\x0d\\x35<*>\\x01")
    player.step("program signalled SIGTERM")
    player.step("program prints told to stop")
    player.process.send_signal(signal.SIGSTOP)
    crowd = [player.caller(str(number)) for number in range(8)]
    for number, party in enumerate([*crowd, old]):
        party.stream.sendall(set_up(f"{number + 1:016x}", 300))
    player.step(f"wait {LAME_DUCK_MS + 300}")
    player.process.send_signal(signal.SIGCONT)
    for number, party in enumerate([*crowd, old]):
        party.stream.settimeout(WAIT_S)
        came = read_to_the_end(party.stream)
        assert ANSWERED.match(came)[1].hex() == f"{number + 1:016x}"
    player.step("program exits 0")


@pytest.mark.parametrize("again", ["SIGTERM", "SIGHUP", "SIGINT"])
def test_a_further_signal_changes_nothing(player, again):
    player.start()
    player.caller("1").stream.sendall(set_up(wait_ms=300))
    player.step("caller 1 silent 10")
    player.step("program signalled SIGTERM")
    player.step("program prints told to stop")
    player.step(f"program signalled {again}")
    player.step("caller 1 gets \\x00\\x0d\\x0c<*>\\x8e\\x00\\x01)")
    player.step("caller 1 ended")
    player.step("program exits 0")
    assert player.log.read_text().count("told to stop") == 1


CROSSED = """
import asyncio, os, signal, sys
import canvasplank.__main__ as main
name, when = signal.Signals[sys.argv.pop()], sys.argv.pop()
if when == "before the imports":
    block = main.signals.block
    main.signals.block = lambda: (block(), os.kill(os.getpid(), name))
else:
    from canvasplank import program
    if when == "before the handlers":
        made = program.Program.__init__
        program.Program.__init__ = lambda *a: (made(*a), os.kill(os.getpid(), name))[0]
    else:
        end = asyncio.Runner.__exit__
        asyncio.Runner.__exit__ = lambda *a: (end(*a), os.kill(os.getpid(), name))[0]
sys.exit(main.main())
"""


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
@pytest.mark.parametrize("when", ["before the imports", "before the handlers", "after the loop"])
def test_a_signal_at_the_start_or_the_very_end_is_heeded_or_ignored_and_never_ends_it(tmp_path, name, when):
    """SIGHUP at the start ended it or went unheard; a second SIGTERM at the end spoilt its exit status."""
    configuration = json.loads((ROOT / "examples" / "config.json").read_text())
    configuration |= {"listen": f"127.0.0.1:{free_port()}", "board": f"127.0.0.1:{free_port()}"}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration))
    process = subprocess.Popen(
        [sys.executable, "-c", CROSSED, when, name],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": str(path)},
    )
    try:
        lines = []
        if name == "SIGHUP" or when == "after the loop":
            while "listens on" not in (line := process.stderr.readline()):
                assert line, lines
                lines.append(line)
            if name == "SIGHUP" and when != "after the loop":
                while "configuration read again" not in "".join(lines):
                    lines.append(process.stderr.readline())
                    assert lines[-1], lines
            process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0, lines + process.stderr.readlines()
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


class Ended:
    """A configuration without servers, for a program in this process that is told to stop."""

    def __init__(self, folder: Path) -> None:
        configuration = {
            "name": "n0",
            "listen": f"127.0.0.1:{free_port()}",
            "seed": "8c1f30d27a5be964",
            "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64},
            "board": f"127.0.0.1:{free_port()}",
            "known": {"rev": 0, "notices": []},
        }
        (folder / "config.json").write_text(json.dumps(configuration))
        self.configuration = load_configuration(str(folder / "config.json"))
        self.port = int(self.configuration.listen.split(":")[1])

    def program(self, parts: list | None = None) -> Program:
        return Program(self.configuration, lambda: self.configuration, parts or [])


def test_a_set_up_that_comes_while_the_last_bytes_leave_is_answered(tmp_path):
    """It was taken, and its connection ended without an answer when the bytes had left."""

    async def run() -> bytes:
        ended, loop = Ended(tmp_path), asyncio.get_running_loop()
        program = ended.program()
        running = asyncio.create_task(program.run())
        while not program.ready():
            await asyncio.sleep(0.01)
        peer = socket.create_connection(("127.0.0.1", ended.port), timeout=WAIT_S)
        looks: list[int] = []

        def unsent() -> int:
            if not looks:
                peer.sendall(set_up(wait_ms=400))
            looks.append(1)
            return int(len(looks) < 3)  # so it has been read by when all has left

        program._callers.unsent = unsent
        program._terminate()
        async with asyncio.timeout(WAIT_S):
            came = await loop.run_in_executor(None, read_to_the_end, peer)
            peer.close()
            await running
        return came

    assert ANSWERED.match(_run(run()))


@pytest.mark.parametrize("reads", [True, False], ids=["reads late", "never reads"])
def test_answers_half_written_at_the_end_leave_whole_for_one_who_reads_late(tmp_path, reads: bool):
    """They were cut 0.3 s after the last call was answered, though nobody would have killed us for seconds.

    One who never reads keeps nobody: it ends by when somebody may kill it.
    """
    answers = isup.answer(ID, b"a" * 14_000) * 40

    async def run() -> tuple[bool, bytes]:
        ended, loop = Ended(tmp_path), asyncio.get_running_loop()
        program = ended.program()
        running = asyncio.create_task(program.run())
        while not program.ready():
            await asyncio.sleep(0.01)
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.settimeout(WAIT_S)
        peer.connect(("127.0.0.1", ended.port))
        peer.sendall(TEST)  # who has asked nothing is ended for that
        while not any(stream.asked for stream in program._callers.streams):
            await asyncio.sleep(0.01)
        stream = next(iter(program._callers.streams))
        stream.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        stream.write(answers)
        program._terminate()
        await asyncio.sleep((LAME_DUCK_MS + 800) / 1000)
        over = running.done()  # the process would have left, and what the machine had not taken with it
        async with asyncio.timeout(WAIT_S):
            came = await loop.run_in_executor(None, read_to_the_end, peer) if reads else answers
            await running
        peer.close()
        return over, came

    over, came = _run(run())
    assert not over
    assert came.endswith(answers)


def test_a_program_told_to_stop_while_its_parts_start_opens_no_listener(tmp_path):
    """It opened one after its end had begun, took connections there and answered none."""
    seen: list[bool] = []

    class Slow:
        def __init__(self, host: Program) -> None:
            self.host = host

        def ready(self) -> bool:
            return True

        async def start(self) -> None:
            self.host._terminate()
            await asyncio.sleep(0.05)

        def __getattr__(self, name: str) -> Callable:
            async def drain(within_s: float) -> None:
                seen.append(self.host._listening)

            return drain

    async def run() -> None:
        async with asyncio.timeout(WAIT_S):
            await Ended(tmp_path).program([Slow]).run()

    _run(run())
    assert seen == [False]


# ---------------------------------------------------------------- a connection to a server that comes up late


def test_a_server_is_told_how_long_is_left_when_its_connection_came_up_late(player):
    """It was told how long was left before, and may have worked on for as long as that took."""
    player.step('settings {"ceilings": {"connect_timeout_ms": 15000.0}}')
    player.step("known b never")
    player.start()
    player.caller("1").stream.sendall(set_up(wait_ms=9000))
    player.step("wait 1100")
    player.step("server b comes_up")
    server = player.parties["server b"]
    server.stream.settimeout(WAIT_S)
    while b"X-Deadline" not in server.came:
        server.came += server.stream.recv(65536)
    assert int(re.search(rb"X-Deadline: (\d+)", server.came)[1]) <= 9000 - 1100


def test_what_is_sent_on_the_news_of_a_restart_goes_to_the_new_process():
    """It went out on the half-open connection to the old one, which was then dropped as dead."""

    async def run() -> tuple[bytes, bytes]:
        scheduler, loop = (
            Scheduler(TimerQueue(), clock=lambda: time.time() * 1000),
            asyncio.get_running_loop(),
        )
        call = CallRecord(ID, "low", "7f3a", 0, False, float("inf"), b"v=0 offer", None)
        decide = lambda now_ms, event: (  # noqa: E731
            [api.SetUp(ID, "s-a", 9000)] if isinstance(event, api.ServerList) and exchange.open_calls else []
        )
        exchange = Exchange(scheduler, decide, Counters(), 100, 1e6)
        limits = ConnectionLimits(conn_idle_ms=60_000.0, connect_timeout_ms=15_000.0, max_open=100)
        servers = Servers(exchange, limits, 500.0, BufferBudget(1e6), LoadReportReader([]))
        exchange.attach_servers(servers)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(WAIT_S)
            entry = Endpoint("s-a", f"127.0.0.1:{listener.getsockname()[1]}", lifecycle="ready")
            servers.listed(True, [entry])
            old, _ = await loop.run_in_executor(None, listener.accept)
            while exchange.counters["sockets.servers"] == 0:
                await asyncio.sleep(0.005)
            exchange.offer(call)
            scheduler.begin_iteration()
            servers.listed(False, [msgspec.structs.replace(entry, started_at_ms=scheduler.now_ms + 1)])
            new, _ = await loop.run_in_executor(None, listener.accept)
            new.settimeout(WAIT_S)
            came = await loop.run_in_executor(None, new.recv, 65536)
            old.settimeout(WAIT_S)
            with contextlib.suppress(ConnectionResetError):
                return await loop.run_in_executor(None, old.recv, 65536), came
            return b"", came

    to_old, to_new = _run(run())
    assert to_old == b""
    assert b"INVITE" in to_new


@pytest.mark.parametrize("told_every_ms", [500.0, 3_000.0, 6_000.0])
def test_a_server_that_tells_its_lines_less_often_keeps_its_connection(told_every_ms: float):
    """Where they are told every 3 s, a new connection was made every 2.5 s: fitted to one deployment."""

    async def run() -> int:
        now_ms, writers = [0.0], []
        scheduler = Scheduler(TimerQueue(), clock=lambda: now_ms[0])
        exchange = Exchange(scheduler, lambda _, event: [], Counters(), 100, 1e6)
        servers = Servers(
            exchange,
            ConnectionLimits(15_000.0, 60_000.0, 100),
            500.0,
            BufferBudget(1e6),
            LoadReportReader(["free", "size"]),
        )
        exchange.attach_servers(servers)
        notify = sip.request("NOTIFY", "lines", ID, 1, {"X-Gauges": "free:12;size:40"})

        def joined(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            writer.write(notify)

        server = await asyncio.start_server(joined, "127.0.0.1", 0)
        servers.listed(True, [Endpoint("s-a", f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "ready")])
        async with asyncio.timeout(WAIT_S):
            while not writers:
                await asyncio.sleep(0.005)
            for step in range(1, 401):  # 40 s
                now_ms[0] += 100.0
                if step * 100.0 % told_every_ms == 0:
                    for writer in writers:
                        writer.write(notify)
                for _ in range(3):
                    scheduler.begin_iteration()
                    await asyncio.sleep(0.001)
        for writer in writers:
            writer.close()
        server.close()
        return len(writers)

    assert asyncio.run(run()) <= 3, "two are made in vain until it is known"
