"""The extension that starts from a cached endpoint list and keeps the cache up to date."""

from __future__ import annotations

import logging

from canvasplank.config.discovery_events import DiscoveryEvent, apply_events
from canvasplank.config.platform_settings import read_settings
from canvasplank.endpoint_cache.bootstrap import BootstrapPlan, plan_bootstrap
from canvasplank.endpoint_cache.cache_file import read_cached_list
from canvasplank.endpoint_cache.config import EndpointCacheSettings, load_endpoint_cache_settings
from canvasplank.endpoint_cache.endpoint_list import EndpointList
from canvasplank.endpoint_cache.writer import EndpointListWriter
from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory

LOG = logging.getLogger(__name__)


def load(path: str) -> ExtensionFactory:
    """Return a factory of the extension with the settings in a file; raises ``ConfigurationError``."""
    settings = load_endpoint_cache_settings(path)
    return lambda context: EndpointCacheExtension(context, settings)


class EndpointCacheExtension(Extension):
    """Caches the endpoint list on disk, and starts from it if the configuration has no endpoints."""

    def __init__(self, context: ExtensionContext, settings: EndpointCacheSettings) -> None:
        self._context, self._settings = context, settings
        configured = apply_events(context.configuration.known.events)
        self._is_configured = bool(configured)
        self._writer = EndpointListWriter(
            settings.path,
            EndpointList(configured, context.scheduler.now_ms),
            context.scheduler,
            lambda: context.discovery.last_received_ms,
        )

    async def start(self) -> None:
        """See ``Extension``."""
        self._writer.start()
        if not self._is_configured and (plan := self._plan_bootstrap()) is not None:
            self._context.counters.add("membership.starts_from_disk")
            self._context.servers.update_endpoints(True, plan.endpoints)
            self._context.exchange.apply_hints(plan.hints)

    def _plan_bootstrap(self) -> BootstrapPlan | None:
        """Read the cached list, decide how to start from it, and log one line about it."""
        context, settings = self._context, self._settings
        if (cached := read_cached_list(settings.path)) is None:
            return None
        plan = plan_bootstrap(
            cached,
            context.scheduler.now_ms,
            read_settings(context.configuration.settings).instances,
            settings.max_fresh_age_ms,
            settings.max_age_ms,
            settings.initial_rate_per_s,
        )
        if plan is None:
            LOG.warning(
                "not using the cached endpoint list %s: too old, or no usable endpoint", settings.path
            )
            return None
        LOG.info(
            "starting from the cached endpoint list %s: %d servers, %.0f s old%s",
            settings.path,
            len(plan.endpoints),
            plan.age_ms / 1000,
            ", stale: slow start" if plan.stale else "",
        )
        return plan

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """See ``Extension``."""
        self._writer.on_discovery_event(event)

    async def drain(self, within_s: float) -> None:
        """See ``Extension``."""
        await self._writer.close()
