"""The usage ledger in SQL: who used what in which period, closed once, and corrected by later closings.

A closing looks at every record that none has looked at and that was taken before its period's end, chooses
one record a call, and books the sums under the records' own periods.  A sum of a period that was closed
before is a correction.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from canvasplank.database.migrations import Schema

SCHEMA = Schema(
    "usage_schema_version",
    7_201_312,
    (
        (
            "CREATE TABLE usage_closing (closed_in bigint PRIMARY KEY, term bigint NOT NULL, "
            "exported_term bigint)",
            "CREATE TABLE usage_sum (closed_in bigint NOT NULL, period bigint NOT NULL, "
            "member text NOT NULL, class_name text NOT NULL, final text NOT NULL, "
            "correction integer NOT NULL, calls bigint NOT NULL, "
            "PRIMARY KEY (closed_in, period, member, class_name, final))",
        ),
    ),
)

LAST_CLOSED = "SELECT max(closed_in) FROM usage_closing"
TO_EXPORT = "SELECT closed_in FROM usage_closing WHERE exported_term IS NULL ORDER BY closed_in"
SUMS = (
    "SELECT period, member, class_name, final, correction, calls FROM usage_sum "
    "WHERE closed_in = CAST($1 AS bigint) ORDER BY period, member, class_name, final"
)

_CLOSE = "INSERT INTO usage_closing (closed_in, term) VALUES (CAST($1 AS bigint), CAST($2 AS bigint))"
# One that was not served may yet come again: it is looked at once that time is over.
_WAITS = (
    "closed_in IS NULL AND taken_ms < CAST({before} AS bigint) - CASE WHEN final = 'served' "
    "OR number IS NULL THEN 0 ELSE CAST({repeat} AS bigint) END"
)
_LOOK_AT = "UPDATE call_outcome SET closed_in = CAST($1 AS bigint), counted = 0 WHERE " + _WAITS.format(
    before="$2", repeat="$3"
)
# One record a call: what an earlier closing has counted stands; else the one that served, else the earliest.
_SERVED_FIRST = "(CASE WHEN {0}.final = 'served' THEN 0 ELSE 1 END)"
_THEIRS, _MINE = _SERVED_FIRST.format("other"), _SERVED_FIRST.format("call_outcome")
_CHOOSE = (
    "UPDATE call_outcome SET counted = 1 WHERE closed_in = CAST($1 AS bigint) AND NOT EXISTS ("
    "SELECT 1 FROM call_outcome other WHERE other.call_id = call_outcome.call_id AND ("
    "other.closed_in < call_outcome.closed_in AND other.counted = 1 "
    f"OR other.closed_in = call_outcome.closed_in AND ({_THEIRS} < {_MINE} OR {_THEIRS} = {_MINE} AND ("
    "other.taken_ms < call_outcome.taken_ms "
    "OR other.taken_ms = call_outcome.taken_ms AND other.instance < call_outcome.instance))))"
)
# A caller's repeats are one call, counted with its last try: none that was not served and came again, and
# none that comes again after one that an earlier closing has counted.
_SAME_CALLER = (
    "other.number = call_outcome.number AND other.class_name = call_outcome.class_name "
    "AND COALESCE(other.member, '') = COALESCE(call_outcome.member, '') "
    "AND other.call_id <> call_outcome.call_id"
)
_NO_REPEATS = (
    "UPDATE call_outcome SET counted = 0 WHERE closed_in = CAST($1 AS bigint) AND counted = 1 AND EXISTS ("
    f"SELECT 1 FROM call_outcome other WHERE {_SAME_CALLER} AND ("
    "call_outcome.final <> 'served' AND other.closed_in = call_outcome.closed_in "
    "AND other.taken_ms > call_outcome.taken_ms "
    "AND other.taken_ms <= call_outcome.taken_ms + CAST($2 AS bigint) "
    "OR other.final <> 'served' AND other.closed_in < call_outcome.closed_in AND other.counted = 1 "
    "AND other.taken_ms < call_outcome.taken_ms "
    "AND other.taken_ms >= call_outcome.taken_ms - CAST($2 AS bigint)))"
)
WAITING = "SELECT count(*) FROM call_outcome WHERE " + _WAITS.format(before="$1", repeat="$2")
_BOOK = (
    "INSERT INTO usage_sum (closed_in, period, member, class_name, final, correction, calls) "
    "SELECT CAST($1 AS bigint), taken_ms / CAST($2 AS bigint), COALESCE(member, ''), class_name, final, "
    "CASE WHEN taken_ms / CAST($2 AS bigint) <= CAST($3 AS bigint) THEN 1 ELSE 0 END, count(*) "
    "FROM call_outcome WHERE closed_in = CAST($1 AS bigint) AND counted = 1 "
    "GROUP BY taken_ms / CAST($2 AS bigint), COALESCE(member, ''), class_name, final"
)
_EXPORTED = (
    "UPDATE usage_closing SET exported_term = CAST($1 AS bigint) "
    "WHERE closed_in = CAST($2 AS bigint) AND exported_term IS NULL"
)
_OLD = (
    "FROM call_outcome WHERE taken_ms < CAST($1 AS bigint) AND closed_in IN "
    "(SELECT closed_in FROM usage_closing WHERE exported_term IS NOT NULL)"
)
TO_REMOVE = f"SELECT count(*) {_OLD}"
_RETAIN = f"DELETE {_OLD}"
NONE_CLOSED = -1

Statement = tuple[str, tuple]


class Sum(msgspec.Struct, frozen=True):
    """One line of the ledger."""

    period: int  # number of the period: its start is this many periods after the Unix epoch
    member: str
    class_name: str
    final: str
    correction: int  # 1: of a period that was closed before
    calls: int


def due(now_ms: float, period_ms: int, grace_ms: float) -> int:
    """The newest period that may be closed; the owner's own clock decides."""
    return int((now_ms - grace_ms) // period_ms) - 1


class Closing(NamedTuple):
    """One closing: its number, that of its period unless clocks disagree, and what it takes in."""

    number: int
    before_ms: int


def next_closing(
    now_ms: float, period_ms: int, grace_ms: float, last: int | None, late: bool
) -> Closing | None:
    """What may be closed now, if anything.

    Where the last closing is of a period that by this clock is not over, its owner's clock was ahead of ours:
    ``late``, which is a period after our own last one, what has come since is closed under the next number.
    Guards against records that wait for as long as some clock was wrong.
    """
    period = due(now_ms, period_ms, grace_ms)
    before_ms = (period + 1) * period_ms
    if last is None or last < period:
        return Closing(period, before_ms)
    return Closing(last + 1, before_ms) if last > period and late else None


def closing(
    made: Closing, period_ms: int, repeat_ms: int, last_closed: int | None, term: int
) -> Iterator[Statement]:
    """Closes a period; one that is closed already fails by its key, and changes nothing."""
    yield _CLOSE, (made.number, term)
    yield _LOOK_AT, (made.number, made.before_ms, repeat_ms)
    yield _CHOOSE, (made.number,)
    yield _NO_REPEATS, (made.number, repeat_ms)
    yield _BOOK, (made.number, period_ms, NONE_CLOSED if last_closed is None else last_closed)


def exported(period: int, term: int) -> Iterator[Statement]:
    """Notes that a closing's file is there."""
    yield _EXPORTED, (term, period)


def retention(before_ms: int) -> Iterator[Statement]:
    """Removes records that have been counted and exported, and are older than is kept."""
    yield _RETAIN, (before_ms,)
