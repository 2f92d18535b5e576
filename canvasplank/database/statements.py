"""Statements and rows as the packages above the database exchange them."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

Value: TypeAlias = str | int | None
Row: TypeAlias = tuple[Value, ...]


class Statement(NamedTuple):
    """An SQL statement with its parameters, ``$1`` first (see ``database.migrations`` for the dialect)."""

    sql: str
    parameters: Row
