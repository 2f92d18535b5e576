"""Invalid files: one line on standard error, exit status 2 and no traceback."""

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
    prefixes = ("EDGE_", "CANVASPLANK_")
    inherited = {name: value for name, value in os.environ.items() if not name.startswith(prefixes)}
    return subprocess.run(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        env=inherited | environment,
        text=True,
        capture_output=True,
        timeout=WAIT_S,
    )


def assert_rejected(result: subprocess.CompletedProcess[str], *texts: str) -> None:
    """Check for exit status 2 and one line on standard error that contains these texts."""
    assert result.returncode == 2, result.stderr
    assert result.stderr.count("\n") == 1 and "Traceback" not in result.stderr
    assert all(text in result.stderr for text in texts), result.stderr


INVALID_CONFIGURATIONS = {
    "not JSON": ("{", ""),
    "not UTF-8": (b"\xff\xfe", ""),
    "empty": ("", ""),
    "a list": ("[]", "Expected `object`"),
    "wrong type": (json.dumps(json.loads(EXAMPLE) | {"listen": 7}), "listen"),
    "missing key": (json.dumps({k: v for k, v in json.loads(EXAMPLE).items() if k != "board"}), "board"),
    "settings without classes": (json.dumps(json.loads(EXAMPLE) | {"settings": {"profiles": []}}), "setting"),
}


@pytest.mark.parametrize("name", INVALID_CONFIGURATIONS)
def test_an_invalid_configuration_is_rejected(tmp_path, name):
    content, text = INVALID_CONFIGURATIONS[name]
    path = tmp_path / "config.json"
    path.write_bytes(content if isinstance(content, bytes) else content.encode())
    assert_rejected(run_module("canvasplank", EDGE_CONFIG=str(path)), "canvasplank: ", text)


@pytest.mark.parametrize("path", ["", "no/such/file.json", "."], ids=["empty path", "missing", "a directory"])
def test_an_unreadable_configuration_is_rejected(path):
    assert_rejected(run_module("canvasplank", EDGE_CONFIG=path), "canvasplank: configuration")


@pytest.mark.parametrize(
    "content",
    ["= 1", "unknown_key = 1\n", b"\xff", None],
    ids=["not TOML", "an unknown key", "not UTF-8", "missing"],
)
@pytest.mark.parametrize("variable", [entry.variable for entry in REGISTRY])
def test_an_invalid_extension_file_is_rejected(tmp_path, variable, content):
    configuration, path = tmp_path / "config.json", tmp_path / "extension.toml"
    configuration.write_text(EXAMPLE)
    if content is not None:
        path.write_bytes(content if isinstance(content, bytes) else content.encode())
    result = run_module("canvasplank", EDGE_CONFIG=str(configuration), **{variable: str(path)})
    assert_rejected(result, "canvasplank: ")
