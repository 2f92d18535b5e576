"""The proxy processes of a soak run: starting, polling, signalling and stopping them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import time
from pathlib import Path
from typing import Any

from canvasplank.config.addresses import parse_address
from emulators.fleet import ROOT, free_port, start_program
from experiments.process_usage import open_descriptors, resident_mb
from verification.call_trace import CallTrace, Drain, ProcessLife, Readiness

DEPLOYED_SUBSET = ROOT / "deploy" / "subset.toml"  # the one extension that the deployed ``run`` enables
READINESS_INTERVAL_S = 0.1
READINESS_TIMEOUT_S = 1.0
START_TIMEOUT_S = 20.0
# SIGKILL follows SIGTERM no earlier than 0.7 s after the longest deadline, which counts as at most 3 s.
EARLIEST_KILL_S = 3.7
# The front still sends new connections for this long after the first "not ready".
ADMITTED_AFTER_NOT_READY_S = 0.2


def loopback_host() -> str:
    """Return a loopback address that no other soak process on this machine uses.

    The program shares its ports (``SO_REUSEPORT``): two soaks with the same address and port would answer
    each other's peers.
    """
    host_number = os.getpid() % (1 << 22)
    return f"127.{1 + (host_number >> 16)}.{host_number >> 8 & 255}.{host_number & 255}"


def blocks_or_handles(status: str, signal_number: signal.Signals) -> bool:
    """Return whether a process with this ``/proc/PID/status`` blocks or handles a signal."""
    masks = re.findall(r"^Sig(?:Blk|Cgt):\s*([0-9a-f]+)$", status, re.MULTILINE)
    return any(int(mask, 16) >> (signal_number - 1) & 1 for mask in masks)


class ProxyProcess:
    """One proxy process and its state as the front sees it."""

    def __init__(self, name: str, address: str, folder: Path, trace: CallTrace) -> None:
        self.name, self.address = name, address
        self.admin = f"{loopback_host()}:{free_port()}"
        self.life = ProcessLife(name, time.time())
        self.ready = False
        self.not_ready_since_s: float | None = None  # the first "not ready" since it was last ready
        self.drain_started_s: float | None = None
        self._trace = trace
        self._configuration, self._log = folder / f"{name}.json", folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        trace.processes.append(self.life)

    def write_configuration(self, configuration: dict[str, Any]) -> None:
        """Write the configuration file, which the process reads at its start and on SIGHUP."""
        named = configuration | {"name": self.name.split(".")[0], "listen": self.address, "admin": self.admin}
        self._configuration.write_text(json.dumps(named))

    async def start(self) -> None:
        """Start the process without waiting until it is ready."""
        self._process = await start_program(
            self._configuration, self._log, CANVASPLANK_STARTING=str(DEPLOYED_SUBSET)
        )

    async def until_ready(self) -> None:
        """Wait until the process is ready; raise ``TimeoutError`` after ``START_TIMEOUT_S``."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self.ready:
                await asyncio.sleep(0.02)

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def is_admitted(self) -> bool:
        """Whether the front sends new connections to the process's address because of this process."""
        if not self.running:
            return False
        since_s = self.not_ready_since_s
        return self.ready or (since_s is not None and time.time() - since_s < ADMITTED_AFTER_NOT_READY_S)

    @property
    def must_accept_connections(self) -> bool:
        """Whether the process has to accept new connections."""
        terminated_s = self.life.terminated_s
        listening = terminated_s is None or time.time() - terminated_s < ADMITTED_AFTER_NOT_READY_S
        return self.is_admitted and listening

    async def poll_readiness(self) -> None:
        """Request the health of the process every ``READINESS_INTERVAL_S``, as a front does."""
        while True:
            polled_s = time.time()
            if self.running:
                answer = await self.command("health")
                self._record_readiness(answer == "200 ready", time.time())
            await asyncio.sleep(max(0.0, polled_s + READINESS_INTERVAL_S - time.time()))

    def _record_readiness(self, ready: bool, now_s: float) -> None:
        if ready:
            self.not_ready_since_s = None
        elif self.ready:
            self.not_ready_since_s = now_s
        self.ready = ready
        self._trace.readiness.append(Readiness(self.name, now_s, ready))

    async def command(self, line: str) -> str:
        """Send a command to the admin address and return the first line of the answer, empty without one."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(READINESS_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*parse_address(self.admin))
                try:
                    writer.write(f"{line}\n".encode())
                    return (await reader.readline()).decode().strip()
                finally:
                    writer.close()
        return ""

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._process is not None and self.running:
            if signal_number is signal.SIGTERM and self.life.terminated_s is None:
                self.life.terminated_s = time.time()
            self._process.send_signal(signal_number)

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL if the process has not ended ``EARLIEST_KILL_S`` later."""
        self.signal(signal.SIGTERM)
        await self.until_ended()

    async def until_ended(self) -> None:
        """Wait for the end after SIGTERM; send SIGKILL ``EARLIEST_KILL_S`` after it."""
        assert self._process is not None, "start() first"
        terminated_s = self.life.terminated_s or time.time()
        try:
            async with asyncio.timeout(max(0.0, terminated_s + EARLIEST_KILL_S - time.time())):
                self.life.exit_status = await self._process.wait()
        except TimeoutError:
            self.life.killed = True
            self._process.kill()
            await self._process.wait()
        self.end_drain(resumed=False)

    async def until_sighup_handled(self) -> None:
        """Wait until the process blocks or handles SIGHUP; raise ``TimeoutError`` after ``START_TIMEOUT_S``.

        Before that, while the interpreter starts, SIGHUP ends any Python program.
        """
        assert self._process is not None, "start() first"
        status = Path(f"/proc/{self._process.pid}/status")
        async with asyncio.timeout(START_TIMEOUT_S):
            while not blocks_or_handles(await asyncio.to_thread(status.read_text), signal.SIGHUP):
                await asyncio.sleep(0.002)

    def begin_drain(self) -> None:
        """Record the start of a drain (``quiesce``)."""
        self.drain_started_s = time.time()

    def end_drain(self, *, resumed: bool) -> None:
        """Record the end of the drain, if there is one: the process has resumed or ended."""
        if self.drain_started_s is not None:
            self._trace.drains.append(Drain(self.name, self.drain_started_s, time.time(), resumed))
            self.drain_started_s = None

    def usage(self) -> tuple[int, float] | None:
        """Return the number of open descriptors and the resident memory in MiB; None if it does not run."""
        if self._process is None or not self.running:
            return None
        return open_descriptors(self._process.pid), resident_mb(self._process.pid)

    def collect_end(self) -> None:
        """Copy the log into the trace, and the exit status of a process that ended without SIGTERM."""
        if self._process is not None and self.life.terminated_s is None:
            self.life.exit_status = self._process.returncode
        self.life.log = self._log.read_text(errors="replace")
