"""Tests of the experiment tool: experiment files, figures, and small runs on processes and simulated."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace

import pyarrow.parquet
import pytest
from click.testing import CliRunner

from canvasplank.config.configuration import ConfigurationError
from experiments import measures, proxy_processes, report, simulation
from experiments.__main__ import cli
from experiments.measures import Figure
from experiments.observations import BudgetTrace, CallResult, ColdServer, Observations
from experiments.plan import load_experiment
from verification.spending import ProcessTrace

MAX_RUNS, MAX_LOOP_LAG_MS = 5, 1500.0  # the lag is 0.2 to 0.7 s as a rule while 24 processes start
SMALL_EXPERIMENT = """
name = "small"
sizes = [3]
simulated_sizes = [30]
seeds = [1]
for_s = 4.0
calls_per_s = 20.0
[servers]
count = 3
[[variant]]
name = "as it is"
[[variant]]
name = "paced"
[variant.starting]
polls_per_s = 20.0
servers_per_proxy = 2
"""


def write_experiment(tmp_path, text: str) -> str:
    (tmp_path / "experiment.toml").write_text(text)
    return str(tmp_path / "experiment.toml")


def run_experiment(tmp_path, text: str) -> list[dict]:
    """Run this experiment with its output in the folder ``to``; return the rows of its table of figures."""
    ran = CliRunner().invoke(cli, ["run", write_experiment(tmp_path, text), "--to", str(tmp_path / "to")])
    assert ran.exit_code == 0, ran.output
    return pyarrow.parquet.read_table(tmp_path / "to" / "figures.parquet").to_pylist()


def value(figures: list[Figure], name: str) -> float | None:
    [found] = [figure.value for figure in figures if figure.name == name]
    return found


class TestPlan:
    """Experiment files."""

    @pytest.mark.parametrize("name", ["budget-storm", "cold-start", "cold-start-simulated"])
    def test_the_experiments_of_the_project_load(self, name):
        assert load_experiment(f"experiments/{name}.toml").variants

    @pytest.mark.parametrize(
        ("more", "message"),
        [
            ('[[variant]]\nname = "paced"', "two variants have the same name"),
            ('[[fault]]\nwhat = "board-closes"\nat_s = 3.0\nfor_s = 2.0', "does not end within 4 s"),
            ('[[fault]]\nwhat = "proxies-frozen"\nfor_s = 1.0', "cannot be simulated: proxies-frozen"),
            (
                '[[fault]]\nwhat = "store-stalls"',
                "store-stalls requires that every fleet uses the postgresql backend",
            ),
            ('[[fault]]\nwhat = "rain"', "Invalid enum value"),
            ('[[fault]]\nwhat = "board-closes"\npart = 0.0', "Expected `float` > 0"),
            ("[servers]", "Cannot declare"),
        ],
    )
    def test_an_unusable_file_is_reported_in_one_line(self, tmp_path, more, message):
        with pytest.raises(ConfigurationError, match=message) as error:
            load_experiment(write_experiment(tmp_path, f"{SMALL_EXPERIMENT}\n{more}"))
        assert "\n" not in str(error.value)


class TestMeasures:
    """Figures computed from observations."""

    def test_budget_figures_of_a_budget_that_holds_and_of_one_that_is_violated(self):
        def ratios(second_start_ms: float) -> list[float | None]:
            first = ProcessTrace("a", 0.5, [(0.0, 1000.0, 8.0)], [100.0 * n for n in range(10)])
            second = ProcessTrace(
                "b", 0.5, [(second_start_ms, 2000.0, 8.0)], [900.0 + 100.0 * n for n in range(10)]
            )
            traces = [first, second]
            observations = Observations(2, 10.0, budgets={"all": BudgetTrace(10.0, 9.0, 100.0, traces, 0.0)})
            return [
                figure.value
                for figure in measures.compute_figures(observations, 2.0, None)
                if figure.name.startswith("budget all: s")
            ]

        within, violated = ratios(1000.0), ratios(900.0)
        assert within[0] == pytest.approx(8 / 9) and violated[0] == pytest.approx(16 / 9)
        assert within[1] <= 1.0 and within[2] == 1.0

    def test_polls_during_a_fault_count_from_when_first_polls_have_ended(self):
        observations = Observations(
            2,
            10.0,
            started_at_s=[0.0, 1.0],
            polled_at_s=[1.0, 4.9, 5.0, 6.0, 7.0, 8.0, 9.9, 10.0, 10.05],
            listed_at_s=[0.5, 10.5, 14.0],
        )
        figures = measures.compute_figures(observations, 20.0, recovered_s=10.0)
        assert value(figures, "polls a second while the board is in trouble") == 5 / 5.0
        assert value(figures, "100% have the list after its return") == 4.0
        assert value(figures, "50% have the list after its return") == 0.5
        assert value(figures, "polls after its return, most in 0.1 s") == 2

    def test_a_list_that_never_reaches_all_has_no_figure(self):
        observations = Observations(3, 10.0, polled_at_s=[1.0], listed_at_s=[11.0, 12.0])
        assert (
            value(measures.compute_figures(observations, 20.0, 10.0), "100% have the list after its return")
            is None
        )

    @pytest.mark.parametrize(
        ("lost", "since_s"),
        [
            ([], 0.0),
            ([50], 0.0),  # one of the 20 calls of a 2 s window may fail
            ([0, 1, 2], 0.2),
            ([50, 51], 5.1),
            ([85, 86], None),  # the last complete window is bad
            (range(100), None),
        ],
    )
    def test_service_is_steady_after_the_last_bad_window(self, lost, since_s):
        calls = [CallResult(n / 10, "lost" if n in lost else "served", 0.1) for n in range(100)]
        assert measures.steady_since_s(calls, 10.0) == since_s

    def test_set_up_time_counts_from_when_the_call_was_due(self):
        observations = Observations(
            1,
            10.0,
            calls=[
                CallResult(0.0, "served", 0.05),
                CallResult(1.0, "served", 2.0),
                CallResult(2.0, "lost", 9.0),
            ],
        )
        figures = measures.compute_figures(observations, 5.0, None)
        assert value(figures, "served of all calls") == pytest.approx(2 / 3)
        assert value(figures, "set-up time, 99 %") == pytest.approx(2000.0, rel=0.01)

    def test_load_of_a_cold_server_is_over_its_capacity_at_that_time(self):
        cold = ColdServer(
            start_s=10.0, initial_fraction=0.3, warm_up_s=10.0, overload_factor=2.0, overload_s=1.0
        )
        rush = [10.0 + n / 100 for n in range(60)]
        assert measures.worst_cold_load(rush, cold, 100.0) == pytest.approx(60 / (2 * 30))
        later = [at + 5.0 for at in rush]
        assert measures.worst_cold_load(later, cold, 100.0) == pytest.approx(60 / (2 * 65), rel=0.01)
        assert measures.worst_cold_load([9.0, 9.1], cold, 100.0) == 0.0, "before it started"


@pytest.fixture(scope="module")
def simulated_runs():
    experiment = load_experiment("experiments/cold-start-simulated.toml")
    return {variant.name: simulation.run(experiment, variant, 300, seed=1) for variant in experiment.variants}


class TestSimulation:
    """Simulated runs."""

    def test_the_simulation_agrees_with_processes_without_cold_start(self, simulated_runs):
        """300 processes sent 372 polls a second while service discovery had a fault."""
        figures = measures.compute_figures(simulated_runs["as it is"], 55.0, 25.0)
        assert value(figures, "polls a second while the board is in trouble") == pytest.approx(375, rel=0.05)
        assert value(figures, "connections at a server, most in 1 s") == 300

    def test_backoff_and_subset_bound_the_load_of_discovery_and_servers(self, simulated_runs):
        figures = measures.compute_figures(simulated_runs["paced, subset, ramp"], 55.0, 25.0)
        assert value(figures, "polls a second while the board is in trouble") <= 38
        assert value(figures, "polls, most in 0.1 s") <= 15
        assert value(figures, "connections at a server, most in 1 s") <= 40
        assert value(figures, "connections at a server at the end, most") <= 150
        assert value(figures, "load of a cold server, over what it bears, worst") < 1.0

    def test_the_same_seed_gives_the_same_run(self, simulated_runs):
        experiment = load_experiment("experiments/cold-start-simulated.toml")
        again = simulation.run(experiment, experiment.variants[2], 300, seed=1)
        assert again.polled_at_s == simulated_runs["paced, subset, ramp"].polled_at_s
        assert again.calls == simulated_runs["paced, subset, ramp"].calls


def test_a_small_experiment_writes_tables_charts_and_a_summary(tmp_path):
    table = run_experiment(tmp_path, SMALL_EXPERIMENT)
    assert {(row["way"], row["size"], row["variant"]) for row in table} == {
        (mode, size, variant)
        for mode, size in (("processes", 3), ("simulated", 30))
        for variant in ("as it is", "paced")
    }
    served = [row["value"] for row in table if row["what"] == "served of all calls"]
    assert len(served) == 4 and min(served) > 0.2
    assert (tmp_path / "to" / "series.csv").read_text().count("\n") > 50
    assert "3 proxies, processes:" in (tmp_path / "to" / "summary.md").read_text()
    assert sorted(path.name for path in (tmp_path / "to").glob("*.svg")) == [
        "small-3-processes.svg",
        "small-30-simulated.svg",
    ]


def test_a_settings_file_is_not_written_again_while_a_process_may_read_it(tmp_path):
    """Rewritten for each of 300 starts, the file was read while empty, which disables the extension."""
    processes = proxy_processes.ProxyProcesses.__new__(proxy_processes.ProxyProcesses)
    processes._fleet = SimpleNamespace(folder=tmp_path)
    path = Path(processes._settings_file("starting", {"polls_per_s": 30.0}))
    text, written = path.read_text(), path.stat()
    assert processes._settings_file("starting", {"polls_per_s": 30.0}) == str(path)
    assert path.read_text() == text
    assert path.stat().st_mtime_ns == written.st_mtime_ns


def figures_of_timely_run(tmp_path: Path, text: str) -> dict[str, float]:
    """Return the figures of the first run in which the measuring event loop was not stalled.

    Messages sent during a stall are received all at once: with stalls of 3.2 to 3.7 s a load of 0.36 was
    measured as 0.8 to 1.1.
    """
    for number in range(MAX_RUNS):
        folder = tmp_path / str(number)
        folder.mkdir()
        figures = {row["what"]: row["value"] for row in run_experiment(folder, text)}
        if figures["the rig's own loop was late, most"] < MAX_LOOP_LAG_MS:
            return figures
    pytest.fail(f"the measuring loop was stalled in each of {MAX_RUNS} runs: no result")


def test_twenty_four_processes_that_start_at_once_do_not_overload_cold_servers(tmp_path):
    """Service discovery rejects polls, then sends the list while calls arrive and every server is cold."""
    rush = """
name = "rush"
sizes = [24]
seeds = [1]
for_s = 9.0
calls_per_s = 150.0
fault = [
  {what = "board-busy", at_s = 0.0, for_s = 4.0, wait_s = 1},
  {what = "servers-cold", at_s = 3.0},
]
[servers]
count = 4
capacity_per_s = 40.0
[[variant]]
name = "paced, subset, ramp"
[variant.starting]
polls_per_s = 16.0
ready_with_list = true
begin_per_s = 10.0
servers_per_proxy = 2
"""
    figures = figures_of_timely_run(tmp_path, rush)
    assert 0.0 < figures["load of a cold server, over what it bears, worst"] < 1.0
    assert figures["connections at a server at the end, most"] < 24, "a subset"
    assert figures["polls, most in 0.1 s"] <= 12


def test_a_budget_holds_through_faults_of_proxies_and_store(tmp_path):
    """Of six processes a third get no store responses and one is killed; the store stalls past a lease."""
    storm = """
name = "storm"
sizes = [6]
seeds = [1]
for_s = 9.0
calls_per_s = 120.0
fault = [
  {what = "proxies-deaf-store", at_s = 3.0, for_s = 2.0, part = 0.34},
  {what = "proxies-killed", at_s = 3.5, for_s = 1.0, part = 0.17},
  {what = "store-stalls", at_s = 5.5, for_s = 2.0},
]
[servers]
capacity_per_s = 1000.0
hold_ms = 50.0
[[variant]]
name = "shares"
[variant.fleet]
backend = "postgresql"
proxies_most = 12
lease_ms = 1200.0
renew_ms = 300.0
request_ms = 300.0
trace = true
budget = [{name = "all", kind = "set-ups", whole_per_s = 60.0, kept_back = 0.2}]
"""
    table = run_experiment(tmp_path, storm)
    shared, window, spent = [row["value"] for row in table if row["what"].startswith("budget all: s")]
    assert 0.5 < shared <= 1.0 + 1e-9 and window <= 1.0 and spent > 0.1


def test_a_summary_shows_where_a_figure_has_no_value():
    def result(seed, found):
        return report.RunResult("e", "simulated", 5, "v", seed, [Figure("heard", "s", found)], {})

    assert "| heard (s) | 2.5 (2 to 3), in 2 of 3 |" in report.summary(
        [result(1, 2.0), result(2, None), result(3, 3.0)]
    )
    assert "| heard (s) | never |" in report.summary([result(1, None)])
