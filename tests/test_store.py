"""Tests of the store of record on an SQLite file and, through asyncpg, on an emulated PostgreSQL server."""

from __future__ import annotations

import asyncio
import contextlib
import sqlite3
import time

import pytest
from click.testing import CliRunner

from canvasplank import interface as api
from canvasplank.config.configuration import ConfigurationError
from canvasplank.counters import Counters
from canvasplank.database.errors import DatabaseUnavailableError
from canvasplank.exchange.call_records import CallRecord
from canvasplank.store import schema
from canvasplank.store.__main__ import cli
from canvasplank.store.backend import CallCount
from canvasplank.store.config import load_store_settings
from canvasplank.store.outbox import Outbox
from canvasplank.store.postgresql import Postgresql
from canvasplank.store.records import ANSWERED, ENDED, CallOutcome
from canvasplank.store.sqlite import Sqlite
from canvasplank.store.writer import LOG_INTERVAL_S, Writer
from emulators.callers import Callers
from emulators.fleet import fleet, free_port
from emulators.postgresql import PostgresqlEmulator
from emulators.server import CallServer

WAIT_S = 20.0  # limit of every wait; no test depends on the machine's speed
SELECT_ALL = f"SELECT {', '.join(schema.COLUMNS)} FROM call_outcome ORDER BY call_id, taken_ms"


def record(index: int, version: int = ANSWERED, **fields) -> CallOutcome:
    return CallOutcome(
        f"{index:016x}",
        "n0",
        1_800_000_000_000 + index,
        "low",
        "served",
        "s-1",
        1,
        1_800_000_000_040 + index,
        version=version,
        **fields,
    )


class SqliteStore:
    """A store in an SQLite file, whose rows a test can read."""

    def __init__(self, folder):
        self.path = folder / "outcomes.db"
        self.backend = Sqlite(str(self.path))

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self.backend.close()

    def rows(self) -> list[tuple]:
        with contextlib.closing(sqlite3.connect(self.path)) as database:
            return database.execute(SELECT_ALL).fetchall()


class PostgresqlStore:
    """A store on an emulated PostgreSQL server, whose faults a test can control."""

    def __init__(self, folder):
        self.server = PostgresqlEmulator(folder)

    async def __aenter__(self):
        await self.server.start()
        self.backend = Postgresql(self.server.dsn, 5.0)
        return self

    async def __aexit__(self, *_):
        await self.backend.close()
        await self.server.stop()

    def rows(self) -> list[tuple]:
        return self.server.rows(SELECT_ALL)


def make_writer(backend, write_timeout_s: float = 5.0, max_queue: int = 10_000) -> tuple[Writer, Outbox]:
    outbox = Outbox(max_queue, 50, 0.0)
    return Writer(outbox, backend, "n0", write_timeout_s, Counters()), outbox


async def wait_until_written(outbox: Outbox) -> None:
    async with asyncio.timeout(WAIT_S):
        while len(outbox):
            await asyncio.sleep(0.01)


def make_call(number: int) -> CallRecord:
    return CallRecord(
        f"{number:016x}",
        "low",
        "7f",
        0,
        False,
        0.0,
        b"d",
        None,
        attempts=1,
        taken_ms=1_800_000_000_000.0 + number,
        last_server_id="s-1",
    )


@pytest.mark.parametrize("store_type", [SqliteStore, PostgresqlStore])
def test_a_row_is_written_once_and_never_replaced_by_an_earlier_version(store_type, tmp_path):
    async def run():
        async with store_type(tmp_path) as store:
            await store.backend.open()
            await store.backend.write([record(1), record(2)])
            await store.backend.write(
                [record(2, ENDED, ended_ms=1_800_000_009_000, ending="ended"), record(3)]
            )
            await store.backend.write([record(2), record(1)])  # repeated, as after a lost response
            await store.backend.close()
            await store.backend.open()  # the tables exist already
            assert await store.backend.count_calls(0, "") == [
                CallCount("low", "served", None, 2),
                CallCount("low", "served", "ended", 1),
            ]
            assert await store.backend.count_calls(0, "n1") == []
            assert await store.backend.count_calls(1_800_000_000_003, "n0") == [
                CallCount("low", "served", None, 1)
            ]
            return store.rows()

    assert asyncio.run(run()) == [
        schema.to_row(record(1)),
        schema.to_row(record(2, ENDED, ended_ms=1_800_000_009_000, ending="ended")),
        schema.to_row(record(3)),
    ]


@pytest.mark.parametrize("store_type", [SqliteStore, PostgresqlStore])
def test_tables_of_a_newer_schema_are_not_written_to(store_type, tmp_path):
    async def run():
        async with store_type(tmp_path) as store:
            await store.backend.open()
            await store.backend.close()
            path = getattr(store, "path", None) or store.server.data_path
            with contextlib.closing(sqlite3.connect(path)) as database:
                database.execute("INSERT INTO schema_version VALUES (99)")
                database.commit()
            with pytest.raises(DatabaseUnavailableError, match="version 99, newer"):
                await store.backend.open()

    asyncio.run(run())


@pytest.mark.parametrize("fault", ["before", "after", "restart", "stall", "away"])
def test_no_record_is_lost_or_duplicated_through_a_fault_of_the_store(fault, tmp_path, caplog):
    """Faults: a connection lost before or after a commit, a restart, a stall past the timeout, no server."""

    async def run():
        async with PostgresqlStore(tmp_path) as store:
            server, (store_writer, outbox) = store.server, make_writer(store.backend, write_timeout_s=0.3)
            if fault == "away":
                await server.stop()
            store_writer.start()
            store_writer.call_answered(make_call(0), "served", 1_800_000_000_040.0)
            if fault != "away":
                await wait_until_written(outbox)
            server.faults.drop_before_commit = 2 * (fault == "before")
            server.faults.drop_after_commit = 2 * (fault == "after")
            server.faults.stalled = fault == "stall"
            for number in range(1, 200):
                store_writer.call_answered(make_call(number), "served", 1_800_000_000_040.0 + number)
                if number == 100 and fault == "restart":
                    await server.restart()
                if number % 50 == 0:
                    await asyncio.sleep(0.02)
            if fault in ("stall", "away"):
                async with asyncio.timeout(WAIT_S):
                    while not outbox.counts["retried"]:
                        await asyncio.sleep(0.01)
            server.faults.stalled = False
            if fault == "away":
                await server.start()
            await wait_until_written(outbox)
            await store_writer.drain(WAIT_S)
            return store.rows(), outbox.counts

    rows, counts = asyncio.run(run())
    assert rows == [schema.to_row(record(number, number="7f")) for number in range(200)]
    assert counts["dropped"] == counts["rejected"] == 0
    if fault != "restart":  # a restart may fall between two writes
        assert counts["retried"] > 0 and any("cannot be written" in r.getMessage() for r in caplog.records)


def test_a_rejected_record_does_not_affect_others(tmp_path, caplog):
    async def run():
        async with PostgresqlStore(tmp_path) as store:
            store.server.faults.refuse_rows = {f"{7:016x}"}
            store_writer, outbox = make_writer(store.backend)
            for number in range(40):
                store_writer.call_answered(make_call(number), "served", 1_800_000_000_040.0 + number)
            store_writer.start()
            await wait_until_written(outbox)
            await store_writer.drain(WAIT_S)
            return store.rows()

    assert [row[0] for row in asyncio.run(run())] == [f"{n:016x}" for n in range(40) if n != 7]
    assert any("0000000000000007" in r.getMessage() and "left out" in r.getMessage() for r in caplog.records)


def test_writing_is_retried_while_the_file_is_locked(tmp_path):
    async def run():
        async with SqliteStore(tmp_path) as store:
            await store.backend.open()
            other = sqlite3.connect(store.path, isolation_level=None)
            other.execute("BEGIN IMMEDIATE")
            store_writer, outbox = make_writer(store.backend, write_timeout_s=0.1)
            store_writer.start()
            store_writer.call_answered(make_call(1), "served", 1_800_000_000_041.0)
            async with asyncio.timeout(WAIT_S):
                while not outbox.counts["retried"]:
                    await asyncio.sleep(0.01)
            other.execute("ROLLBACK")
            other.close()
            await wait_until_written(outbox)
            await store_writer.drain(WAIT_S)
            return store.rows()

    assert asyncio.run(run()) == [schema.to_row(record(1, number="7f"))]


def test_records_not_written_at_shutdown_are_logged(tmp_path, caplog):
    async def run():
        store_writer, _ = make_writer(Sqlite(str(tmp_path / "no" / "such" / "folder.db")), max_queue=3)
        store_writer.start()
        for number in range(5):
            store_writer.call_ended(make_call(number), api.Outcome.RESET, 1_800_000_000_050.0)
        await store_writer.drain(0.3)

    asyncio.run(run())
    messages = [r.getMessage() for r in caplog.records]
    assert sum("the queue is full (3 records)" in line for line in messages) == 1, (
        "one line, not one per record"
    )
    assert any("3 records were not written before the end" in line for line in messages)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "backend"),
        ('backend = "oracle"', "oracle"),
        ('backend = "sqlite"', "needs a path"),
        ('backend = "postgresql"', "needs a dsn"),
        ('backend = "postgresql"\ndsn = "postgresql://u@h:port/d"', "ort"),
        ('backend = "sqlite"\npath = "x"\nqueue_most = 0', "queue_most"),
        ('backend = "sqlite"\npath = "x"\ncolour = 1', "colour"),
        ("backend = ", "nvalid value"),
    ],
)
def test_invalid_settings_give_an_error_of_one_line(tmp_path, text, message):
    (tmp_path / "store.toml").write_text(text)
    with pytest.raises(ConfigurationError, match=message) as error:
        load_store_settings(str(tmp_path / "store.toml"))
    assert "\n" not in str(error.value)


def test_summary_and_check_on_the_command_line(tmp_path):
    path, settings = tmp_path / "outcomes.db", tmp_path / "store.toml"
    settings.write_text(f'backend = "sqlite"\npath = "{path}"\n')

    async def fill():
        backend = Sqlite(str(path))
        await backend.open()
        await backend.write([record(1), record(2, ENDED, ended_ms=1_800_000_009_000, ending="cut")])
        await backend.close()

    asyncio.run(fill())
    runner = CliRunner()
    summary = runner.invoke(cli, ["summary", "--store", str(settings), "--since", "2020-01-01"])
    assert summary.output.splitlines() == ["low\tserved\tstands or unknown\t1", "low\tserved\tcut\t1"]
    for served, status in ((2, 0), (3, 1)):
        figures = f'200 counters\nedge_served{{class="low"}} {served}\nEOF\n'
        checked = runner.invoke(cli, ["check", "--store", str(settings), "--instance", "n0"], input=figures)
        assert checked.exit_code == status and ("DIFFER" in checked.output) is bool(status)
    settings.write_text('backend = "sqlite"\npath = "/nowhere/at/all.db"\n')
    failed = runner.invoke(cli, ["summary", "--store", str(settings)])
    assert failed.exit_code == 1 and "unable to open" in failed.output


async def _serve_calls(folder, servers: int, rate: float, for_s: float, toml: str, inject_faults=None):
    """Run the program with a store and emulated servers and callers; returns their attempts and its log."""
    (folder / "store.toml").write_text(toml)
    call_servers = [CallServer(f"s-{n}", 200.0, hold_ms=300.0) for n in range(servers)]
    async with fleet(folder, call_servers, 1) as started:
        proxy = await started.proxy("n0", 7, CANVASPLANK_STORE=str(folder / "store.toml"))
        callers = Callers(1, pools=servers)
        await callers.add_proxy(proxy.address)
        load = asyncio.ensure_future(callers.offer(rate, for_s))
        if inject_faults is not None:
            await inject_faults()
        await load
        await callers.wait_until_answered(WAIT_S)
        async with asyncio.timeout(WAIT_S):
            while any(t.outcome == "served" and t.released_s is None for t in callers.calls.values()):
                await asyncio.sleep(0.02)
        await callers.stop()
        assert await proxy.stop() == 0, proxy.text()
        return callers.calls, proxy.text()


def check_records(attempts, rows) -> None:
    """Check that each call has one record, with the class and final answer that its caller saw."""
    by_id = {row[0]: dict(zip(schema.COLUMNS, row, strict=True)) for row in rows}
    assert len(rows) == len(by_id) == len(attempts) > 50
    for attempt in attempts.values():
        stored = by_id[attempt.id]
        assert (stored["class_name"], stored["final"], stored["instance"]) == (
            attempt.kind.name,
            attempt.outcome,
            "n0",
        )
        assert stored["ending"] == ("ended" if attempt.outcome == "served" else None)
        assert stored["taken_ms"] <= stored["answered_ms"]


def test_every_call_has_one_record_in_a_file(tmp_path):
    path = tmp_path / "outcomes.db"
    attempts, _ = asyncio.run(_serve_calls(tmp_path, 2, 80.0, 2.0, f'backend = "sqlite"\npath = "{path}"\n'))
    with contextlib.closing(sqlite3.connect(path)) as database:
        check_records(attempts, database.execute(SELECT_ALL).fetchall())


def test_every_call_has_one_record_through_a_stall_and_a_restart_of_the_store(tmp_path):
    async def run():
        server = PostgresqlEmulator(tmp_path)
        await server.start()

        async def inject_faults():
            await asyncio.sleep(0.4)
            server.faults.stalled = True
            await asyncio.sleep(0.8)
            server.faults.stalled = False
            server.faults.drop_after_commit = 1
            await asyncio.sleep(0.3)
            await server.restart(0.2)

        text = f'backend = "postgresql"\ndsn = "{server.dsn}"\nwrite_timeout_ms = 300\n'
        attempts, log = await _serve_calls(tmp_path, 2, 80.0, 2.5, text, inject_faults)
        await server.stop()
        return attempts, log, server.rows(SELECT_ALL)

    attempts, log, rows = asyncio.run(run())
    check_records(attempts, rows)
    assert (
        "store: records cannot be written" in log
        and "store: records are written again" in log
        and "dropped" not in log
    )


def test_calls_are_served_without_a_store_and_the_failure_is_logged_at_intervals(tmp_path):
    text = f'backend = "postgresql"\ndsn = "postgresql://u@127.0.0.1:{free_port()}/d"\nqueue_most = 20\n'
    start_s = time.monotonic()
    attempts, log = asyncio.run(_serve_calls(tmp_path, 1, 60.0, 1.0, text))
    max_log_lines = 1 + (time.monotonic() - start_s) // LOG_INTERVAL_S  # one, and one more per interval
    assert {attempt.outcome for attempt in attempts.values()} == {"served"}
    assert (
        1 <= log.count("store: records cannot be written") <= max_log_lines
        and 1 <= log.count("the queue is full") <= max_log_lines
    )
    assert "records were not written before the end" in log
    assert "counters store:" in log


def test_invalid_store_settings_prevent_the_start(tmp_path):
    with pytest.raises(AssertionError, match=r"ended with 2: canvasplank: store .*needs a path"):
        asyncio.run(_serve_calls(tmp_path, 1, 1.0, 0.1, 'backend = "sqlite"'))
