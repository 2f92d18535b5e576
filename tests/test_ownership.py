"""One owner at a time: terms, hand-over, and late owners that do no harm, frozen at each step."""

from __future__ import annotations

import asyncio
import contextlib
import csv
import os
import random
import signal
import sys
import time
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from pyarrow import parquet

from canvasplank.cli import cli
from canvasplank.config.configuration import ConfigurationError
from canvasplank.database.errors import StoreRefusedError
from canvasplank.fleet import lease_transaction
from canvasplank.fleet.backend import FencingToken, StaleTermError
from canvasplank.fleet.lease_holder import Lease, LeaseHolder
from canvasplank.fleet.postgresql import Postgresql as FleetPostgresql
from canvasplank.fleet.sqlite import Sqlite as FleetSqlite
from canvasplank.fleet.state import FleetState, Task
from canvasplank.fleet.task_leadership import BACKOFF_MS, TaskLeadership
from canvasplank.store.postgresql import Postgresql
from canvasplank.store.records import CallOutcome
from canvasplank.store.sqlite import Sqlite
from canvasplank.worker import export_files, usage_ledger
from canvasplank.worker.config import load_work
from canvasplank.worker.usage_ledger import Closing, UsageSum, next_closing
from emulators.link import Link
from emulators.postgresql import PostgresqlStandIn

ROOT = Path(__file__).parent.parent
WAIT_S = 25.0
LEASE = Lease(3000.0, 100.0, 0.001)
PERIOD_MS = 1_000
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


class TestTerms:
    """Who owns what, by the rows alone."""

    def test_a_task_has_one_owner_and_tasks_are_spread(self):
        one, other = Candidate("a", "x", "y"), Candidate("b", "x", "y")
        other.ask(one.ask(FleetState()))
        assert one.owns | other.owns == {"x": 1, "y": 1} and not one.owns.keys() & other.owns.keys()

    def test_a_new_owner_has_a_new_term_once_the_old_one_is_dead(self):
        one, other = Candidate("a", "x"), Candidate("b", "x")
        rows = other.ask(one.ask(FleetState()))
        rows, answer = lease_transaction.apply(rows, other.holder.next_request(0.0, {}))
        rows = other.ask(rows, dead=answer.heartbeats[:1])
        assert other.owns == {"x": 2} and one.owns == {"x": 1}, "the old one believes it still"
        rows = one.ask(rows)
        assert not one.owns and one.ask(rows).tasks["x"].owner == other.holder.incarnation

    def test_one_that_fails_gives_it_up_and_does_not_take_it_back_while_another_can(self):
        one, other = Candidate("a", "x"), Candidate("b", "x")
        rows = other.ask(one.ask(FleetState()))
        one.leadership.failed(FencingToken("x", 1, one.holder.incarnation))
        assert not one.owns
        rows = one.ask(rows)
        assert rows.tasks["x"] == Task(1, None, 1, one.holder.incarnation)
        rows = one.ask(rows, now_ms=BACKOFF_MS)
        assert not one.owns
        rows = other.ask(rows, now_ms=10.0)
        assert not other.owns, "it waits a while from when it saw the failure"
        rows = other.ask(rows, now_ms=10.0 + BACKOFF_MS)
        assert other.owns == {"x": 2}
        other.leadership.succeeded(FencingToken("x", 2, other.holder.incarnation))
        assert other.ask(rows, now_ms=20.0 + BACKOFF_MS).tasks["x"].failures == 0

    def test_alone_it_takes_back_what_it_failed_at(self):
        one = Candidate("a", "x", "y")  # another task that it owns must not keep it from that
        rows = one.ask(FleetState())
        for failures in range(1, 5):
            one.leadership.failed(FencingToken("x", failures, one.holder.incarnation))
            rows = one.ask(rows)
            rows = one.ask(rows, now_ms=1e6 * failures)
            assert one.owns == {"x": failures + 1, "y": 1} and rows.tasks["x"].failures == failures

    def test_one_that_is_no_more_able_hands_over(self):
        one, other = Candidate("a", "x"), Candidate("b", "x")
        rows = other.ask(one.ask(FleetState()))
        request = msgspec.structs.replace(one.holder.next_request(0.0, {}), capabilities=(), ready={})
        rows, _ = lease_transaction.apply(rows, request)
        assert other.ask(rows).tasks["x"].owner == other.holder.incarnation

    def test_terms_never_fall_and_one_owner_at_a_time_through_any_order_of_events(self):
        """A thousand random plays of three candidates that fail, die, and come back."""
        for seed in range(1000):
            rng, rows, terms = random.Random(seed), FleetState(), {"x": 0, "y": 0}
            all_of_them = [Candidate(name, "x", "y") for name in "abc"]
            for step in range(25):
                each = rng.choice(all_of_them)
                if rng.random() < 0.2 and each.owns:
                    task = rng.choice(sorted(each.owns))
                    each.leadership.failed(FencingToken(task, each.owns[task], each.holder.incarnation))
                victims = [sign for sign in lease_transaction._heartbeats(rows) if rng.random() < 0.1]
                rows = each.ask(rows, now_ms=step * 1e5, dead=victims)
                for name, task in rows.tasks.items():
                    assert task.term >= terms[name]
                    terms[name] = task.term
                now = [
                    name
                    for c in all_of_them
                    for name, term in c.owns.items()
                    if rows.tasks[name].term == term and rows.tasks[name].owner == c.holder.incarnation
                ]
                assert len(now) == len(set(now))


class TestLedger:
    """Closings in SQL, on both engines."""

    def record(self, number, taken_ms, final="served", instance="n0", tenant="acme"):
        return CallOutcome(
            f"{number:016x}", instance, taken_ms, "low", final, "s", 1, taken_ms + 40, tenant=tenant
        )

    @pytest.mark.parametrize("kind", ["sqlite", "postgresql"])
    def test_each_call_is_counted_once_and_late_ones_are_corrections(self, tmp_path, kind):
        async def run():
            async with database(kind, tmp_path) as (_, fleet, store, _server):
                token = await own(fleet)
                await store.write(
                    [self.record(n, 500 + n) for n in range(10)]
                    + [
                        self.record(3, 900, "failed", "n1"),
                        self.record(77, 990, "failed", "n1"),
                        self.record(77, 995, "served", "n2"),
                    ]
                )
                await fleet.execute_fenced(
                    token, usage_ledger.closing_statements(Closing(0, 1000), 1000, 300, None, token.term)
                )
                assert await sums(fleet, 0) == [UsageSum(0, "acme", "low", "served", 0, 11)]
                await store.write(
                    [
                        self.record(50, 700, tenant=None),
                        self.record(77, 999, "served", "n3"),
                        self.record(60, 1500, "refused"),
                    ]
                )
                await fleet.execute_fenced(
                    token, usage_ledger.closing_statements(Closing(1, 2000), 1000, 300, 0, token.term)
                )
                assert await sums(fleet, 1) == [
                    UsageSum(0, "", "low", "served", 1, 1),
                    UsageSum(1, "acme", "low", "refused", 0, 1),
                ]
                with pytest.raises(StoreRefusedError):
                    await fleet.execute_fenced(
                        token, usage_ledger.closing_statements(Closing(1, 2000), 1000, 300, 0, token.term)
                    )
                await fleet.execute_fenced(token, usage_ledger.retention_statements(10_000))
                assert len(await fleet.read("SELECT call_id FROM call_outcome")) == 16, "nothing is exported"
                await fleet.execute_fenced(token, usage_ledger.mark_exported_statements(0, token.term))
                await fleet.execute_fenced(token, usage_ledger.retention_statements(10_000))
                assert len(await fleet.read("SELECT call_id FROM call_outcome")) == 3

        asyncio.run(run())

    @pytest.mark.parametrize("kind", ["sqlite", "postgresql"])
    def test_a_callers_repeats_are_one_call_with_the_outcome_of_its_last_try(self, tmp_path, kind):
        def tried(number, taken_ms, final, called):
            return msgspec.structs.replace(self.record(number, taken_ms, final), number=called)

        async def run():
            async with database(kind, tmp_path) as (_, fleet, store, _server):
                token = await own(fleet)
                await store.write(
                    [
                        tried(1, 100, "refused", "a"),
                        tried(2, 300, "failed", "a"),
                        tried(3, 500, "served", "a"),  # three tries, one call that stood
                        tried(4, 550, "served", "a"),  # and another, after one that stood
                        tried(5, 100, "failed", "b"),
                        tried(6, 650, "failed", "b"),  # too far apart: two calls
                        tried(7, 900, "refused", "c"),
                        self.record(8, 910, "failed"),
                    ]
                )
                await fleet.execute_fenced(
                    token, usage_ledger.closing_statements(Closing(0, 1000), 1000, 300, None, token.term)
                )
                assert await sums(fleet, 0) == [
                    UsageSum(0, "acme", "low", "failed", 0, 3),
                    UsageSum(0, "acme", "low", "served", 0, 2),
                ]
                await store.write([tried(9, 1100, "served", "c")])  # the repeat of one near the period's end
                await fleet.execute_fenced(
                    token, usage_ledger.closing_statements(Closing(1, 2000), 1000, 300, 0, token.term)
                )
                assert await sums(fleet, 1) == [UsageSum(1, "acme", "low", "served", 0, 1)]

        asyncio.run(run())

    @pytest.mark.parametrize("kind", ["sqlite", "postgresql"])
    def test_an_effect_under_an_old_term_is_refused_whole(self, tmp_path, kind):
        async def run():
            async with database(kind, tmp_path) as (_, fleet, store, _server):
                token = await own(fleet)
                await store.write([self.record(1, 500)])
                late = token._replace(term=token.term - 1)
                with pytest.raises(StaleTermError, match="term 0 of close is over"):
                    await fleet.execute_fenced(
                        late, usage_ledger.closing_statements(Closing(0, 1000), 1000, 300, None, late.term)
                    )
                assert await fleet.read(usage_ledger.SELECT_LAST_CLOSING) == [(None,)]

        asyncio.run(run())


@pytest.mark.parametrize(
    ("last", "late", "made"),
    [
        (None, False, Closing(8, 9000)),
        (7, False, Closing(8, 9000)),
        (3, False, Closing(8, 9000)),
        (8, True, None),  # closed, and what comes late waits for the next
        (300, False, None),
        (300, True, Closing(301, 9000)),  # by a clock that was ahead of ours
    ],
)
def test_what_may_be_closed_goes_by_the_owners_clock_and_never_backwards(last, late, made):
    assert next_closing(10_050.0, 1000, 100.0, last, late) == made


class TestFiles:
    """Whole or not there, once."""

    SUMS = (UsageSum(0, "acme", "low", "served", 0, 11), UsageSum(0, "", "low", "failed", 1, 2))

    def publish(self, folder, content, pause=lambda point: None):
        return export_files.publish(folder, "usage-0.csv", content, pause)

    def test_both_formats_hold_the_same(self, tmp_path):
        (tmp_path / "u.parquet").write_bytes(export_files.to_parquet(self.SUMS, 3_600_000))
        table = parquet.read_table(tmp_path / "u.parquet").to_pylist()
        lines = list(csv.DictReader(export_files.to_csv(self.SUMS, 3_600_000).decode().splitlines()))
        assert [str(row["calls"]) for row in table] == [line["calls"] for line in lines] == ["11", "2"]
        assert lines[0]["period_start"] == "1970-01-01T00:00:00+00:00" == table[0]["period_start"].isoformat()

    def test_what_is_there_is_never_replaced(self, tmp_path):
        assert self.publish(tmp_path, b"one") and not self.publish(tmp_path, b"one")
        with pytest.raises(export_files.ExportConflictError):
            self.publish(tmp_path, b"other")
        assert [path.name for path in tmp_path.iterdir()] == ["usage-0.csv"]

    def test_a_writer_that_dies_leaves_no_file_and_the_next_one_sweeps(self, tmp_path):
        def die(_):
            raise KeyboardInterrupt

        with pytest.raises(KeyboardInterrupt):
            self.publish(tmp_path, b"one", die)
        (tmp_path / ".usage-0.csv.99").write_bytes(b"on")
        export_files.remove_partial_files(tmp_path)
        assert not list(tmp_path.iterdir())

    def test_a_folder_that_is_not_ours_is_left_alone(self, tmp_path):
        (tmp_path / "somebody's").touch()
        with pytest.raises(export_files.ExportFolderError, match="holds what is not ours"):
            export_files.claim_folder(tmp_path)
        with pytest.raises(export_files.ExportFolderError, match="No such file"):
            export_files.claim_folder(tmp_path / "nowhere")


@pytest.mark.parametrize(
    ("line", "says"),
    [
        ("period_ms = 0", "Expected `int` >= 100"),
        ("period_ms = 1.5", "Expected `int`"),
        ("formats = []", "names none"),
        ('formats = ["xml"]', "Invalid enum value 'xml'"),
        ("keep_ms = 10.0", "keep_ms is less"),
        ("folder = ''", "length >= 1"),
    ],
)
def test_a_bad_work_file_is_one_line(tmp_path, line, says):
    text = WORK.format(folder=tmp_path, keep_ms=9e6)
    key = line.partition(" ")[0]
    text = "\n".join([each for each in text.splitlines() if not each.startswith(key)] + [line])
    (tmp_path / "work.toml").write_text(text)
    with pytest.raises(ConfigurationError, match=says) as fault:
        load_work(str(tmp_path / "work.toml"))
    assert "\n" not in str(fault.value)


# ---------------------------------------------------------------------------------------------- processes


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


class Workers:
    """Processes of the worker on one database and one export folder."""

    def __init__(self, folder, fleet_file, keep_ms):
        self.folder, self.fleet_file, self.out = folder, fleet_file, folder / "out"
        self.out.mkdir()
        (folder / "work.toml").write_text(WORK.format(folder=self.out, keep_ms=keep_ms))
        self.processes = {}

    async def start(self, name, pause="", fleet_file=None, ahead_s=0):
        environment = os.environ | {"CANVASPLANK_LOG": "json", "CANVASPLANK_PAUSE": pause}
        code = (
            f"import time; unix = time.time; time.time = lambda: unix() + {ahead_s}; "
            "from canvasplank.cli import cli; cli()"
        )  # its clock may be minutes off
        with (self.folder / f"{name}.log").open("wb") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                code,
                "worker",
                "--fleet",
                str(fleet_file or self.fleet_file),
                "--work",
                str(self.folder / "work.toml"),
                "--name",
                name,
                cwd=ROOT,
                env=environment,
                stderr=log,
            )

    def log(self, name):
        return (self.folder / f"{name}.log").read_text()

    async def says(self, name, words):
        async with asyncio.timeout(WAIT_S):
            while words not in self.log(name):
                assert self.processes[name].returncode is None, self.log(name)
                await asyncio.sleep(0.05)

    def files(self):
        """What is published; a hidden file may be there for a moment while a late owner looks."""
        return {path.name: path.read_bytes() for path in self.out.glob("usage-*")}

    def exported(self):
        """Calls in all files, by their outcome, and by whether they are corrections."""
        calls = {}
        for path in sorted(self.out.glob("usage-*.csv")):
            for line in csv.DictReader(path.open()):
                key = line["final"], line["correction"]
                calls[key] = calls.get(key, 0) + int(line["calls"])
        return calls

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()


@contextlib.asynccontextmanager
async def working(folder, kind="postgresql", keep_ms=9e6):
    async with database(kind, folder) as (fleet_file, fleet, store, server):
        workers = Workers(folder, fleet_file, keep_ms)
        try:
            yield workers, fleet, store, server
        finally:
            await workers.stop()


async def all_exported(workers, fleet, count):
    """Wait until files hold so many calls; then see that nothing more comes."""
    try:
        async with asyncio.timeout(WAIT_S):
            while sum(workers.exported().values()) < count or await fleet.read(
                usage_ledger.SELECT_UNEXPORTED
            ):
                await asyncio.sleep(0.1)
    except TimeoutError:
        logs = {name: workers.log(name)[-1500:] for name in workers.processes}
        pytest.fail(f"{workers.exported()} of {count}: {logs}")
    await asyncio.sleep(0.5)
    assert sum(workers.exported().values()) == count


def outcomes(first, count):
    now_ms = int(time.time() * 1000) - 3 * PERIOD_MS
    return [
        CallOutcome(
            f"{number:016x}",
            "n0",
            now_ms + number % 1000,
            "low",
            "served",
            "s",
            1,
            now_ms + 40,
            tenant="acme",
        )
        for number in range(first, first + count)
    ]


STEPS = [
    "close:decided",
    "close:written",
    "close:committed",
    "export:read",
    "export:written",
    "export:linked",
    "export:marked",
    "retain:decided",
    "retain:written",
]


@pytest.mark.parametrize("step", STEPS)
def test_an_owner_frozen_at_any_step_and_woken_late_does_no_harm(tmp_path, step):
    async def run():
        async with working(tmp_path, keep_ms=1400.0) as (workers, fleet, store, _):
            await store.write(outcomes(0, 200))
            await workers.start("old", pause=step)
            await workers.says("old", '"point": "' + step)
            await workers.start("new")
            await workers.says("new", "fleet.removed")
            await store.write(outcomes(200, 50))
            await all_exported(workers, fleet, 250)
            before = workers.files()
            closed = await fleet.read("SELECT closed_in, term, exported_term FROM usage_closing")
            workers.processes["old"].send_signal(signal.SIGCONT)
            await asyncio.sleep(1.5)
            await workers.says("old", "fleet.in")
            assert await fleet.read("SELECT closed_in, term, exported_term FROM usage_closing") == closed
            assert workers.files() == before
            refused = workers.log("old").count("worker.refused")
            assert refused <= 3, "a line for each task that it believed to own"
            if step in ("close:decided", "export:read", "export:linked", "retain:decided"):
                assert refused, workers.log("old")

    asyncio.run(run())


def test_an_owner_whose_answers_are_cut_off_commits_and_nothing_is_done_twice(tmp_path):
    async def run():
        async with working(tmp_path) as (workers, fleet, store, server):
            address = server.dsn.partition("@")[2].partition("/")[0]
            link = Link(address)
            await link.start()
            behind = tmp_path / "behind.toml"
            behind.write_text(workers.fleet_file.read_text().replace(address, link.address))
            await workers.start("old", fleet_file=behind)
            await workers.says("old", "fleet.in")
            link.cut("back")
            await store.write(outcomes(0, 100))
            await asyncio.sleep(1.0)
            await workers.start("new")
            await all_exported(workers, fleet, 100)
            link.heal()
            await store.write(outcomes(100, 100))
            await all_exported(workers, fleet, 200)
            await link.stop()

    asyncio.run(run())


def test_crashes_of_owners_and_writers_lose_and_double_nothing(tmp_path):
    async def run():
        async with working(tmp_path, "sqlite") as (workers, fleet, store, _):
            rng, written = random.Random(7), 0
            for turn in range(8):
                await workers.start(f"w{turn}")
                batch = outcomes(written, 500)
                await store.write(batch)
                await store.write(batch[:200])  # one whose answer was lost comes again
                written += 500
                await asyncio.sleep(rng.uniform(0.1, 1.2))
                if turn % 3:
                    workers.processes[f"w{turn - 1}"].send_signal(signal.SIGKILL)
            await all_exported(workers, fleet, written)
            assert set(workers.exported()) <= {("served", "0"), ("served", "1")}

    asyncio.run(run())


def test_owners_whose_clocks_are_minutes_apart_count_each_call_once(tmp_path):
    async def run():
        async with working(tmp_path) as (workers, fleet, store, _):
            await workers.start("ahead", ahead_s=300)
            await workers.says("ahead", "fleet.in")
            await store.write(outcomes(0, 100))
            await all_exported(workers, fleet, 100)
            await workers.start("right")
            await workers.says("right", "fleet.in")
            workers.processes["ahead"].send_signal(signal.SIGTERM)
            await workers.processes["ahead"].wait()
            await store.write(outcomes(100, 100))
            await all_exported(workers, fleet, 200)
            await workers.start("ahead again", ahead_s=300)
            workers.processes["right"].send_signal(signal.SIGKILL)
            await store.write(outcomes(200, 100))
            await all_exported(workers, fleet, 300)

    asyncio.run(run())


@pytest.mark.parametrize("kind", ["sqlite", "postgresql"])
def test_of_two_that_ask_at_the_same_instant_one_owns_a_task(tmp_path, kind):
    async def run():
        async with database(kind, tmp_path) as (_, fleet, _store, server):
            path = str(tmp_path / "shared.db")
            other = FleetSqlite(path) if server is None else FleetPostgresql(server.dsn, 2.0)
            await other.open()
            for number in range(150):
                one, two = Candidate("a", f"t{number}"), Candidate("b", f"t{number}")
                answers = []
                for backend, candidate in ((fleet, one), (other, two)):
                    request = candidate.holder.next_request(0.0, {})
                    answers.append(
                        backend.transact(
                            msgspec.structs.replace(request, **candidate.leadership.request_fields(0.0))
                        )
                    )
                for candidate, answer in zip((one, two), await asyncio.gather(*answers), strict=True):
                    candidate.holder.on_response(answer)
                    candidate.leadership.on_response(answer, 0.0)
                assert sorted(map(len, (one.owns, two.owns))) == [0, 1]
                for incarnation in (one.holder.incarnation, two.holder.incarnation):
                    await fleet.remove_member(incarnation)
            await other.close()

    asyncio.run(run())


def test_one_told_to_stop_hands_over_at_once_and_operators_see_who_owns_what(tmp_path):
    async def run():
        async with working(tmp_path) as (workers, fleet, store, _):
            await workers.start("a")
            await workers.says("a", "fleet.in")
            await workers.start("b")
            await workers.says("b", "fleet.in")
            workers.processes["a"].send_signal(signal.SIGTERM)
            assert await workers.processes["a"].wait() == 0
            # Its row is gone with it; on a slow machine the lease of 0.9 s may have been first.
            assert {member.name for member in (await fleet.read_state()).members.values()} == {"b"}
            await store.write(outcomes(0, 10))
            await all_exported(workers, fleet, 10)
            shown = await asyncio.to_thread(
                CliRunner().invoke, cli, ["fleet", "owners", "--fleet", str(workers.fleet_file)]
            )
            lines = [line.split("\t") for line in shown.output.splitlines()]
            assert [line[0] for line in lines] == ["close", "export", "retain"]
            assert {line[1].split()[0] for line in lines} == {"b"}, shown.output

    asyncio.run(run())


def test_an_export_folder_that_is_not_ours_is_told_and_the_task_given_up(tmp_path):
    async def run():
        async with working(tmp_path) as (workers, fleet, store, _):
            (workers.out / "somebody's").touch()
            await store.write(outcomes(0, 10))
            await workers.start("a")
            await workers.says("a", "holds what is not ours")
            (workers.out / "somebody's").unlink()
            await all_exported(workers, fleet, 10)

    asyncio.run(run())
