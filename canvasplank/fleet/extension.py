"""The fleet's coordination as a part of the program."""

from __future__ import annotations

from canvasplank import interface as api
from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory
from canvasplank.fleet.config import Fleet, load_fleet
from canvasplank.fleet.lease_renewer import Agent


def load(path: str) -> ExtensionFactory:
    """Read its file."""
    settings = load_fleet(path)
    return lambda context: FleetExtension(context, settings)


class FleetExtension(Extension):
    """Holds this proxy's shares, and has the module's gate ask them."""

    def __init__(self, context: ExtensionContext, settings: Fleet) -> None:
        configuration = context.configuration
        self._agent = Agent(settings, configuration.name, int(configuration.seed, 16), context.counters)
        context.controller.spend = self._spend
        context.fleet_size = lambda: len(self._agent.watch)
        context.fleet_fraction = self._agent.part_of_set_ups
        self._agent.hears = lambda: context.discovery.heard_ms is not None
        self._agent.others_hear = self._others_hear
        self._context = context

    def _spend(self, call: api.Call, attempt: int, server_id: str, take: bool) -> float:
        return self._agent.spend(call.tenant, attempt, server_id, take)

    def _others_hear(self) -> None:
        self._context.scheduler.begin_iteration()
        self._context.discovery.heard_by_others()

    async def start(self) -> None:
        """See ``Extension``; until there is a lease the proxy has its part of what is kept back."""
        self._agent.start()

    def export_metrics(self) -> None:
        """See ``Extension``."""
        self._agent.count()

    async def drain(self, within_s: float) -> None:
        """See ``Extension``."""
        await self._agent.close(within_s)
