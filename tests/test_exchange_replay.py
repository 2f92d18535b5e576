"""Scripted exchanges of bytes with the program, started as in production."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from exchange_replay import SETTINGS, Replay

SCRIPTS = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


@pytest.fixture
def replay(tmp_path):
    replay = Replay(tmp_path)
    yield replay
    replay.stop()


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda path: path.stem)
def test_exchange(replay, script):
    replay.run(script.read_text())


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"listen": "nowhere"}, "'nowhere' is not host:port"),
        ({"seed": "not hex"}, "invalid literal"),
        ({"settings": {}}, "setting"),
        ({"settings": []}, "Expected `object`"),
        ({"settings": SETTINGS | {"family_info": SETTINGS["family_info"] | {"widths": ["a"]}}}, "widths"),
        ({"limits": {"sockets": 0}}, "Expected `int` >= 1"),
        ({"limits": {"memory_mb": -1}}, "Expected `float` > 0"),
        ({"listen": "192.0.2.1:1"}, "assign requested address"),
    ],
)
def test_an_invalid_configuration_prints_one_line_and_exits_with_an_error(replay, changes, expected):
    replay.start(**changes)
    assert replay.process.wait(10) != 0
    printed = replay.log.read_text()
    assert expected in printed and printed.count("\n") == 1 and "Traceback" not in printed


def test_a_reload_that_fails_or_needs_a_restart_is_logged_in_one_line(replay):
    """A deeply nested file caused a traceback; changes that need a restart were not logged at all."""
    replay.start()
    replay.caller("1")
    replay.configure('{"settings": ' + '{"a": ' * 100_000)
    replay.step("program signalled SIGHUP")
    replay.step("program prints configuration not reloaded, the previous one stays in effect: .*recursion")
    changes = {"settings": SETTINGS | {"tick_ms": 2.0}, "name": "n1"}
    replay.configure(json.dumps(replay.configuration | changes))
    replay.step("program signalled SIGHUP")
    replay.step("program prints configuration reloaded; in effect from the next start: name, settings")
    assert "Traceback" not in replay.log.read_text()


def test_callers_that_exhaust_the_descriptors_do_not_end_the_program(replay):
    """Accepting fails for a while, and resumes when descriptors are free again."""
    replay.add("a", "ready")
    replay.start(descriptors=20)
    replay.step("server a accepts")
    callers = [replay.caller(str(number)) for number in range(40)]
    for peer in callers:
        peer.closes()
    replay_call(replay)


def test_simultaneous_connections_do_not_exhaust_the_descriptors(replay):
    """All were accepted before one was closed to free a descriptor, and the listener paused for a second."""
    replay.add("a", "ready")
    replay.start(descriptors=64)
    replay.step("server a accepts")
    replay.step("program prints listens on")
    replay.step("program signalled SIGSTOP")
    callers = [replay.caller(str(number)) for number in range(100, 250)]
    replay.step("program signalled SIGCONT")
    replay_call(replay)
    for peer in callers:
        peer.close()
    assert "Too many open files" not in replay.log.read_text()


def replay_call(replay):
    """Run the call of ``call.txt``, without starting the program."""
    for line in (SCRIPTS[0].parent / "call.txt").read_text().splitlines():
        if line.startswith(("caller", "server a sends", "server a gets")):
            replay.step(line)


def test_when_all_connections_are_busy_the_newest_is_rejected(replay):
    """A connection beyond the callers' fraction of the descriptors is closed; those with set-ups stay."""
    replay.add("a", "ready")
    replay.start(limits={"sockets": 10})
    replay.step("server a accepts")
    script = (SCRIPTS[0].parent / "call.txt").read_text()
    set_up = next(line for line in script.splitlines() if "sends" in line)
    for number in range(6):
        replay.step(set_up.replace("caller 1", f"caller {number}").replace("AAAAAAAA", f"{number}" * 8))
        replay.step("server a gets INVITE <*>\\r\\n\\r\\nv=0 offer")
    replay.caller("6").disconnected()
    replay.step("caller 0 gets_nothing 50")


def test_the_buffers_of_all_connections_are_bounded_by_the_memory(replay):
    """All buffers together can exceed the memory: the connection with the largest is closed."""
    replay.start(limits={"sockets": 64, "memory_mb": 1})
    callers = [replay.caller(str(number)) for number in range(9)]
    for peer in callers:
        peer.stream.sendall(b"\x3f\x00\x01" + bytes(15_000 - 500 * (peer is callers[0])))
    replay.step(r"program prints caller \S+: closed, 15003 bytes buffered, too many for the memory limit")
    callers[0].stream.sendall(bytes(400))
    callers[0].gets_nothing("50")
    assert replay.log.read_text().count("too many for the memory limit") == 1


def test_reading_from_a_peer_that_does_not_read_is_paused(replay):
    """A caller sends tests and reads no answers: its buffers stay bounded, and others are served."""
    replay.start()
    caller = replay.caller("1")
    caller.stream.settimeout(1.0)
    test = b"\x00\x0d\x34" + b"A" * 8 + b"\x8e\x00\x01\x00"
    with pytest.raises(TimeoutError):
        for _ in range(4000):
            caller.stream.sendall(test * 1000)
    other = replay.caller("2")
    other.stream.sendall(test)
    other.gets("\\x00\\x0d\\x35AAAAAAAA\\x8e\\x00\\x01\\x01")
    status = (Path("/proc") / str(replay.process.pid) / "status").read_text()
    resident_kb = int(status.split("VmRSS:")[1].split()[0])
    assert resident_kb < 100_000
