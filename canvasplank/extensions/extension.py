"""Parts of the program that files of their own switch on: one life cycle, one table.

A part is named by an environment variable that holds the path of its file.  One that is off is not even
imported: off, it costs nothing.  ``__main__`` runs whatever is on and knows none of them.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from canvasplank.config.settings import Configuration, DiscoveryEvent
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


class ExtensionEntry(NamedTuple):
    """One kind of part: the variable that names its file, and the module whose ``load`` reads that."""

    variable: str
    module: str


# In the order of their starts: the kept list before whoever asks what servers there are.
REGISTRY = (
    ExtensionEntry("CANVASPLANK_MEMBERSHIP", "canvasplank.endpoint_cache.extension"),
    ExtensionEntry("CANVASPLANK_STORE", "canvasplank.store.extension"),
    ExtensionEntry("CANVASPLANK_STARTING", "canvasplank.cold_start.extension"),
    ExtensionEntry("CANVASPLANK_FLEET", "canvasplank.fleet.extension"),
    ExtensionEntry("CANVASPLANK_LEARNING", "canvasplank.warm_start.extension"),
)


def load_enabled_extensions(environment: Mapping[str, str]) -> list[ExtensionFactory]:
    """What the environment names files for, its files read; a bad one is a ``ConfigurationError``."""
    return [
        importlib.import_module(entry.module).load(path)
        for entry in REGISTRY
        if (path := environment.get(entry.variable))
    ]
