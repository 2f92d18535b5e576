"""A pytest plugin that runs tests across processes with processes of two builds in turn.

It is for tests that start several processes of the program from this checkout.  With this plugin every
second one, or the first and every second one after it, comes from another checkout, such as that of the
previous release.  So the tests show whether two builds work side by side: on one database, in a warm start,
and across an upgrade.

    PYTHONPATH=tests python -m pytest -p mixed_builds --other-build=PATH tests/test_worker_processes.py
"""

from __future__ import annotations

import subprocess
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--other-build", type=Path, help="the other checkout; its first process is a test's first"
    )
    parser.addoption("--this-build-first", action="store_true", help="a test's first process is this build's")


def pytest_configure(config: pytest.Config) -> None:
    other = config.getoption("--other-build")
    if other is None:
        return
    if not (other / "canvasplank" / "__main__.py").exists():
        raise pytest.UsageError(f"--other-build: {other} is no checkout of canvasplank")
    builds = [other.resolve(), ROOT]
    if config.getoption("--this-build-first"):
        builds.reverse()
    config.pluginmanager.register(MixedBuilds(builds))


class MixedBuilds:
    """Starts a test's processes from each of two checkouts in turn, and counts them."""

    def __init__(self, builds: list[Path]) -> None:
        self._builds = builds
        self._started_in_test = 0
        self._started = dict.fromkeys(builds, 0)
        self._start_process = subprocess.Popen.__init__
        subprocess.Popen.__init__ = self._wrapper()

    def _wrapper(self):
        def start(process: subprocess.Popen, arguments: Any, *more: Any, **options: Any) -> None:
            if options.get("cwd") is not None and Path(options["cwd"]).resolve() == ROOT:
                options["cwd"] = self._next_build()
            self._start_process(process, arguments, *more, **options)

        return start

    def _next_build(self) -> Path:
        build = self._builds[self._started_in_test % len(self._builds)]
        self._started_in_test += 1
        self._started[build] += 1
        return build

    def pytest_runtest_setup(self) -> None:
        self._started_in_test = 0

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for build, count in self._started.items():
            terminalreporter.write_line(f"{count} processes of {build}")

    def pytest_unconfigure(self) -> None:
        subprocess.Popen.__init__ = self._start_process
