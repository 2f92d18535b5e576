"""The extension that connects the fleet's coordination to the proxy."""

from __future__ import annotations

from canvasplank import interface as api
from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory
from canvasplank.fleet.config import FleetSettings, load_fleet_settings
from canvasplank.fleet.lease_renewer import LeaseRenewer


def load(path: str) -> ExtensionFactory:
    """Return a factory of the extension with the settings in the file; see ``load_fleet_settings``."""
    settings = load_fleet_settings(path)
    return lambda context: FleetExtension(context, settings)


class FleetExtension(Extension):
    """Renews this proxy's leases and tells the controller how long budgets delay a set-up."""

    def __init__(self, context: ExtensionContext, settings: FleetSettings) -> None:
        configuration = context.configuration
        self._renewer = LeaseRenewer(
            settings,
            configuration.name,
            int(configuration.seed, 16),
            context.counters,
            sees_discovery=lambda: context.discovery.last_received_ms is not None,
            on_others_see_discovery=self._on_others_see_discovery,
        )
        context.set_fleet_view(self)
        self._context = context

    def size(self) -> int:
        """See ``FleetView``."""
        return len(self._renewer.failure_detector)

    def set_up_fraction(self) -> float | None:
        """See ``FleetView``."""
        return self._renewer.set_up_fraction()

    def budget_delay(self, call: api.Call, attempt: int, server_id: str, take: bool) -> float:
        """See ``FleetView``."""
        return self._renewer.spend(call.tenant, attempt, server_id, take)

    def _on_others_see_discovery(self) -> None:
        self._context.scheduler.begin_iteration()
        self._context.discovery.on_others_see_discovery()

    async def start(self) -> None:
        """See ``Extension``; until its first lease the proxy has only its unleased quota."""
        self._renewer.start()

    def export_metrics(self) -> None:
        """See ``Extension``."""
        self._renewer.export_metrics()

    async def drain(self, within_s: float) -> None:
        """See ``Extension``."""
        await self._renewer.close(within_s)
