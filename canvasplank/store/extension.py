"""The extension that records call outcomes in the store of record."""

from __future__ import annotations

from canvasplank.extensions.extension import Extension, ExtensionContext, ExtensionFactory
from canvasplank.store.config import StoreSettings, load_store_settings
from canvasplank.store.outbox import Outbox
from canvasplank.store.writer import Writer


def load(path: str) -> ExtensionFactory:
    """Return a factory of the extension with the settings in a file; raises ``ConfigurationError``."""
    settings = load_store_settings(path)
    return lambda context: StoreExtension(context, settings)


class StoreExtension(Extension):
    """Records the outcome of every call in the store."""

    def __init__(self, context: ExtensionContext, settings: StoreSettings) -> None:
        self._settings = settings
        seed = int(context.configuration.seed, 16)
        outbox = Outbox(settings.max_queue, settings.max_batch, settings.linger_ms, seed)
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
        self._writer.export_metrics()

    async def drain(self, within_s: float) -> None:
        """See ``Extension``; the setting ``drain_timeout_ms`` limits the time further."""
        await self._writer.drain(min(self._settings.drain_timeout_ms / 1000, within_s))
