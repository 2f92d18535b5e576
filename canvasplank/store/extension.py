"""The store of record as a part of the program."""

from __future__ import annotations

from canvasplank.extensions.extension import Host, Part, PartFactory
from canvasplank.store.config import Store, load_store
from canvasplank.store.outbox import Outbox
from canvasplank.store.writer import Writer


def load(path: str) -> PartFactory:
    """Read its file."""
    settings = load_store(path)
    return lambda host: StorePart(host, settings)


class StorePart(Part):
    """Hears of every call's outcome through the exchange and has it written."""

    def __init__(self, host: Host, settings: Store) -> None:
        self._settings = settings
        seed = int(host.configuration.seed, 16)
        outbox = Outbox(settings.queue_most, settings.batch_most, settings.linger_ms, seed)
        self._writer = Writer(
            outbox,
            settings.open_with(),
            host.configuration.name,
            settings.write_timeout_ms / 1000,
            host.counters,
        )
        host.exchange.recorder = self._writer

    async def start(self) -> None:
        """See ``Part``."""
        self._writer.start()

    def count(self) -> None:
        """See ``Part``."""
        self._writer.count()

    async def drain(self, within_s: float) -> None:
        """See ``Part``; no longer than is set."""
        await self._writer.drain(min(self._settings.drain_ms / 1000, within_s))
