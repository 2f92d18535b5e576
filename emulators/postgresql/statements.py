"""Statements as a client sends them, and in SQLite's dialect."""

from __future__ import annotations

import re
from dataclasses import dataclass

from emulators.postgresql.protocol import TEXT, TYPE_OIDS, Value

FOR_UPDATE = " FOR UPDATE"
LOCKING_COMMANDS = ("INSERT", "UPDATE", "DELETE", "CREATE", "ALTER")
CAST = re.compile(r"CAST\(\$(\d+) AS (\w+)\)")


def command_of(sql: str) -> str:
    """The statement's first word, in capitals."""
    return sql.split()[0].upper()


def to_sqlite(sql: str) -> str:
    """The statement in SQLite's dialect."""
    return sql.replace("$", "?").removesuffix(FOR_UPDATE)


@dataclass
class PreparedStatement:
    """A statement of the extended query protocol."""

    sql: str
    types: list[int]  # of its parameters

    @staticmethod
    def parse(sql: str) -> PreparedStatement:
        """The statement with its parameters' types, which it gives in its casts."""
        found = {int(number): TYPE_OIDS[name] for number, name in CAST.findall(sql)}
        return PreparedStatement(sql, [found[number] for number in sorted(found)])

    @property
    def locks(self) -> bool:
        """Whether it takes row locks."""
        return command_of(self.sql) in LOCKING_COMMANDS or self.sql.endswith(FOR_UPDATE)

    def decode_parameters(self, raw: list[bytes | None]) -> list[Value]:
        """The values of its parameters from their binary form."""
        return [
            None if data is None else data.decode() if kind == TEXT else int.from_bytes(data, signed=True)
            for kind, data in zip(self.types, raw, strict=True)
        ]
