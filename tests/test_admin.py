"""The admin commands and the figures, without sockets."""

from __future__ import annotations

import pytest

from canvasplank.admin import Admin
from canvasplank.counters import Counters


class Operated:
    """Stands for the program: says whether it is ready, and notes what it is told."""

    def __init__(self) -> None:
        self.is_ready, self.told = True, []

    def ready(self) -> bool:
        return self.is_ready

    def figures(self) -> list[str]:
        return ["edge_in_flight 3"]

    def quiesce(self) -> None:
        self.told.append("quiesce")
        self.is_ready = False

    def resume(self) -> None:
        self.told.append("resume")
        self.is_ready = True


@pytest.mark.parametrize(
    ("lines", "last"),
    [
        (["health"], "200 ready\n"),
        (["quiesce", "health"], "400 not ready\n"),
        (["quiesce", "resume", " health \r\n"], "200 ready\n"),
        (["counters"], "200 counters\nedge_in_flight 3\nEOF\n"),
        (
            [
                "",
            ],
            "400 unknown command ''\n",
        ),
        (["HEALTH"], "400 unknown command 'HEALTH'\n"),
    ],
)
def test_answers(lines, last):
    admin = Admin(Operated())
    assert [admin.answer(line) for line in lines][-1] == last


def test_figures_by_class():
    counters = Counters()
    for figure, name in [("served", "voice"), ("served", "voice"), ("attempts", "voice"), ("failed", 'a"b')]:
        counters.by_class(figure, name)
    lines = counters.figures(2, 5, 1)
    assert 'edge_served{class="voice"} 2' in lines
    assert 'edge_refused{class="voice"} 0' in lines, "a class seen has all its figures"
    assert 'edge_failed{class="a\\"b"} 1' in lines
    assert lines[-3:] == ["edge_in_flight 2", "edge_call_servers_known 5", "edge_call_servers_excluded 1"]
