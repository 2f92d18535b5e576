"""The fleet's configuration file."""

from __future__ import annotations

import pytest

from canvasplank.config.configuration import ConfigurationError
from canvasplank.fleet.config import load_fleet

GOOD = """backend = "sqlite"
path = "x.db"
proxies_most = 4
[[budget]]
name = "all"
kind = "set-ups"
whole_per_s = 40.0
"""


@pytest.mark.parametrize(
    ("was", "becomes", "says"),
    [
        ("whole_per_s = 40.0", "whole_per_s = -1.0", "Expected `float` > 0"),
        ("whole_per_s = 40.0", "whole_per_s = 3.0", "less than one unit a second for each of 4"),
        ("set-ups", "wishes", "Invalid enum value 'wishes'"),
        ("set-ups", "member", "do not fit"),
        ("[[budget]]", "budget = []\n[other]", "unknown field"),
        (GOOD[GOOD.index("[[") :], "budget = []", "no budget is named"),
        ("whole_per_s = 40.0\n", "whole_per_s = 40.0\n" + GOOD[GOOD.index("[[") :], "named twice"),
        ('path = "x.db"', "", "needs a path"),
        ('"sqlite"', '"postgresql"', "needs a dsn"),
        ("proxies_most = 4", "proxies_most = 4\nrenew_ms = 2000.0", "less than two times renew_ms"),
    ],
)
def test_a_bad_file_is_one_line(tmp_path, was, becomes, says):
    path = tmp_path / "fleet.toml"
    path.write_text(GOOD.replace(was, becomes, 1))
    with pytest.raises(ConfigurationError, match=says) as fault:
        load_fleet(str(path))
    assert "\n" not in str(fault.value)
