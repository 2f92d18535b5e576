"""The kept list as a part of the program: a start from it, and its upkeep."""

from __future__ import annotations

import logging

from canvasplank.config.discovery_events import DiscoveryEvent, endpoints_after
from canvasplank.config.platform_settings import read_settings
from canvasplank.endpoint_cache.bootstrap import plan_bootstrap
from canvasplank.endpoint_cache.cache_file import read_cached_list
from canvasplank.endpoint_cache.config import EndpointCacheSettings, load_endpoint_cache_settings
from canvasplank.endpoint_cache.endpoint_list import EndpointList
from canvasplank.endpoint_cache.writer import EndpointListWriter
from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory

LOG = logging.getLogger(__name__)


def load(path: str) -> ExtensionFactory:
    """Read its file."""
    settings = load_endpoint_cache_settings(path)
    return lambda context: EndpointCacheExtension(context, settings)


class EndpointCacheExtension(Extension):
    """Keeps the list on disk, and starts from what lies there where nobody else has told one."""

    def __init__(self, context: ExtensionContext, settings: EndpointCacheSettings) -> None:
        self._context, self._settings = context, settings
        self._configured = endpoints_after(context.configuration.known.events)
        self._writer = EndpointListWriter(
            settings.path,
            EndpointList(self._configured, context.scheduler.now_ms),
            context.scheduler,
            lambda: context.discovery.last_received_ms,
        )

    async def start(self) -> None:
        """See ``Extension``."""
        context, settings = self._context, self._settings
        self._writer.start()
        if self._configured or (cached := read_cached_list(settings.path)) is None:
            return
        proxies = read_settings(context.configuration.settings).instances
        plan = plan_bootstrap(
            cached,
            context.scheduler.now_ms,
            proxies,
            settings.max_fresh_age_ms,
            settings.max_age_ms,
            settings.initial_rate_per_s,
        )
        if plan is None:
            LOG.warning("no list of servers taken from %s: too old, or names nobody", settings.path)
            return
        LOG.info(
            "starting from the list kept at %s: %d servers, %.0f s old%s",
            settings.path,
            len(plan.endpoints),
            plan.age_ms / 1000,
            ", with care" if plan.stale else "",
        )
        context.counters.add("membership.starts_from_disk")
        context.servers.listed(True, plan.endpoints)
        context.exchange.apply_hints(plan.hints)

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """See ``Extension``."""
        self._writer.on_discovery_event(event)

    async def drain(self, within_s: float) -> None:
        """See ``Extension``."""
        await self._writer.close()
