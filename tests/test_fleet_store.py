"""Tests of the fleet's state in both databases, the renewal loop, the command line, and JSON log lines."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sqlite3

import pytest
from click.testing import CliRunner

from canvasplank.cli import cli
from canvasplank.counters import Counters
from canvasplank.database.errors import DatabaseUnavailableError
from canvasplank.fleet.budget_limiter import BudgetKind
from canvasplank.fleet.config import Budget, FleetSettings
from canvasplank.fleet.lease_holder import LeaseHolder
from canvasplank.fleet.lease_renewer import LeaseRenewer
from canvasplank.fleet.postgresql import IDLE_IN_TRANSACTION_TIMEOUT_MS, Postgresql
from canvasplank.fleet.sqlite import Sqlite
from canvasplank.runtime import structured_logging
from emulators.postgresql import PostgresqlEmulator

WAIT_S = 20.0
BUDGETS = [Budget("all", BudgetKind.SET_UPS, 80.0, reserve_fraction=0.2)]
CONFIGURATION = """backend = "sqlite"
path = "{path}"
proxies_most = 8
renew_ms = 100.0
lease_ms = 400.0
[[budget]]
name = "all"
kind = "set-ups"
whole_per_s = 80.0
kept_back = 0.2
"""


def fleet(**more) -> FleetSettings:
    return FleetSettings(max_members=8, budget=BUDGETS, renew_ms=50.0, lease_ms=400.0, **more)


@contextlib.asynccontextmanager
async def opened(kind, folder):
    """Yield two backends on the same database, and the emulated PostgreSQL (None for SQLite)."""
    if kind == "sqlite":
        backends = [Sqlite(str(folder / "fleet.db")) for _ in range(2)]
        store = None
    else:
        store = PostgresqlEmulator(folder)
        await store.start()
        backends = [Postgresql(store.dsn, 2.0) for _ in range(2)]
    for backend in backends:
        await backend.open()
    try:
        yield *backends, store
    finally:
        for backend in backends:
            await backend.close()
        if store is not None:
            await store.stop()


def holder(name):
    return LeaseHolder(name, fleet(backend="sqlite").budget_limits(), fleet(backend="sqlite").lease())


@pytest.mark.parametrize("kind", ["sqlite", "postgresql"])
def test_concurrent_requests_are_applied_one_after_another(kind, tmp_path):
    async def run():
        async with opened(kind, tmp_path) as (one, other, _):
            first, second = holder("a"), holder("b")
            first.on_response(await one.transact(first.next_request(0.0, {"all": 7})))
            await asyncio.gather(
                *(backend.transact(h.next_request(0.0, {})) for backend, h in [(one, first), (other, second)])
            )
            for _ in range(50):
                responses = await asyncio.gather(
                    one.transact(first.next_request(0.0, {})), other.transact(second.next_request(0.0, {}))
                )
                first.on_response(responses[0])
                second.on_response(responses[1])
            state = await one.read_state()
            assert {member.name for member in state.members.values()} >= {"a", "b"}
            assert sum(member.allocations["all"].held for member in state.members.values()) <= 64_000
            assert await other.remove_member(first.incarnation) and not await other.remove_member(
                first.incarnation
            )

    asyncio.run(run())


def test_a_member_in_an_unknown_form_is_not_changed_and_logged_once(tmp_path, caplog):
    async def run():
        async with opened("sqlite", tmp_path) as (one, _, _store):
            with contextlib.closing(sqlite3.connect(tmp_path / "fleet.db")) as database:
                database.execute("INSERT INTO fleet_member VALUES (99, 'newer', 5, 2, 'content')")
                database.commit()
            member = holder("a")
            for _ in range(3):
                member.on_response(await one.transact(member.next_request(0.0, {})))
            assert member.incarnation == 1 and member.share("all", 0.0) == 0
            assert (await one.read_state()).unreadable == (99,)

    asyncio.run(run())
    assert sum("cannot be read and is not changed" in r.getMessage() for r in caplog.records) == 1


def test_a_process_suspended_within_a_transaction_holds_the_lock_only_until_the_timeout(tmp_path):
    """A suspended proxy would otherwise block the renewals of the whole fleet."""

    async def run():
        async with opened("postgresql", tmp_path) as (one, other, _):
            open_transaction = one._connection.transaction()
            await open_transaction.start()
            await one._connection.fetchval("SELECT next_incarnation FROM fleet_state WHERE id = 1 FOR UPDATE")
            async with asyncio.timeout(WAIT_S):
                start_s = asyncio.get_running_loop().time()
                response = await other.transact(holder("b").next_request(0.0, {}))
                waited_s = asyncio.get_running_loop().time() - start_s
            assert response.incarnation and waited_s >= 0.9 * IDLE_IN_TRANSACTION_TIMEOUT_MS / 1000
            with pytest.raises(DatabaseUnavailableError):
                await one.transact(holder("a").next_request(0.0, {}))

    asyncio.run(run())


def test_a_proxy_has_only_its_unleased_quota_until_the_store_is_available(tmp_path):
    async def run():
        path = tmp_path / "not yet" / "fleet.db"
        counters = Counters()
        renewer = LeaseRenewer(fleet(backend="sqlite", path=str(path)), "a", 1, counters)
        renewer.start()
        await asyncio.sleep(0.3)
        now_ms = renewer._clock()
        assert renewer.holder.allowance("all", now_ms) == 2_000
        path.parent.mkdir()
        async with asyncio.timeout(WAIT_S):
            while renewer.holder.allowance("all", renewer._clock()) < 66_000:
                await asyncio.sleep(0.02)
            while (wait_ms := renewer.spend(None, 0, "s", True)) > 0:
                await asyncio.sleep(wait_ms / 1000)
        renewer.export_metrics()
        assert counters["fleet.members"] == 1 and counters["fleet.spent"] == 1
        await renewer.close(1.0)
        assert renewer.holder.share("all", renewer._clock()) == 0
        reader = Sqlite(str(path))
        await reader.open()
        assert not (await reader.read_state()).members, "the proxy has left before its lease expired"
        await reader.close()

    asyncio.run(run())


def test_the_command_line_shows_members_and_their_shares(tmp_path):
    (tmp_path / "fleet.toml").write_text(CONFIGURATION.format(path=tmp_path / "fleet.db"))

    def invoke(*words):
        return CliRunner().invoke(cli, [*words[:2], "--fleet", str(tmp_path / "fleet.toml"), *words[2:]])

    async def run():
        async with opened("sqlite", tmp_path) as (one, _, _store):
            member = holder("n1")
            member.on_response(await one.transact(member.next_request(0.0, {"all": 9_000})))

    asyncio.run(run())
    status, shown = invoke("fleet", "status"), invoke("budgets", "show")
    assert status.output == "n1\t1\t1 requests\tquiet\n", status.output
    assert shown.output.splitlines() == ["all\tleased 64 of 64/s\tfree 0/s", "  n1\t1\tholds 64/s\twants 9/s"]
    assert invoke("fleet", "forget", "1").output == "1 removed\n"
    repeated = invoke("fleet", "forget", "1")
    assert repeated.exit_code == 1 and repeated.output == "Error: there is no member with incarnation 1\n"
    (tmp_path / "fleet.toml").write_text("backend = 3")
    bad = invoke("budgets", "show")
    assert bad.exit_code == 1 and bad.output.count("\n") == 1 and "Error: fleet" in bad.output


def test_json_log_lines_contain_an_event_and_its_fields(monkeypatch, capsys):
    import logging

    root = logging.getLogger()
    monkeypatch.setattr(root, "handlers", [])
    structured_logging.configure("json")
    structured_logging.log_event(
        logging.getLogger("x"), "budget.share", text="readable text", budget="all", share=3
    )
    event = json.loads(capsys.readouterr().err)
    assert event["event"] == "budget.share" and event["share"] == 3 and event["message"] == "readable text"
    with pytest.raises(ValueError, match="CANVASPLANK_LOG"):
        structured_logging.configure("morse")
