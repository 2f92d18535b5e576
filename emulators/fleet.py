"""A fleet of proxies in processes of their own, with emulators of call servers and service discovery."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import random
import signal
import socket
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Collection
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

from emulators.discovery import Discovery
from emulators.server import CallServer

ROOT = Path(__file__).parent.parent
LOG_TIMEOUT_S = 40.0  # until an expected text is in the log
POLL_INTERVAL_S, POLL_INTERVAL_MAX_S = 0.02, 0.4
# Below Linux's default range of ephemeral ports.
PORT_RANGE = range(20_000, 32_000)


class PortReservations:
    """Reserves ports among the processes of this machine that use the same file.

    A reservation of port N is a record lock on byte N of the file. It ends when the process exits.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._ports: set[int] = set()
        self._file: IO[bytes] | None = None  # stays open: closing it releases all locks of this process

    def reserve(self, port: int) -> bool:
        """Reserve a port. Return False if it is already reserved by this or another process."""
        if port in self._ports:
            return False
        if self._file is None:
            self._file = self._path.open("ab")
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except (BlockingIOError, PermissionError):  # POSIX allows either if another process has the lock
            return False
        self._ports.add(port)
        return True


_RESERVATIONS = PortReservations(Path(tempfile.gettempdir()) / f"canvasplank-ports-{os.getuid()}")
_RANDOM = random.SystemRandom()  # leaves the seeded generators of tests unchanged


def free_port() -> int:
    """Return a free port that no running process of this user has reserved, and reserve it.

    Proxies listen with ``SO_REUSEPORT``: if two of hundreds that start at once were given the same port, each
    would get some of the other's callers. The port is outside the ephemeral range, so that the kernel assigns
    it to no other socket before the proxy listens.
    """
    while True:
        port = _RANDOM.choice(PORT_RANGE)
        if _RESERVATIONS.reserve(port) and _is_free(port):
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@dataclass
class Proxy:
    """One proxy process. ``address`` is the one that callers connect to."""

    name: str
    address: str
    process: asyncio.subprocess.Process
    log: Path

    def text(self) -> str:
        """Return the log so far."""
        return self.log.read_text()

    async def wait_for_log(self, expected_text: str) -> None:
        """Wait until the log contains a text.

        The interval between reads grows: with hundreds of starting proxies, a constant interval would mean
        15,000 reads a second. Raises ``AssertionError`` if the process exits and ``TimeoutError`` after
        ``LOG_TIMEOUT_S``.
        """
        interval_s = POLL_INTERVAL_S
        async with asyncio.timeout(LOG_TIMEOUT_S):
            while expected_text not in self.text():
                if self.process.returncode is not None:
                    raise AssertionError(f"ended with {self.process.returncode}: {self.text()}")
                await asyncio.sleep(interval_s)
                interval_s = min(POLL_INTERVAL_MAX_S, 1.3 * interval_s)

    def freeze(self) -> None:
        """Suspend the process (SIGSTOP)."""
        self.process.send_signal(signal.SIGSTOP)

    def unfreeze(self) -> None:
        """Continue the process (SIGCONT)."""
        self.process.send_signal(signal.SIGCONT)

    async def stop(self, signal_number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal to the process, wait for its exit and return its exit status."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal_number)
        return await self.process.wait()


class Fleet:
    """Emulated call servers and service discovery, and the proxies that were started.

    ``endpoints_in_configuration``, ``nice`` and ``discovery_for`` apply to the proxies that are started after
    a change.
    """

    def __init__(self, folder: Path, servers: list[CallServer], instances: int) -> None:
        self.folder, self.servers, self.instances = folder, servers, instances
        self.discovery = Discovery()
        self.endpoints_in_configuration = True  # whether a proxy's configuration contains the endpoint list
        self.nice = 0  # of the proxies; above 0, this process has priority over them
        # The address of service discovery for a proxy, by the proxy's name.
        self.discovery_for: Callable[[str], str] = lambda _: self.discovery.address
        self.proxies: list[Proxy] = []

    async def start(self) -> None:
        """Start the call servers and service discovery, and publish the servers; start no proxies."""
        for server in self.servers:
            await server.start()
        await self.discovery.start()
        await self.list(*self.servers)

    async def list(self, *servers: CallServer, draining: Collection[CallServer] = ()) -> None:
        """Publish these call servers as the complete endpoint list, each in a pool of its own.

        Those in ``draining`` are listed as draining, the others as ready.
        """
        entries = [
            {
                "instanceId": server.name,
                "hostPort": server.address,
                "zone": "here",
                "machineType": "std",
                "cell": cell,
                "lifecycle": "draining" if server in draining else "ready",
                "weight": 1,
                "startedAtMs": server.started_ms,
            }
            for cell, server in enumerate(servers)
        ]
        await self.discovery.publish({"generation": 1, "reset": True, "instances": entries})

    @property
    def settings(self) -> dict[str, Any]:
        """The platform settings of every proxy."""
        hold_times_ms = [server.hold_ms for server in self.servers]
        return service_settings(self.instances, len(hold_times_ms), sum(hold_times_ms) / len(hold_times_ms))

    def _configuration(self, name: str, address: str, seed: int) -> dict[str, Any]:
        known = self.discovery.known() if self.endpoints_in_configuration else {"rev": 0, "notices": []}
        return example_configuration() | {
            "name": name,
            "listen": address,
            "seed": f"{seed:016x}",
            "board": self.discovery_for(name),
            "settings": self.settings,
            "known": known,
        }

    async def proxy(self, name: str, seed: int, **environment: str) -> Proxy:
        """Start a proxy with additional environment variables, and wait until it listens."""
        address = f"127.0.0.1:{free_port()}"
        path, log = self.folder / f"{name}.json", self.folder / f"{name}.log"
        path.write_text(json.dumps(self._configuration(name, address, seed)))
        process = await start_program(path, log, **environment)
        if self.nice:
            os.setpriority(os.PRIO_PROCESS, process.pid, self.nice)
        proxy = Proxy(name, address, process, log)
        self.proxies.append(proxy)
        await proxy.wait_for_log(" listens on ")
        return proxy

    async def stop(self) -> None:
        """Kill the proxies and stop the emulators."""
        for proxy in self.proxies:
            if proxy.process.returncode is None:
                await proxy.stop(signal.SIGKILL)
        await self.discovery.stop()
        for server in self.servers:
            await server.stop()


async def start_program(configuration: Path, log: Path, **environment: str) -> asyncio.subprocess.Process:
    """Start the proxy program with a configuration file, and redirect its output to ``log``.

    The program inherits this process's environment except for ``EDGE_`` and ``CANVASPLANK_`` variables;
    ``environment`` is added to it.
    """
    inherited = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "CANVASPLANK_"))}
    with log.open("wb") as output:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "canvasplank",
            cwd=ROOT,
            stdout=output,
            stderr=output,
            env=inherited | {"EDGE_CONFIG": str(configuration)} | environment,
        )


def service_settings(instances: int, servers: int, hold_ms: float) -> dict[str, Any]:
    """Return the example's platform settings for a fleet of this size, with each server in its own pool."""
    pools = list(range(servers))
    settings: dict[str, Any] = example_configuration()["settings"]
    family = settings["family_info"] | {"skilled_pools": [pools, pools], "class_hold_ms": [hold_ms] * 2}
    return settings | {"instances": instances, "family_info": family}


def example_configuration() -> dict[str, Any]:
    """Return the configuration of ``examples/config.json``, for one proxy."""
    example: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
    return example


@contextlib.asynccontextmanager
async def fleet(folder: Path, servers: list[CallServer], instances: int) -> AsyncIterator[Fleet]:
    """Yield a started fleet and stop it at the end of the block."""
    started = Fleet(folder, servers, instances)
    await started.start()
    try:
        yield started
    finally:
        await started.stop()
