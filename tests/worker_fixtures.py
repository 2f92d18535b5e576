"""What the tests of the fleet's tasks and of the worker share."""

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
from emulators.postgresql import PostgresqlStandIn

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
keep_ms = {keep_ms}
"""


class Candidate:
    """One process's belief and its requests, without a store."""

    def __init__(self, name, *able):
        self.holder = LeaseHolder(name, {}, LEASE, max_members=8)
        self.leadership = TaskLeadership(able, random.Random(1))

    def ask(self, rows, now_ms=0.0, dead=()):
        request = self.holder.next_request(now_ms, {}, dead)
        request = msgspec.structs.replace(request, **self.leadership.request_fields(now_ms))
        rows, answer = lease_transaction.apply(rows, request)
        if self.holder.on_response(answer):
            self.leadership.on_response(answer, now_ms)
        return rows

    @property
    def owns(self):
        return {token.task: token.term for token in self.leadership.tokens()}


@contextlib.asynccontextmanager
async def database(kind, folder):
    """The fleet's file, a fleet backend, and a store of record, on one database."""
    server = None
    if kind == "sqlite":
        path, dsn = folder / "shared.db", ""
        fleet, store = FleetSqlite(str(path)), Sqlite(str(path))
    else:
        server = PostgresqlStandIn(folder)
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


async def own(fleet):
    """Have somebody own the closing."""
    candidate = Candidate("test", "close")
    request = candidate.holder.next_request(0.0, {})
    answer = await fleet.transact(
        msgspec.structs.replace(request, **candidate.leadership.request_fields(0.0))
    )
    return FencingToken("close", answer.tasks["close"].term, answer.incarnation)


async def sums(fleet, period):
    return [UsageSum(*row) for row in await fleet.read(usage_ledger.SELECT_SUMS, (period,))]
