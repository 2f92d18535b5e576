"""Numbered migrations, each applied once, in SQL that SQLite and PostgreSQL both read.

Parameters are ``$1`` and so on, each cast, so that PostgreSQL knows its type without asking and SQLite keeps
it as that.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasplank.database.errors import NewerSchemaError


@dataclass(frozen=True, slots=True)
class Schema:
    """One subsystem's tables.

    Each migration is applied once, in order, in one transaction with the number that it leaves behind.  Never
    change one that has been released: add another.
    """

    version_table: str
    lock: int  # PostgreSQL's advisory lock while migrating: any number that no other program locks there
    migrations: tuple[tuple[str, ...], ...]

    @property
    def create_version(self) -> str:
        """Makes the table that holds the number."""
        return f"CREATE TABLE IF NOT EXISTS {self.version_table} (version integer NOT NULL)"

    @property
    def read_version(self) -> str:
        """The number, or NULL."""
        return f"SELECT max(version) FROM {self.version_table}"

    @property
    def write_version(self) -> str:
        """Leaves a number behind."""
        return f"INSERT INTO {self.version_table} (version) VALUES (CAST($1 AS integer))"

    def pending(self, version: int | None) -> range:
        """The migrations still to be applied to a store of this version."""
        if (version or 0) > len(self.migrations):
            raise NewerSchemaError(f"its tables are of version {version}, newer than {len(self.migrations)}")
        return range(version or 0, len(self.migrations))
