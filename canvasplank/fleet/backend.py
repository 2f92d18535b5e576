"""What the fleet asks of a database."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from canvasplank.database.migrations import Schema
from canvasplank.fleet.state import Answer, Request, Rows

Effects = Iterable[tuple[str, tuple]]  # statements with their parameters; what it yields may wait and look


class Tenure(NamedTuple):
    """What an owner acts under; every effect of it names all three."""

    task: str
    term: int
    owner: int


class TermOverError(Exception):
    """Somebody else owns the task, or nobody: the effect was not done, and nothing of it is there."""

    def __init__(self, tenure: Tenure) -> None:
        super().__init__(f"term {tenure.term} of {tenure.task} is over")


class Backend(Protocol):
    """The rows, behind one lock; methods raise ``StoreUnavailableError`` or ``StoreRefusedError``."""

    async def open(self) -> None:
        """Connect and bring the tables up to date."""

    async def transact(self, request: Request) -> Answer:
        """Apply a request to the rows in one transaction (``ledger.apply``), durably."""

    async def migrate(self, schema: Schema) -> None:
        """Bring another subsystem's tables in the same database up to date."""

    async def act(self, tenure: Tenure, effects: Effects) -> None:
        """Carry out an owner's effects in one transaction, or none of them: ``TermOverError``."""

    async def read(self, statement: str, values: tuple = ()) -> list[tuple]:
        """Rows of one statement that changes nothing."""

    async def look(self) -> Rows:
        """The rows as they are, for the operators."""

    async def forget(self, incarnation: int) -> bool:
        """Remove a row by hand; whether it was there."""

    async def close(self) -> None:
        """Let go of it; it may be opened again."""
