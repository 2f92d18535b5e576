"""``python -m experiments.soak --seed 7``, or ``--from 1 --to 50``: plays seeds and prints what broke."""

from __future__ import annotations

import sys

import click

from experiments.soak import deployment
from experiments.soak.report import describe_failure, verdict
from experiments.soak.scenario import draw


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, help="Play this seed; may be repeated.")
@click.option("--from", "first", type=int, help="Play all seeds from this one.")
@click.option("--to", "last", type=int, help="The last of them.")
def main(seeds: tuple[int, ...], first: int | None, last: int | None) -> None:
    """Play seeds one after another; the exit status is 1 where a rule broke on any."""
    chosen = [*seeds, *range(first, (last or first) + 1)] if first is not None else list(seeds)
    broken = []
    for seed in chosen:
        scenario = draw(seed)
        trace = deployment.run(scenario)
        line, violations = verdict(scenario, trace)
        click.echo(line)
        if violations:
            broken.append(seed)
            click.echo(describe_failure(scenario, trace, violations))
    click.echo(
        f"{len(chosen)} seeds, {len(broken)} broken: {broken}" if broken else f"{len(chosen)} seeds held"
    )
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
