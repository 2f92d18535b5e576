"""What the writer asks of a database."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from canvasplank.store.records import Outcome


class Count(NamedTuple):
    """How many records have the same class, answer and ending."""

    class_name: str
    final: str
    ending: str | None
    calls: int


class Backend(Protocol):
    """A database that keeps records; methods raise ``StoreUnavailableError`` or ``StoreRefusedError``."""

    async def open(self) -> None:
        """Connect and bring the tables up to date."""

    async def write(self, batch: Sequence[Outcome]) -> None:
        """All of them or none, durably; records that are there already change nothing."""

    async def count(self, since_ms: int, instance: str) -> list[Count]:
        """Records of calls taken since then, by class and answer; an empty instance: of all."""

    async def close(self) -> None:
        """Let go of it; it may be opened again."""
