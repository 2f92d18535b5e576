"""What an extension is: its life cycle, and what it may use of the program."""

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
    """What this proxy knows of its fleet, and may use of what the fleet shares."""

    def size(self) -> int:
        """Proxies in the fleet, as far as is known."""

    def set_up_fraction(self) -> float | None:
        """Of all set-ups that the fleet may send, those that this proxy may; None: no budget divides them."""

    def budget_delay(self, call: api.Call, attempt: int, server_id: str, take: bool) -> float:
        """How long until an attempt may go by the fleet's budgets, in milliseconds (``api.BudgetDelay``)."""


class ExtensionContext(Protocol):
    """What an extension may use of the program."""

    configuration: Configuration
    scheduler: Scheduler
    counters: Counters
    exchange: Exchange
    servers: Servers
    discovery: Discovery
    controller: Controller

    def use_fleet_view(self, fleet_view: FleetView) -> None:
        """Have the program, and its other extensions, ask this of the fleet."""

    def fleet_size(self) -> int:
        """Proxies in the fleet, as far as is known; 0: nothing counts them."""

    def fleet_set_up_fraction(self) -> float | None:
        """See ``FleetView``; None as well where no extension knows the fleet."""


class Extension:
    """An extension that does nothing: each overrides the steps of the life cycle that it needs."""

    async def start(self) -> None:
        """Runs before callers are let in, after the configuration's endpoints; must take a bounded time."""

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """Service discovery has sent an event, which the call servers have already."""

    def is_ready(self) -> bool:
        """Whether callers may be sent here, as far as this extension knows."""
        return True

    def on_configuration_reloaded(self) -> None:
        """The configuration was read again."""

    def export_metrics(self) -> None:
        """Bring the program's counters up to date; called just before they are printed."""

    async def drain(self, within_s: float) -> None:
        """The program ends and has answered every call: finish what is under way within this time."""


ExtensionFactory = Callable[[ExtensionContext], Extension]
