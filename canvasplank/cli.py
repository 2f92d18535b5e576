"""The command line: ``canvasplank run``, ``fleet``, ``budgets``, ``store``."""

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
from canvasplank.database.errors import StoreRefusedError, StoreUnavailableError
from canvasplank.fleet.backend import Backend
from canvasplank.fleet.config import Fleet, load_fleet
from canvasplank.fleet.lease_transaction import leased
from canvasplank.fleet.state import Allocation, FleetState
from canvasplank.store.__main__ import cli as store_cli

THOUSANDTHS = 1000.0
QUIET_AFTER_PERIODS = 2.5  # renewals' periods: a member that has not renewed within is told as quiet

Result = TypeVar("Result")

fleet_option = click.option(
    "--fleet",
    "path",
    required=True,
    envvar="CANVASPLANK_FLEET",
    help="The fleet's file, as deploy/fleet.toml.",
)


def query(path: str, read: Callable[[Fleet, Backend], Awaitable[Result]]) -> Result:
    """What the fleet's store says, or an exit with one line."""

    async def run() -> Result:
        fleet = load_fleet(path)
        backend = fleet.create_backend()
        async with asyncio.timeout(fleet.request_ms / THOUSANDTHS):
            await backend.open()
        try:
            return await read(fleet, backend)
        finally:
            await backend.close()

    try:
        return asyncio.run(run())
    except (ConfigurationError, StoreUnavailableError, StoreRefusedError, TimeoutError) as error:
        raise click.ClickException(str(error) or "the store gave no answer in time") from None


@click.group()
def cli() -> None:
    """A signalling proxy, and what its operators ask of it and of its fleet."""


@cli.command()
def run() -> None:
    """Serve, by the environment's configuration (EDGE_CONFIG and so on)."""
    from canvasplank.program import serve

    sys.exit(serve())


@cli.group()
def fleet() -> None:
    """Who is in the fleet."""


@fleet.command()
@fleet_option
def status(path: str) -> None:
    """Each proxy that has a row: its name, incarnation, requests so far, and whether it renews.

    Takes a little more than two periods of renewals, since that alone tells who is there.
    """

    async def read(settings: Fleet, backend: Backend) -> tuple[FleetState, FleetState]:
        before = await backend.read_state()
        await asyncio.sleep(QUIET_AFTER_PERIODS * settings.renew_ms / THOUSANDTHS)
        return before, await backend.read_state()

    before, after = query(path, read)
    for incarnation, member in sorted(after.members.items()):
        old = before.members.get(incarnation)
        renewed = member.seq - old.seq if old else member.seq
        state = "new" if old is None else "renews" if renewed else "quiet"
        click.echo(f"{member.name}\t{incarnation}\t{member.seq} requests\t{state}")
    for incarnation in sorted(before.members.keys() - after.members.keys()):
        click.echo(f"{before.members[incarnation].name}\t{incarnation}\t-\tgone")
    for incarnation in after.unreadable:
        click.echo(f"?\t{incarnation}\t-\tcannot be read by this version")


@fleet.command()
@fleet_option
@click.argument("incarnation", type=int)
def forget(path: str, incarnation: int) -> None:
    """Remove a row by hand: one that this version cannot read, of a proxy that is surely no more."""

    async def read(_: Fleet, backend: Backend) -> bool:
        return await backend.remove_member(incarnation)

    if not query(path, read):
        raise click.ClickException(f"there is no {incarnation}")
    click.echo(f"{incarnation} removed")


@fleet.command()
@fleet_option
def owners(path: str) -> None:
    """Each task of the fleet: who owns it, in which term, how often it failed in a row."""

    async def read(_: Fleet, backend: Backend) -> FleetState:
        return await backend.read_state()

    state = query(path, read)
    for name, task in sorted(state.tasks.items()):
        member = state.members.get(task.owner)
        owner = "nobody" if member is None else f"{member.name} ({member.incarnation})"
        failed = f"\tfailed {task.failures} times, last at {task.failed_by}" if task.failures else ""
        click.echo(f"{name}\t{owner}\tterm {task.term}{failed}")


@cli.command()
@fleet_option
@click.option(
    "--work", "work_path", required=True, envvar="CANVASPLANK_WORK", help="What it does, as deploy/work.toml."
)
@click.option("--name", default=socket.gethostname, help="What operators know it by.")
def worker(path: str, work_path: str, name: str) -> None:
    """Do the fleet's work: close periods of the usage ledger, export them, remove old records."""
    from canvasplank.runtime import structured_logging
    from canvasplank.worker.config import load_work
    from canvasplank.worker.task_runner import TaskRunner

    async def run() -> None:
        await TaskRunner(load_fleet(path), load_work(work_path), name, secrets.randbits(32)).run()

    try:
        structured_logging.configure(os.environ.get("CANVASPLANK_LOG", "human"))
        asyncio.run(run())
    except (ConfigurationError, ValueError) as error:
        raise click.ClickException(str(error)) from None


@cli.group()
def budgets() -> None:
    """What the fleet may use together, and who holds what of it."""


@budgets.command()
@fleet_option
def show(path: str) -> None:
    """Each budget, and each proxy's share and demand in it, in units a second."""

    async def read(_: Fleet, backend: Backend) -> FleetState:
        return await backend.read_state()

    state = query(path, read)
    for budget in sorted({name for member in state.members.values() for name in member.allocations}):
        shares = [
            (m, m.allocations[budget]) for _, m in sorted(state.members.items()) if budget in m.allocations
        ]
        total = leased([allocation for _, allocation in shares])
        held = sum(allocation.held for _, allocation in shares)
        click.echo(
            f"{budget}\tleased {held / THOUSANDTHS:g} of {total / THOUSANDTHS:g}/s"
            f"\tfree {(total - held) / THOUSANDTHS:g}/s"
        )
        for member, allocation in shares:
            click.echo(
                f"  {member.name}\t{member.incarnation}\tholds {allocation.held / THOUSANDTHS:g}/s"
                f"\twants {_demand_of(allocation)}"
            )


def _demand_of(allocation: Allocation) -> str:
    return "-" if allocation.demand is None else f"{allocation.demand / THOUSANDTHS:g}/s"


cli.add_command(store_cli, "store")

if __name__ == "__main__":
    cli()
