"""Admin commands and exported counters, without sockets."""

from __future__ import annotations

import pytest

from canvasplank.admin import Admin
from canvasplank.counters import Counters


class ProgramRecorder:
    """A fake program that records the admin commands it receives."""

    def __init__(self) -> None:
        self.is_ready, self.commands = True, []

    def ready(self) -> bool:
        return self.is_ready

    def metric_lines(self) -> list[str]:
        return ["edge_in_flight 3"]

    def quiesce(self) -> None:
        self.commands.append("quiesce")
        self.is_ready = False

    def resume(self) -> None:
        self.commands.append("resume")
        self.is_ready = True


@pytest.mark.parametrize(
    ("lines", "last_response"),
    [
        (["health"], "200 ready\n"),
        (["quiesce", "health"], "400 not ready\n"),
        (["quiesce", "resume", " health \r\n"], "200 ready\n"),
        (["counters"], "200 counters\nedge_in_flight 3\nEOF\n"),
        ([""], "400 unknown command ''\n"),
        (["HEALTH"], "400 unknown command 'HEALTH'\n"),
    ],
)
def test_each_command_gets_its_response(lines, last_response):
    admin = Admin(ProgramRecorder())
    assert [admin.answer(line) for line in lines][-1] == last_response


def test_counters_by_class():
    counters = Counters(["voice", 'a"b'])
    for metric, name in [("served", "voice"), ("served", "voice"), ("attempts", "voice"), ("failed", 'a"b')]:
        counters.count_for_class(metric, name)
    lines = counters.metric_lines(2, 5, 1)
    assert 'edge_served{class="voice"} 2' in lines
    assert 'edge_refused{class="voice"} 0' in lines, "a known class has all its metrics"
    assert 'edge_failed{class="a\\"b"} 1' in lines
    assert lines[-3:] == ["edge_in_flight 2", "edge_call_servers_known 5", "edge_call_servers_excluded 1"]


def test_only_classes_of_the_settings_are_counted():
    """A class name that a caller made up was kept for good, and listed to the front."""
    counters = Counters(["voice"])
    counters.count_for_class("failed", "made-up")
    assert not any("made-up" in line for line in counters.metric_lines(0, 0, 0))
