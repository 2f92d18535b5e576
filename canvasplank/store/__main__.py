"""The command line of the store: ``python -m canvasplank.store summary`` and ``check``."""

from __future__ import annotations

import asyncio
import re
import sys
from collections import Counter
from datetime import UTC, datetime
from typing import TextIO

import click

from canvasplank.config.configuration import ConfigurationError
from canvasplank.database.errors import DatabaseUnavailableError, DataRejectedError
from canvasplank.store.backend import CallCount
from canvasplank.store.config import load_store_settings
from canvasplank.store.records import Final

COUNTER_LINE = re.compile(r'edge_(served|refused|failed)\{class="((?:[^"\\]|\\.)*)"\} (\d+)')
FINALS_COUNTED_AS_FAILED = (Final.FAILED, Final.INVALID)  # the counter edge_failed counts both

store_option = click.option(
    "--store",
    "path",
    required=True,
    envvar="CANVASPLANK_STORE",
    help="Settings file of the store, such as deploy/store.toml.",
)
UTC_TIME = click.DateTime(["%Y-%m-%dT%H:%M:%S", "%Y-%m-%dT%H:%M", "%Y-%m-%d"])
since_option = click.option("--since", type=UTC_TIME, help="Only calls taken since this time (UTC).")
instance_option = click.option("--instance", default="", help="Only calls of this instance.")


async def _count_calls(path: str, since: datetime | None, instance: str) -> list[CallCount]:
    store = load_store_settings(path)
    backend = store.create_backend()
    async with asyncio.timeout(store.write_timeout_ms / 1000):
        await backend.open()
        try:
            since_ms = 0 if since is None else int(since.replace(tzinfo=UTC).timestamp() * 1000)
            return await backend.count_calls(since_ms, instance)
        finally:
            await backend.close()


def query_counts(path: str, since: datetime | None, instance: str) -> list[CallCount]:
    """Return the store's call counts; raises ``ClickException`` (one line, exit status 1) on failure."""
    try:
        return asyncio.run(_count_calls(path, since, instance))
    except (ConfigurationError, DatabaseUnavailableError, DataRejectedError, TimeoutError) as error:
        raise click.ClickException(str(error) or "the store did not answer in time") from None


@click.group()
def cli() -> None:
    """Query the call outcomes in the store of record."""


@cli.command()
@store_option
@since_option
@instance_option
def summary(path: str, since: datetime | None, instance: str) -> None:
    """Print the number of calls by class, final answer and ending."""
    for count in query_counts(path, since, instance):
        ending = count.ending or ("stands or unknown" if count.final == Final.SERVED else "-")
        click.echo(f"{count.class_name}\t{count.final}\t{ending}\t{count.calls}")


@cli.command()
@store_option
@since_option
@instance_option
@click.option(
    "--figures",
    type=click.File(),
    default="-",
    help="The response of the admin command `counters`; - for standard input.",
)
def check(path: str, since: datetime | None, instance: str, figures: TextIO) -> None:
    """Compare the records with an instance's counters of served, refused and failed calls by class.

    The exit status is 1 if they differ.  Pass the start time of the instance's process as --since: its
    counters were zero then.
    """
    counters = {(name, final): int(value) for final, name, value in COUNTER_LINE.findall(figures.read())}
    recorded = count_by_counter(query_counts(path, since, instance))
    differs = False
    for class_name, final in sorted(counters.keys() | recorded.keys()):
        records, counter = recorded[class_name, final], counters.get((class_name, final), 0)
        differs |= records != counter
        click.echo(
            f"{class_name}\t{final}\tfigures {counter}\trecords {records}"
            + ("" if records == counter else "\tDIFFER")
        )
    sys.exit(int(differs))


def count_by_counter(counts: list[CallCount]) -> Counter[tuple[str, str]]:
    """Sum the records by class and counter; no counter includes calls that their callers gave up."""
    recorded: Counter[tuple[str, str]] = Counter()
    for count in counts:
        if count.final != Final.GIVEN_UP:
            final = Final.FAILED if count.final in FINALS_COUNTED_AS_FAILED else count.final
            recorded[count.class_name, final] += count.calls
    return recorded


if __name__ == "__main__":
    cli()
