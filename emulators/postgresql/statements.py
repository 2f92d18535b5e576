"""Statements as PostgreSQL is sent them and as SQLite reads them."""

from __future__ import annotations

import re
from dataclasses import dataclass

from emulators.postgresql.protocol import TEXT, TYPES

FOR_UPDATE = " FOR UPDATE"
CAST = re.compile(r"CAST\(\$(\d+) AS (\w+)\)")


def own(sql: str) -> str:
    """A statement as SQLite reads it."""
    return sql.replace("$", "?").removesuffix(FOR_UPDATE)


@dataclass
class Statement:
    """A prepared statement."""

    sql: str
    types: list[int]

    @staticmethod
    def of(sql: str) -> Statement:
        """With its parameters' types, which its casts tell."""
        found = {int(number): TYPES[name] for number, name in CAST.findall(sql)}
        return Statement(sql, [found[number] for number in sorted(found)])

    def values(self, raw: list[bytes | None]) -> list[str | int | None]:
        """Parameters from their binary form."""
        return [
            None if data is None else data.decode() if kind == TEXT else int.from_bytes(data, signed=True)
            for kind, data in zip(self.types, raw, strict=True)
        ]
