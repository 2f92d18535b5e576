"""Parsing of clients' statements and their translation to SQLite's dialect."""

from __future__ import annotations

import re
from dataclasses import dataclass

from emulators.postgresql.protocol import TEXT_OID, TYPE_OIDS, Value

FOR_UPDATE = " FOR UPDATE"
LOCKING_COMMANDS = ("INSERT", "UPDATE", "DELETE", "CREATE", "ALTER")
CAST = re.compile(r"CAST\(\$(\d+) AS (\w+)\)")


def command_of(sql: str) -> str:
    """Return the first word of a statement in upper case."""
    return sql.split()[0].upper()


def to_sqlite(sql: str) -> str:
    """Translate a statement to SQLite's dialect."""
    return sql.replace("$", "?").removesuffix(FOR_UPDATE)


@dataclass
class PreparedStatement:
    """A statement of the extended query protocol."""

    sql: str
    types: list[int]  # OIDs of the parameters' types

    @staticmethod
    def parse(sql: str) -> PreparedStatement:
        """Parse a statement, which must give the types of all its parameters by CAST."""
        found = {int(number): TYPE_OIDS[name] for number, name in CAST.findall(sql)}
        return PreparedStatement(sql, [found[number] for number in sorted(found)])

    @property
    def locks(self) -> bool:
        """Whether the statement takes row locks."""
        return command_of(self.sql) in LOCKING_COMMANDS or self.sql.endswith(FOR_UPDATE)

    def decode_parameters(self, encoded: list[bytes | None]) -> list[Value]:
        """Decode parameter values from their binary format."""
        return [
            None if data is None else data.decode() if kind == TEXT_OID else int.from_bytes(data, signed=True)
            for kind, data in zip(self.types, encoded, strict=True)
        ]
