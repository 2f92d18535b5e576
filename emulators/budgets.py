"""Proxies that share budgets through a database, each over a network link that tests can interrupt."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import urlsplit

from emulators.callers import Callers
from emulators.fleet import Fleet, Proxy
from emulators.link import Link
from emulators.postgresql import PostgresqlEmulator

CONFIGURATION_TEMPLATE = """
backend = "{backend}"
path = "{path}"
dsn = "{dsn}"
proxies_most = {max_members}
lease_ms = {lease_ms}
renew_ms = {renew_ms}
request_ms = {renew_ms}
burst_ms = {burst_ms}
trace = true
[[budget]]
name = "all"
kind = "set-ups"
whole_per_s = {total_per_s}
kept_back = {reserve_fraction}
"""


@dataclass(frozen=True, slots=True)
class Plan:
    """A budget for the set-ups of the whole fleet, and the settings of its leases."""

    total_per_s: float = 80.0
    reserve_fraction: float = 0.2  # of the total, for proxies without a lease
    max_members: int = 32
    lease_ms: float = 1500.0
    renew_ms: float = 400.0
    burst_ms: float = 250.0


class BudgetFleet:
    """A fleet whose proxies share a budget in ``store``, or in an SQLite file where ``store`` is None."""

    def __init__(
        self, fleet: Fleet, plan: Plan, callers: Callers, store: PostgresqlEmulator | None = None
    ) -> None:
        self.fleet, self.plan, self.callers, self.store = fleet, plan, callers, store
        self.links: dict[str, Link] = {}
        self.proxies: dict[str, Proxy] = {}
        self._starts = 0

    async def start_proxy(self, name: str, **environment: str) -> Proxy:
        """Start a proxy and connect the callers to it.

        A second process of the same name replaces the first one in ``proxies``; the first one is not stopped.
        """
        self._starts += 1
        process_name = f"{name}.{self._starts}"
        path = self.fleet.folder / f"{process_name}.toml"
        path.write_text(await self._configuration(name))
        proxy = await self.fleet.proxy(
            process_name,
            self._starts,
            EDGE_NAME=name,
            CANVASPLANK_LOG="json",
            CANVASPLANK_FLEET=str(path),
            **environment,
        )
        self.proxies[name] = proxy
        await self.callers.add_proxy(proxy.address)
        return proxy

    async def stop_proxy(self, name: str, signal_number: signal.Signals) -> None:
        """Direct no new calls to a proxy, send it a signal and wait for its exit."""
        self.callers.drop_proxy(self.proxies[name].address)
        await self.proxies[name].stop(signal_number)

    async def start(self, names: list[str]) -> None:
        """Start proxies of these names concurrently."""
        await asyncio.gather(*(self.start_proxy(name) for name in names))

    async def _configuration(self, name: str) -> str:
        plan, dsn = self.plan, ""
        if self.store is not None:
            url = urlsplit(self.store.dsn)
            if name not in self.links:
                self.links[name] = Link(f"{url.hostname}:{url.port}")
                await self.links[name].start()
            dsn = url._replace(netloc=f"{url.username}@{self.links[name].address}").geturl()
        return CONFIGURATION_TEMPLATE.format(
            backend="sqlite" if self.store is None else "postgresql",
            dsn=dsn,
            path=self.fleet.folder / "fleet.db",
            max_members=plan.max_members,
            lease_ms=plan.lease_ms,
            renew_ms=plan.renew_ms,
            burst_ms=plan.burst_ms,
            total_per_s=plan.total_per_s,
            reserve_fraction=plan.reserve_fraction,
        )

    def logs(self) -> list[Path]:
        """Return the log files of all processes of the fleet, including those that have exited."""
        return [proxy.log for proxy in self.fleet.proxies]

    async def stop(self) -> None:
        """Stop the links. The fleet stops the proxies."""
        for link in self.links.values():
            await link.stop()
