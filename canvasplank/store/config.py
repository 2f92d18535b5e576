"""Settings of the store of record, from a file of its own (TOML) that ``CANVASPLANK_STORE`` names."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from canvasplank.config.extension_file import load_extension_settings
from canvasplank.database.location import check_location
from canvasplank.store.backend import Backend

Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=60_000)]


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Which database, and the bounds of queue, batches and times.

    A field whose key in the file differs from its name carries that key.
    """

    backend: Literal["sqlite", "postgresql"]
    path: str = ""  # sqlite: the file
    dsn: str = ""  # postgresql: postgresql://user@host:port/database; the password comes from PGPASSWORD
    # Records that may wait; about 10 MB.
    max_queue: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = msgspec.field(
        default=20_000, name="queue_most"
    )
    # Records in one transaction.
    max_batch: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = msgspec.field(default=500, name="batch_most")
    linger_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 50.0  # an incomplete batch waits for more
    write_timeout_ms: Milliseconds = 2_000.0
    # Bound on writing what is left at shutdown.
    drain_timeout_ms: Milliseconds = msgspec.field(default=1_500.0, name="drain_ms")

    def create_backend(self) -> Backend:
        """The backend, not yet opened; only the configured driver is imported."""
        if self.backend == "sqlite":
            from canvasplank.store.sqlite import Sqlite

            return Sqlite(self.path)
        from canvasplank.store.postgresql import Postgresql

        return Postgresql(self.dsn, self.write_timeout_ms / 1000)


def load_store(path: str) -> StoreSettings:
    """Read and check the file; raises ``ConfigurationError``."""
    return load_extension_settings(path, "store", StoreSettings, _check)


def _check(settings: StoreSettings) -> None:
    check_location(settings.backend, settings.path, settings.dsn)
