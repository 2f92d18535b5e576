"""The operations on the fleet's database, and the fencing of effects by terms."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple, Protocol

from canvasplank.database.migrations import Schema
from canvasplank.fleet.lease_messages import LeaseRequest, LeaseResponse
from canvasplank.fleet.schema import Statement
from canvasplank.fleet.state import FleetState

# A plain pair of SQL and parameters serves as well.  The iterable is read within the transaction.
Statements = Iterable[Statement | tuple[str, tuple[object, ...]]]
Row = tuple[Any, ...]  # the columns that a statement names


class FencingToken(NamedTuple):
    """Identifies one ownership of a task; each of its effects is carried out under it."""

    task: str
    term: int
    owner: int  # an incarnation


class StaleTermError(Exception):
    """The token's owner does not own the task in this term any more; nothing of the effect was done."""

    def __init__(self, token: FencingToken) -> None:
        super().__init__(f"term {token.term} of {token.task} is over")


class Backend(Protocol):
    """The fleet's state behind one lock; methods raise ``StoreUnavailableError`` or ``StoreRefusedError``."""

    async def open(self) -> None:
        """Connect and bring the tables up to date."""

    async def transact(self, request: LeaseRequest) -> LeaseResponse:
        """Apply a request in one durable transaction; see ``lease_transaction.apply``."""

    async def migrate(self, schema: Schema) -> None:
        """Bring another subsystem's tables in the same database up to date."""

    async def execute_fenced(self, token: FencingToken, statements: Statements) -> None:
        """Carry out all statements in one transaction, or none: raises ``StaleTermError``."""

    async def read(self, sql: str, parameters: tuple[object, ...] = ()) -> list[Row]:
        """The rows of one statement that changes nothing."""

    async def read_state(self) -> FleetState:
        """The current state, for the operators' commands."""

    async def remove_member(self, incarnation: int) -> bool:
        """Remove a member, for the operators' commands; whether there was one."""

    async def close(self) -> None:
        """Close the connection; it may be opened again."""
