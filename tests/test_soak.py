"""A short soak: a deployment of processes on loopback, disturbed as each seed draws it."""

from __future__ import annotations

import multiprocessing
import os
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import replace
from typing import NamedTuple

import pytest

from experiments.soak import deployment
from experiments.soak.report import describe_failure, verdict
from experiments.soak.scenario import PROCESS_KINDS, SERVER_KINDS, Kind, draw

# Together they draw every kind of disturbance, and both kinds of crowd.
SEEDS = [2, 5, 7, 10, 20, 22, 23, 56]
# So many deployments are played at once, each from a process, and so on a loopback address, of its own.
MAX_AT_ONCE = 3
CORES_PER_DEPLOYMENT = 2
WAIT_S = 300.0


class PlayedSeed(NamedTuple):
    """What became of one seed."""

    violations: int
    description: str
    calls: int


def play(seed: int) -> PlayedSeed:
    """Play a seed in this process."""
    scenario = draw(seed)
    trace = deployment.run(scenario)
    line, violations = verdict(scenario, trace)
    failure = describe_failure(scenario, trace, violations) if violations else ""
    return PlayedSeed(len(violations), f"{line}\n{failure}", len(trace.calls))


@pytest.fixture(scope="module")
def played(request: pytest.FixtureRequest) -> Iterator[dict[int, Future[PlayedSeed]]]:
    """The seeds whose tests are run, as many at once as the machine has cores for."""
    cores = os.cpu_count() or 1
    at_once = max(1, min(MAX_AT_ONCE, cores // CORES_PER_DEPLOYMENT))
    tests = [item for item in request.session.items if item.module is request.module]
    seeds = [item.callspec.params["seed"] for item in tests if hasattr(item, "callspec")]
    with ProcessPoolExecutor(at_once, multiprocessing.get_context("spawn")) as pool:
        yield {seed: pool.submit(play, seed) for seed in seeds}
        pool.shutdown(cancel_futures=True)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_of_the_service_breaks(seed, played):
    result = played[seed].result(WAIT_S)
    assert not result.violations, result.description
    assert result.calls > 100


def test_the_seeds_draw_every_kind_of_disturbance():
    scenarios = [draw(seed) for seed in SEEDS]
    assert {each.kind for scenario in scenarios for each in scenario.disturbances} == set(Kind)
    assert any(scenario.crowd_at_s is not None for scenario in scenarios)
    assert any(scenario.silent_crowd_at_s is not None for scenario in scenarios)


@pytest.mark.parametrize(
    ("seed", "drawn"),
    [
        (
            20,
            "reload during start 0 at 2.1 s; two sigterms 1 at 2.5 s; server drains 1 at 3.2 s; "
            "server hangs 2 at 3.5 s; silent crowd from 2.1 s on",
        ),
        (
            56,
            "discovery stalls 0 at 1.9 s; reload 0 at 2.6 s; server hangs 1 at 3.4 s; restart 1 at 4.0 s; "
            "crowd at 3.2 s; silent crowd from 3.2 s on",
        ),
    ],
)
def test_a_seed_draws_beside_spoiled_connections_what_it_drew_before_there_were_any(seed, drawn):
    scenario = draw(seed)
    others = tuple(each for each in scenario.disturbances if each.kind is not Kind.CONNECTIONS_SPOILED)
    assert len(others) < len(scenario.disturbances)
    assert replace(scenario, disturbances=others).describe() == drawn


def test_a_seed_draws_the_same_scenario_each_time_and_disturbs_nothing_twice():
    for seed in range(200):
        scenario = draw(seed)
        assert scenario == draw(seed)
        for kinds in (PROCESS_KINDS, SERVER_KINDS):
            targets = [each.target for each in scenario.disturbances if each.kind in kinds]
            assert len(targets) == len(set(targets))
