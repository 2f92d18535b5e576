"""Recorded exchanges of bytes, played against the program as it is started in service."""

from __future__ import annotations

from pathlib import Path

import pytest
from player import Player

RECORDS = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


@pytest.fixture
def player(tmp_path):
    player = Player(tmp_path)
    yield player
    player.stop()


@pytest.mark.parametrize("record", RECORDS, ids=lambda path: path.stem)
def test_exchange(player, record):
    player.play(record.read_text())


@pytest.mark.parametrize(
    ("changes", "says"),
    [
        ({"listen": "nowhere"}, "'nowhere' is not host:port"),
        ({"seed": "not hex"}, "invalid literal"),
        ({"settings": {}}, "setting"),
        ({"settings": []}, "Expected `object`"),
        ({"listen": "192.0.2.1:1"}, "assign requested address"),
    ],
)
def test_a_bad_configuration_is_one_line_and_a_bad_exit(player, changes, says):
    player.start(**changes)
    assert player.process.wait(10) != 0
    printed = player.log.read_text()
    assert says in printed and printed.count("\n") == 1 and "Traceback" not in printed


def test_callers_that_take_every_descriptor_do_not_end_it(player):
    """Accepting fails for a while, and goes on when descriptors are free again."""
    player.add("a", "ready")
    player.start(descriptors=20)
    player.step("server a accepts")
    crowd = [player.caller(str(number)) for number in range(40)]
    for party in crowd:
        party.closes()
    play_call(player)


def play_call(player):
    """One call, without the start of its record."""
    for line in (RECORDS[0].parent / "call.txt").read_text().splitlines():
        if line.startswith(("caller", "server a sends", "server a gets")):
            player.step(line)


def test_hundreds_that_connect_leave_room_for_a_caller(player):
    """Past the callers' share of the descriptors idle connections go, as many as it takes."""
    player.add("a", "ready")
    player.start(limits={"sockets": 10})
    player.step("server a accepts")
    crowd = [player.caller(f"crowd {number}") for number in range(30)]
    play_call(player)
    open_now = [party for party in crowd if not is_ended(party)]
    assert len(open_now) < 6


def is_ended(party):
    party.stream.settimeout(0.05)
    try:
        return party.stream.recv(1) == b""
    except ConnectionResetError:
        return True
    except TimeoutError:
        return False


def test_a_peer_that_does_not_read_is_paused_and_costs_no_memory(player):
    """Tests without end from a caller that reads no answer: it is read no further, others are served."""
    player.start()
    caller = player.caller("1")
    caller.stream.settimeout(1.0)
    test = b"\x00\x0d\x34" + b"A" * 8 + b"\x8e\x00\x01\x00"
    with pytest.raises(TimeoutError):
        for _ in range(4000):
            caller.stream.sendall(test * 1000)
    other = player.caller("2")
    other.stream.sendall(test)
    other.gets("\\x00\\x0d\\x35AAAAAAAA\\x8e\\x00\\x01\\x01")
    status = (Path("/proc") / str(player.process.pid) / "status").read_text()
    resident_kb = int(status.split("VmRSS:")[1].split()[0])
    assert resident_kb < 100_000
