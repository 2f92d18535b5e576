"""The cold start extension: poll backoff, a rendezvous subset, and slow start at the call servers."""

from __future__ import annotations

import random
from dataclasses import replace

from canvasplank import interface as api
from canvasplank.cold_start.config import ColdStartSettings, load_cold_start_settings
from canvasplank.cold_start.poll_backoff import MS_PER_S, PollBackoff
from canvasplank.cold_start.rendezvous_subset import RendezvousSubset
from canvasplank.config.discovery_events import Endpoint
from canvasplank.config.platform_settings import read_settings
from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory

CHECK_INTERVAL_MS = 1000.0  # between checks for servers to release and for a change of the fleet's size
# The endpoint list is filtered again once the fleet's size has changed by more than this fraction.
FLEET_SIZE_CHANGE_FRACTION = 0.1
PREDECESSOR_CALLS_MS = 3_600_000.0  # calls of the process before this one are expected to last no longer


def load(path: str) -> ExtensionFactory:
    """Return a factory of the extension with the settings in the file; raises ``ConfigurationError``."""
    settings = load_cold_start_settings(path)
    return lambda context: ColdStartExtension(context, settings)


class ColdStartExtension(Extension):
    """Installs a ``PollBackoff`` in service discovery, and itself as the servers' ``EndpointFilter``."""

    def __init__(self, context: ExtensionContext, settings: ColdStartSettings) -> None:
        self._context, self._settings = context, settings
        configured = read_settings(context.configuration.settings)
        self._configured_fleet_size = configured.instances
        self._created_ms = context.scheduler.now_ms
        self._rng = random.Random(int(context.configuration.seed, 16))
        groups = (None if c.pools is None else frozenset(c.pools) for c in configured.classes)
        self._subset = RendezvousSubset(
            context.configuration.name,
            groups,
            settings.servers_per_proxy,
            self._has_calls,
            lambda: settings.proxies_per_server / self._fleet_size(),
        )
        # The fleet's size by which ``annotate`` tells the controller how many proxies share a server.
        self._announced_fleet_size = 0
        if (polls_per_s := settings.polls_per_s) > 0:
            first_per_s = settings.first_per_s or polls_per_s
            context.discovery.use_poll_backoff(
                PollBackoff(self._fleet_size, polls_per_s, first_per_s, self._rng)
            )
        context.servers.use_endpoint_filter(self)

    async def start(self) -> None:
        """See ``Extension``."""
        if self._settings.servers_per_proxy:
            self._check_subset()

    def is_ready(self) -> bool:
        """See ``Extension``; a proxy without an endpoint list could only reject its callers."""
        return not self._settings.ready_with_list or bool(self._context.servers.processes())

    def export_metrics(self) -> None:
        """See ``Extension``."""
        self._context.counters.set("starting.servers_kept", len(self._context.servers.processes()))

    # ------------------------------------------------------------------------------- EndpointFilter

    def select(self, complete: bool, instances: list[Endpoint]) -> list[Endpoint]:
        """See ``EndpointFilter``."""
        self._announced_fleet_size = self._fleet_size()
        return self._subset.select(complete, instances)

    def annotate(self, server: api.Server) -> api.Server:
        """See ``EndpointFilter``; adds the number of proxies that share the server, and the initial rate."""
        senders = self._subset.senders(server.pool, self._announced_fleet_size)
        if not (fleet_rate_per_s := self._settings.initial_rate_per_s):
            return replace(server, senders=senders)
        rate_per_s = fleet_rate_per_s * self._fleet_fraction(senders)
        return replace(server, senders=senders, initial_rate_per_s=rate_per_s)

    def _fleet_fraction(self, senders: int | None) -> float:
        """Return this proxy's fraction of the fleet's set-ups at a server that ``senders`` proxies share.

        A lease of a set-ups budget is a fraction of the fleet's set-ups at all servers.  This proxy uses it
        at fewer servers, so its fraction at each of them is larger.
        """
        leased = self._context.fleet_set_up_fraction()
        if leased is None:
            return 1.0 / (senders or self._announced_fleet_size)
        return min(1.0, leased * self._subset.ready_per_selected())

    def initial_delay_ms(self) -> float:
        """See ``EndpointFilter``; uniformly random, so that the fleet connects at ``connections_per_s``."""
        if not (per_s := self._settings.connections_per_s):
            return 0.0
        return self._rng.uniform(0.0, MS_PER_S * self._fleet_size() / per_s)

    def is_still_listed(self, server_id: str) -> bool:
        """See ``EndpointFilter``."""
        return self._subset.is_listed(server_id)

    # ------------------------------------------------------------------------------------

    def _has_calls(self, server_id: str) -> bool:
        """Return whether the server may have a call of this proxy, or may not have received one's release.

        The calls of the process before this one are unknown, so that they are assumed at inherited servers.
        """
        return (
            self._context.exchange.has_calls_at(server_id)
            or self._context.servers.has_unsettled_releases(server_id)
            or (self._subset.is_inherited(server_id) and self._predecessor_may_have_calls())
        )

    def _predecessor_may_have_calls(self) -> bool:
        return self._context.scheduler.now_ms - self._created_ms < PREDECESSOR_CALLS_MS

    def _fleet_size(self) -> int:
        """Return the number of proxies in the fleet, or the configured one if the fleet's is unknown."""
        return max(1, self._context.fleet_size() or self._configured_fleet_size)

    def _check_subset(self) -> None:
        """Filter the list again if a server can be released or the fleet's size has changed; repeats."""
        change = abs(self._fleet_size() - self._announced_fleet_size)
        if (
            self._subset.can_release_endpoints()
            or change > FLEET_SIZE_CHANGE_FRACTION * self._announced_fleet_size
        ):
            self._context.servers.update_endpoints(False, [])
        self._context.scheduler.call_later(CHECK_INTERVAL_MS, self._check_subset)
