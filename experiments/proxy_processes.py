"""The proxy processes of an experiment run, their settings files, and their links, which can be cut."""

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
from emulators.front import wait_until_healthy
from emulators.link import Link
from emulators.postgresql import PostgresqlEmulator
from experiments.plan import Variant

PROXY_NICENESS = 10
HEALTH_TESTS_PER_S = 200.0  # for all proxies together: the event loop that runs the tests also measures


class ProxyProcesses:
    """Starts, freezes, kills and disconnects the proxies of one run.

    ``names`` are all proxies of the run; those in ``behind_link`` reach service discovery through a link that
    can be cut. If the variant uses the emulated store, each proxy has its own link to it.
    """

    def __init__(
        self, fleet: Fleet, variant: Variant, callers: Callers, names: list[str], behind_link: set[str]
    ) -> None:
        self.names = names
        self.proxies: dict[str, Proxy] = {}  # the running ones, by name
        self.discovery_link = Link(fleet.discovery.address)
        self.store: PostgresqlEmulator | None = None
        self._fleet, self._variant, self._callers = fleet, variant, callers
        self._behind_link = behind_link
        self._store_links: dict[str, Link] = {}  # to the store, by proxy
        self._start_count = 0
        # At equal priority, hundreds of starting processes delay this one, and its recorded times are late.
        fleet.nice = PROXY_NICENESS
        fleet.discovery_for = self._discovery_address

    def _discovery_address(self, name: str) -> str:
        return (self.discovery_link if name in self._behind_link else self._fleet.discovery).address

    async def start_environment(self) -> None:
        """Start the link to service discovery and, if the variant uses it, the emulated store."""
        await self.discovery_link.start()
        if (self._variant.fleet or {}).get("backend") == "postgresql":
            self.store = PostgresqlEmulator(self._fleet.folder)
            await self.store.start()

    async def stop_environment(self) -> None:
        """Stop the links and the store; the proxies are stopped by their fleet."""
        for link in (self.discovery_link, *self._store_links.values()):
            await link.stop()
        if self.store is not None:
            await self.store.stop()

    # ------------------------------------------------------------------------------------ processes

    async def start(self, name: str, on_listening: Callable[[], None]) -> None:
        """Start a proxy and connect the callers to it once it passes the front's health test.

        ``on_listening`` is called as soon as the proxy listens. The proxy's seed is the number in its name,
        after the first letter. Each start of a name has its own configuration and log.
        """
        self._start_count += 1
        tag, environment = f"{name}.{self._start_count}", await self._extension_files(name)
        proxy = await self._fleet.proxy(tag, int(name[1:]), EDGE_NAME=name, **environment)
        self.proxies[name] = proxy
        on_listening()
        await wait_until_healthy(proxy.address, len(self.names) / HEALTH_TESTS_PER_S)
        await self._callers.add_proxy(proxy.address)

    async def kill(self, names: set[str]) -> None:
        """Send SIGKILL to the running proxies among these, and stop sending new calls to them."""
        for proxy in [self.proxies.pop(name) for name in names & self.proxies.keys()]:
            if proxy.address in self._callers.proxies:
                self._callers.drop_proxy(proxy.address)
            await proxy.stop(signal.SIGKILL)

    def freeze(self, names: set[str]) -> None:
        """Suspend the running proxies among these with SIGSTOP."""
        self._signal_each(names, Proxy.freeze)

    def unfreeze(self, names: set[str]) -> None:
        """Resume the running proxies among these with SIGCONT."""
        self._signal_each(names, Proxy.unfreeze)

    def _signal_each(self, names: set[str], send: Callable[[Proxy], None]) -> None:
        for name in names & self.proxies.keys():
            with contextlib.suppress(ProcessLookupError):
                send(self.proxies[name])

    # ------------------------------------------------------------------------------------ links to the store

    def cut_off_store(self, names: set[str], directions: tuple[str, ...]) -> None:
        """Hold back data between these proxies and the store, in these ``Link`` directions; empty: both."""
        for name in names & self._store_links.keys():
            self._store_links[name].cut(*directions)

    def reconnect_store(self, names: set[str]) -> None:
        """Pass data between these proxies and the store again, the held-back data first."""
        for name in names & self._store_links.keys():
            self._store_links[name].heal()

    # ------------------------------------------------------------------------------------ settings

    async def _extension_files(self, name: str) -> dict[str, str]:
        """Return a proxy's environment: the path of a settings file for each extension that is enabled."""
        environment = {}
        if self._variant.cold_start is not None:
            environment["CANVASPLANK_STARTING"] = self._settings_file("starting", self._variant.cold_start)
        if self._variant.fleet is not None:
            settings = {**self._variant.fleet, **await self._store_location(name)}
            environment["CANVASPLANK_FLEET"] = self._settings_file(f"fleet-{name}", settings)
            environment["CANVASPLANK_LOG"] = "json"
        return environment

    def _settings_file(self, name: str, settings: dict[str, Any]) -> str:
        """Return the path of a settings file, written once for all starts of a run.

        A process that reads the file while it is being rewritten finds it empty, which disables the
        extension: 273 of 300 processes started at once ran without pacing.
        """
        path: Path = self._fleet.folder / f"{name}.toml"
        if not path.exists():
            path.write_text(tomli_w.dumps(settings))
        return str(path)

    async def _store_location(self, name: str) -> dict[str, str]:
        """Return the location of the fleet's store: a SQLite file, or PostgreSQL behind the proxy's link."""
        if self.store is None:
            return {"path": str(self._fleet.folder / "fleet.db")}
        dsn = urlsplit(self.store.dsn)
        if name not in self._store_links:
            self._store_links[name] = Link(f"{dsn.hostname}:{dsn.port}")
            await self._store_links[name].start()
        return {"dsn": dsn._replace(netloc=f"{dsn.username}@{self._store_links[name].address}").geturl()}
