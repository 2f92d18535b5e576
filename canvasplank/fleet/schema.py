"""The fleet's tables and statements, and rows from and to them (see ``engine.migrations`` for the SQL)."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from canvasplank.database.migrations import Schema
from canvasplank.fleet.state import FORM, Allocation, FleetState, Member, Task

LOG = logging.getLogger(__name__)

SCHEMA = Schema(
    "fleet_schema_version",
    7_201_311,
    (
        (
            "CREATE TABLE fleet_state (id integer PRIMARY KEY, next_incarnation bigint NOT NULL)",
            "INSERT INTO fleet_state (id, next_incarnation) VALUES (1, 1)",
            "CREATE TABLE fleet_member (incarnation bigint PRIMARY KEY, name text NOT NULL, "
            "seq bigint NOT NULL, form integer NOT NULL, content text NOT NULL)",
        ),
        (
            "CREATE TABLE fleet_task (task text PRIMARY KEY, term bigint NOT NULL, owner bigint, "
            "failures integer NOT NULL, failed_by bigint, acts bigint NOT NULL)",
        ),
    ),
)
# Everybody locks this row first: one transaction at a time.
LOCK = "SELECT next_incarnation FROM fleet_state WHERE id = 1 FOR UPDATE"
MEMBERS = "SELECT incarnation, name, seq, form, content FROM fleet_member ORDER BY incarnation"
TASKS = "SELECT task, term, owner, failures, failed_by FROM fleet_task ORDER BY task"
SET_NEXT = "UPDATE fleet_state SET next_incarnation = CAST($1 AS bigint) WHERE id = 1"
DELETE = "DELETE FROM fleet_member WHERE incarnation = CAST($1 AS bigint)"
UPSERT = (
    "INSERT INTO fleet_member (incarnation, name, seq, form, content) VALUES (CAST($1 AS bigint), "
    "CAST($2 AS text), CAST($3 AS bigint), CAST($4 AS integer), CAST($5 AS text)) "
    "ON CONFLICT (incarnation) DO UPDATE SET seq = excluded.seq, content = excluded.content"
)
SET_TASK = (
    "INSERT INTO fleet_task (task, term, owner, failures, failed_by, acts) VALUES (CAST($1 AS text), "
    "CAST($2 AS bigint), CAST($3 AS bigint), CAST($4 AS integer), CAST($5 AS bigint), 0) "
    "ON CONFLICT (task) DO UPDATE SET term = excluded.term, owner = excluded.owner, "
    "failures = excluded.failures, failed_by = excluded.failed_by"
)
# The first statement of every effect: it writes, so that the task's row stays locked until the commit, and it
# finds nothing where the term is over.
FENCE = (
    "UPDATE fleet_task SET acts = acts + 1 WHERE task = CAST($1 AS text) AND term = CAST($2 AS bigint) "
    "AND owner = CAST($3 AS bigint)"
)


class Content(msgspec.Struct, frozen=True):
    """What a row holds beside its key, as JSON: a newer version may say more, and this one reads on."""

    max_members: int = msgspec.field(name="most")
    lease_ms: float
    allocations: dict[str, Allocation] = msgspec.field(name="holdings")
    capabilities: tuple[str, ...] = msgspec.field(name="able", default=())
    sees_discovery: bool = msgspec.field(name="hears", default=False)


class Reader:
    """Reads rows; tells once of each that this version cannot read, which is left alone."""

    def __init__(self) -> None:
        self._told: set[int] = set()

    def rows(
        self, next_incarnation: int, found: Iterable[Iterable[Any]], tasks: Iterable[Iterable[Any]]
    ) -> FleetState:
        """The rows of one transaction."""
        members: dict[int, Member] = {}
        unreadable: list[int] = []
        for incarnation, name, seq, form, text in found:
            try:
                if form != FORM:
                    raise msgspec.ValidationError(f"form {form}")
                content = msgspec.json.decode(text, type=Content)
            except msgspec.MsgspecError as error:
                unreadable.append(incarnation)
                self._tell(incarnation, name, error)
                continue
            members[incarnation] = Member(
                incarnation,
                name,
                seq,
                content.max_members,
                content.lease_ms,
                content.allocations,
                content.capabilities,
                content.sees_discovery,
            )
        owned = {name: Task(*rest) for name, *rest in tasks}
        return FleetState(members, next_incarnation, tuple(unreadable), owned)

    def _tell(self, incarnation: int, name: str, error: Exception) -> None:
        if incarnation not in self._told:
            self._told.add(incarnation)
            LOG.warning(
                "fleet: the row of %s (%d) cannot be read and is left alone, and no share grows "
                "while it is there: %s",
                name,
                incarnation,
                error,
            )


def changes(before: FleetState, after: FleetState) -> Iterator[tuple[str, tuple]]:
    """The statements that make one of the other, with their parameters."""
    if after.next_incarnation != before.next_incarnation:
        yield SET_NEXT, (after.next_incarnation,)
    for incarnation in before.members.keys() - after.members.keys():
        yield DELETE, (incarnation,)
    for incarnation, member in after.members.items():
        if before.members.get(incarnation) != member:
            content = Content(
                member.max_members,
                member.lease_ms,
                dict(member.allocations),
                member.capabilities,
                member.sees_discovery,
            )
            yield UPSERT, (incarnation, member.name, member.seq, FORM, msgspec.json.encode(content).decode())
    for name, task in after.tasks.items():
        if before.tasks.get(name) != task:
            yield SET_TASK, (name, task.term, task.owner, task.failures, task.failed_by)
