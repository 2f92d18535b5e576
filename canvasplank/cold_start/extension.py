"""A fleet's start as a part of the program, and its file, named by ``CANVASPLANK_STARTING``."""

from __future__ import annotations

import random
from dataclasses import replace

from canvasplank import interface as api
from canvasplank.cold_start.config import ColdStartSettings
from canvasplank.cold_start.poll_backoff import SECOND_MS, PollBackoff
from canvasplank.cold_start.rendezvous_subset import RendezvousSubset
from canvasplank.config.discovery_events import Endpoint
from canvasplank.config.extension_file import load_extension_settings
from canvasplank.config.platform_settings import read_settings
from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory

CHECK_INTERVAL_MS = 1000.0  # between two looks at servers that are left to others, and at the fleet's size
# Of the number of proxies that share a server: so much is worth telling the module.
FLEET_SIZE_CHANGE_FRACTION = 0.1


Starting = ColdStartSettings  # the former name, until its last users have the new one


def load(path: str) -> ExtensionFactory:
    """Read its file."""
    settings = load_extension_settings(path, "starting", ColdStartSettings, lambda _: None)
    return lambda context: ColdStartExtension(context, settings)


class ColdStartExtension(Extension):
    """Polls service discovery and opens connections at the fleet's pace; see ``EndpointFilter``."""

    def __init__(self, context: ExtensionContext, settings: ColdStartSettings) -> None:
        self._context, self._settings = context, settings
        configured = read_settings(context.configuration.settings)
        self._instances = configured.instances
        self._rng = random.Random(int(context.configuration.seed, 16))
        groups = (None if c.pools is None else frozenset(c.pools) for c in configured.classes)
        self._subset = RendezvousSubset(
            context.configuration.name,
            groups,
            settings.servers_per_proxy,
            self._has_calls,
            lambda: settings.proxies_per_server / self._fleet_size(),
        )
        self._announced_fleet_size = 0  # proxies, when the module last heard how many share a server
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
        """See ``Extension``; guards callers against one without a list, which could only reject them."""
        return not self._settings.ready_with_list or bool(self._context.servers.processes())

    def export_metrics(self) -> None:
        """See ``Extension``."""
        self._context.counters.set("starting.servers_kept", len(self._context.servers.processes()))

    # ------------------------------------------------------------------------------------ for the servers

    def select(self, complete: bool, instances: list[Endpoint]) -> list[Endpoint]:
        """See ``EndpointFilter``."""
        self._announced_fleet_size = self._fleet_size()
        return self._subset.select(complete, instances)

    def annotate(self, server: api.Server) -> api.Server:
        """See ``EndpointFilter``; a lease of the fleet's set-ups is divided among this proxy's servers."""
        senders = self._subset.senders(server.pool, self._announced_fleet_size)
        if not (fleet_rate_per_s := self._settings.initial_rate_per_s):
            return replace(server, senders=senders)
        fraction = self._context.fleet_set_up_fraction()
        fraction = (
            1.0 / (senders or self._announced_fleet_size)
            if fraction is None
            else min(1.0, fraction * self._subset.ready_per_selected())
        )
        return replace(server, senders=senders, initial_rate_per_s=fleet_rate_per_s * fraction)

    def initial_delay_ms(self) -> float:
        """See ``EndpointFilter``."""
        if not (per_s := self._settings.connections_per_s):
            return 0.0
        return self._rng.uniform(0.0, SECOND_MS * self._fleet_size() / per_s)

    def is_still_listed(self, server_id: str) -> bool:
        """See ``EndpointFilter``."""
        return self._subset.is_listed(server_id)

    # ------------------------------------------------------------------------------------

    def _has_calls(self, server_id: str) -> bool:
        """Guards a release that is still on its way to a server against the end of our connection to it."""
        return self._context.exchange.has_calls_at(server_id) or self._context.servers.has_unsettled_releases(
            server_id
        )

    def _fleet_size(self) -> int:
        return max(1, self._context.fleet_size() or self._instances)

    def _check_subset(self) -> None:
        if (
            self._subset.can_release_endpoints()
            or abs(self._fleet_size() - self._announced_fleet_size)
            > FLEET_SIZE_CHANGE_FRACTION * self._announced_fleet_size
        ):
            self._context.servers.listed(False, [])
        self._context.scheduler.call_later(CHECK_INTERVAL_MS, self._check_subset)
