"""Numbered migrations, each applied once, in SQL that both SQLite and PostgreSQL accept.

Parameters are ``$1`` and so on, each in a CAST: PostgreSQL then knows its type without inference, and SQLite
stores the value with that type.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasplank.database.errors import NewerSchemaError


@dataclass(frozen=True, slots=True)
class Schema:
    """One subsystem's tables.

    Each migration is applied once, in order, in one transaction with the version number that it results in.
    Never change a released migration: add another.
    """

    version_table: str
    lock: int  # PostgreSQL's advisory lock while migrating: any number that no other program locks there
    migrations: tuple[tuple[str, ...], ...]

    @property
    def create_version_table(self) -> str:
        """The statement that creates the version table if it does not exist."""
        return f"CREATE TABLE IF NOT EXISTS {self.version_table} (version integer NOT NULL)"

    @property
    def select_version(self) -> str:
        """The statement that reads the version; NULL before the first migration."""
        return f"SELECT max(version) FROM {self.version_table}"

    @property
    def insert_version(self) -> str:
        """The statement that stores a version number, its one parameter."""
        return f"INSERT INTO {self.version_table} (version) VALUES (CAST($1 AS integer))"

    def pending_migrations(self, version: int | None) -> range:
        """Indices of the migrations to apply to a database of this version.

        Raises ``NewerSchemaError`` if a later version of the program has migrated it.
        """
        if (version or 0) > len(self.migrations):
            raise NewerSchemaError(f"its tables are of version {version}, newer than {len(self.migrations)}")
        return range(version or 0, len(self.migrations))
