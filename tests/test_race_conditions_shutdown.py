"""Race conditions of signals and of the process's start and exit, each forced on real sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
from exchange_replay import SETTINGS, Replay
from race_conditions import ID, REJECTED, ROOT, TEST, WAIT_S, read_until_eof, run_coroutine, set_up

from canvasplank.codecs import isup
from canvasplank.config.configuration import load_configuration
from canvasplank.network.predecessor import PredecessorStream
from canvasplank.program import Program
from canvasplank.runtime.shutdown import LAME_DUCK_MS
from emulators.fleet import free_port


@pytest.fixture
def replay(tmp_path):
    replay = Replay(tmp_path)
    yield replay
    replay.stop()


def test_connections_queued_while_the_process_was_stopped_are_answered_before_exit(replay):
    """A process suspended past its lame-duck phase of 0.7 s closed its listener with connections queued.

    More connections are queued than are accepted in one iteration, each with a set-up.
    """
    replay.start()
    old = replay.caller("old")
    old.stream.sendall(TEST)
    old.gets("\\x00\\x0d\\x35<*>\\x01")
    replay.step("program signalled SIGTERM")
    replay.step("program prints shutdown requested")
    replay.process.send_signal(signal.SIGSTOP)
    crowd = [replay.caller(str(number)) for number in range(8)]
    for number, caller in enumerate([*crowd, old]):
        caller.stream.sendall(set_up(f"{number + 1:016x}", 300))
    replay.step(f"wait {LAME_DUCK_MS + 300}")
    replay.process.send_signal(signal.SIGCONT)
    for number, caller in enumerate([*crowd, old]):
        caller.stream.settimeout(WAIT_S)
        received = read_until_eof(caller.stream)
        assert REJECTED.match(received)[1].hex() == f"{number + 1:016x}"
    replay.step("program exits 0")


@pytest.mark.parametrize("second", ["SIGTERM", "SIGHUP", "SIGINT"])
def test_a_second_signal_changes_nothing(replay, second):
    replay.start()
    replay.caller("1").stream.sendall(set_up(wait_ms=300))
    replay.step("caller 1 gets_nothing 10")
    replay.step("program signalled SIGTERM")
    replay.step("program prints shutdown requested")
    replay.step(f"program signalled {second}")
    replay.step("caller 1 gets \\x00\\x0d\\x0c<*>\\x8e\\x00\\x01)")
    replay.step("caller 1 disconnected")
    replay.step("program exits 0")
    assert replay.log.read_text().count("shutdown requested") == 1


SIGNALLED_PROGRAM = """
import asyncio, os, signal, sys
import canvasplank.__main__ as main
name, when = signal.Signals[sys.argv.pop()], sys.argv.pop()
if when == "before the imports":
    block = main.signals.block
    main.signals.block = lambda: (block(), os.kill(os.getpid(), name))
else:
    from canvasplank import program
    if when == "before the handlers":
        init = program.Program.__init__
        program.Program.__init__ = lambda *a: (init(*a), os.kill(os.getpid(), name))[0]
    else:
        end = asyncio.Runner.__exit__
        asyncio.Runner.__exit__ = lambda *a: (end(*a), os.kill(os.getpid(), name))[0]
sys.exit(main.main())
"""


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
@pytest.mark.parametrize("when", ["before the imports", "before the handlers", "after the loop"])
def test_a_signal_at_start_or_exit_never_ends_the_program_by_default(tmp_path, name, when):
    """SIGHUP at the start ended the program or was lost; a second SIGTERM at exit changed its status."""
    configuration = json.loads((ROOT / "examples" / "config.json").read_text())
    configuration |= {"listen": f"127.0.0.1:{free_port()}", "board": f"127.0.0.1:{free_port()}"}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration))
    process = subprocess.Popen(
        [sys.executable, "-c", SIGNALLED_PROGRAM, when, name],
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
                while "configuration reloaded" not in "".join(lines):
                    lines.append(process.stderr.readline())
                    assert lines[-1], lines
            process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0, lines + process.stderr.readlines()
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


class ProgramWithoutServers:
    """A configuration without servers, for a program that runs in the process of the tests."""

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

    def program(self, extensions: list | None = None) -> Program:
        return Program(self.configuration, lambda: self.configuration, extensions or [])


def test_a_set_up_received_during_the_flush_is_answered(tmp_path):
    """The set-up was accepted, and its connection was closed unanswered once earlier bytes were sent."""

    async def run() -> bytes:
        without_servers, loop = ProgramWithoutServers(tmp_path), asyncio.get_running_loop()
        program = without_servers.program()
        running = asyncio.create_task(program.run())
        while not program.ready():
            await asyncio.sleep(0.01)
        peer = socket.create_connection(("127.0.0.1", without_servers.port), timeout=WAIT_S)
        checks: list[int] = []

        def unsent() -> int:
            if not checks:
                peer.sendall(set_up(wait_ms=400))
            checks.append(1)
            return int(len(checks) < 3)  # the set-up has been read by the time that all is sent

        program._callers.unsent = unsent
        program._terminate()
        async with asyncio.timeout(WAIT_S):
            received = await loop.run_in_executor(None, read_until_eof, peer)
            peer.close()
            await running
        return received

    assert REJECTED.match(run_coroutine(run()))


@pytest.mark.parametrize("reads", [True, False], ids=["reads late", "never reads"])
def test_unsent_answers_at_shutdown_reach_a_late_reader_complete(tmp_path, reads: bool):
    """Answers were cut off 0.3 s after the last call was answered, seconds before the process may be killed.

    A peer that never reads does not delay the exit past the time when the process may be killed.
    """
    answers = isup.answer(ID, b"a" * 14_000) * 40

    async def run() -> tuple[bool, bytes]:
        without_servers, loop = ProgramWithoutServers(tmp_path), asyncio.get_running_loop()
        program = without_servers.program()
        running = asyncio.create_task(program.run())
        while not program.ready():
            await asyncio.sleep(0.01)
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.settimeout(WAIT_S)
        peer.connect(("127.0.0.1", without_servers.port))
        peer.sendall(TEST)  # a connection that sends no message would be closed
        while not any(stream.has_received_message for stream in program._callers.streams):
            await asyncio.sleep(0.01)
        stream = next(iter(program._callers.streams))
        stream.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        stream.write(answers)
        program._terminate()
        await asyncio.sleep((LAME_DUCK_MS + 800) / 1000)
        # A process that exits now loses the bytes that the kernel has not taken.
        ended_early = running.done()
        async with asyncio.timeout(WAIT_S):
            received = await loop.run_in_executor(None, read_until_eof, peer) if reads else answers
            await running
        peer.close()
        return ended_early, received

    ended_early, received = run_coroutine(run())
    assert not ended_early
    assert received.endswith(answers)


def test_sigterm_while_extensions_start_opens_no_listener(tmp_path):
    """A listener was opened after the shutdown had begun, and its connections were never answered."""
    was_listening: list[bool] = []

    class SlowExtension:
        def __init__(self, program: Program) -> None:
            self.program = program

        def ready(self) -> bool:
            return True

        async def start(self) -> None:
            self.program._terminate()
            await asyncio.sleep(0.05)

        def __getattr__(self, name: str) -> Callable:
            async def drain(within_s: float) -> None:
                was_listening.append(self.program._listening)

            return drain

    async def run() -> None:
        async with asyncio.timeout(WAIT_S):
            await ProgramWithoutServers(tmp_path).program([SlowExtension]).run()

    run_coroutine(run())
    assert was_listening == [False]


def test_sigterm_while_a_predecessor_is_connected_to_opens_no_listener(tmp_path, monkeypatch):
    async def run() -> bool:
        program = ProgramWithoutServers(tmp_path).program([])

        async def connect(*_) -> None:
            program._terminate()
            await asyncio.sleep(0.05)

        monkeypatch.setattr("canvasplank.program.is_port_in_use", lambda *_: True)
        monkeypatch.setattr(PredecessorStream, "connect", connect)
        async with asyncio.timeout(WAIT_S):
            await program.run()
        return program._listening

    assert run_coroutine(run()) is False
