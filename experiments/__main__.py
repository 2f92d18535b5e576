"""The command ``python -m experiments run FILE --to FOLDER``: runs a file's variants, sizes and seeds."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import click

from canvasplank.config.configuration import ConfigurationError
from experiments import experiment_run, report, simulation
from experiments.measures import compute_figures
from experiments.observations import Observations
from experiments.plan import Experiment, Variant, load_experiment

PROCESSES, SIMULATED = "processes", "simulated"


def _run_result(
    experiment: Experiment, mode: str, variant: Variant, size: int, seed: int, observations: Observations
) -> report.RunResult:
    figures = compute_figures(observations, experiment.duration_s, experiment.discovery_recovered_s())
    series = report.compute_series(observations, experiment.duration_s)
    return report.RunResult(experiment.name, mode, size, variant.name, seed, figures, series)


@click.group()
def cli() -> None:
    """Run experiments on a fleet of proxies."""


@cli.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--to",
    "folder",
    required=True,
    type=click.Path(file_okay=False, path_type=Path),
    help="The folder for tables and charts; created if missing.",
)
@click.option(
    "--size", "sizes", type=int, multiple=True, help="Run only this size of the file; may be repeated."
)
@click.option(
    "--seed", "seeds", type=int, multiple=True, help="Use this seed instead of the file's; may be repeated."
)
@click.option("--simulated/--processes", default=None, help="Run only one of the two modes; by default both.")
def run(
    file: str, folder: Path, sizes: tuple[int, ...], seeds: tuple[int, ...], simulated: bool | None
) -> None:
    """Run an experiment and write the figures of each run as soon as it ends."""
    try:
        experiment = load_experiment(file)
    except ConfigurationError as error:
        raise click.ClickException(str(error)) from None
    modes = [(PROCESSES, size) for size in experiment.sizes if simulated is not True]
    modes += [(SIMULATED, size) for size in experiment.simulated_sizes if simulated is not False]
    folder.mkdir(parents=True, exist_ok=True)
    results: list[report.RunResult] = []
    for mode, size in modes:
        if sizes and size not in sizes:
            continue
        for seed in seeds or experiment.seeds:
            for variant in experiment.variants:
                start_s = time.monotonic()
                if mode == PROCESSES:
                    observations = asyncio.run(experiment_run.run(experiment, variant, size, seed))
                else:
                    observations = simulation.run(experiment, variant, size, seed)
                results.append(_run_result(experiment, mode, variant, size, seed, observations))
                report.write_tables(folder, results)
                click.echo(f"{mode}\t{size}\t{variant.name}\tseed {seed}\t{time.monotonic() - start_s:.0f} s")
    if not results:
        raise click.ClickException("nothing to run: the experiment has no run of the requested size and mode")
    (folder / "summary.md").write_text(report.summary(results))
    for path in report.write_charts(folder, results):
        click.echo(str(path))


if __name__ == "__main__":
    cli()
