"""The fleet's coordination as a part of the program."""

from __future__ import annotations

from canvasplank import interface as api
from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory
from canvasplank.fleet.config import Fleet, load_fleet
from canvasplank.fleet.lease_renewer import LeaseRenewer


def load(path: str) -> ExtensionFactory:
    """Read its file."""
    settings = load_fleet(path)
    return lambda context: FleetExtension(context, settings)


class FleetExtension(Extension):
    """Holds this proxy's shares, and has the module's gate ask them."""

    def __init__(self, context: ExtensionContext, settings: Fleet) -> None:
        configuration = context.configuration
        self._renewer = LeaseRenewer(
            settings, configuration.name, int(configuration.seed, 16), context.counters
        )
        context.controller.spend = self._spend
        context.fleet_size = lambda: len(self._renewer.failure_detector)
        context.fleet_fraction = self._renewer.set_up_fraction
        self._renewer.sees_discovery = lambda: context.discovery.last_received_ms is not None
        self._renewer.on_others_see_discovery = self._on_others_see_discovery
        self._context = context

    def _spend(self, call: api.Call, attempt: int, server_id: str, take: bool) -> float:
        return self._renewer.spend(call.tenant, attempt, server_id, take)

    def _on_others_see_discovery(self) -> None:
        self._context.scheduler.begin_iteration()
        self._context.discovery.on_others_see_discovery()

    async def start(self) -> None:
        """See ``Extension``; until there is a lease the proxy has its part of what is kept back."""
        self._renewer.start()

    def export_metrics(self) -> None:
        """See ``Extension``."""
        self._renewer.export_metrics()

    async def drain(self, within_s: float) -> None:
        """See ``Extension``."""
        await self._renewer.close(within_s)
