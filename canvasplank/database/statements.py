"""Types of SQL statements and rows, shared by the packages that use a database."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeAlias

Value: TypeAlias = str | int | None
Row: TypeAlias = tuple[Value, ...]  # to be written
SelectedRow: TypeAlias = tuple[Any, ...]  # the columns of a result, whose types the statement determines


class Statement(NamedTuple):
    """An SQL statement in the dialect of ``database.migrations``, with the values of ``$1``, ``$2`` etc."""

    sql: str
    parameters: Row
