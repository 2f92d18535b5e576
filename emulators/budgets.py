"""Proxies that share budgets over a store, with a link of its own between each proxy and the store."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import urlsplit

from emulators.callers import Callers
from emulators.fleet import Fleet, Proxy
from emulators.link import Link
from emulators.postgresql import PostgresqlStandIn

FILE = """
backend = "{backend}"
path = "{path}"
dsn = "{dsn}"
proxies_most = {most}
lease_ms = {lease_ms}
renew_ms = {renew_ms}
request_ms = {renew_ms}
burst_ms = {burst_ms}
trace = true
[[budget]]
name = "all"
kind = "set-ups"
whole_per_s = {whole_per_s}
kept_back = {kept_back}
"""


@dataclass(frozen=True, slots=True)
class Plan:
    """One budget for all set-ups, and the figures of its leases."""

    whole_per_s: float = 80.0
    kept_back: float = 0.2
    most: int = 32
    lease_ms: float = 1500.0
    renew_ms: float = 400.0
    burst_ms: float = 250.0


class BudgetFleet:
    """A fleet whose proxies share a budget; on SQLite where there is no PostgreSQL."""

    def __init__(
        self, fleet: Fleet, plan: Plan, callers: Callers, store: PostgresqlStandIn | None = None
    ) -> None:
        self.fleet, self.plan, self.callers, self.store = fleet, plan, callers, store
        self.links: dict[str, Link] = {}
        self.proxies: dict[str, Proxy] = {}
        self._starts = 0

    async def proxy(self, name: str, **environment: str) -> Proxy:
        """Start one, under a name that may be used already; its newest start is the one kept."""
        self._starts += 1
        tag = f"{name}.{self._starts}"
        path = self.fleet.folder / f"{tag}.toml"
        path.write_text(await self._file(name))
        proxy = await self.fleet.proxy(
            tag,
            self._starts,
            EDGE_NAME=name,
            CANVASPLANK_LOG="json",
            CANVASPLANK_FLEET=str(path),
            **environment,
        )
        self.proxies[name] = proxy
        await self.callers.add_proxy(proxy.address)
        return proxy

    async def end(self, name: str, how: signal.Signals) -> None:
        """Signal one and wait for its end; nobody calls it any more."""
        self.callers.drop_proxy(self.proxies[name].address)
        await self.proxies[name].stop(how)

    async def start(self, names: list[str]) -> None:
        """Start these, all at once."""
        await asyncio.gather(*(self.proxy(name) for name in names))

    async def _file(self, name: str) -> str:
        plan, dsn = self.plan, ""
        if self.store is not None:
            where = urlsplit(self.store.dsn)
            if name not in self.links:
                self.links[name] = Link(f"{where.hostname}:{where.port}")
                await self.links[name].start()
            dsn = where._replace(netloc=f"{where.username}@{self.links[name].address}").geturl()
        return FILE.format(
            backend="sqlite" if self.store is None else "postgresql",
            dsn=dsn,
            path=self.fleet.folder / "fleet.db",
            most=plan.most,
            lease_ms=plan.lease_ms,
            renew_ms=plan.renew_ms,
            burst_ms=plan.burst_ms,
            whole_per_s=plan.whole_per_s,
            kept_back=plan.kept_back,
        )

    def logs(self) -> list[Path]:
        """What every process that ever ran has said."""
        return [proxy.log for proxy in self.fleet.proxies]

    async def stop(self) -> None:
        """End the links; the fleet ends its own."""
        for link in self.links.values():
            await link.stop()
