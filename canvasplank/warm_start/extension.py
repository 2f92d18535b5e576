"""Learning from a running instance as a part of the program."""

from __future__ import annotations

import logging
import random

from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory
from canvasplank.warm_start.client import ask_in_turn
from canvasplank.warm_start.config import Learning, load_learning
from canvasplank.warm_start.peer_snapshot import exported
from canvasplank.warm_start.server import Exporter
from canvasplank.warm_start.start_hints import Listed, hints, told

LOG = logging.getLogger(__name__)


def load(path: str) -> ExtensionFactory:
    """Read its file."""
    settings = load_learning(path)
    return lambda context: WarmStartExtension(context, settings)


class WarmStartExtension(Extension):
    """Offers what this instance learns to new ones, and asks a running one once, within the bound."""

    def __init__(self, context: ExtensionContext, settings: Learning) -> None:
        self._context, self._settings = context, settings

    async def start(self) -> None:
        """See ``Extension``."""
        context, settings = self._context, self._settings
        if settings.listen:
            name = context.configuration.name
            exporter = Exporter(
                lambda: exported(name, context.controller.learned_servers(), context.scheduler.now_ms)
            )
            await exporter.listen(settings.listen)
            LOG.info("views for new instances at %s", settings.listen)
        peers = settings.asked()
        if not peers:
            return
        context.counters.add("learning.views_asked")
        random.Random(int(context.configuration.seed, 16)).shuffle(peers)  # guards one against all asking it
        seen = await ask_in_turn(peers, settings.bound_ms / 1000)
        context.scheduler.begin_iteration()
        if seen is None:
            context.counters.add("learning.views_refused")
            return
        listed = [Listed(*entry) for entry in context.servers.processes()]
        found = hints(
            seen, context.scheduler.now_ms, listed, None, settings.half_life_ms, settings.most_age_ms
        )
        context.counters.add("learning.views_taken")
        context.exchange.apply_hints(told(found))
        LOG.info(
            "took a view of %d servers from %s: %d still count", len(seen.servers), seen.peer, len(found)
        )
