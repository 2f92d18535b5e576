"""The fleet's coordination as a part of the program."""

from __future__ import annotations

from canvasplank import interface as api
from canvasplank.extensions.extension import Host, Part, PartFactory
from canvasplank.fleet.config import Fleet, load_fleet
from canvasplank.fleet.lease_renewer import Agent


def load(path: str) -> PartFactory:
    """Read its file."""
    settings = load_fleet(path)
    return lambda host: FleetPart(host, settings)


class FleetPart(Part):
    """Holds this proxy's shares, and has the module's gate ask them."""

    def __init__(self, host: Host, settings: Fleet) -> None:
        configuration = host.configuration
        self._agent = Agent(settings, configuration.name, int(configuration.seed, 16), host.counters)
        host.controller.spend = self._spend
        host.count_fleet = lambda: len(self._agent.watch)
        host.part_of_fleet = self._agent.part_of_set_ups
        self._agent.hears = lambda: host.discovery.heard_ms is not None
        self._agent.others_hear = self._others_hear
        self._host = host

    def _spend(self, call: api.Call, attempt: int, server_id: str, take: bool) -> float:
        return self._agent.spend(call.tenant, attempt, server_id, take)

    def _others_hear(self) -> None:
        self._host.scheduler.begin_iteration()
        self._host.discovery.heard_by_others()

    async def start(self) -> None:
        """See ``Part``; until there is a lease the proxy has its part of what is kept back."""
        self._agent.start()

    def count(self) -> None:
        """See ``Part``."""
        self._agent.count()

    async def drain(self, within_s: float) -> None:
        """See ``Part``."""
        await self._agent.close(within_s)
