"""A short soak: a deployment of processes on loopback, disturbed as each seed draws it."""

from __future__ import annotations

import pytest

from experiments.soak import deployment
from experiments.soak.report import describe_failure, verdict
from experiments.soak.scenario import PROCESS_KINDS, SERVER_KINDS, Kind, draw

# Together they draw every kind of disturbance, and both kinds of crowd.
SEEDS = [2, 5, 7, 10, 11, 20, 22, 23]


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_of_the_service_breaks(seed):
    scenario = draw(seed)
    trace = deployment.run(scenario)
    line, violations = verdict(scenario, trace)
    assert not violations, f"{line}\n{describe_failure(scenario, trace, violations)}"
    assert len(trace.calls) > 100


def test_the_seeds_draw_every_kind_of_disturbance():
    scenarios = [draw(seed) for seed in SEEDS]
    assert {each.kind for scenario in scenarios for each in scenario.disturbances} == set(Kind)
    assert any(scenario.crowd_at_s is not None for scenario in scenarios)
    assert any(scenario.silent_crowd_at_s is not None for scenario in scenarios)


def test_a_seed_draws_the_same_scenario_each_time_and_disturbs_nothing_twice():
    for seed in range(200):
        scenario = draw(seed)
        assert scenario == draw(seed)
        for kinds in (PROCESS_KINDS, SERVER_KINDS):
            targets = [each.target for each in scenario.disturbances if each.kind in kinds]
            assert len(targets) == len(set(targets))
