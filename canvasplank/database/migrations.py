"""Numbered schema migrations in SQL that both SQLite and PostgreSQL accept.

All statements use the parameters ``$1``, ``$2`` and so on, each in a CAST: PostgreSQL then need not infer the
type, and SQLite stores the value with that type.  ``sqlite.to_sqlite`` adapts a statement to SQLite.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasplank.database.errors import NewerSchemaError


@dataclass(frozen=True, slots=True)
class Schema:
    """The tables of one subsystem and the migrations that create them.

    Migrations are applied in order, each once.  Pending migrations and the new version numbers are committed
    in one transaction.  Never change a released migration; add another instead.
    """

    version_table: str
    advisory_lock_id: int  # locked in PostgreSQL while migrating; no other program may use this number
    migrations: tuple[tuple[str, ...], ...]

    @property
    def create_version_table(self) -> str:
        """Return the statement that creates the version table if it does not exist."""
        return f"CREATE TABLE IF NOT EXISTS {self.version_table} (version integer NOT NULL)"

    @property
    def select_version(self) -> str:
        """Return the query for the schema version, which yields NULL before the first migration."""
        return f"SELECT max(version) FROM {self.version_table}"

    @property
    def insert_version(self) -> str:
        """Return the statement that stores the version number given as ``$1``."""
        return f"INSERT INTO {self.version_table} (version) VALUES (CAST($1 AS integer))"

    def pending_migrations(self, version: int | None) -> range:
        """Return the indices of the migrations to apply to tables of this version (None: no migration yet).

        Raises ``NewerSchemaError`` if a newer release of the program has migrated the tables.
        """
        if (version or 0) > len(self.migrations):
            raise NewerSchemaError(f"schema version {version}, newer than supported ({len(self.migrations)})")
        return range(version or 0, len(self.migrations))
