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
