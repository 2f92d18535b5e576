"""The interface between the store's writer and its databases."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from canvasplank.store.records import CallOutcome


class CallCount(NamedTuple):
    """The number of records that share a class, a final answer and an ending."""

    class_name: str
    final: str
    ending: str | None
    calls: int


class Backend(Protocol):
    """A database of call records; methods may raise ``DatabaseUnavailableError`` or ``DataRejectedError``."""

    async def open(self) -> None:
        """Connect and apply the pending migrations."""

    async def write(self, batch: Sequence[CallOutcome]) -> None:
        """Store all records durably in one transaction; those that are stored already change nothing."""

    async def count_calls(self, since_ms: int, instance: str) -> list[CallCount]:
        """Count the calls received since a Unix time, at one instance or (empty) at all instances."""

    async def close(self) -> None:
        """Close the connection; the backend may be opened again."""
