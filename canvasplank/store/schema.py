"""The tables and statements, in SQL that SQLite and PostgreSQL both read; parameters are ``$1`` and so on.

Each parameter is cast, so that PostgreSQL knows its type without asking and SQLite keeps it as that.
"""

from __future__ import annotations

import msgspec

from canvasplank.store.records import Outcome

# Each is applied once, in order, in one transaction with the number that it leaves behind.  Never change one
# that has been released: add another.
MIGRATIONS: tuple[tuple[str, ...], ...] = (
    (
        "CREATE TABLE call_outcome (call_id text NOT NULL, instance text NOT NULL, taken_ms bigint NOT NULL, "
        "class_name text NOT NULL, final text NOT NULL, server text, attempts integer NOT NULL, "
        "answered_ms bigint NOT NULL, ended_ms bigint, ending text, version integer NOT NULL, "
        "PRIMARY KEY (call_id, instance, taken_ms))",
    ),
    ("CREATE INDEX call_outcome_taken ON call_outcome (taken_ms)",),
)
VERSION_TABLE = "CREATE TABLE IF NOT EXISTS schema_version (version integer NOT NULL)"
READ_VERSION = "SELECT max(version) FROM schema_version"
WRITE_VERSION = "INSERT INTO schema_version (version) VALUES (CAST($1 AS integer))"

_TYPES = {"taken_ms": "bigint", "attempts": "integer", "answered_ms": "bigint", "ended_ms": "bigint",
          "version": "integer"}
COLUMNS = tuple(field.name for field in msgspec.structs.fields(Outcome))
_KEY = ("call_id", "instance", "taken_ms")

# Writing a row again changes nothing, and a row never gives way to an earlier one.
UPSERT = (
    f"INSERT INTO call_outcome ({', '.join(COLUMNS)}) VALUES ("
    + ", ".join(f"CAST(${n} AS {_TYPES.get(name, 'text')})" for n, name in enumerate(COLUMNS, 1))
    + f") ON CONFLICT ({', '.join(_KEY)}) DO UPDATE SET "
    + ", ".join(f"{name} = excluded.{name}" for name in COLUMNS if name not in _KEY)
    + " WHERE excluded.version > call_outcome.version"
)
COUNT = (
    "SELECT class_name, final, ending, count(*) FROM call_outcome "
    "WHERE taken_ms >= CAST($1 AS bigint) AND (CAST($2 AS text) = '' OR instance = CAST($2 AS text)) "
    "GROUP BY class_name, final, ending ORDER BY class_name, final, ending"
)

class NewerSchemaError(Exception):
    """The store's tables are newer than this program: it must not write to them."""


def pending(version: int | None) -> range:
    """The migrations still to be applied to a store of this version."""
    if (version or 0) > len(MIGRATIONS):
        raise NewerSchemaError(f"its tables are of version {version}, newer than {len(MIGRATIONS)}")
    return range(version or 0, len(MIGRATIONS))


Row = tuple[str | int | None, ...]


def row(record: Outcome) -> Row:
    """A record's values in the order of the columns."""
    return msgspec.structs.astuple(record)
