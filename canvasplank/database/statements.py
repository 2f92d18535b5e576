"""Types of SQL statements and rows, shared by the packages that use a database."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

Value: TypeAlias = str | int | None
Row: TypeAlias = tuple[Value, ...]


class Statement(NamedTuple):
    """An SQL statement in the dialect of ``database.migrations``, with the values of ``$1``, ``$2`` etc."""

    sql: str
    parameters: Row
