"""Race conditions of signals, the start and the end of the process: each is forced, on real sockets."""

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
from exchange_replay import SETTINGS, Player
from race_conditions import ANSWERED, ID, ROOT, TEST, WAIT_S, _run, read_to_the_end, set_up
from test_operations import free_port

from canvasplank.codecs import isup
from canvasplank.config.configuration import load_configuration
from canvasplank.program import Program
from canvasplank.runtime.shutdown import LAME_DUCK_MS


@pytest.fixture
def player(tmp_path):
    player = Player(tmp_path)
    yield player
    player.stop()


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
        while not any(stream.has_received_message for stream in program._callers.streams):
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
