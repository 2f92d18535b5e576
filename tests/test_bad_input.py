"""Files that cannot be used: one line on standard error, exit status 2, never a traceback."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from canvasplank.extensions.registry import REGISTRY

ROOT = Path(__file__).parent.parent
EXAMPLE = (ROOT / "examples" / "config.json").read_text()
WAIT_S = 30.0


def run_module(*arguments: str, **environment: str) -> subprocess.CompletedProcess[str]:
    ours = ("EDGE_", "CANVASPLANK_")
    inherited = {name: value for name, value in os.environ.items() if not name.startswith(ours)}
    return subprocess.run(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        env=inherited | environment,
        text=True,
        capture_output=True,
        timeout=WAIT_S,
    )


def assert_refused(done: subprocess.CompletedProcess[str], *words: str) -> None:
    """One line on standard error, with these words, and exit status 2."""
    assert done.returncode == 2, done.stderr
    assert done.stderr.count("\n") == 1 and "Traceback" not in done.stderr
    assert all(word in done.stderr for word in words), done.stderr


CONFIGURATIONS = {
    "not JSON": ("{", ""),
    "not UTF-8": (b"\xff\xfe", ""),
    "empty": ("", ""),
    "a list": ("[]", "Expected `object`"),
    "wrongly typed": (json.dumps(json.loads(EXAMPLE) | {"listen": 7}), "listen"),
    "a key missing": (json.dumps({k: v for k, v in json.loads(EXAMPLE).items() if k != "board"}), "board"),
    "settings without classes": (json.dumps(json.loads(EXAMPLE) | {"settings": {"profiles": []}}), "setting"),
}


@pytest.mark.parametrize("name", CONFIGURATIONS)
def test_an_unusable_configuration_is_refused(tmp_path, name):
    content, word = CONFIGURATIONS[name]
    path = tmp_path / "config.json"
    path.write_bytes(content if isinstance(content, bytes) else content.encode())
    assert_refused(run_module("canvasplank", EDGE_CONFIG=str(path)), "canvasplank: ", word)


@pytest.mark.parametrize("path", ["", "no/such/file.json", "."], ids=["not named", "missing", "a folder"])
def test_an_unreadable_configuration_is_refused(path):
    assert_refused(run_module("canvasplank", EDGE_CONFIG=path), "canvasplank: configuration")


@pytest.mark.parametrize(
    "content",
    ["= 1", "unheard_of = 1\n", b"\xff", None],
    ids=["not TOML", "an unknown key", "not UTF-8", "missing"],
)
@pytest.mark.parametrize("variable", [entry.variable for entry in REGISTRY])
def test_an_unusable_extension_file_is_refused(tmp_path, variable, content):
    configuration, path = tmp_path / "config.json", tmp_path / "extension.toml"
    configuration.write_text(EXAMPLE)
    if content is not None:
        path.write_bytes(content if isinstance(content, bytes) else content.encode())
    done = run_module("canvasplank", EDGE_CONFIG=str(configuration), **{variable: str(path)})
    assert_refused(done, "canvasplank: ")
