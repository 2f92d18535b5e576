"""The kept list as a part of the program: a start from it, and its upkeep."""

from __future__ import annotations

import logging

from canvasplank.config.settings import DiscoveryEvent, folded, read_settings
from canvasplank.endpoint_cache.bootstrap import Roster, judge
from canvasplank.endpoint_cache.config import Membership, load_membership
from canvasplank.endpoint_cache.writer import Keeper, read
from canvasplank.extensions.extension import Host, Part, PartFactory

LOG = logging.getLogger(__name__)


def load(path: str) -> PartFactory:
    """Read its file."""
    settings = load_membership(path)
    return lambda host: KeptListPart(host, settings)


class KeptListPart(Part):
    """Keeps the list on disk, and starts from what lies there where nobody else has told one."""

    def __init__(self, host: Host, settings: Membership) -> None:
        self._host, self._settings = host, settings
        self._known = folded(host.configuration.known.notices)
        self._keeper = Keeper(
            settings.path,
            Roster(self._known, host.scheduler.now_ms),
            host.scheduler,
            lambda: host.discovery.heard_ms,
        )

    async def start(self) -> None:
        """See ``Part``."""
        host, settings = self._host, self._settings
        self._keeper.start()
        if self._known or (kept := read(settings.path)) is None:
            return
        gateways = read_settings(host.configuration.settings).instances
        start = judge(
            kept,
            host.scheduler.now_ms,
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
        host.counters.add("membership.starts_from_disk")
        host.servers.listed(True, start.instances)
        host.exchange.hinted(start.hints)

    def told(self, notice: DiscoveryEvent) -> None:
        """See ``Part``."""
        self._keeper.told(notice)

    async def drain(self, within_s: float) -> None:
        """See ``Part``."""
        await self._keeper.close()
