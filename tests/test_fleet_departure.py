"""Tests that a proxy that leaves the fleet releases its share at once, whatever its last request's state."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from canvasplank.counters import Counters
from canvasplank.fleet.backend import Backend
from canvasplank.fleet.budget_limiter import BudgetKind
from canvasplank.fleet.config import Budget, FleetSettings
from canvasplank.fleet.lease_renewer import LeaseRenewer
from emulators.postgresql import PostgresqlEmulator

WAIT_S = 20.0
CLOSE_TIMEOUT_S = 2.0  # roughly the time that a shutdown leaves to the extensions
MAX_WAITS = 40  # suspensions of one request


class WaitObserver:
    """Awaits an operation, and sets the event ``reached`` when the operation suspends for the nth time.

    ``number`` is that n, counted from 1.
    """

    def __init__(self, operation, number, reached):
        self._operation, self._number, self._reached = operation, number, reached

    def __await__(self):
        inner, waits = self._operation.__await__(), 0
        resume, argument = inner.send, None
        while True:
            try:
                waited_for = resume(argument)
            except StopIteration as ended:
                return ended.value
            waits += 1
            if waits == self._number:
                self._reached.set()
            try:
                resume, argument = inner.send, (yield waited_for)
            except BaseException as error:
                resume, argument = inner.throw, error


@contextlib.asynccontextmanager
async def one_member(kind, folder):
    """Yield a renewer that has joined the fleet, another backend to read the state, and the emulated store.

    The store is None for SQLite.
    """
    store = None
    if kind == "postgresql":
        store = PostgresqlEmulator(folder)
        await store.start()
    budgets = [Budget("all", BudgetKind.SET_UPS, 80.0, reserve_fraction=0.2)]
    location = {"path": str(folder / "fleet.db")} if store is None else {"dsn": store.dsn}
    settings = FleetSettings(
        max_members=8, budget=budgets, renew_ms=50.0, lease_ms=60_000.0, backend=kind, **location
    )
    renewer, reader = LeaseRenewer(settings, "a", 1, Counters()), settings.create_backend()
    renewer.start()
    async with asyncio.timeout(WAIT_S):
        while renewer.holder.incarnation is None:
            await asyncio.sleep(0.01)
        await reader.open()
    try:
        yield renewer, reader, store
    finally:
        await reader.close()
        if store is not None:
            await store.stop()


async def members(reader: Backend) -> list[str]:
    return [member.name for member in (await reader.read_state()).members.values()]


async def close_during_a_request(kind, folder, number) -> bool:
    """Close when a request suspends for the nth time, and check that the member has left.

    Returns False if the request suspends less often.
    """
    async with one_member(kind, folder) as (renewer, reader, _):
        assert await members(reader) == ["a"]
        reached, answered = asyncio.Event(), asyncio.Event()
        transact = renewer._backend.transact

        async def observed_transact(request):
            response = await WaitObserver(transact(request), number, reached)
            answered.set()
            return response

        renewer._backend.transact = observed_transact
        waits = [asyncio.ensure_future(event.wait()) for event in (reached, answered)]
        async with asyncio.timeout(WAIT_S):
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        renewer._backend.transact = transact
        was_reached = reached.is_set()
        await renewer.close(CLOSE_TIMEOUT_S)
        assert await members(reader) == [], f"closed during a request, at its suspension {number}"
        return was_reached


@pytest.mark.parametrize("kind", ["sqlite", "postgresql"])
def test_a_proxy_that_is_stopped_during_a_request_leaves_the_fleet(kind, tmp_path):
    """Otherwise the interrupted request makes the connection unusable, and the share is idle for a lease."""
    number = 1
    while asyncio.run(close_during_a_request(kind, create_folder(tmp_path, number), number)):
        number += 1
        assert number <= MAX_WAITS
    assert number > 1, "a request suspends at least once"


def create_folder(tmp_path, number):
    folder = tmp_path / str(number)
    folder.mkdir()
    return folder


def test_a_proxy_that_is_stopped_after_a_failed_request_leaves_the_fleet(tmp_path):
    """The proxy must open a new connection to leave, since the failed request has closed the last one."""

    async def run():
        async with one_member("postgresql", tmp_path) as (renewer, reader, store):
            failed, on_failure = asyncio.Event(), renewer._on_failure

            async def observed(reason):
                await on_failure(reason)
                failed.set()

            renewer._on_failure = observed
            store.faults.drop_before_commit = 1
            async with asyncio.timeout(WAIT_S):
                await failed.wait()
            await renewer.close(CLOSE_TIMEOUT_S)
            assert await members(reader) == []

    asyncio.run(run())
