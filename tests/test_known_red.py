"""CI deselects exactly the tests that KNOWN-RED.txt names."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from known_red import read_known_failures

ROOT = Path(__file__).parent.parent
CONFTEST = """
import sys
from pathlib import Path
sys.path.insert(0, {tests!r})
from known_red import deselect_known_failures

def pytest_addoption(parser):
    parser.addoption("--known-red", type=Path)

def pytest_collection_modifyitems(config, items):
    deselect_known_failures(config, items, config.getoption("--known-red"))
"""
TESTS = """
def test_red(): assert False
def test_red_beside_it(): pass
"""


@pytest.fixture
def project(pytester):
    pytester.makeconftest(CONFTEST.format(tests=str(Path(__file__).parent)))
    pytester.makepyfile(test_sample=TESTS)
    return pytester


def run(project, lines: str):
    project.path.joinpath("RED.txt").write_text(lines)
    return project.runpytest_subprocess("--known-red", "RED.txt")


def test_only_the_named_test_is_deselected(project):
    result = run(
        project, "test_sample.py::test_red | pytest | it fails | 1\n- | a day, seed 3 | it fails | 1\n"
    )
    result.assert_outcomes(passed=1, deselected=1)


def test_an_entry_whose_test_does_not_exist_fails_the_run(project):
    result = run(project, "test_sample.py::test_gone | pytest | it fails | 1\n")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*names tests that do not exist: test_sample.py::test_gone"])


@pytest.mark.parametrize(
    "line", ["test_sample.py::test_red | it fails | 1", "test_sample.py::test_red | | | 1"]
)
def test_an_entry_that_lacks_a_column_fails_the_run(project, line):
    assert run(project, line + "\n").ret == pytest.ExitCode.USAGE_ERROR


def test_every_entry_of_the_project_can_be_read():
    read_known_failures(ROOT / "KNOWN-RED.txt")


def test_the_command_of_ci_collects_the_tests():
    """pytest takes an option value in a separate argument for a path, and then does not know the option."""
    command = next(
        line
        for line in (ROOT / ".ci" / "run").read_text().splitlines()
        if line.startswith("python -m pytest")
    )
    collected = subprocess.run(
        [sys.executable, *command.split()[1:], "--collect-only", "-q", "-p", "no:cacheprovider"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert collected.returncode == 0, collected.stdout + collected.stderr
    assert "tests/test_known_red.py::test_only_the_named_test_is_deselected" in collected.stdout
