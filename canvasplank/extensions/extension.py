"""What an extension is: its life cycle, and what it may use of the program."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from canvasplank.config.configuration import Configuration
from canvasplank.config.discovery_events import DiscoveryEvent
from canvasplank.counters import Counters
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.discovery import Discovery
from canvasplank.network.servers import Servers
from canvasplank.policy import Controller
from canvasplank.runtime.scheduler import Scheduler


class ExtensionContext(Protocol):
    """What a part may use of the program that it is a part of."""

    configuration: Configuration
    scheduler: Scheduler
    counters: Counters
    exchange: Exchange
    servers: Servers
    discovery: Discovery
    controller: Controller
    fleet_size: Callable[[], int]  # proxies in the fleet as far as is known; 0: nobody counts them
    fleet_fraction: Callable[[], float | None]  # of all set-ups, this proxy's; None: nobody divides them


class Extension:
    """A part that does nothing: each says what it does of this."""

    async def start(self) -> None:
        """Before callers are let in, with the configuration's list already entered; must be bounded."""

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """The notice board has told something; the call servers have it already."""

    def is_ready(self) -> bool:
        """Whether callers may be sent here, as far as this part knows."""
        return True

    def on_configuration_reloaded(self) -> None:
        """The configuration was read again."""

    def export_metrics(self) -> None:
        """Bring the program's counters up to date, just before they are shown."""

    async def drain(self, within_s: float) -> None:
        """The program ends, everything is answered: bring what is under way to an end in this time."""


ExtensionFactory = Callable[[ExtensionContext], Extension]
