"""The kept list as a part of the program: a start from it, and its upkeep."""

from __future__ import annotations

import logging

from canvasplank.config.discovery_events import DiscoveryEvent, endpoints_after
from canvasplank.config.platform_settings import read_settings
from canvasplank.endpoint_cache.bootstrap import judge
from canvasplank.endpoint_cache.cache_file import read
from canvasplank.endpoint_cache.config import Membership, load_membership
from canvasplank.endpoint_cache.endpoint_list import Roster
from canvasplank.endpoint_cache.writer import Keeper
from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory

LOG = logging.getLogger(__name__)


def load(path: str) -> ExtensionFactory:
    """Read its file."""
    settings = load_membership(path)
    return lambda context: EndpointCacheExtension(context, settings)


class EndpointCacheExtension(Extension):
    """Keeps the list on disk, and starts from what lies there where nobody else has told one."""

    def __init__(self, context: ExtensionContext, settings: Membership) -> None:
        self._context, self._settings = context, settings
        self._known = endpoints_after(context.configuration.known.events)
        self._keeper = Keeper(
            settings.path,
            Roster(self._known, context.scheduler.now_ms),
            context.scheduler,
            lambda: context.discovery.last_received_ms,
        )

    async def start(self) -> None:
        """See ``Extension``."""
        context, settings = self._context, self._settings
        self._keeper.start()
        if self._known or (kept := read(settings.path)) is None:
            return
        gateways = read_settings(context.configuration.settings).instances
        start = judge(
            kept,
            context.scheduler.now_ms,
            gateways,
            settings.trusted_ms,
            settings.most_age_ms,
            settings.start_per_s,
        )
        if start is None:
            LOG.warning("no list of servers taken from %s: too old, or names nobody", settings.path)
            return
        LOG.info(
            "starting from the list kept at %s: %d servers, %.0f s old%s",
            settings.path,
            len(start.instances),
            start.age_ms / 1000,
            ", with care" if start.careful else "",
        )
        context.counters.add("membership.starts_from_disk")
        context.servers.listed(True, start.instances)
        context.exchange.apply_hints(start.hints)

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """See ``Extension``."""
        self._keeper.told(event)

    async def drain(self, within_s: float) -> None:
        """See ``Extension``."""
        await self._keeper.close()
