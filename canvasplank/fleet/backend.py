"""The interface to the fleet's database, and fencing tokens for the effects of tasks."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from canvasplank.database.migrations import Schema
from canvasplank.database.statements import SelectedRow, Statement
from canvasplank.fleet.lease_messages import LeaseRequest, LeaseResponse
from canvasplank.fleet.state import FleetState

# A plain pair of SQL and parameters is accepted too.  The iterable is consumed within the transaction.
Statements = Iterable[Statement | tuple[str, tuple[object, ...]]]


class FencingToken(NamedTuple):
    """Identifies one period of ownership of a task; the store checks it before each effect of the task."""

    task: str
    term: int
    owner: int  # the owner's incarnation


class StaleTermError(Exception):
    """The token's term has ended, so the store did not execute any of the statements."""

    def __init__(self, token: FencingToken) -> None:
        super().__init__(f"term {token.term} of task {token.task} has ended")


class Backend(Protocol):
    """The fleet's state in a database, which serializes all transactions on it.

    All methods may raise ``DatabaseUnavailableError`` or ``DataRejectedError``.
    """

    async def open(self) -> None:
        """Connect and migrate the fleet's tables to the current schema version."""

    async def transact(self, request: LeaseRequest) -> LeaseResponse:
        """Apply a request in one durable transaction and return its response; see ``lease_transaction``."""

    async def migrate(self, schema: Schema) -> None:
        """Migrate another subsystem's tables in the same database to the current schema version."""

    async def execute_fenced(self, token: FencingToken, statements: Statements) -> None:
        """Execute all statements in one transaction; raises ``StaleTermError`` if the term has ended."""

    async def read(self, sql: str, parameters: tuple[object, ...] = ()) -> list[SelectedRow]:
        """Return the rows of one read-only statement."""

    async def read_state(self) -> FleetState:
        """Return the current state, for the command line."""

    async def remove_member(self, incarnation: int) -> bool:
        """Remove a member, for the command line; returns False if there is no such member."""

    async def close(self) -> None:
        """Close the connection; the backend may be opened again."""
