"""The extension that serves this instance's snapshot and applies that of a peer."""

from __future__ import annotations

import logging
import random

from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory
from canvasplank.warm_start.client import fetch_first_snapshot
from canvasplank.warm_start.config import WarmStartSettings, load_warm_start_settings
from canvasplank.warm_start.peer_snapshot import PeerSnapshot, make_snapshot
from canvasplank.warm_start.server import SnapshotServer
from canvasplank.warm_start.start_hints import ListedServer, derive_start_hints, to_warm_start_hints

LOG = logging.getLogger(__name__)


def load(path: str) -> ExtensionFactory:
    """Return a factory of the extension with the settings in a file; raises ``ConfigurationError``."""
    settings = load_warm_start_settings(path)
    return lambda context: WarmStartExtension(context, settings)


class WarmStartExtension(Extension):
    """Serves snapshots to new instances, and fetches a snapshot from a running one at the start."""

    def __init__(self, context: ExtensionContext, settings: WarmStartSettings) -> None:
        self._context, self._settings = context, settings

    async def start(self) -> None:
        """See ``Extension``."""
        if self._settings.listen:
            await self._listen()
        if peers := self._settings.peer_addresses():
            await self._start_from_peer(peers)

    async def _listen(self) -> None:
        context, name = self._context, self._context.configuration.name
        server = SnapshotServer(
            lambda: make_snapshot(name, context.controller.learned_servers(), context.scheduler.now_ms)
        )
        await server.listen(self._settings.listen)
        LOG.info("serving views for new instances at %s", self._settings.listen)

    async def _start_from_peer(self, peers: list[str]) -> None:
        """Fetch a snapshot and apply it.

        The order of peers is random, so that new instances do not all request the same peer's snapshot.
        """
        context = self._context
        context.counters.add("learning.views_asked")
        random.Random(int(context.configuration.seed, 16)).shuffle(peers)
        snapshot = await fetch_first_snapshot(peers, self._settings.timeout_ms / 1000)
        context.scheduler.begin_iteration()
        if snapshot is None:
            context.counters.add("learning.views_refused")
        else:
            self._apply(snapshot)

    def _apply(self, snapshot: PeerSnapshot) -> None:
        context, settings = self._context, self._settings
        listed = [ListedServer(*entry) for entry in context.servers.processes()]
        hints = derive_start_hints(
            snapshot, context.scheduler.now_ms, listed, None, settings.half_life_ms, settings.max_age_ms
        )
        context.counters.add("learning.views_taken")
        context.exchange.apply_hints(to_warm_start_hints(hints))
        LOG.info(
            "took a view of %d servers from %s: %d used", len(snapshot.servers), snapshot.peer, len(hints)
        )
