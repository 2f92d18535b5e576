"""Fixtures shared by the tests of the fleet's tasks and of the worker."""

from __future__ import annotations

import contextlib
import random

import msgspec

from canvasplank.fleet import lease_transaction
from canvasplank.fleet.backend import FencingToken
from canvasplank.fleet.lease_holder import Lease, LeaseHolder
from canvasplank.fleet.postgresql import Postgresql as FleetPostgresql
from canvasplank.fleet.sqlite import Sqlite as FleetSqlite
from canvasplank.fleet.task_leadership import TaskLeadership
from canvasplank.store.postgresql import Postgresql
from canvasplank.store.sqlite import Sqlite
from canvasplank.worker import usage_ledger
from canvasplank.worker.usage_ledger import UsageSum
from emulators.postgresql import PostgresqlEmulator

LEASE = Lease(3000.0, 100.0, 0.001)
FLEET = """backend = "{backend}"
path = "{path}"
dsn = "{dsn}"
proxies_most = 8
lease_ms = 900.0
renew_ms = 250.0
request_ms = 500.0
[[budget]]
name = "all"
kind = "set-ups"
whole_per_s = 80.0
"""
WORK = """folder = "{folder}"
period_ms = 1000
grace_ms = 100.0
look_ms = 50.0
repeat_ms = 300.0
keep_ms = {retention_ms}
"""


class Candidate:
    """A member that can lead tasks; it sends its requests to a fleet state in memory."""

    def __init__(self, name, *capabilities):
        self.lease_holder = LeaseHolder(name, {}, LEASE, max_members=8)
        self.leadership = TaskLeadership(capabilities, random.Random(1))

    def renew(self, state, now_ms=0.0, expired=()):
        request = self.lease_holder.next_request(now_ms, {}, expired)
        request = msgspec.structs.replace(request, **self.leadership.request_fields(now_ms))
        state, response = lease_transaction.apply(state, request)
        if self.lease_holder.on_response(response):
            self.leadership.on_response(response, now_ms)
        return state

    @property
    def terms(self):
        """The terms of the tasks that the member considers itself to lead."""
        return {token.task: token.term for token in self.leadership.tokens()}


@contextlib.asynccontextmanager
async def database(kind, folder):
    """Yield the fleet's settings file, a fleet backend, a call store and the server, all on one database.

    The server is None for SQLite.
    """
    server = None
    if kind == "sqlite":
        path, dsn = folder / "shared.db", ""
        fleet, store = FleetSqlite(str(path)), Sqlite(str(path))
    else:
        server = PostgresqlEmulator(folder)
        await server.start()
        path, dsn = "", server.dsn
        fleet, store = FleetPostgresql(dsn, 2.0), Postgresql(dsn, 2.0)
    (folder / "fleet.toml").write_text(FLEET.format(backend=kind, path=path, dsn=dsn))
    await fleet.open()
    await store.open()
    await fleet.migrate(usage_ledger.SCHEMA)
    try:
        yield folder / "fleet.toml", fleet, store, server
    finally:
        await fleet.close()
        await store.close()
        if server is not None:
            await server.stop()


async def lead_closing(fleet):
    """Join a member that leads the task of closing the ledger; returns its fencing token."""
    candidate = Candidate("test", "close")
    request = candidate.lease_holder.next_request(0.0, {})
    response = await fleet.transact(
        msgspec.structs.replace(request, **candidate.leadership.request_fields(0.0))
    )
    return FencingToken("close", response.tasks["close"].term, response.incarnation)


async def sums(fleet, period):
    return [UsageSum(*row) for row in await fleet.read(usage_ledger.SELECT_SUMS, (period,))]
