"""The usage ledger in SQL: the numbers of calls by tenant, class and final answer in each period.

Each period is closed once.  The closing claims all unclaimed records of calls taken before the end of the
period, counts one record per call, and inserts the sums under the periods in which the calls were taken.  A
sum for a period that an earlier closing has closed is a correction.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from canvasplank.database.migrations import Schema
from canvasplank.database.statements import Statement

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

SELECT_LAST_CLOSING = "SELECT max(closed_in) FROM usage_closing"
SELECT_UNEXPORTED = "SELECT closed_in FROM usage_closing WHERE exported_term IS NULL ORDER BY closed_in"
SELECT_SUMS = (
    "SELECT period, member, class_name, final, correction, calls FROM usage_sum "
    "WHERE closed_in = CAST($1 AS bigint) ORDER BY period, member, class_name, final"
)

_INSERT_CLOSING = (
    "INSERT INTO usage_closing (closed_in, term) VALUES (CAST($1 AS bigint), CAST($2 AS bigint))"
)
# A caller may repeat an unserved call, so its record is claimed only after the repeat window.  A record
# without a number need not wait, since repeats are recognized by the number.
_CLOSABLE = (
    "closed_in IS NULL AND taken_ms < CAST({before} AS bigint) - CASE WHEN final = 'served' "
    "OR number IS NULL THEN 0 ELSE CAST({repeat} AS bigint) END"
)
_CLAIM_RECORDS = (
    "UPDATE call_outcome SET closed_in = CAST($1 AS bigint), counted = 0 WHERE "
    + _CLOSABLE.format(before="$2", repeat="$3")
)
# Counts one record per call.  A record that an earlier closing has counted takes precedence; then come served
# records, then earlier ones, then those of the instance whose name sorts first.
_SERVED_RANK = "(CASE WHEN {0}.final = 'served' THEN 0 ELSE 1 END)"
_OTHER_RANK, _OWN_RANK = _SERVED_RANK.format("other"), _SERVED_RANK.format("call_outcome")
_COUNT_ONE_PER_CALL = (
    "UPDATE call_outcome SET counted = 1 WHERE closed_in = CAST($1 AS bigint) AND NOT EXISTS ("
    "SELECT 1 FROM call_outcome other WHERE other.call_id = call_outcome.call_id AND ("
    "other.closed_in < call_outcome.closed_in AND other.counted = 1 "
    f"OR other.closed_in = call_outcome.closed_in AND ({_OTHER_RANK} < {_OWN_RANK} "
    f"OR {_OTHER_RANK} = {_OWN_RANK} AND ("
    "other.taken_ms < call_outcome.taken_ms "
    "OR other.taken_ms = call_outcome.taken_ms AND other.instance < call_outcome.instance))))"
)
# A call and the caller's repeats of it count as one call, with the last attempt.  An unserved attempt that
# was repeated does not count, nor does a repeat of an attempt that an earlier closing has counted.
_SAME_CALLER = (
    "other.number = call_outcome.number AND other.class_name = call_outcome.class_name "
    "AND COALESCE(other.member, '') = COALESCE(call_outcome.member, '') "
    "AND other.call_id <> call_outcome.call_id"
)
_DISCOUNT_REPEATS = (
    "UPDATE call_outcome SET counted = 0 WHERE closed_in = CAST($1 AS bigint) AND counted = 1 AND EXISTS ("
    f"SELECT 1 FROM call_outcome other WHERE {_SAME_CALLER} AND ("
    "call_outcome.final <> 'served' AND other.closed_in = call_outcome.closed_in "
    "AND other.taken_ms > call_outcome.taken_ms "
    "AND other.taken_ms <= call_outcome.taken_ms + CAST($2 AS bigint) "
    "OR other.final <> 'served' AND other.closed_in < call_outcome.closed_in AND other.counted = 1 "
    "AND other.taken_ms < call_outcome.taken_ms "
    "AND other.taken_ms >= call_outcome.taken_ms - CAST($2 AS bigint)))"
)
COUNT_CLOSABLE = "SELECT count(*) FROM call_outcome WHERE " + _CLOSABLE.format(before="$1", repeat="$2")
_INSERT_SUMS = (
    "INSERT INTO usage_sum (closed_in, period, member, class_name, final, correction, calls) "
    "SELECT CAST($1 AS bigint), taken_ms / CAST($2 AS bigint), COALESCE(member, ''), class_name, final, "
    "CASE WHEN taken_ms / CAST($2 AS bigint) <= CAST($3 AS bigint) THEN 1 ELSE 0 END, count(*) "
    "FROM call_outcome WHERE closed_in = CAST($1 AS bigint) AND counted = 1 "
    "GROUP BY taken_ms / CAST($2 AS bigint), COALESCE(member, ''), class_name, final"
)
_MARK_EXPORTED = (
    "UPDATE usage_closing SET exported_term = CAST($1 AS bigint) "
    "WHERE closed_in = CAST($2 AS bigint) AND exported_term IS NULL"
)
_EXPIRED = (
    "FROM call_outcome WHERE taken_ms < CAST($1 AS bigint) AND closed_in IN "
    "(SELECT closed_in FROM usage_closing WHERE exported_term IS NOT NULL)"
)
COUNT_EXPIRED = f"SELECT count(*) {_EXPIRED}"
_DELETE_EXPIRED = f"DELETE {_EXPIRED}"
NO_CLOSED_PERIOD = -1  # less than the number of any period


class UsageSum(msgspec.Struct, frozen=True):
    """One row of ``usage_sum``: the calls of one tenant and class with one final answer in one period."""

    period: int  # the number of periods from the Unix epoch to the start of this one
    member: str  # the tenant; empty if the record names none
    class_name: str
    final: str
    correction: int  # 1 if an earlier closing had already closed the period, else 0
    calls: int


def newest_closable_period(now_ms: float, period_ms: int, grace_ms: float) -> int:
    """Return the newest period whose grace time has passed, by the leader's clock in Unix milliseconds."""
    return int((now_ms - grace_ms) // period_ms) - 1


class Closing(NamedTuple):
    """A closing of the ledger."""

    number: int  # the number of its period, unless the clocks of two leaders differ (see ``next_closing``)
    before_ms: int  # the closing claims the records of calls taken before this Unix time


def next_closing(
    now_ms: float, period_ms: int, grace_ms: float, last: int | None, overdue: bool
) -> Closing | None:
    """Return the closing that is due now after closing number ``last``, or None.

    If ``last`` is later than the newest closable period by this clock, the clock of the leader that made that
    closing was ahead.  The records since then are closed under the next number once ``overdue`` is set, which
    is one period after this process's own last closing.  Otherwise those records would wait for as long as
    that clock was ahead.
    """
    period = newest_closable_period(now_ms, period_ms, grace_ms)
    before_ms = (period + 1) * period_ms
    if last is None or last < period:
        return Closing(period, before_ms)
    return Closing(last + 1, before_ms) if last > period and overdue else None


def closing_statements(
    closing: Closing, period_ms: int, repeat_ms: int, last_closed: int | None, term: int
) -> Iterator[Statement]:
    """Yield the statements of a closing; the first violates the primary key if the number is in use."""
    yield Statement(_INSERT_CLOSING, (closing.number, term))
    yield Statement(_CLAIM_RECORDS, (closing.number, closing.before_ms, repeat_ms))
    yield Statement(_COUNT_ONE_PER_CALL, (closing.number,))
    yield Statement(_DISCOUNT_REPEATS, (closing.number, repeat_ms))
    yield Statement(
        _INSERT_SUMS, (closing.number, period_ms, NO_CLOSED_PERIOD if last_closed is None else last_closed)
    )


def mark_exported_statements(number: int, term: int) -> Iterator[Statement]:
    """Yield the statement that marks a closing as exported."""
    yield Statement(_MARK_EXPORTED, (term, number))


def retention_statements(before_ms: int) -> Iterator[Statement]:
    """Yield the statement that deletes exported records of calls taken before this Unix time."""
    yield Statement(_DELETE_EXPIRED, (before_ms,))
