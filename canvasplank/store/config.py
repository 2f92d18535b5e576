"""Settings of the store of record, read from the TOML file that ``CANVASPLANK_STORE`` names."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from canvasplank.config.extension_file import load_extension_settings
from canvasplank.database.location import check_location
from canvasplank.store.backend import Backend

Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=60_000)]


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The database, and the limits on the queue, on batches and on times.

    Where a field's key in the file differs from the field's name, ``msgspec.field`` gives the key.
    """

    backend: Literal["sqlite", "postgresql"]
    path: str = ""  # sqlite: path of the file
    dsn: str = ""  # postgresql: postgresql://user@host:port/database; the password comes from PGPASSWORD
    # Maximum number of unwritten records; the default takes about 10 MB.
    max_queue: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = msgspec.field(
        default=20_000, name="queue_most"
    )
    # Maximum number of records in one transaction.
    max_batch: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = msgspec.field(default=500, name="batch_most")
    # How long an incomplete batch waits for more records.
    linger_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 50.0
    write_timeout_ms: Milliseconds = 2_000.0
    # Time limit for writing the remaining records at shutdown.
    drain_timeout_ms: Milliseconds = msgspec.field(default=1_500.0, name="drain_ms")

    def create_backend(self) -> Backend:
        """Create the backend without opening it; only the driver that it needs is imported."""
        if self.backend == "sqlite":
            from canvasplank.store.sqlite import Sqlite

            return Sqlite(self.path)
        from canvasplank.store.postgresql import Postgresql

        return Postgresql(self.dsn, self.write_timeout_ms / 1000)


def load_store_settings(path: str) -> StoreSettings:
    """Read and validate the settings file; raises ``ConfigurationError``."""
    return load_extension_settings(path, "store", StoreSettings, _check)


def _check(settings: StoreSettings) -> None:
    check_location(settings.backend, settings.path, settings.dsn)
