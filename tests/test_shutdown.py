"""Graceful shutdown, phase by phase."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from canvasplank.runtime.shutdown import Phase, Shutdown

BEGUN_MS = 1_800_000_000_000.0
IDLE = {"open_calls": 0, "unsent": 0, "connections": 0}


def looks(shutdown: Shutdown, *, until_ms: float = 6000.0, **load: int) -> Iterator[tuple[float, Phase]]:
    """Time since SIGTERM and phase at each look, with the same load all the while."""
    now_ms = BEGUN_MS
    while shutdown.phase is not Phase.STOPPED and now_ms < BEGUN_MS + until_ms:
        now_ms += shutdown.next_check_ms(now_ms)
        open_calls = 0 if shutdown.is_out_of_time(now_ms) else load["open_calls"]  # these are failed then
        yield now_ms - BEGUN_MS, shutdown.advance(now_ms, **load | {"open_calls": open_calls})


def entered(shutdown: Shutdown, **load: int) -> dict[Phase, float]:
    """When each phase was entered, in ms since SIGTERM."""
    found: dict[Phase, float] = {}
    for past_ms, phase in looks(shutdown, **IDLE | load):
        found.setdefault(phase, past_ms)
    return found


def begun(longest_ms: float = 9000.0) -> Shutdown:
    shutdown = Shutdown(longest_ms)
    assert shutdown.phase is Phase.SERVING
    assert shutdown.begin(BEGUN_MS)
    assert shutdown.phase is Phase.LAME_DUCK
    return shutdown


def test_a_second_word_changes_nothing():
    shutdown = begun()
    assert not shutdown.begin(BEGUN_MS + 300)
    assert entered(shutdown)[Phase.DRAINING] == 700


def test_it_serves_on_for_700_ms_whatever_is_open_or_not():
    assert entered(begun())[Phase.DRAINING] == entered(begun(), open_calls=5)[Phase.DRAINING] == 700


def test_what_lay_at_the_listener_is_read_before_anything_is_ended():
    """One phase a look: closing the listener and ending connections are never in the same turn."""
    phases = [phase for _, phase in looks(begun(), **IDLE)]
    assert phases == [Phase.DRAINING, Phase.DISCONNECTING, Phase.STOPPED]


@pytest.mark.parametrize(("longest_ms", "failed_ms"), [(9000.0, 3400.0), (1200.0, 1600.0)])
def test_open_calls_are_waited_for_until_300_ms_before_somebody_may_kill_it(longest_ms, failed_ms):
    """That is after the longest deadline, counted as 3 s where it is longer, and 0.7 s."""
    disconnecting_ms = entered(begun(longest_ms), open_calls=1)[Phase.DISCONNECTING]
    assert failed_ms <= disconnecting_ms <= failed_ms + 20


@pytest.mark.parametrize(
    ("load", "stopped_ms"),
    [
        ({}, 740),
        ({"connections": 1}, 820),
        ({"unsent": 1}, 3540),
        ({"unsent": 1, "connections": 1}, 3620),
    ],
)
def test_it_stops_before_somebody_may_kill_it(load, stopped_ms):
    assert entered(begun(), **load)[Phase.STOPPED] == pytest.approx(stopped_ms, abs=20)
    assert entered(begun(), **load)[Phase.STOPPED] < 3700


def test_a_set_up_that_comes_while_the_last_bytes_leave_is_waited_for():
    shutdown = begun()
    shutdown.advance(BEGUN_MS + 700, **IDLE)
    assert shutdown.advance(BEGUN_MS + 720, open_calls=0, unsent=9, connections=1) is Phase.DRAINING
    assert shutdown.advance(BEGUN_MS + 740, open_calls=1, unsent=0, connections=1) is Phase.DRAINING
    assert shutdown.advance(BEGUN_MS + 760, open_calls=0, unsent=0, connections=1) is Phase.DISCONNECTING


def test_the_parts_have_what_is_left_but_100_ms():
    shutdown = begun()
    assert shutdown.remaining_ms(BEGUN_MS + 740) == 3700 - 100 - 740
    assert shutdown.remaining_ms(BEGUN_MS + 5000) == 0
