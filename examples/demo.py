"""Places one call through the proxy: starts the toy server and the proxy, places the call and stops both."""

from __future__ import annotations

import contextlib
import os
import subprocess
import sys
import time
from pathlib import Path

from examples import toy_caller

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 15.0


def main() -> int:
    """Run the three programs of the README's section "Try it"."""
    with contextlib.ExitStack() as cleanup:
        _start(cleanup, "examples.toy_server", "toy server ready")
        _start(cleanup, "canvasplank", " listens on ")
        print("a caller calls:", flush=True)
        toy_caller.main()
    return 0


def _start(cleanup: contextlib.ExitStack, module: str, ready: str) -> None:
    """Start a module and wait for a line of its output that contains ``ready``."""
    environment = os.environ | {"EDGE_CONFIG": str(ROOT / "examples" / "config.json")}
    process = subprocess.Popen(
        [sys.executable, "-m", module],
        cwd=ROOT,
        env=environment,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    cleanup.callback(process.wait, TIMEOUT_S)
    cleanup.callback(process.terminate)
    deadline = time.monotonic() + TIMEOUT_S
    for line in process.stdout:
        print(f"{module}: {line.rstrip()}", flush=True)
        if ready in line:
            return
        if time.monotonic() > deadline:
            break
    raise SystemExit(f"{module} did not start")


if __name__ == "__main__":
    sys.exit(main())
