"""What the fleet asks of a database."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from canvasplank.database.migrations import Schema
from canvasplank.fleet.lease_messages import LeaseRequest, LeaseResponse
from canvasplank.fleet.state import FleetState

Statements = Iterable[tuple[str, tuple]]  # statements with their parameters; what it yields may wait and look


class FencingToken(NamedTuple):
    """What an owner acts under; every effect of it names all three."""

    task: str
    term: int
    owner: int


class StaleTermError(Exception):
    """Somebody else owns the task, or nobody: the effect was not done, and nothing of it is there."""

    def __init__(self, token: FencingToken) -> None:
        super().__init__(f"term {token.term} of {token.task} is over")


class Backend(Protocol):
    """The rows, behind one lock; methods raise ``StoreUnavailableError`` or ``StoreRefusedError``."""

    async def open(self) -> None:
        """Connect and bring the tables up to date."""

    async def transact(self, request: LeaseRequest) -> LeaseResponse:
        """Apply a request to the rows in one transaction (``ledger.apply``), durably."""

    async def migrate(self, schema: Schema) -> None:
        """Bring another subsystem's tables in the same database up to date."""

    async def execute_fenced(self, token: FencingToken, statements: Statements) -> None:
        """Carry out an owner's effects in one transaction, or none of them: ``StaleTermError``."""

    async def read(self, statement: str, values: tuple = ()) -> list[tuple]:
        """Rows of one statement that changes nothing."""

    async def read_state(self) -> FleetState:
        """The rows as they are, for the operators."""

    async def remove_member(self, incarnation: int) -> bool:
        """Remove a row by hand; whether it was there."""

    async def close(self) -> None:
        """Let go of it; it may be opened again."""
