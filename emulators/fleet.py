"""A fleet of proxies, started as in service, beside emulators of call servers and service discovery."""

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
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

from emulators.discovery import Discovery
from emulators.server import CallServer

ROOT = Path(__file__).parent.parent
LOG_TIMEOUT_S = 40.0  # for a line in a log
POLL_INTERVAL_S, POLL_INTERVAL_MAX_S = 0.02, 0.4
# Below the ports that Linux gives to connections and to sockets that are bound to none.
PORTS = range(20_000, 32_000)


class PortReservations:
    """Ports that are taken on this machine by the processes that reserve them here, each until it ends.

    A reservation is a record lock on the byte of that number in a file which all these processes share.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._ports: set[int] = set()
        self._file: IO[bytes] | None = None  # stays open: closing it would drop all locks of this process

    def reserve(self, port: int) -> bool:
        """Reserve a port; False: this process or another has it."""
        if port in self._ports:
            return False
        if self._file is None:
            self._file = self._path.open("ab")
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except (BlockingIOError, PermissionError):  # either, by POSIX, where another process has it
            return False
        self._ports.add(port)
        return True


_RESERVATIONS = PortReservations(Path(tempfile.gettempdir()) / f"canvasplank-ports-{os.getuid()}")
_RANDOM = random.SystemRandom()  # takes nothing from the sequence of a seed


def free_port() -> int:
    """A free port that no process of this user has been given here before, but those that have ended.

    Listeners share their ports (``SO_REUSEPORT``): were one returned twice before its first owner
    listens, two of hundreds that start at once would divide the callers of both.  Nor does the kernel give it
    to anybody before then.
    """
    while True:
        port = _RANDOM.choice(PORTS)
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
    """One process of the program; ``address`` is that of its callers."""

    name: str
    address: str
    process: asyncio.subprocess.Process
    log: Path

    def text(self) -> str:
        """The text of its log so far."""
        return self.log.read_text()

    async def prints(self, words: str) -> None:
        """Wait until its log contains this; ``AssertionError`` when it exits, ``TimeoutError`` when late.

        The interval between reads grows: hundreds of starting proxies would mean 15,000 reads a second.
        """
        interval_s = POLL_INTERVAL_S
        async with asyncio.timeout(LOG_TIMEOUT_S):
            while words not in self.text():
                if self.process.returncode is not None:
                    raise AssertionError(f"ended with {self.process.returncode}: {self.text()}")
                await asyncio.sleep(interval_s)
                interval_s = min(POLL_INTERVAL_MAX_S, 1.3 * interval_s)

    def freeze(self) -> None:
        """Stop it where it is (SIGSTOP)."""
        self.process.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Let it go on (SIGCONT)."""
        self.process.send_signal(signal.SIGCONT)

    async def stop(self, how: signal.Signals = signal.SIGTERM) -> int:
        """Send this signal and wait for its end; return its exit code."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(how)
        return await self.process.wait()


class Fleet:
    """Call servers, service discovery, and the proxies that were started.

    ``in_configuration``, ``nice`` and ``discovery_for`` are set before the proxies they are for are started.
    """

    def __init__(self, folder: Path, servers: list[CallServer], instances: int) -> None:
        self.folder, self.servers, self.instances = folder, servers, instances
        self.discovery = Discovery()
        self.in_configuration = True  # whether a proxy's configuration names the servers
        self.nice = 0  # of the proxies; above 0, this process has priority
        self.discovery_for: Callable[[str], str] = lambda _: (
            self.discovery.address
        )  # by a proxy's name, its address of service discovery
        self.proxies: list[Proxy] = []

    async def start(self) -> None:
        """Start the servers and service discovery, and list the servers; proxies are started by ``proxy``."""
        for server in self.servers:
            await server.start()
        await self.discovery.start()
        await self.list(*self.servers)

    async def list(self, *servers: CallServer) -> None:
        """Publish these call servers as the list; each has a pool of its own."""
        entries = [
            {
                "instanceId": server.name,
                "hostPort": server.address,
                "zone": "here",
                "machineType": "std",
                "cell": cell,
                "lifecycle": "ready",
                "weight": 1,
                "startedAtMs": server.started_ms,
            }
            for cell, server in enumerate(servers)
        ]
        await self.discovery.tell({"generation": 1, "reset": True, "instances": entries})

    @property
    def settings(self) -> dict[str, Any]:
        """The platform settings of every proxy."""
        hold_ms = [server.hold_ms for server in self.servers]
        return service_settings(self.instances, len(hold_ms), sum(hold_ms) / len(hold_ms))

    def _configuration(self, name: str, address: str, seed: int) -> dict[str, Any]:
        known = self.discovery.known() if self.in_configuration else {"rev": 0, "notices": []}
        return example_configuration() | {
            "name": name,
            "listen": address,
            "seed": f"{seed:016x}",
            "board": self.discovery_for(name),
            "settings": self.settings,
            "known": known,
        }

    async def proxy(self, name: str, seed: int, **environment: str) -> Proxy:
        """Start a proxy, with ``environment`` beside its configuration, and wait until it listens."""
        address = f"127.0.0.1:{free_port()}"
        path, log = self.folder / f"{name}.json", self.folder / f"{name}.log"
        path.write_text(json.dumps(self._configuration(name, address, seed)))
        process = await start_program(path, log, **environment)
        if self.nice:
            os.setpriority(os.PRIO_PROCESS, process.pid, self.nice)
        proxy = Proxy(name, address, process, log)
        self.proxies.append(proxy)
        await proxy.prints(" listens on ")
        return proxy

    async def stop(self) -> None:
        """Kill the proxies, and stop the emulators."""
        for proxy in self.proxies:
            if proxy.process.returncode is None:
                await proxy.stop(signal.SIGKILL)
        await self.discovery.stop()
        for server in self.servers:
            await server.stop()


async def start_program(configuration: Path, log: Path, **environment: str) -> asyncio.subprocess.Process:
    """Start the program by this configuration, with its output in ``log``.

    Of this process's environment it gets all but the program's own variables, and ``environment`` beside it.
    """
    inherited = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "CANVASPLANK_"))}
    with log.open("wb") as out:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "canvasplank",
            cwd=ROOT,
            stdout=out,
            stderr=out,
            env=inherited | {"EDGE_CONFIG": str(configuration)} | environment,
        )


def service_settings(instances: int, servers: int, hold_ms: float) -> dict[str, Any]:
    """The platform settings of the example for a fleet of this size, each server in a pool of its own."""
    pools = list(range(servers))
    settings: dict[str, Any] = example_configuration()["settings"]
    family = settings["family_info"] | {"skilled_pools": [pools, pools], "class_hold_ms": [hold_ms] * 2}
    return settings | {"instances": instances, "family_info": family}


def example_configuration() -> dict[str, Any]:
    """The configuration of the example, for one proxy."""
    example: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
    return example


@contextlib.asynccontextmanager
async def fleet(folder: Path, servers: list[CallServer], instances: int) -> AsyncIterator[Fleet]:
    """A started fleet, that is stopped at the end of the block."""
    started = Fleet(folder, servers, instances)
    await started.start()
    try:
        yield started
    finally:
        await started.stop()
