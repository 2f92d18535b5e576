"""Tests of worker processes: leaders suspended at each step, crashes, clocks that differ, handover."""

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

import pytest
from click.testing import CliRunner
from worker_fixtures import WORK, database

from canvasplank.cli import cli
from canvasplank.config.configuration import ConfigurationError
from canvasplank.store.records import CallOutcome
from canvasplank.worker import usage_ledger
from canvasplank.worker.config import load_worker_settings
from emulators.link import Link

ROOT = Path(__file__).parent.parent
WAIT_S = 25.0
PERIOD_MS = 1_000
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


class Workers:
    """Worker processes on one database and one export folder."""

    def __init__(self, folder, fleet_file, retention_ms):
        self.folder, self.fleet_file, self.out = folder, fleet_file, folder / "out"
        self.out.mkdir()
        (folder / "work.toml").write_text(WORK.format(folder=self.out, retention_ms=retention_ms))
        self.processes = {}

    async def start(self, name, pause="", fleet_file=None, ahead_s=0):
        environment = os.environ | {"CANVASPLANK_LOG": "json", "CANVASPLANK_PAUSE": pause}
        code = (
            f"import time; unix = time.time; time.time = lambda: unix() + {ahead_s}; "
            "from canvasplank.cli import cli; cli()"
        )  # the worker's clock is ahead by ``ahead_s`` seconds
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

    async def wait_for_log(self, name, text):
        async with asyncio.timeout(WAIT_S):
            while text not in self.log(name):
                assert self.processes[name].returncode is None, self.log(name)
                await asyncio.sleep(0.05)

    def files(self):
        """Return the published files, without the partial file that a resumed former leader may write."""
        return {path.name: path.read_bytes() for path in self.out.glob("usage-*")}

    def exported(self):
        """Return the calls in all CSV files, by outcome and by whether they are corrections."""
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
async def running_workers(folder, kind="postgresql", retention_ms=9e6):
    async with database(kind, folder) as (fleet_file, fleet, store, server):
        workers = Workers(folder, fleet_file, retention_ms)
        try:
            yield workers, fleet, store, server
        finally:
            await workers.stop()


async def wait_for_exported(workers, fleet, count):
    """Wait until the files contain this many calls, and check that no more follow."""
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


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("period_ms = 0", "Expected `int` >= 100"),
        ("period_ms = 1.5", "Expected `int`"),
        ("formats = []", "formats is empty"),
        ('formats = ["xml"]', "Invalid enum value 'xml'"),
        ("keep_ms = 10.0", "keep_ms is less than period_ms"),
        ("folder = ''", "length >= 1"),
    ],
)
def test_invalid_worker_settings_are_reported_on_one_line(tmp_path, line, message):
    text = WORK.format(folder=tmp_path, retention_ms=9e6)
    key = line.partition(" ")[0]
    text = "\n".join([each for each in text.splitlines() if not each.startswith(key)] + [line])
    (tmp_path / "work.toml").write_text(text)
    with pytest.raises(ConfigurationError, match=message) as error:
        load_worker_settings(str(tmp_path / "work.toml"))
    assert "\n" not in str(error.value)


@pytest.mark.parametrize("step", STEPS)
def test_a_leader_suspended_at_any_step_and_resumed_late_changes_nothing(tmp_path, step):
    async def run():
        async with running_workers(tmp_path, retention_ms=1400.0) as (workers, fleet, store, _):
            await store.write(outcomes(0, 200))
            await workers.start("old", pause=step)
            await workers.wait_for_log("old", '"point": "' + step)
            await workers.start("new")
            await workers.wait_for_log("new", "fleet.removed")
            await store.write(outcomes(200, 50))
            await wait_for_exported(workers, fleet, 250)
            before = workers.files()
            closed = await fleet.read("SELECT closed_in, term, exported_term FROM usage_closing")
            workers.processes["old"].send_signal(signal.SIGCONT)
            await asyncio.sleep(1.5)
            await workers.wait_for_log("old", "fleet.in")
            assert await fleet.read("SELECT closed_in, term, exported_term FROM usage_closing") == closed
            assert workers.files() == before
            refused = workers.log("old").count("worker.refused")
            assert refused <= 3, "at most one line for each task that the worker considered its own"
            if step in ("close:decided", "export:read", "export:linked", "retain:decided"):
                assert refused, workers.log("old")

    asyncio.run(run())


def test_a_leader_whose_responses_are_lost_exports_each_call_once(tmp_path):
    async def run():
        async with running_workers(tmp_path) as (workers, fleet, store, server):
            address = server.dsn.partition("@")[2].partition("/")[0]
            link = Link(address)
            await link.start()
            via_link = tmp_path / "via_link.toml"
            via_link.write_text(workers.fleet_file.read_text().replace(address, link.address))
            await workers.start("old", fleet_file=via_link)
            await workers.wait_for_log("old", "fleet.in")
            link.cut("back")  # holds back the responses of the store only
            await store.write(outcomes(0, 100))
            await asyncio.sleep(1.0)
            await workers.start("new")
            await wait_for_exported(workers, fleet, 100)
            link.heal()
            await store.write(outcomes(100, 100))
            await wait_for_exported(workers, fleet, 200)
            await link.stop()

    asyncio.run(run())


def test_crashes_of_workers_neither_lose_nor_duplicate_calls(tmp_path):
    async def run():
        async with running_workers(tmp_path, "sqlite") as (workers, fleet, store, _):
            rng, written = random.Random(7), 0
            for round_number in range(8):
                await workers.start(f"w{round_number}")
                batch = outcomes(written, 500)
                await store.write(batch)
                await store.write(batch[:200])  # a batch whose response was lost is written again
                written += 500
                await asyncio.sleep(rng.uniform(0.1, 1.2))
                if round_number % 3:
                    workers.processes[f"w{round_number - 1}"].send_signal(signal.SIGKILL)
            await wait_for_exported(workers, fleet, written)
            assert set(workers.exported()) <= {("served", "0"), ("served", "1")}

    asyncio.run(run())


def test_leaders_whose_clocks_are_minutes_apart_count_each_call_once(tmp_path):
    async def run():
        async with running_workers(tmp_path) as (workers, fleet, store, _):
            await workers.start("ahead", ahead_s=300)
            await workers.wait_for_log("ahead", "fleet.in")
            await store.write(outcomes(0, 100))
            await wait_for_exported(workers, fleet, 100)
            await workers.start("right")
            await workers.wait_for_log("right", "fleet.in")
            workers.processes["ahead"].send_signal(signal.SIGTERM)
            await workers.processes["ahead"].wait()
            await store.write(outcomes(100, 100))
            await wait_for_exported(workers, fleet, 200)
            await workers.start("ahead again", ahead_s=300)
            workers.processes["right"].send_signal(signal.SIGKILL)
            await store.write(outcomes(200, 100))
            await wait_for_exported(workers, fleet, 300)

    asyncio.run(run())


def test_a_stopped_worker_hands_over_at_once_and_the_command_line_shows_the_leaders(tmp_path):
    async def run():
        async with running_workers(tmp_path) as (workers, fleet, store, _):
            await workers.start("a")
            await workers.wait_for_log("a", "fleet.in")
            await workers.start("b")
            await workers.wait_for_log("b", "fleet.in")
            workers.processes["a"].send_signal(signal.SIGTERM)
            assert await workers.processes["a"].wait() == 0
            # The worker removes its row, unless its lease of 0.9 s has expired first on a slow machine.
            assert {member.name for member in (await fleet.read_state()).members.values()} == {"b"}
            await store.write(outcomes(0, 10))
            await wait_for_exported(workers, fleet, 10)
            shown = await asyncio.to_thread(
                CliRunner().invoke, cli, ["fleet", "owners", "--fleet", str(workers.fleet_file)]
            )
            lines = [line.split("\t") for line in shown.output.splitlines()]
            assert [line[0] for line in lines] == ["close", "export", "retain"]
            assert {line[1].split()[0] for line in lines} == {"b"}, shown.output

    asyncio.run(run())


def test_an_unusable_export_folder_is_logged_and_the_task_is_retried(tmp_path):
    async def run():
        async with running_workers(tmp_path) as (workers, fleet, store, _):
            (workers.out / "unrelated").touch()
            await store.write(outcomes(0, 10))
            await workers.start("a")
            await workers.wait_for_log("a", "is not an export folder and contains other files")
            (workers.out / "unrelated").unlink()
            await wait_for_exported(workers, fleet, 10)

    asyncio.run(run())
