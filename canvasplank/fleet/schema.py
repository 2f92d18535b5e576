"""The fleet's tables and SQL statements, and the mapping between their rows and ``FleetState``.

The same SQL is used for both database engines: see ``database.migrations``.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator

import msgspec

from canvasplank.database.migrations import Schema
from canvasplank.database.statements import Statement
from canvasplank.fleet.state import Allocation, FleetState, Member, Task

LOG = logging.getLogger(__name__)

# The format of ``fleet_member.content``, stored in the column ``form``; rows in other formats stay unchanged.
CONTENT_FORMAT = 1

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
# Each transaction locks this row first, so that transactions are executed one at a time.
LOCK_STATE = "SELECT next_incarnation FROM fleet_state WHERE id = 1 FOR UPDATE"
SELECT_MEMBERS = "SELECT incarnation, name, seq, form, content FROM fleet_member ORDER BY incarnation"
SELECT_TASKS = "SELECT task, term, owner, failures, failed_by FROM fleet_task ORDER BY task"
UPDATE_NEXT_INCARNATION = "UPDATE fleet_state SET next_incarnation = CAST($1 AS bigint) WHERE id = 1"
DELETE_MEMBER = "DELETE FROM fleet_member WHERE incarnation = CAST($1 AS bigint)"
UPSERT_MEMBER = (
    "INSERT INTO fleet_member (incarnation, name, seq, form, content) VALUES (CAST($1 AS bigint), "
    "CAST($2 AS text), CAST($3 AS bigint), CAST($4 AS integer), CAST($5 AS text)) "
    "ON CONFLICT (incarnation) DO UPDATE SET seq = excluded.seq, content = excluded.content"
)
UPSERT_TASK = (
    "INSERT INTO fleet_task (task, term, owner, failures, failed_by, acts) VALUES (CAST($1 AS text), "
    "CAST($2 AS bigint), CAST($3 AS bigint), CAST($4 AS integer), CAST($5 AS bigint), 0) "
    "ON CONFLICT (task) DO UPDATE SET term = excluded.term, owner = excluded.owner, "
    "failures = excluded.failures, failed_by = excluded.failed_by"
)
# The first statement of each fenced transaction.  It writes, so that the task's row stays locked until the
# commit; it updates no row if the token's term has ended.
FENCE = (
    "UPDATE fleet_task SET acts = acts + 1 WHERE task = CAST($1 AS text) AND term = CAST($2 AS bigint) "
    "AND owner = CAST($3 AS bigint)"
)


class MemberContent(msgspec.Struct, frozen=True):
    """The JSON document in ``fleet_member.content``.  Unknown keys, from a newer version, are ignored."""

    max_members: int = msgspec.field(name="most")
    lease_ms: float
    allocations: dict[str, Allocation] = msgspec.field(name="holdings")
    capabilities: tuple[str, ...] = msgspec.field(name="able", default=())
    sees_discovery: bool = msgspec.field(name="hears", default=False)


MemberRow = tuple[int, str, int, int, str]  # the columns of SELECT_MEMBERS
TaskRow = tuple[str, int, int | None, int, int | None]  # the columns of SELECT_TASKS


class StateReader:
    """Decodes the fleet's state; logs only once for each member that this version cannot read."""

    def __init__(self) -> None:
        self._logged_unreadable: set[int] = set()

    def read(
        self, next_incarnation: int, member_rows: Iterable[MemberRow], task_rows: Iterable[TaskRow]
    ) -> FleetState:
        """Return the state from the rows that one transaction read."""
        members: dict[int, Member] = {}
        unreadable: list[int] = []
        for incarnation, name, seq, form, text in member_rows:
            try:
                if form != CONTENT_FORMAT:
                    raise msgspec.ValidationError(f"unknown form {form}")
                content = msgspec.json.decode(text, type=MemberContent)
            except msgspec.MsgspecError as error:
                unreadable.append(incarnation)
                self._log_unreadable(incarnation, name, error)
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
        tasks = {
            name: Task(term, owner, failures, failed_by)
            for name, term, owner, failures, failed_by in task_rows
        }
        return FleetState(members, next_incarnation, tuple(unreadable), tasks)

    def _log_unreadable(self, incarnation: int, name: str, error: Exception) -> None:
        if incarnation not in self._logged_unreadable:
            self._logged_unreadable.add(incarnation)
            LOG.warning(
                "fleet: the row of member %s (incarnation %d) cannot be read and is not changed; "
                "no share grows while it exists: %s",
                name,
                incarnation,
                error,
            )


def diff_statements(before: FleetState, after: FleetState) -> Iterator[Statement]:
    """Yield the statements that change the stored state from ``before`` to ``after``."""
    if after.next_incarnation != before.next_incarnation:
        yield Statement(UPDATE_NEXT_INCARNATION, (after.next_incarnation,))
    for incarnation in before.members.keys() - after.members.keys():
        yield Statement(DELETE_MEMBER, (incarnation,))
    for incarnation, member in after.members.items():
        if before.members.get(incarnation) != member:
            content = MemberContent(
                member.max_members,
                member.lease_ms,
                dict(member.allocations),
                member.capabilities,
                member.sees_discovery,
            )
            text = msgspec.json.encode(content).decode()
            yield Statement(UPSERT_MEMBER, (incarnation, member.name, member.seq, CONTENT_FORMAT, text))
    for name, task in after.tasks.items():
        if before.tasks.get(name) != task:
            yield Statement(UPSERT_TASK, (name, task.term, task.owner, task.failures, task.failed_by))
