"""The fleet's rows on both engines, the agent on them, the command line, and log lines as JSON."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sqlite3

import pytest
from click.testing import CliRunner

from canvasplank.cli import cli
from canvasplank.counters import Counters
from canvasplank.database.errors import StoreUnavailableError
from canvasplank.fleet.config import Budget, Fleet
from canvasplank.fleet.lease_holder import LeaseHolder
from canvasplank.fleet.lease_renewer import LeaseRenewer
from canvasplank.fleet.postgresql import IDLE_MS, Postgresql
from canvasplank.fleet.sqlite import Sqlite
from canvasplank.runtime import structured_logging
from emulators.postgresql import PostgresqlStandIn

WAIT_S = 20.0
BUDGETS = [Budget("all", "set-ups", 80.0, reserve_fraction=0.2)]
FILE = """backend = "sqlite"
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


def fleet(**more) -> Fleet:
    return Fleet(max_members=8, budget=BUDGETS, renew_ms=50.0, lease_ms=400.0, **more)


@contextlib.asynccontextmanager
async def opened(kind, folder):
    """A backend, and another to the same rows."""
    if kind == "sqlite":
        backends = [Sqlite(str(folder / "fleet.db")) for _ in range(2)]
        store = None
    else:
        store = PostgresqlStandIn(folder)
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
def test_rows_go_and_come_and_a_hundred_at_once_are_one_after_another(kind, tmp_path):
    async def run():
        async with opened(kind, tmp_path) as (one, other, _):
            first, second = holder("a"), holder("b")
            first.on_response(await one.transact(first.next_request(0.0, {"all": 7})))
            await asyncio.gather(
                *(backend.transact(h.next_request(0.0, {})) for backend, h in [(one, first), (other, second)])
            )
            for _ in range(50):
                answers = await asyncio.gather(
                    one.transact(first.next_request(0.0, {})), other.transact(second.next_request(0.0, {}))
                )
                first.on_response(answers[0])
                second.on_response(answers[1])
            rows = await one.read_state()
            assert {member.name for member in rows.members.values()} >= {"a", "b"}
            assert sum(member.allocations["all"].held for member in rows.members.values()) <= 64_000
            assert await other.remove_member(first.incarnation) and not await other.remove_member(
                first.incarnation
            )

    asyncio.run(run())


def test_a_row_of_another_form_is_left_alone_with_one_line(tmp_path, caplog):
    async def run():
        async with opened("sqlite", tmp_path) as (one, _, _store):
            with contextlib.closing(sqlite3.connect(tmp_path / "fleet.db")) as database:
                database.execute("INSERT INTO fleet_member VALUES (99, 'newer', 5, 2, 'what it says')")
                database.commit()
            mine = holder("a")
            for _ in range(3):
                mine.on_response(await one.transact(mine.next_request(0.0, {})))
            assert mine.incarnation == 1 and mine.share("all", 0.0) == 0
            assert (await one.read_state()).unreadable == (99,)

    asyncio.run(run())
    assert sum("cannot be read and is left alone" in r.getMessage() for r in caplog.records) == 1


def test_one_that_stops_within_a_transaction_keeps_the_lock_no_longer_than_is_set(tmp_path):
    """A frozen proxy would otherwise keep the whole fleet from its renewals."""

    async def run():
        async with opened("postgresql", tmp_path) as (one, other, _):
            stuck = one._connection.transaction()
            await stuck.start()
            await one._connection.fetchval("SELECT next_incarnation FROM fleet_state WHERE id = 1 FOR UPDATE")
            async with asyncio.timeout(WAIT_S):
                began = asyncio.get_running_loop().time()
                answer = await other.transact(holder("b").next_request(0.0, {}))
                waited_s = asyncio.get_running_loop().time() - began
            assert answer.incarnation and waited_s >= 0.9 * IDLE_MS / 1000
            with pytest.raises(StoreUnavailableError):
                await one.transact(holder("a").next_request(0.0, {}))

    asyncio.run(run())


def test_an_agent_has_its_part_of_what_is_kept_back_until_the_store_is_there_and_its_share_then(tmp_path):
    async def run():
        path = tmp_path / "not yet" / "fleet.db"
        counters = Counters()
        agent = LeaseRenewer(fleet(backend="sqlite", path=str(path)), "a", 1, counters)
        agent.start()
        await asyncio.sleep(0.3)
        now_ms = agent._clock()
        assert agent.holder.allowance("all", now_ms) == 2_000
        path.parent.mkdir()
        async with asyncio.timeout(WAIT_S):
            while agent.holder.allowance("all", agent._clock()) < 66_000:
                await asyncio.sleep(0.02)
            while (wait_ms := agent.spend(None, 0, "s", True)) > 0:
                await asyncio.sleep(wait_ms / 1000)
        agent.export_metrics()
        assert counters["fleet.members"] == 1 and counters["fleet.spent"] == 1
        await agent.close(1.0)
        assert agent.holder.share("all", agent._clock()) == 0
        look = Sqlite(str(path))
        await look.open()
        assert not (await look.read_state()).members, "it left, and kept nobody waiting for a lease"
        await look.close()

    asyncio.run(run())


def test_the_command_line_shows_who_is_there_and_who_holds_what(tmp_path):
    (tmp_path / "fleet.toml").write_text(FILE.format(path=tmp_path / "fleet.db"))

    def say(*words):
        return CliRunner().invoke(cli, [*words[:2], "--fleet", str(tmp_path / "fleet.toml"), *words[2:]])

    async def run():
        async with opened("sqlite", tmp_path) as (one, _, _store):
            mine = holder("n1")
            mine.on_response(await one.transact(mine.next_request(0.0, {"all": 9_000})))

    asyncio.run(run())
    status, shown = say("fleet", "status"), say("budgets", "show")
    assert status.output == "n1\t1\t1 requests\tquiet\n", status.output
    assert shown.output.splitlines() == ["all\tleased 64 of 64/s\tfree 0/s", "  n1\t1\tholds 64/s\twants 9/s"]
    assert say("fleet", "forget", "1").output == "1 removed\n"
    again = say("fleet", "forget", "1")
    assert again.exit_code == 1 and again.output == "Error: there is no 1\n"
    (tmp_path / "fleet.toml").write_text("backend = 3")
    bad = say("budgets", "show")
    assert bad.exit_code == 1 and bad.output.count("\n") == 1 and "Error: fleet" in bad.output


def test_log_lines_as_json_hold_an_event_and_its_fields(monkeypatch, capsys):
    import logging

    root = logging.getLogger()
    monkeypatch.setattr(root, "handlers", [])
    structured_logging.configure("json")
    structured_logging.log_event(
        logging.getLogger("x"), "budget.share", text="what people read", budget="all", share=3
    )
    said = json.loads(capsys.readouterr().err)
    assert said["event"] == "budget.share" and said["share"] == 3 and said["message"] == "what people read"
    with pytest.raises(ValueError, match="CANVASPLANK_LOG"):
        structured_logging.configure("morse")
