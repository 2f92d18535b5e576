"""Learning from a running instance as a part of the program."""

from __future__ import annotations

import logging
import random

from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory
from canvasplank.warm_start.client import fetch_first_snapshot
from canvasplank.warm_start.config import WarmStartSettings, load_warm_start_settings
from canvasplank.warm_start.peer_snapshot import make_snapshot
from canvasplank.warm_start.server import SnapshotServer
from canvasplank.warm_start.start_hints import ListedServer, derive_start_hints, to_warm_start_hints

LOG = logging.getLogger(__name__)


def load(path: str) -> ExtensionFactory:
    """Read its file."""
    settings = load_warm_start_settings(path)
    return lambda context: WarmStartExtension(context, settings)


class WarmStartExtension(Extension):
    """Offers what this instance learns to new ones, and asks a running one once, within the bound."""

    def __init__(self, context: ExtensionContext, settings: WarmStartSettings) -> None:
        self._context, self._settings = context, settings

    async def start(self) -> None:
        """See ``Extension``."""
        context, settings = self._context, self._settings
        if settings.listen:
            name = context.configuration.name
            snapshot_server = SnapshotServer(
                lambda: make_snapshot(name, context.controller.learned_servers(), context.scheduler.now_ms)
            )
            await snapshot_server.listen(settings.listen)
            LOG.info("views for new instances at %s", settings.listen)
        peers = settings.peer_addresses()
        if not peers:
            return
        context.counters.add("learning.views_asked")
        random.Random(int(context.configuration.seed, 16)).shuffle(peers)  # guards one against all asking it
        seen = await fetch_first_snapshot(peers, settings.timeout_ms / 1000)
        context.scheduler.begin_iteration()
        if seen is None:
            context.counters.add("learning.views_refused")
            return
        listed = [ListedServer(*entry) for entry in context.servers.processes()]
        found = derive_start_hints(
            seen, context.scheduler.now_ms, listed, None, settings.half_life_ms, settings.max_age_ms
        )
        context.counters.add("learning.views_taken")
        context.exchange.apply_hints(to_warm_start_hints(found))
        LOG.info(
            "took a view of %d servers from %s: %d still count", len(seen.servers), seen.peer, len(found)
        )
