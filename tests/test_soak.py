"""A short soak: deployments of processes on loopback with the disturbances of a few seeds."""

from __future__ import annotations

import multiprocessing
import os
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import replace
from typing import NamedTuple

import pytest

from experiments.soak import deployment
from experiments.soak.report import describe_failure, evaluate
from experiments.soak.scenario import PROCESS_KINDS, SERVER_KINDS, DisturbanceKind, generate_scenario

# Together these have every kind of disturbance and both kinds of crowd.
SEEDS = [2, 5, 7, 10, 20, 22, 23, 56]
# Deployments that run in parallel, each started by its own process, which gives it its own loopback address.
MAX_PARALLEL = 3
CORES_PER_DEPLOYMENT = 2
RESULT_TIMEOUT_S = 300.0


class SeedResult(NamedTuple):
    """The result of one seed; ``description`` has the summary line and the details of a failure."""

    violations: int
    description: str
    calls: int


def run_seed(seed: int) -> SeedResult:
    """Run the soak of a seed in this process."""
    scenario = generate_scenario(seed)
    trace = deployment.run(scenario)
    line, violations = evaluate(scenario, trace)
    failure = describe_failure(scenario, trace, violations) if violations else ""
    return SeedResult(len(violations), f"{line}\n{failure}", len(trace.calls))


@pytest.fixture(scope="module")
def results(request: pytest.FixtureRequest) -> Iterator[dict[int, Future[SeedResult]]]:
    """Start the seeds of the selected tests, in parallel as far as the machine has cores for them."""
    cores = os.cpu_count() or 1
    workers = max(1, min(MAX_PARALLEL, cores // CORES_PER_DEPLOYMENT))
    tests = [item for item in request.session.items if item.module is request.module]
    seeds = [item.callspec.params["seed"] for item in tests if hasattr(item, "callspec")]
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        yield {seed: pool.submit(run_seed, seed) for seed in seeds}
        pool.shutdown(cancel_futures=True)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_of_the_service_is_violated(seed, results):
    result = results[seed].result(RESULT_TIMEOUT_S)
    assert not result.violations, result.description
    assert result.calls > 100


def test_the_seeds_have_every_kind_of_disturbance():
    scenarios = [generate_scenario(seed) for seed in SEEDS]
    assert {each.kind for scenario in scenarios for each in scenario.disturbances} == set(DisturbanceKind)
    assert any(scenario.crowd_at_s is not None for scenario in scenarios)
    assert any(scenario.silent_crowd_at_s is not None for scenario in scenarios)


@pytest.mark.parametrize(
    ("seed", "others_described"),
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
def test_unreadable_messages_leave_the_other_disturbances_of_a_seed_unchanged(seed, others_described):
    scenario = generate_scenario(seed)
    others = tuple(
        each for each in scenario.disturbances if each.kind is not DisturbanceKind.CONNECTIONS_SPOILED
    )
    assert len(others) < len(scenario.disturbances)
    assert replace(scenario, disturbances=others).describe() == others_described


def test_a_seed_has_the_same_scenario_each_time_and_disturbs_nothing_twice():
    for seed in range(200):
        scenario = generate_scenario(seed)
        assert scenario == generate_scenario(seed)
        for kinds in (PROCESS_KINDS, SERVER_KINDS):
            targets = [each.target for each in scenario.disturbances if each.kind in kinds]
            assert len(targets) == len(set(targets))
