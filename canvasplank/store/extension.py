"""The store of record as a part of the program."""

from __future__ import annotations

from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory
from canvasplank.store.config import Store, load_store
from canvasplank.store.outbox import Outbox
from canvasplank.store.writer import Writer


def load(path: str) -> ExtensionFactory:
    """Read its file."""
    settings = load_store(path)
    return lambda context: StoreExtension(context, settings)


class StoreExtension(Extension):
    """Hears of every call's outcome through the exchange and has it written."""

    def __init__(self, context: ExtensionContext, settings: Store) -> None:
        self._settings = settings
        seed = int(context.configuration.seed, 16)
        outbox = Outbox(settings.queue_most, settings.batch_most, settings.linger_ms, seed)
        self._writer = Writer(
            outbox,
            settings.create_backend(),
            context.configuration.name,
            settings.write_timeout_ms / 1000,
            context.counters,
        )
        context.exchange.attach_recorder(self._writer)

    async def start(self) -> None:
        """See ``Extension``."""
        self._writer.start()

    def export_metrics(self) -> None:
        """See ``Extension``."""
        self._writer.count()

    async def drain(self, within_s: float) -> None:
        """See ``Extension``; no longer than is set."""
        await self._writer.drain(min(self._settings.drain_ms / 1000, within_s))
