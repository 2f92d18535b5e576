"""The command line: ``canvasplank run``, ``fleet``, ``worker``, ``budgets`` and ``store``."""

from __future__ import annotations

import asyncio
import os
import secrets
import socket
import sys
from collections.abc import Awaitable, Callable
from typing import TypeVar

import click

from canvasplank.config.configuration import ConfigurationError
from canvasplank.database.errors import DatabaseUnavailableError, DataRejectedError
from canvasplank.fleet.backend import Backend
from canvasplank.fleet.config import FleetSettings, load_fleet_settings
from canvasplank.fleet.lease_transaction import leasable_total
from canvasplank.fleet.state import THOUSANDTHS_PER_UNIT, FleetState
from canvasplank.store.__main__ import cli as store_cli

MS_PER_S = 1000.0
QUIET_AFTER_RENEWALS = 2.5  # renewal intervals without a request after which a member is shown as quiet

Result = TypeVar("Result")

fleet_option = click.option(
    "--fleet",
    "path",
    required=True,
    envvar="CANVASPLANK_FLEET",
    help="Settings file of the fleet, such as deploy/fleet.toml.",
)


def query_fleet(path: str, query: Callable[[FleetSettings, Backend], Awaitable[Result]]) -> Result:
    """Run a query on the fleet's store and return its result.

    Raises ``ClickException`` (one line, exit status 1) if the settings or the store cannot be used.
    """

    async def run() -> Result:
        fleet = load_fleet_settings(path)
        backend = fleet.create_backend()
        async with asyncio.timeout(fleet.request_ms / MS_PER_S):
            await backend.open()
        try:
            return await query(fleet, backend)
        finally:
            await backend.close()

    try:
        return asyncio.run(run())
    except (ConfigurationError, DatabaseUnavailableError, DataRejectedError, TimeoutError) as error:
        raise click.ClickException(str(error) or "the store did not answer in time") from None


async def _read_state(_: FleetSettings, backend: Backend) -> FleetState:
    return await backend.read_state()


@click.group()
def cli() -> None:
    """A signalling proxy, and the commands to operate it and its fleet."""


@cli.command()
def run() -> None:
    """Run the proxy, configured by the environment (EDGE_CONFIG and so on)."""
    from canvasplank.program import serve

    sys.exit(serve())


@cli.group()
def fleet() -> None:
    """Members of the fleet and the leaders of its tasks."""


@fleet.command()
@fleet_option
def status(path: str) -> None:
    """List the members: name, incarnation, requests so far, and whether the lease is being renewed.

    Takes two and a half renewal intervals: only a renewal within that time shows that a member is alive.
    """

    async def read_twice(settings: FleetSettings, backend: Backend) -> tuple[FleetState, FleetState]:
        before = await backend.read_state()
        await asyncio.sleep(QUIET_AFTER_RENEWALS * settings.renew_ms / MS_PER_S)
        return before, await backend.read_state()

    before, after = query_fleet(path, read_twice)
    for incarnation, member in sorted(after.members.items()):
        earlier = before.members.get(incarnation)
        state = "new" if earlier is None else "renews" if member.seq != earlier.seq else "quiet"
        click.echo(f"{member.name}\t{incarnation}\t{member.seq} requests\t{state}")
    for incarnation in sorted(before.members.keys() - after.members.keys()):
        click.echo(f"{before.members[incarnation].name}\t{incarnation}\t-\tgone")
    for incarnation in after.unreadable:
        click.echo(f"?\t{incarnation}\t-\tcannot be read by this version")


@fleet.command("forget")
@fleet_option
@click.argument("incarnation", type=int)
def remove_member(path: str, incarnation: int) -> None:
    """Remove a member's row that this version cannot read; the member's process must not run any more."""

    async def remove(_: FleetSettings, backend: Backend) -> bool:
        return await backend.remove_member(incarnation)

    if not query_fleet(path, remove):
        raise click.ClickException(f"there is no member with incarnation {incarnation}")
    click.echo(f"{incarnation} removed")


@fleet.command()
@fleet_option
def owners(path: str) -> None:
    """List the fleet's tasks: leader, term, and consecutive failures."""
    state = query_fleet(path, _read_state)
    for name, task in sorted(state.tasks.items()):
        member = None if task.owner is None else state.members.get(task.owner)
        leader = "nobody" if member is None else f"{member.name} ({member.incarnation})"
        failed = f"\tfailed {task.failures} times, last at {task.failed_by}" if task.failures else ""
        click.echo(f"{name}\t{leader}\tterm {task.term}{failed}")


@cli.command()
@fleet_option
@click.option(
    "--work",
    "work_path",
    required=True,
    envvar="CANVASPLANK_WORK",
    help="Settings file of the worker, such as deploy/work.toml.",
)
@click.option("--name", default=socket.gethostname, help="Name of this member of the fleet.")
def worker(path: str, work_path: str, name: str) -> None:
    """Run the fleet's tasks: close periods of the usage ledger, export them, delete old records."""
    from canvasplank.runtime import structured_logging
    from canvasplank.worker.config import load_worker_settings
    from canvasplank.worker.task_runner import TaskRunner

    async def run() -> None:
        await TaskRunner(
            load_fleet_settings(path), load_worker_settings(work_path), name, secrets.randbits(32)
        ).run()

    try:
        structured_logging.configure(os.environ.get("CANVASPLANK_LOG", "human"))
        asyncio.run(run())
    except (ConfigurationError, ValueError) as error:
        raise click.ClickException(str(error)) from None


@cli.group()
def budgets() -> None:
    """The fleet's shared budgets and their allocations."""


@budgets.command()
@fleet_option
def show(path: str) -> None:
    """List each budget with every member's allocation and demand, in units a second."""
    state = query_fleet(path, _read_state)
    for budget in sorted({name for member in state.members.values() for name in member.allocations}):
        members = [member for _, member in sorted(state.members.items()) if budget in member.allocations]
        total = leasable_total([member.allocations[budget] for member in members])
        held = sum(member.allocations[budget].held for member in members)
        click.echo(f"{budget}\tleased {_units(held)} of {_units(total)}/s\tfree {_units(total - held)}/s")
        for member in members:
            allocation = member.allocations[budget]
            demand = "-" if allocation.demand is None else f"{_units(allocation.demand)}/s"
            click.echo(
                f"  {member.name}\t{member.incarnation}\tholds {_units(allocation.held)}/s\twants {demand}"
            )


def _units(thousandths: float) -> str:
    return f"{thousandths / THOUSANDTHS_PER_UNIT:g}"


cli.add_command(store_cli, "store")

if __name__ == "__main__":
    cli()
