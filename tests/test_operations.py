"""Operating the program: upgrade beside an old version, admin commands, drain, warm start and shutdown."""

from __future__ import annotations

import contextlib
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from emulators.fleet import free_port

ROOT = Path(__file__).parent.parent
WAIT_S = 20.0  # time-out of every wait; no test depends on speed


class Proxy:
    """A process of the program on loopback, with the example configuration."""

    def __init__(self, tmp: Path, listen: int, admin: int | None = None, learning: str | None = None) -> None:
        configuration = json.loads((ROOT / "examples" / "config.json").read_text())
        configuration["listen"] = f"127.0.0.1:{listen}"
        configuration["board"] = f"127.0.0.1:{free_port()}"  # no service discovery: it is retried
        path = tmp / f"config-{listen}-{admin}.json"
        path.write_text(json.dumps(configuration))
        environment = {**os.environ, "EDGE_CONFIG": str(path)}
        if admin is not None:
            environment["EDGE_ADMIN"] = f"127.0.0.1:{admin}"
        if learning is not None:
            (tmp / f"learning-{listen}.toml").write_text(learning)
            environment["CANVASPLANK_LEARNING"] = str(tmp / f"learning-{listen}.toml")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "canvasplank"],
            cwd=ROOT,
            env=environment,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.lines: list[str] = []  # of the log, those that ``wait_for`` has passed
        self._unread: queue.SimpleQueue[str] = queue.SimpleQueue()  # of the log; empty: the log has ended
        self._reader = threading.Thread(target=self._read_log, daemon=True)
        self._reader.start()

    def _read_log(self) -> None:
        for line in self.process.stderr:
            self._unread.put(line)
        self._unread.put("")

    def wait_for(self, text: str, timeout_s: float = WAIT_S) -> None:
        """Pass the lines of the log up to one that contains ``text``.

        Fails if the process exits before that line, or after ``timeout_s``.
        """
        deadline_s = time.monotonic() + timeout_s
        with contextlib.suppress(queue.Empty):
            while line := self._unread.get(timeout=max(0.0, deadline_s - time.monotonic())):
                self.lines.append(line)
                if text in line:
                    return
        pytest.fail(f"no line with {text!r}: {self.lines}")

    def stop(self) -> int:
        """Send SIGTERM; return the exit code."""
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(WAIT_S)
        finally:
            self.process.kill()
            self._reader.join(WAIT_S)  # it ends with the log
            self.process.stderr.close()


@pytest.fixture
def started(tmp_path: Path) -> Iterator[list[Proxy]]:
    proxies: list[Proxy] = []
    yield proxies
    for proxy in proxies:
        if proxy.process.poll() is None:
            proxy.stop()


def test_a_wait_for_a_line_that_never_comes_ends_in_its_time(tmp_path, started):
    """The wait blocked in a read, for as long as the process lived and logged nothing."""
    started.append(proxy := Proxy(tmp_path, free_port()))
    proxy.wait_for("listens on")
    started_s = time.monotonic()
    with pytest.raises(pytest.fail.Exception, match="no line with 'never'"):
        proxy.wait_for("never", timeout_s=0.2)
    assert time.monotonic() - started_s < WAIT_S


def test_a_new_version_listens_beside_the_old_one(tmp_path, started):
    """On an upgrade, the new process exited with status 2 because its address was in use."""
    port = free_port()
    started.append(old := Proxy(tmp_path, port))
    old.wait_for("listens on")
    started.append(new := Proxy(tmp_path, port))
    new.wait_for("listens on")
    assert old.stop() == 0
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S):
        pass  # the new one still accepts callers
    assert new.stop() == 0


def send_command(port: int, line: str) -> list[str]:
    """Send one command to the admin address; return the lines of the response."""
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S) as admin:
        admin.sendall(f"{line}\n".encode())
        response = b""
        while chunk := admin.recv(4096):
            response += chunk
    return response.decode().splitlines()


def test_health_quiesce_and_resume(tmp_path, started):
    """The proxy still reported ready 4 s after a quiesce, with its callers connected."""
    port, admin = free_port(), free_port()
    started.append(proxy := Proxy(tmp_path, port, admin))
    proxy.wait_for("admin address")
    assert send_command(admin, "health")[0].startswith("200")
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S) as caller:
        assert send_command(admin, "quiesce")[0].startswith("200")
        assert send_command(admin, "health")[0].startswith("400")
        assert caller.recv(1) == b"", "a connection with nothing open is closed at once"
    assert send_command(admin, "resume")[0].startswith("200")
    assert send_command(admin, "health")[0].startswith("200")


def test_counters_and_an_unknown_command(tmp_path, started):
    port, admin = free_port(), free_port()
    started.append(proxy := Proxy(tmp_path, port, admin))
    proxy.wait_for("admin address")
    lines = send_command(admin, "counters")
    assert lines[0].startswith("200") and lines[-1] == "EOF"
    assert {"edge_in_flight 0", "edge_call_servers_known 1"} <= set(lines)
    assert send_command(admin, "reboot")[0].startswith("400")


def test_a_new_instance_warm_starts_from_a_running_one(tmp_path, started):
    """The running instance serves its snapshot, and the new one loads it."""
    view_port = free_port()
    started.append(old := Proxy(tmp_path, free_port(), learning=f'listen = "127.0.0.1:{view_port}"'))
    old.wait_for("views for new instances")
    started.append(new := Proxy(tmp_path, free_port(), learning=f'peer = "127.0.0.1:{view_port}"'))
    new.wait_for("took a view of 1 servers")
    new.wait_for("listens on")


@pytest.mark.parametrize("learning", ['peer = "127.0.0.1:{port}"', "peer = 'nowhere'", "colour = 'blue'"])
def test_a_warm_start_without_a_peer_or_with_a_bad_file(tmp_path, started, learning):
    """An unreachable peer leads to a log line and a cold start; an invalid file stops the start."""
    started.append(new := Proxy(tmp_path, free_port(), learning=learning.format(port=free_port())))
    if "{port}" in learning:
        new.wait_for("no view taken")
        new.wait_for("listens on")
    else:
        new.wait_for("canvasplank: learning")
        assert new.process.wait(WAIT_S) == 2


def test_no_connection_is_open_when_the_program_returns(tmp_path):
    """On an upgrade, a set-up was lost that was sent on a connection no longer read."""
    import asyncio

    from canvasplank.config.configuration import load_configuration
    from canvasplank.program import Program
    from canvasplank.runtime.event_loop import PipeEventLoop

    configuration = json.loads((ROOT / "examples" / "config.json").read_text())
    configuration |= {"listen": f"127.0.0.1:{free_port()}", "board": f"127.0.0.1:{free_port()}"}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration))

    async def run() -> list[str]:
        seen: list[str] = []
        loaded = load_configuration(str(path))
        program = Program(loaded, lambda: loaded, [])

        async def caller() -> None:
            port, writer = int(loaded.listen.split(":")[1]), None
            while writer is None:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                except ConnectionRefusedError:
                    await asyncio.sleep(0.01)
            writer.write(b"\x00\r4" + bytes(7) + b"\x01\x8e\x00\x01\x00")
            await reader.readexactly(15)
            program._terminate()
            assert await reader.read() == b""
            seen.append("the caller's connection has ended")
            writer.close()

        calling = asyncio.create_task(caller())
        async with asyncio.timeout(WAIT_S):
            await program.run()
            seen.append("the program has ended")
        calling.cancel()
        return seen

    with asyncio.Runner(loop_factory=PipeEventLoop) as runner:
        assert runner.run(run()) == ["the caller's connection has ended", "the program has ended"]
