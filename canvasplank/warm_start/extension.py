"""Learning from a running instance as a part of the program."""

from __future__ import annotations

import logging
import random

from canvasplank.extensions.extension import Host, Part, PartFactory
from canvasplank.warm_start.client import ask_in_turn
from canvasplank.warm_start.config import Learning, load_learning
from canvasplank.warm_start.server import Exporter
from canvasplank.warm_start.start_hints import Listed, exported, hints, told

LOG = logging.getLogger(__name__)


def load(path: str) -> PartFactory:
    """Read its file."""
    settings = load_learning(path)
    return lambda host: LearningPart(host, settings)


class LearningPart(Part):
    """Offers what this instance learns to new ones, and asks a running one once, within the bound."""

    def __init__(self, host: Host, settings: Learning) -> None:
        self._host, self._settings = host, settings

    async def start(self) -> None:
        """See ``Part``."""
        host, settings = self._host, self._settings
        if settings.listen:
            name = host.configuration.name
            exporter = Exporter(lambda: exported(name, host.controller.learned(), host.scheduler.now_ms))
            await exporter.listen(settings.listen)
            LOG.info("views for new instances at %s", settings.listen)
        peers = settings.asked()
        if not peers:
            return
        host.counters.add("learning.views_asked")
        random.Random(int(host.configuration.seed, 16)).shuffle(peers)  # guards one against all asking it
        seen = await ask_in_turn(peers, settings.bound_ms / 1000)
        host.scheduler.begin_iteration()
        if seen is None:
            host.counters.add("learning.views_refused")
            return
        listed = [Listed(*entry) for entry in host.servers.processes()]
        found = hints(seen, host.scheduler.now_ms, listed, None, settings.half_life_ms, settings.most_age_ms)
        host.counters.add("learning.views_taken")
        host.exchange.hinted(told(found))
        LOG.info(
            "took a view of %d servers from %s: %d still count", len(seen.servers), seen.peer, len(found)
        )
