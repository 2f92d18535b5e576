"""The operators' command line: ``python -m canvasplank.store summary`` and ``check``."""

from __future__ import annotations

import asyncio
import re
import sys
from collections import Counter
from datetime import UTC, datetime
from typing import TextIO

import click

from canvasplank.config.configuration import ConfigurationError
from canvasplank.database.errors import StoreRefusedError, StoreUnavailableError
from canvasplank.store.backend import Count
from canvasplank.store.config import load_store

FIGURE = re.compile(r'edge_(served|refused|failed)\{class="((?:[^"\\]|\\.)*)"\} (\d+)')
AS_FAILED = ("failed", "invalid")  # answers that the figures count as failed

store_option = click.option(
    "--store",
    "path",
    required=True,
    envvar="CANVASPLANK_STORE",
    help="The store's file, as deploy/store.toml.",
)
DATES = click.DateTime(["%Y-%m-%dT%H:%M:%S", "%Y-%m-%dT%H:%M", "%Y-%m-%d"])
since_option = click.option("--since", type=DATES, help="Only calls taken since then (UTC).")
instance_option = click.option("--instance", default="", help="Only this instance's calls.")


async def _count(path: str, since: datetime | None, instance: str) -> list[Count]:
    store = load_store(path)
    backend = store.create_backend()
    async with asyncio.timeout(store.write_timeout_ms / 1000):
        await backend.open()
        try:
            since_ms = 0 if since is None else int(since.replace(tzinfo=UTC).timestamp() * 1000)
            return await backend.count(since_ms, instance)
        finally:
            await backend.close()


def counted(path: str, since: datetime | None, instance: str) -> list[Count]:
    """The store's counts, or an exit with one line."""
    try:
        return asyncio.run(_count(path, since, instance))
    except (ConfigurationError, StoreUnavailableError, StoreRefusedError, TimeoutError) as error:
        raise click.ClickException(str(error) or "the store gave no answer in time") from None


@click.group()
def cli() -> None:
    """Look into the store of record for call outcomes."""


@cli.command()
@store_option
@since_option
@instance_option
def summary(path: str, since: datetime | None, instance: str) -> None:
    """Calls by class, answer and ending."""
    for count in counted(path, since, instance):
        ending = count.ending or ("stands or unknown" if count.final == "served" else "-")
        click.echo(f"{count.class_name}\t{count.final}\t{ending}\t{count.calls}")


@cli.command()
@store_option
@since_option
@instance_option
@click.option(
    "--figures", type=click.File(), default="-", help="What `counters` answered; - for standard input."
)
def check(path: str, since: datetime | None, instance: str, figures: TextIO) -> None:
    """Hold records against an instance's figures: served, refused and failed, by class.

    Exit status 1 where they differ.  The figures count from the start of the process, so --since names it.
    """
    told = {(name, figure): int(number) for figure, name, number in FIGURE.findall(figures.read())}
    kept = by_figure(counted(path, since, instance))
    differs = False
    for class_name, figure in sorted(told.keys() | kept.keys()):
        records, said = kept[class_name, figure], told.get((class_name, figure), 0)
        differs |= records != said
        click.echo(
            f"{class_name}\t{figure}\tfigures {said}\trecords {records}"
            + ("" if records == said else "\tDIFFER")
        )
    sys.exit(int(differs))


def by_figure(counts: list[Count]) -> Counter[tuple[str, str]]:
    """The records as the figures count calls; one given up by its caller is in none of them."""
    kept: Counter[tuple[str, str]] = Counter()
    for count in counts:
        if count.final != "given_up":
            kept[count.class_name, "failed" if count.final in AS_FAILED else count.final] += count.calls
    return kept


if __name__ == "__main__":
    cli()
