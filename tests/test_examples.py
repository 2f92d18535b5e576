"""The README's toy call, run on free ports."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_a_toy_call_is_answered(tmp_path):
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
    proxy, sip, discovery = (str(listener.getsockname()[1]) for listener in listeners)
    for listener in listeners:
        listener.close()
    text = (ROOT / "examples/config.json").read_text()
    for configured_port, free_port in (("2905", proxy), ("2906", sip), ("4222", discovery)):
        text = text.replace(f":{configured_port}", f":{free_port}")
    config = tmp_path / "config.json"
    config.write_text(json.dumps(json.loads(text)))
    environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    environment["EDGE_CONFIG"] = str(config)

    def run(*arguments: str) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, "-m", *arguments],
            cwd=ROOT,
            env=environment,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )

    server = run("examples.toy_server", sip, discovery)
    assert "ready" in server.stdout.readline()
    program = run("canvasplank")
    try:
        deadline = time.monotonic() + 10
        while "listens" not in program.stdout.readline():
            assert time.monotonic() < deadline
        caller = run("examples.toy_caller", f"127.0.0.1:{proxy}")
        assert caller.communicate(timeout=15)[0].splitlines() == ["stands: toy answer", "over, cause 16"]
    finally:
        for process in (server, program):
            process.kill()
            process.communicate()
