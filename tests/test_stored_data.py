"""Tests that this version reads data stored or sent by an earlier one and writes it in the same format.

The ``write_...`` functions of this module wrote the files under ``tests/fixtures/stored``, at the revision
that the README there names.  SQL columns and the keys of JSON and MessagePack are derived from fields of
structs, so these tests fail if a field is renamed without keeping its key.
"""

from __future__ import annotations

import asyncio
import contextlib
import csv
import io
import json
import sqlite3
from pathlib import Path

import msgspec
import pyarrow
import pytest
from click.testing import CliRunner
from pyarrow import parquet

from canvasplank import interface as api
from canvasplank.cli import cli
from canvasplank.config.discovery_events import Endpoint
from canvasplank.endpoint_cache import cache_file
from canvasplank.endpoint_cache.cached_list import CachedEndpoint, CachedEndpointList
from canvasplank.endpoint_cache.endpoint_list import EndpointList
from canvasplank.fleet.backend import FencingToken
from canvasplank.fleet.lease_messages import Heartbeat, LeaseRequest, LeaseResponse
from canvasplank.fleet.sqlite import Sqlite as FleetSqlite
from canvasplank.fleet.state import Allocation, FleetState, Member, Task
from canvasplank.store.backend import CallCount
from canvasplank.store.records import ANSWERED, ENDED, CallOutcome
from canvasplank.store.sqlite import Sqlite as StoreSqlite
from canvasplank.warm_start import peer_snapshot
from canvasplank.warm_start.peer_snapshot import PeerSnapshot, ServerSnapshot, make_snapshot
from canvasplank.worker import export_files, usage_ledger
from canvasplank.worker.usage_ledger import UsageSum

STORED = Path(__file__).parent / "fixtures" / "stored"
START_MS = 1_800_000_000_000  # Unix time of the first record
PERIOD_MS, REPEAT_MS = 3_600_000, 30_000
PERIOD = START_MS // PERIOD_MS
FLEET_FILE = """backend = "sqlite"
path = "{path}"
proxies_most = 8
renew_ms = 1.0
lease_ms = 400.0
margin_ms = 1.0
[[budget]]
name = "all"
kind = "set-ups"
whole_per_s = 80.0
kept_back = 0.2
"""


def dump(path: Path) -> str:
    """Return the content of a database as SQL statements."""
    with contextlib.closing(sqlite3.connect(path)) as database:
        return "\n".join(database.iterdump()) + "\n"


def restore(name: str, folder: Path) -> Path:
    """Create a database from the statements of a fixture and return its path."""
    path = folder / name
    with contextlib.closing(sqlite3.connect(path)) as database:
        database.executescript((STORED / f"{name}.sql").read_text())
    return path


def outcome(index: int, final: str = "served", after_ms: int = 0, **fields) -> CallOutcome:
    taken_ms = START_MS + 1000 * index + after_ms
    return CallOutcome(
        f"{index:016x}", "proxy-1", taken_ms, "reading", final, "core-a", 1, taken_ms + 40, **fields
    )


OUTCOMES = [
    outcome(1, version=ENDED, ended_ms=START_MS + 9000, ending="ended", tenant="acme", number="7f01"),
    outcome(2, version=ENDED, ended_ms=START_MS + 9500, ending="cut"),
    outcome(3, "refused", tenant="acme", number="7f02", version=ANSWERED),
    outcome(4, "failed"),
    outcome(5, "given_up", number="7f03"),
    outcome(6, after_ms=PERIOD_MS, tenant="zenith"),
]


def allocation(held: int, demand: int | None = None) -> Allocation:
    return Allocation(80_000, 16_000, held, demand)


# ------------------------------------------------------------------------- writing with this version


async def write_fleet(path: Path) -> None:
    """Write two proxies with allocations, a worker with two tasks and a failed one, and the usage ledger."""
    store, fleet = StoreSqlite(str(path)), FleetSqlite(str(path))
    await fleet.open()
    await store.open()
    await fleet.migrate(usage_ledger.SCHEMA)
    await store.write(OUTCOMES)
    await fleet.transact(
        LeaseRequest("proxy-1", None, 1, 8, 400.0, {"all": allocation(0, 50_000)}, sees_discovery=True)
    )
    await fleet.transact(LeaseRequest("proxy-2", None, 1, 8, 600.0, {"all": allocation(0)}))
    await fleet.transact(
        LeaseRequest("proxy-1", 1, 2, 8, 400.0, {"all": allocation(30_000, 50_000)}, sees_discovery=True)
    )
    await fleet.transact(LeaseRequest("proxy-2", 2, 2, 8, 600.0, {"all": allocation(0)}))
    await fleet.transact(
        LeaseRequest(
            "worker-1",
            None,
            1,
            8,
            400.0,
            {},
            capabilities=("close", "export", "retain"),
            ready={"close": 0, "export": 0, "retain": 0},
        )
    )
    await fleet.transact(
        LeaseRequest(
            "worker-1", 3, 2, 8, 400.0, {}, capabilities=("close", "export", "retain"), given_up=("retain",)
        )
    )
    token = FencingToken("close", 1, 3)
    closing = usage_ledger.Closing(PERIOD, (PERIOD + 1) * PERIOD_MS)
    await fleet.execute_fenced(
        token, usage_ledger.closing_statements(closing, PERIOD_MS, REPEAT_MS, None, token.term)
    )
    await fleet.execute_fenced(FencingToken("export", 1, 3), usage_ledger.mark_exported_statements(PERIOD, 1))
    await fleet.close()
    await store.close()


async def write_store(path: Path) -> None:
    store = StoreSqlite(str(path))
    await store.open()
    await store.write(OUTCOMES)
    await store.close()


def write_endpoint_list(path: Path) -> None:
    instances = [
        Endpoint("core-a", "10.0.0.1:5060", "ready", 0, START_MS - 5000.0, "north"),
        Endpoint("core-b", "10.0.0.2:5060", "draining", 1),
    ]
    cache_file.write_cached_list(str(path), EndpointList(instances, float(START_MS)).snapshot())


def encoded_snapshot() -> bytes:
    learned = [
        api.LearnedServer("core-a", START_MS - 5000.0, 12.5, False, False, START_MS - 100.0),
        api.LearnedServer("core-b", None, None, True, True, START_MS + 500.0),
    ]
    return peer_snapshot.encode(make_snapshot("proxy-1", learned, float(START_MS)))


SUMS = [
    UsageSum(PERIOD, "", "reading", "failed", 0, 2),
    UsageSum(PERIOD, "acme", "reading", "served", 0, 1),
    UsageSum(PERIOD - 1, "acme", "reading", "refused", 1, 3),
]


# --------------------------------------------------------------------------------------------------- tests


def test_rows_of_a_fleet_are_read(tmp_path):
    async def read() -> FleetState:
        fleet = FleetSqlite(str(restore("fleet.db", tmp_path)))
        await fleet.open()
        try:
            return await fleet.read_state()
        finally:
            await fleet.close()

    task_names = ("close", "export", "retain")
    assert asyncio.run(read()) == FleetState(
        members={
            1: Member(1, "proxy-1", 2, 8, 400.0, {"all": allocation(32_000, 50_000)}, sees_discovery=True),
            2: Member(2, "proxy-2", 2, 8, 600.0, {"all": allocation(32_000)}),
            3: Member(3, "worker-1", 2, 8, 400.0, {}, capabilities=task_names),
        },
        next_incarnation=4,
        tasks={"close": Task(1, 3), "export": Task(1, 3), "retain": Task(1, None, 1, 3)},
    )


def test_a_lease_is_renewed_from_rows_of_an_earlier_version(tmp_path):
    async def renew() -> LeaseResponse:
        fleet = FleetSqlite(str(restore("fleet.db", tmp_path)))
        await fleet.open()
        try:
            return await fleet.transact(
                LeaseRequest(
                    "proxy-2", 2, 3, 8, 600.0, {"all": allocation(32_000)}, expired=(Heartbeat(1, 2, 400.0),)
                )
            )
        finally:
            await fleet.close()

    response = asyncio.run(renew())
    assert response.incarnation == 2 and response.grants["all"].share == 64_000
    assert response.heartbeats == (Heartbeat(2, 3, 600.0), Heartbeat(3, 2, 400.0))


def test_columns_and_keys_of_a_fleet_are_unchanged(tmp_path):
    asyncio.run(write_fleet(tmp_path / "fleet.db"))
    assert dump(tmp_path / "fleet.db") == (STORED / "fleet.db.sql").read_text()
    with contextlib.closing(sqlite3.connect(tmp_path / "fleet.db")) as database:
        [(form, content)] = database.execute("SELECT form, content FROM fleet_member WHERE incarnation = 1")
    assert form == 1
    assert json.loads(content) == {
        "most": 8,
        "lease_ms": 400.0,
        "able": [],
        "hears": True,
        "holdings": {"all": {"whole": 80_000, "reserve": 16_000, "held": 32_000, "demand": 50_000}},
    }


def test_the_command_line_shows_a_fleet_of_an_earlier_version(tmp_path):
    (tmp_path / "fleet.toml").write_text(FLEET_FILE.format(path=restore("fleet.db", tmp_path)))
    results = {
        command: CliRunner().invoke(cli, [*command.split(), "--fleet", str(tmp_path / "fleet.toml")])
        for command in ("fleet status", "fleet owners", "budgets show")
    }
    assert results["fleet status"].output == (
        "proxy-1\t1\t2 requests\tquiet\nproxy-2\t2\t2 requests\tquiet\nworker-1\t3\t2 requests\tquiet\n"
    )
    assert results["fleet owners"].output == (
        "close\tworker-1 (3)\tterm 1\nexport\tworker-1 (3)\tterm 1\n"
        "retain\tnobody\tterm 1\tfailed 1 times, last at 3\n"
    )
    assert results["budgets show"].output == (
        "all\tleased 64 of 64/s\tfree 0/s\n"
        "  proxy-1\t1\tholds 32/s\twants 50/s\n"
        "  proxy-2\t2\tholds 32/s\twants -\n"
    )


def test_the_usage_ledger_is_read_and_the_next_period_closed(tmp_path):
    async def close_next() -> tuple[list[UsageSum], list[UsageSum]]:
        fleet = FleetSqlite(str(restore("fleet.db", tmp_path)))
        await fleet.open()
        try:
            await fleet.migrate(usage_ledger.SCHEMA)
            first = [UsageSum(*row) for row in await fleet.read(usage_ledger.SELECT_SUMS, (PERIOD,))]
            assert await fleet.read(usage_ledger.SELECT_LAST_CLOSING) == [(PERIOD,)]
            closing = usage_ledger.Closing(PERIOD + 1, (PERIOD + 2) * PERIOD_MS)
            await fleet.execute_fenced(
                FencingToken("close", 1, 3),
                usage_ledger.closing_statements(closing, PERIOD_MS, REPEAT_MS, PERIOD, 1),
            )
            return first, [
                UsageSum(*row) for row in await fleet.read(usage_ledger.SELECT_SUMS, (PERIOD + 1,))
            ]
        finally:
            await fleet.close()

    first, second = asyncio.run(close_next())
    assert first == [
        UsageSum(PERIOD, "", "reading", "failed", 0, 1),
        UsageSum(PERIOD, "", "reading", "given_up", 0, 1),
        UsageSum(PERIOD, "", "reading", "served", 0, 1),
        UsageSum(PERIOD, "acme", "reading", "refused", 0, 1),
        UsageSum(PERIOD, "acme", "reading", "served", 0, 1),
    ]
    assert second == [UsageSum(PERIOD + 1, "zenith", "reading", "served", 0, 1)]


def test_call_records_are_counted(tmp_path):
    async def count() -> list[CallCount]:
        store = StoreSqlite(str(restore("store.db", tmp_path)))
        await store.open()
        try:
            return await store.count_calls(0, "proxy-1")
        finally:
            await store.close()

    assert sorted(asyncio.run(count()), key=str) == sorted(
        [
            CallCount("reading", "failed", None, 1),
            CallCount("reading", "given_up", None, 1),
            CallCount("reading", "refused", None, 1),
            CallCount("reading", "served", "cut", 1),
            CallCount("reading", "served", "ended", 1),
            CallCount("reading", "served", None, 1),
        ],
        key=str,
    )


def test_columns_of_call_records_are_unchanged(tmp_path):
    asyncio.run(write_store(tmp_path / "store.db"))
    assert dump(tmp_path / "store.db") == (STORED / "store.db.sql").read_text()


def test_a_later_version_of_a_record_replaces_one_of_an_earlier_release(tmp_path):
    async def write() -> None:
        store = StoreSqlite(str(path))
        await store.open()
        await store.write([outcome(3, "served", version=ENDED, ended_ms=START_MS + 8000, ending="released")])
        await store.close()

    path = restore("store.db", tmp_path)
    asyncio.run(write())
    with contextlib.closing(sqlite3.connect(path)) as database:
        rows = database.execute(
            "SELECT final, ended_ms, ending, version, closed_in FROM call_outcome "
            "WHERE call_id = '0000000000000003'"
        ).fetchall()
    assert rows == [("served", START_MS + 8000, "released", 2, None)]


def test_a_cached_endpoint_list_is_read_and_written_unchanged(tmp_path):
    cached = STORED / "servers.json"
    assert cache_file.read_cached_list(str(cached)) == CachedEndpointList(
        1,
        float(START_MS),
        [
            CachedEndpoint("core-a", "10.0.0.1:5060", "ready", 0, START_MS - 5000.0),
            CachedEndpoint("core-b", "10.0.0.2:5060", "draining", 1),
        ],
    )
    write_endpoint_list(tmp_path / "servers.json")
    assert (tmp_path / "servers.json").read_bytes() == cached.read_bytes()
    assert list(json.loads(cached.read_bytes())["servers"][0]) == [
        "instance_id",
        "host_port",
        "lifecycle",
        "cell",
        "started_at_ms",
    ]


def test_a_peer_s_snapshot_is_read_and_sent_unchanged():
    data = (STORED / "peer-view.msgpack").read_bytes()
    assert peer_snapshot.decode(data) == PeerSnapshot(
        1,
        "proxy-1",
        float(START_MS),
        [
            ServerSnapshot("core-a", START_MS - 5000.0, START_MS - 100.0, 12.5),
            ServerSnapshot("core-b", None, float(START_MS), None, True, True),
        ],
    )
    assert encoded_snapshot() == data
    assert peer_snapshot.VIEW_REQUEST == b"view\n"
    assert peer_snapshot.frame(data) == len(data).to_bytes(4, "big") + data
    sent = msgspec.msgpack.decode(data)
    assert list(sent) == ["version", "peer", "taken_ms", "servers"]
    assert list(sent["servers"][0]) == [
        "instance_id",
        "started_ms",
        "learned_ms",
        "rate_per_s",
        "slow",
        "silent",
    ]


def test_an_export_as_csv_is_unchanged():
    data = (STORED / "usage.csv").read_bytes()
    assert export_files.to_csv(SUMS, PERIOD_MS) == data
    assert next(csv.reader(io.StringIO(data.decode()))) == [
        "period_start",
        "member",
        "class_name",
        "final",
        "correction",
        "calls",
    ]


def test_an_export_as_parquet_is_unchanged():
    stored = parquet.read_table(STORED / "usage.parquet")
    assert parquet.read_table(pyarrow.BufferReader(export_files.to_parquet(SUMS, PERIOD_MS))).equals(stored)
    assert stored.column_names == ["period_start", "member", "class_name", "final", "correction", "calls"]


@pytest.mark.parametrize("file_format", ["csv", "parquet"])
def test_an_export_equals_the_file_of_an_earlier_version(file_format, tmp_path):
    name = f"usage-{PERIOD}.{file_format}"
    (tmp_path / name).write_bytes((STORED / f"usage.{file_format}").read_bytes())
    assert not export_files.publish(
        tmp_path, name, export_files.ENCODERS[file_format](SUMS, PERIOD_MS), lambda point: None
    )
