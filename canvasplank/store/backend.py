"""The port between the writer and a database."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from canvasplank.store.records import CallOutcome


class CallCount(NamedTuple):
    """The number of records with the same class, final answer and ending."""

    class_name: str
    final: str
    ending: str | None
    calls: int


class Backend(Protocol):
    """A database that stores records; methods raise ``StoreUnavailableError`` or ``StoreRefusedError``."""

    async def open(self) -> None:
        """Connect and migrate the tables."""

    async def write(self, batch: Sequence[CallOutcome]) -> None:
        """Write all records or none, durably; records that are stored already change nothing."""

    async def count_calls(self, since_ms: int, instance: str) -> list[CallCount]:
        """Count records of calls taken since this Unix time, of one instance or (empty) of all."""

    async def close(self) -> None:
        """Close the connection; it may be opened again."""
