"""``python -m experiments run FILE --to FOLDER``: plays every variant at every size with every seed."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import click

from canvasplank.config.configuration import ConfigurationError
from experiments import experiment_run, report, simulation
from experiments.measures import Observed, figures
from experiments.plan import Experiment, Variant, load_experiment

PROCESSES, SIMULATED = "processes", "simulated"


def _played(
    experiment: Experiment, way: str, variant: Variant, size: int, seed: int, seen: Observed
) -> report.Played:
    found = figures(seen, experiment.for_s, experiment.board_back_s())
    return report.Played(
        experiment.name, way, size, variant.name, seed, found, report.series(seen, experiment.for_s)
    )


@click.group()
def cli() -> None:
    """Experiments over a whole fleet."""


@cli.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--to",
    "folder",
    required=True,
    type=click.Path(file_okay=False, path_type=Path),
    help="Where the tables and charts go; made where it is not there.",
)
@click.option("--size", "sizes", type=int, multiple=True, help="Only these sizes.")
@click.option("--seed", "seeds", type=int, multiple=True, help="These seeds instead of the file's.")
@click.option("--simulated/--processes", default=None, help="Only the one way; both as the file has them.")
def run(
    file: str, folder: Path, sizes: tuple[int, ...], seeds: tuple[int, ...], simulated: bool | None
) -> None:
    """Play an experiment; each play's figures are kept as soon as it is over."""
    try:
        experiment = load_experiment(file)
    except ConfigurationError as fault:
        raise click.ClickException(str(fault)) from None
    ways = [(PROCESSES, size) for size in experiment.sizes if simulated is not True]
    ways += [(SIMULATED, size) for size in experiment.simulated_sizes if simulated is not False]
    folder.mkdir(parents=True, exist_ok=True)
    played: list[report.Played] = []
    for way, size in ways:
        if sizes and size not in sizes:
            continue
        for seed in seeds or experiment.seeds:
            for variant in experiment.variant:
                began = time.monotonic()
                if way == PROCESSES:
                    seen = asyncio.run(experiment_run.play(experiment, variant, size, seed))
                else:
                    seen = simulation.play(experiment, variant, size, seed)
                played.append(_played(experiment, way, variant, size, seed, seen))
                report.write(folder, played)
                click.echo(f"{way}\t{size}\t{variant.name}\tseed {seed}\t{time.monotonic() - began:.0f} s")
    if not played:
        raise click.ClickException("nothing to play: no such size")
    (folder / "summary.md").write_text(report.summary(played))
    for path in report.chart(folder, played):
        click.echo(str(path))


if __name__ == "__main__":
    cli()
