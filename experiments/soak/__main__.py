"""The command ``python -m experiments.soak --seed 7``, or ``--from 1 --to 50``: runs seeds of the soak."""

from __future__ import annotations

import sys

import click

from experiments.soak import deployment
from experiments.soak.report import describe_failure, evaluate
from experiments.soak.scenario import generate_scenario


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, help="Run this seed; may be repeated.")
@click.option("--from", "first", type=int, help="Run all seeds from this one.")
@click.option("--to", "last", type=int, help="The last seed of the range; by default the first.")
def main(seeds: tuple[int, ...], first: int | None, last: int | None) -> None:
    """Run seeds in turn and print the violated rules; the exit status is 1 if any seed violated one."""
    chosen = [*seeds, *range(first, (last or first) + 1)] if first is not None else list(seeds)
    failed = []
    for seed in chosen:
        scenario = generate_scenario(seed)
        trace = deployment.run(scenario)
        line, violations = evaluate(scenario, trace)
        click.echo(line)
        if violations:
            failed.append(seed)
            click.echo(describe_failure(scenario, trace, violations))
    click.echo(
        f"{len(chosen)} seeds, {len(failed)} failed: {failed}" if failed else f"{len(chosen)} seeds passed"
    )
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
