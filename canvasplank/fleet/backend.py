"""What the fleet asks of a database."""

from __future__ import annotations

from typing import Protocol

from canvasplank.fleet.rows import Answer, Request, Rows


class Backend(Protocol):
    """The rows, behind one lock; methods raise ``StoreUnavailableError`` or ``StoreRefusedError``."""

    async def open(self) -> None:
        """Connect and bring the tables up to date."""

    async def transact(self, request: Request) -> Answer:
        """Apply a request to the rows in one transaction (``ledger.apply``), durably."""

    async def look(self) -> Rows:
        """The rows as they are, for the operators."""

    async def forget(self, incarnation: int) -> bool:
        """Remove a row by hand; whether it was there."""

    async def close(self) -> None:
        """Let go of it; it may be opened again."""
