"""The phases of the graceful shutdown."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from canvasplank.runtime.shutdown import Phase, Shutdown

BEGUN_MS = 1_800_000_000_000.0
IDLE = {"open_calls": 0, "unsent": 0, "connections": 0}


def phases_over_time(
    shutdown: Shutdown, *, until_ms: float = 6000.0, **load: int
) -> Iterator[tuple[float, Phase]]:
    """Yields the time since SIGTERM, in ms, and the phase at each check, under a constant load."""
    now_ms = BEGUN_MS
    while shutdown.phase is not Phase.STOPPED and now_ms < BEGUN_MS + until_ms:
        now_ms += shutdown.next_check_ms(now_ms)
        open_calls = 0 if shutdown.is_out_of_time(now_ms) else load["open_calls"]  # failed then
        yield now_ms - BEGUN_MS, shutdown.advance(now_ms, **load | {"open_calls": open_calls})


def phase_starts(shutdown: Shutdown, **load: int) -> dict[Phase, float]:
    """Returns when each phase was entered, in ms since SIGTERM."""
    starts_ms: dict[Phase, float] = {}
    for elapsed_ms, phase in phases_over_time(shutdown, **IDLE | load):
        starts_ms.setdefault(phase, elapsed_ms)
    return starts_ms


def begun_shutdown(longest_ms: float = 9000.0) -> Shutdown:
    shutdown = Shutdown(longest_ms)
    assert shutdown.phase is Phase.SERVING
    assert shutdown.begin(BEGUN_MS)
    assert shutdown.phase is Phase.LAME_DUCK
    return shutdown


def test_a_second_sigterm_changes_nothing():
    shutdown = begun_shutdown()
    assert not shutdown.begin(BEGUN_MS + 300)
    assert phase_starts(shutdown)[Phase.DRAINING] == 700


def test_lame_duck_serves_for_700_ms_whatever_is_open():
    assert (
        phase_starts(begun_shutdown())[Phase.DRAINING]
        == phase_starts(begun_shutdown(), open_calls=5)[Phase.DRAINING]
        == 700
    )


def test_pending_connections_are_read_before_anything_is_closed():
    """Each check enters one phase at most: listener and connections never close in the same iteration."""
    phases = [phase for _, phase in phases_over_time(begun_shutdown(), **IDLE)]
    assert phases == [Phase.DRAINING, Phase.DISCONNECTING, Phase.STOPPED]


@pytest.mark.parametrize(("longest_ms", "failed_ms"), [(9000.0, 3400.0), (1200.0, 1600.0)])
def test_open_calls_are_failed_300_ms_before_the_process_may_be_killed(longest_ms, failed_ms):
    """The process may be killed 0.7 s plus the longest deadline, at most 3 s, after SIGTERM."""
    disconnecting_ms = phase_starts(begun_shutdown(longest_ms), open_calls=1)[Phase.DISCONNECTING]
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
def test_shutdown_ends_before_the_process_may_be_killed(load, stopped_ms):
    assert phase_starts(begun_shutdown(), **load)[Phase.STOPPED] == pytest.approx(stopped_ms, abs=20)
    assert phase_starts(begun_shutdown(), **load)[Phase.STOPPED] < 3700


def test_a_set_up_during_the_last_writes_is_waited_for():
    shutdown = begun_shutdown()
    shutdown.advance(BEGUN_MS + 700, **IDLE)
    assert shutdown.advance(BEGUN_MS + 720, open_calls=0, unsent=9, connections=1) is Phase.DRAINING
    assert shutdown.advance(BEGUN_MS + 740, open_calls=1, unsent=0, connections=1) is Phase.DRAINING
    assert shutdown.advance(BEGUN_MS + 760, open_calls=0, unsent=0, connections=1) is Phase.DISCONNECTING


def test_unsettled_calls_are_waited_for_within_the_time_of_a_shutdown():
    starts = phase_starts(begun_shutdown(), unsettled=1, connections=1)
    assert starts[Phase.DISCONNECTING] == pytest.approx(3200, abs=20)
    assert starts[Phase.STOPPED] < 3700


def test_data_that_a_server_sends_as_a_call_is_settled_is_read():
    shutdown = begun_shutdown()
    shutdown.advance(BEGUN_MS + 700, **IDLE)
    assert shutdown.advance(BEGUN_MS + 1000, **IDLE, unsettled=1) is Phase.DRAINING
    assert shutdown.advance(BEGUN_MS + 1240, **IDLE) is Phase.DRAINING
    assert shutdown.advance(BEGUN_MS + 1250, **IDLE) is Phase.DISCONNECTING


def test_extensions_have_the_remaining_time_less_100_ms():
    shutdown = begun_shutdown()
    assert shutdown.remaining_ms(BEGUN_MS + 740) == 3700 - 100 - 740
    assert shutdown.remaining_ms(BEGUN_MS + 5000) == 0
