"""The proxies of an experiment run: real processes, their settings files, and links that can be cut."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import tomli_w

from emulators.callers import Callers
from emulators.fleet import Fleet, Proxy
from emulators.front import until_passed
from emulators.link import Link
from emulators.postgresql import PostgresqlEmulator
from experiments.plan import Variant

PROXY_NICENESS = 10
HEALTH_TESTS_PER_S = 200.0  # of all proxies together: the loop that tests them also measures


class ProxyProcesses:
    """Starts, freezes, kills and disconnects the proxies of one run.

    ``names`` are all proxies of the run; those in ``behind_link`` find service discovery through a link that
    can be cut. Each proxy has a link of its own to the emulated store, where the variant uses one.
    """

    def __init__(
        self, fleet: Fleet, variant: Variant, callers: Callers, names: list[str], behind_link: set[str]
    ) -> None:
        self.names = names
        self.proxies: dict[str, Proxy] = {}  # those that run, by name
        self.discovery_link = Link(fleet.discovery.address)
        self.store: PostgresqlEmulator | None = None
        self._fleet, self._variant, self._callers = fleet, variant, callers
        self._behind_link = behind_link
        self._store_links: dict[str, Link] = {}  # from each proxy to the store
        self._start_count = 0
        # Hundreds of starting processes would keep this one from its clock, and what it notes would be late.
        fleet.nice = PROXY_NICENESS
        fleet.discovery_for = self._discovery_address

    def _discovery_address(self, name: str) -> str:
        return (self.discovery_link if name in self._behind_link else self._fleet.discovery).address

    async def start_surroundings(self) -> None:
        """Start the link to service discovery, and the emulated store where the variant has one."""
        await self.discovery_link.start()
        if (self._variant.fleet or {}).get("backend") == "postgresql":
            self.store = PostgresqlEmulator(self._fleet.folder)
            await self.store.start()

    async def stop_surroundings(self) -> None:
        """Stop the links and the store; the processes end with their fleet."""
        for link in (self.discovery_link, *self._store_links.values()):
            await link.stop()
        if self.store is not None:
            await self.store.stop()

    # ------------------------------------------------------------------------------------ processes

    async def start(self, name: str, on_listening: Callable[[], None]) -> None:
        """Start the proxy of this name and, once it passes a front's health test, send callers to it.

        ``on_listening`` is called as soon as it listens. A name has the number of its seed after its first
        letter. Each start has a configuration and a log of its own under the one name.
        """
        self._start_count += 1
        tag, environment = f"{name}.{self._start_count}", await self._extension_files(name)
        proxy = await self._fleet.proxy(tag, int(name[1:]), EDGE_NAME=name, **environment)
        self.proxies[name] = proxy
        on_listening()
        await until_passed(proxy.address, len(self.names) / HEALTH_TESTS_PER_S)
        await self._callers.add_proxy(proxy.address)

    async def kill(self, names: set[str]) -> None:
        """Send SIGKILL to those of these that run, and take them from the callers."""
        for proxy in [self.proxies.pop(name) for name in names & self.proxies.keys()]:
            if proxy.address in self._callers.proxies:
                self._callers.drop_proxy(proxy.address)
            await proxy.stop(signal.SIGKILL)

    def freeze(self, names: set[str]) -> None:
        """Stop the processes of these where they are (SIGSTOP)."""
        self._signal_each(names, Proxy.freeze)

    def wake(self, names: set[str]) -> None:
        """Let frozen ones go on (SIGCONT)."""
        self._signal_each(names, Proxy.wake)

    def _signal_each(self, names: set[str], send: Callable[[Proxy], None]) -> None:
        for name in names & self.proxies.keys():
            with contextlib.suppress(ProcessLookupError):
                send(self.proxies[name])

    # ------------------------------------------------------------------------------------ links to the store

    def cut_off_store(self, names: set[str], directions: tuple[str, ...]) -> None:
        """Hold back what goes between these and the store, in these directions of a ``Link``; empty: both."""
        for name in names & self._store_links.keys():
            self._store_links[name].cut(*directions)

    def reconnect_store(self, names: set[str]) -> None:
        """Let everything through again between these and the store."""
        for name in names & self._store_links.keys():
            self._store_links[name].heal()

    # ------------------------------------------------------------------------------------ settings

    async def _extension_files(self, name: str) -> dict[str, str]:
        """The environment of a proxy: a file for each extension that the variant switches on."""
        environment = {}
        if self._variant.cold_start is not None:
            environment["CANVASPLANK_STARTING"] = self._settings_file("starting", self._variant.cold_start)
        if self._variant.fleet is not None:
            settings = {**self._variant.fleet, **await self._store_settings(name)}
            environment["CANVASPLANK_FLEET"] = self._settings_file(f"fleet-{name}", settings)
            environment["CANVASPLANK_LOG"] = "json"
        return environment

    def _settings_file(self, name: str, settings: dict[str, Any]) -> str:
        """The path of a settings file, the same for every start of a run, so it is written once.

        A process that read it while it was written again for the next one found it empty, which switches the
        extension off: of 300 started at once 273 were not paced.
        """
        path: Path = self._fleet.folder / f"{name}.toml"
        if not path.exists():
            path.write_text(tomli_w.dumps(settings))
        return str(path)

    async def _store_settings(self, name: str) -> dict[str, str]:
        """Where a proxy finds the fleet's store: a SQLite file, or PostgreSQL behind its own link."""
        if self.store is None:
            return {"path": str(self._fleet.folder / "fleet.db")}
        dsn = urlsplit(self.store.dsn)
        if name not in self._store_links:
            self._store_links[name] = Link(f"{dsn.hostname}:{dsn.port}")
            await self._store_links[name].start()
        return {"dsn": dsn._replace(netloc=f"{dsn.username}@{self._store_links[name].address}").geturl()}
