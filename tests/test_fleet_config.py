"""Tests of the fleet's configuration file."""

from __future__ import annotations

import pytest

from canvasplank.config.configuration import ConfigurationError
from canvasplank.fleet.config import load_fleet_settings

VALID_FILE = """backend = "sqlite"
path = "x.db"
proxies_most = 4
[[budget]]
name = "all"
kind = "set-ups"
whole_per_s = 40.0
"""
BUDGET_TABLE = VALID_FILE[VALID_FILE.index("[[") :]


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("whole_per_s = 40.0", "whole_per_s = -1.0", "Expected `float` > 0"),
        ("whole_per_s = 40.0", "whole_per_s = 3.0", "less than one unit a second for each of 4"),
        ("set-ups", "wishes", "Invalid enum value 'wishes'"),
        ("set-ups", "member", "kind member with of = '': the kinds member and server require the key of"),
        ("[[budget]]", "budget = []\n[other]", "unknown field"),
        (BUDGET_TABLE, "budget = []", "no budget is defined"),
        ("whole_per_s = 40.0\n", "whole_per_s = 40.0\n" + BUDGET_TABLE, "two budgets have the same name"),
        ('path = "x.db"', "", "needs a path"),
        ('"sqlite"', '"postgresql"', "needs a dsn"),
        ("proxies_most = 4", "proxies_most = 4\nrenew_ms = 2000.0", "less than two times renew_ms"),
    ],
)
def test_an_invalid_file_is_reported_on_one_line(tmp_path, old, new, message):
    path = tmp_path / "fleet.toml"
    path.write_text(VALID_FILE.replace(old, new, 1))
    with pytest.raises(ConfigurationError, match=message) as raised:
        load_fleet_settings(str(path))
    assert "\n" not in str(raised.value)
