"""The processes of a deployment under soak: starting, asking, signalling and ending them."""

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
from emulators.fleet import free_port, start_program
from experiments.process_usage import open_descriptors, resident_mb
from verification.call_trace import CallTrace, Drain, ProcessLife, Readiness

READINESS_INTERVAL_S = 0.1
READINESS_TIMEOUT_S = 1.0
START_TIMEOUT_S = 20.0
# SIGKILL follows SIGTERM after the longest deadline, which counts as 3 s at most, and 0.7 s.
EARLIEST_KILL_S = 3.7
ADMITTED_AFTER_NO_S = 0.2  # new connections keep coming for so long after the first no


def own_host() -> str:
    """A loopback address that no other soak on this machine uses.

    The program shares its ports (``SO_REUSEPORT``): on one address, two soaks that drew the same port would
    answer each other's peers.
    """
    number = os.getpid() % (1 << 22)
    return f"127.{1 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


def holds_signal(status: str, number: signal.Signals) -> bool:
    """Whether a process with this ``/proc/PID/status`` blocks or handles a signal."""
    masks = re.findall(r"^Sig(?:Blk|Cgt):\s*([0-9a-f]+)$", status, re.MULTILINE)
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)


class ProxyProcess:
    """One process, and what its front knows of it."""

    def __init__(self, name: str, address: str, folder: Path, trace: CallTrace) -> None:
        self.name, self.address = name, address
        self.admin = f"{own_host()}:{free_port()}"
        self.life = ProcessLife(name, time.time())
        self.ready = False
        self.first_no_s: float | None = None  # since its last yes
        self.drain_from_s: float | None = None
        self._trace = trace
        self._configuration, self._log = folder / f"{name}.json", folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        trace.processes.append(self.life)

    def write_configuration(self, configuration: dict[str, Any]) -> None:
        """Write the file that it reads at its start and on SIGHUP."""
        named = configuration | {"name": self.name.split(".")[0], "listen": self.address, "admin": self.admin}
        self._configuration.write_text(json.dumps(named))

    async def start(self) -> None:
        """Start it; it is not awaited."""
        self._process = await start_program(self._configuration, self._log)

    async def until_ready(self) -> None:
        """Wait until it has said that it is ready; raises ``TimeoutError``."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self.ready:
                await asyncio.sleep(0.02)

    @property
    def running(self) -> bool:
        """Whether it has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def admits(self) -> bool:
        """Whether its front sends new connections to its address because of it."""
        if not self.running:
            return False
        no_s = self.first_no_s
        return self.ready or (no_s is not None and time.time() - no_s < ADMITTED_AFTER_NO_S)

    @property
    def takes_connections(self) -> bool:
        """Whether it owes its callers that new connections come up."""
        terminated_s = self.life.terminated_s
        recently = terminated_s is None or time.time() - terminated_s < ADMITTED_AFTER_NO_S
        return self.admits and recently

    async def watch(self) -> None:
        """Ask it every 0.1 s whether it is ready, as a front does."""
        while True:
            asked_s = time.time()
            if self.running:
                answer = await self.command("health")
                self._note(answer == "200 ready", time.time())
            await asyncio.sleep(max(0.0, asked_s + READINESS_INTERVAL_S - time.time()))

    def _note(self, ready: bool, now_s: float) -> None:
        if ready:
            self.first_no_s = None
        elif self.ready:
            self.first_no_s = now_s
        self.ready = ready
        self._trace.readiness.append(Readiness(self.name, now_s, ready))

    async def command(self, line: str) -> str:
        """Send one command to its second address; the answer's first line, empty where there is none."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(READINESS_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*parse_address(self.admin))
                try:
                    writer.write(f"{line}\n".encode())
                    return (await reader.readline()).decode().strip()
                finally:
                    writer.close()
        return ""

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self._process is not None and self.running:
            if number is signal.SIGTERM and self.life.terminated_s is None:
                self.life.terminated_s = time.time()
            self._process.send_signal(number)

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL at the earliest that is allowed."""
        self.signal(signal.SIGTERM)
        await self.until_ended()

    async def until_ended(self) -> None:
        """Wait for its end after SIGTERM, and kill it where that takes too long."""
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

    async def until_signals_held(self) -> None:
        """Wait until it blocks or handles SIGHUP; raises ``TimeoutError``.

        No program can outlive a signal that finds its interpreter starting.
        """
        assert self._process is not None, "start() first"
        status = Path(f"/proc/{self._process.pid}/status")
        async with asyncio.timeout(START_TIMEOUT_S):
            while not holds_signal(await asyncio.to_thread(status.read_text), signal.SIGHUP):
                await asyncio.sleep(0.002)

    def begin_drain(self) -> None:
        """It is told to send callers away."""
        self.drain_from_s = time.time()

    def end_drain(self, *, resumed: bool) -> None:
        """Its drain ends, if it is in one: it is resumed, or ends."""
        if self.drain_from_s is not None:
            self._trace.drains.append(Drain(self.name, self.drain_from_s, time.time(), resumed))
            self.drain_from_s = None

    def usage(self) -> tuple[int, float] | None:
        """Its descriptors and resident MB now."""
        if self._process is None or not self.running:
            return None
        return open_descriptors(self._process.pid), resident_mb(self._process.pid)

    def read_end(self) -> None:
        """Take its log into the trace, and its exit status where it has ended though nobody told it to."""
        if self._process is not None and self.life.terminated_s is None:
            self.life.exit_status = self._process.returncode
        self.life.log = self._log.read_text(errors="replace")
