"""The life cycle of extensions, and the interface of the program that they use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from canvasplank import interface as api
from canvasplank.config.configuration import Configuration
from canvasplank.config.discovery_events import DiscoveryEvent
from canvasplank.counters import Counters
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.discovery import Discovery
from canvasplank.network.servers import Servers
from canvasplank.policy import Controller
from canvasplank.runtime.scheduler import Scheduler


class FleetView(Protocol):
    """This proxy's knowledge of its fleet, and its part of the fleet-wide budgets."""

    def size(self) -> int:
        """Return the number of proxies known to be in the fleet."""

    def set_up_fraction(self) -> float | None:
        """Return this proxy's fraction of the budget of all set-ups; None if there is no such budget."""

    def budget_delay(self, call: api.Call, attempt: int, server_id: str, take: bool) -> float:
        """Return the milliseconds until the fleet's budgets admit an attempt (``api.BudgetDelay``)."""


class ExtensionContext(Protocol):
    """The interface of the program that extensions may use."""

    configuration: Configuration
    scheduler: Scheduler
    counters: Counters
    exchange: Exchange
    servers: Servers
    discovery: Discovery
    controller: Controller

    def set_fleet_view(self, fleet_view: FleetView) -> None:
        """Set the source of knowledge about the fleet for the program and its other extensions."""

    def fleet_size(self) -> int:
        """Return the number of proxies known to be in the fleet; 0 if no extension knows the fleet."""

    def fleet_set_up_fraction(self) -> float | None:
        """See ``FleetView.set_up_fraction``; None also if no extension knows the fleet."""


class Extension:
    """The base class of extensions, which override the methods of the life cycle that they need."""

    async def start(self) -> None:
        """Start after the configured endpoints are set and before callers connect; must take bounded time."""

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """Handle an event from service discovery, after the table of call servers has been updated."""

    def is_ready(self) -> bool:
        """Return whether callers may be sent to this proxy, as far as this extension knows."""
        return True

    def on_configuration_reloaded(self) -> None:
        """Handle a reload of the configuration."""

    def export_metrics(self) -> None:
        """Update the program's counters; called before they are printed."""

    async def drain(self, within_s: float) -> None:
        """Finish work in progress within ``within_s`` seconds, at shutdown after every call is answered."""


ExtensionFactory = Callable[[ExtensionContext], Extension]
