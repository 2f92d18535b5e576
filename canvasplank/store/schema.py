"""The tables and statements of the store of record, in the SQL dialect of ``database.migrations``."""

from __future__ import annotations

import msgspec

from canvasplank.database.migrations import Schema
from canvasplank.database.statements import Row
from canvasplank.store.records import CallOutcome

MIGRATIONS: tuple[tuple[str, ...], ...] = (
    (
        "CREATE TABLE call_outcome (call_id text NOT NULL, instance text NOT NULL, taken_ms bigint NOT NULL, "
        "class_name text NOT NULL, final text NOT NULL, server text, attempts integer NOT NULL, "
        "answered_ms bigint NOT NULL, ended_ms bigint, ending text, version integer NOT NULL, "
        "PRIMARY KEY (call_id, instance, taken_ms))",
    ),
    ("CREATE INDEX call_outcome_taken ON call_outcome (taken_ms)",),
    # The call's tenant, the closing of the usage ledger that claimed the call, and whether the call counts.
    (
        "ALTER TABLE call_outcome ADD COLUMN member text",
        "ALTER TABLE call_outcome ADD COLUMN closed_in bigint",
        "ALTER TABLE call_outcome ADD COLUMN counted integer",
        "CREATE INDEX call_outcome_closed ON call_outcome (closed_in, taken_ms)",
    ),
    (
        "ALTER TABLE call_outcome ADD COLUMN number text",
        "CREATE INDEX call_outcome_number ON call_outcome (number, taken_ms)",
    ),
)
SCHEMA = Schema("schema_version", 7_201_310, MIGRATIONS)

_COLUMN_TYPES = {  # SQL types of the columns that are not text
    "taken_ms": "bigint",
    "attempts": "integer",
    "answered_ms": "bigint",
    "ended_ms": "bigint",
    "version": "integer",
}
COLUMNS = tuple(field.encode_name for field in msgspec.structs.fields(CallOutcome))
_KEY_COLUMNS = ("call_id", "instance", "taken_ms")

# Idempotent: writing a row again changes nothing, and a row never replaces a later version of itself.
UPSERT = (
    f"INSERT INTO call_outcome ({', '.join(COLUMNS)}) VALUES ("
    + ", ".join(f"CAST(${n} AS {_COLUMN_TYPES.get(name, 'text')})" for n, name in enumerate(COLUMNS, 1))
    + f") ON CONFLICT ({', '.join(_KEY_COLUMNS)}) DO UPDATE SET "
    + ", ".join(f"{name} = excluded.{name}" for name in COLUMNS if name not in _KEY_COLUMNS)
    + " WHERE excluded.version > call_outcome.version"
)
COUNT_CALLS = (
    "SELECT class_name, final, ending, count(*) FROM call_outcome "
    "WHERE taken_ms >= CAST($1 AS bigint) AND (CAST($2 AS text) = '' OR instance = CAST($2 AS text)) "
    "GROUP BY class_name, final, ending ORDER BY class_name, final, ending"
)


def to_row(record: CallOutcome) -> Row:
    """Return the record's values in the order of ``COLUMNS``."""
    return msgspec.structs.astuple(record)
