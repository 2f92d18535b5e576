"""Which store, and its figures, from a file of its own (TOML) named by ``CANVASPLANK_STORE``."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from canvasplank.config.extension_file import load_extension_settings
from canvasplank.database.location import check_location
from canvasplank.store.backend import Backend

Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=60_000)]


class Store(msgspec.Struct, forbid_unknown_fields=True):
    """The store of record."""

    backend: Literal["sqlite", "postgresql"]
    path: str = ""  # sqlite: the file
    dsn: str = ""  # postgresql: postgresql://user@host:port/database; the password comes from PGPASSWORD
    queue_most: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 20_000
    batch_most: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 500
    linger_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 50.0
    write_timeout_ms: Milliseconds = 2_000.0
    drain_ms: Milliseconds = 1_500.0

    def create_backend(self) -> Backend:
        """The backend, not yet opened.  Only the driver that is configured is imported."""
        if self.backend == "sqlite":
            from canvasplank.store.sqlite import Sqlite

            return Sqlite(self.path)
        from canvasplank.store.postgresql import Postgresql

        return Postgresql(self.dsn, self.write_timeout_ms / 1000)


def load_store(path: str) -> Store:
    """Read the file."""
    return load_extension_settings(path, "store", Store, _check)


def _check(store: Store) -> None:
    check_location(store.backend, store.path, store.dsn)
