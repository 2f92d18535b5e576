"""What one transaction does to the fleet's rows: the one place where anything is granted.

Both engines, and the model checker, run this same code on the rows they have locked.  It does no I/O and has
no clock: that somebody is dead is said by whoever watched its row for a lease.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec

from canvasplank.fleet.fair_division import divide
from canvasplank.fleet.state import Answer, Grant, Holding, Member, Request, Rows, Sign, Task


def apply(rows: Rows, request: Request) -> tuple[Rows, Answer]:
    """The rows after a request, and its answer; ``rows`` itself is not changed."""
    members = dict(rows.members)
    for sign in request.dead:
        known = members.get(sign.incarnation)
        # Guards against removing one that has renewed since it was last seen.
        if known is not None and known.seq == sign.seq and sign.incarnation != request.incarnation:
            del members[sign.incarnation]
    after = replace(rows, members=members)
    if request.incarnation is None:
        return _join(after, request)
    known = members.get(request.incarnation)
    if known is None:
        return after, _none(after, request, "the lease is over")
    if request.seq <= known.seq:
        # Guards against a request that comes late, or twice, undoing a newer one.
        return rows, _none(rows, request, "an old request")
    if request.leaving:
        del members[request.incarnation]
        return after, _none(after, request, "left")
    if any(_held(known, budget) < holding.held for budget, holding in request.using.items()):
        # It believes that it holds what nobody granted it: what it has is not to be built on.
        del members[request.incarnation]
        return after, _none(after, request, "it uses more than it was granted")
    return _grant(after, request, request.incarnation)


def _join(rows: Rows, request: Request) -> tuple[Rows, Answer]:
    most = min([request.most, *(member.most for member in rows.members.values())])
    if len(rows.members) + len(rows.unreadable) >= most:
        return rows, _none(rows, request, f"there are {most} already")
    incarnation = rows.next_incarnation
    fresh = {budget: msgspec.structs.replace(holding, held=0) for budget, holding in request.using.items()}
    joined = replace(rows, next_incarnation=incarnation + 1)
    return _grant(joined, msgspec.structs.replace(request, using=fresh), incarnation)


def _grant(rows: Rows, request: Request, incarnation: int) -> tuple[Rows, Answer]:
    """Write what it uses, and add to that what it should have and nobody holds."""
    others = {key: member for key, member in rows.members.items() if key != incarnation}
    grants: dict[str, Grant] = {}
    holdings: dict[str, Holding] = {}
    for budget, mine in request.using.items():
        theirs = {key: m.holdings[budget] for key, m in others.items() if budget in m.holdings}
        whole = leased([mine, *theirs.values()])
        wants = {key: holding.demand for key, holding in (theirs | {incarnation: mine}).items()}
        target = divide(whole, dict(sorted(wants.items())))[incarnation]
        free = whole - mine.held - sum(holding.held for holding in theirs.values())
        if rows.unreadable:  # whoever they are, they may hold all of the rest
            free = 0
        share = max(mine.held, min(target, mine.held + free))
        grants[budget] = Grant(share, target)
        holdings[budget] = msgspec.structs.replace(mine, held=share)
    member = Member(
        incarnation,
        request.name,
        request.seq,
        request.most,
        request.lease_ms,
        holdings,
        request.able,
        request.hears,
    )
    after = _assign(replace(rows, members=others | {incarnation: member}), request, incarnation)
    hear = sum(other.hears for other in others.values())
    return after, Answer(incarnation, request.seq, grants, _signs(after), tasks=after.tasks, hear=hear)


def _assign(rows: Rows, request: Request, me: int) -> Rows:
    """Take what it gives up, and give it what is free and its turn; each new owner has a term of its own."""
    tasks = dict(rows.tasks)
    for name, task in rows.tasks.items():
        if task.owner == me and name in request.given_up:
            tasks[name] = Task(task.term, None, task.failures + 1, me)
        elif task.owner == me and name not in request.able:
            tasks[name] = msgspec.structs.replace(task, owner=None)  # handed over
        elif task.owner == me and name in request.done and task.failures:
            tasks[name] = msgspec.structs.replace(task, failures=0, failed_by=None)
    for name, failures in request.ready.items():
        task = tasks.get(name, Task())
        free = task.owner not in rows.members and name not in request.given_up
        # Guards against taking what has just failed elsewhere, without the wait that its failures ask for.
        if free and task.failures == failures and _turn(rows, tasks, name, me):
            tasks[name] = msgspec.structs.replace(task, term=task.term + 1, owner=me)
    return replace(rows, tasks=tasks)


def _turn(rows: Rows, tasks: dict[str, Task], name: str, me: int) -> bool:
    """Whether nobody else who would do it owns less, or has not just failed at it where this one has."""
    failed_by = tasks.get(name, Task()).failed_by
    others = [
        key for key, member in rows.members.items() if name in member.able and key not in (me, failed_by)
    ]
    if failed_by == me and any(name in m.able for key, m in rows.members.items() if key != me):
        return False
    owned = {key: sum(task.owner == key for task in tasks.values()) for key in (me, *others)}
    return all(owned[me] <= owned[key] for key in others)


def leased(holdings: list[Holding]) -> int:
    """What may be leased of a budget: where files differ, the smallest whole less the largest reserve."""
    return max(0, min(h.whole for h in holdings) - max(h.reserve for h in holdings))


def _held(member: Member, budget: str) -> int:
    holding = member.holdings.get(budget)
    return 0 if holding is None else holding.held


def _signs(rows: Rows) -> tuple[Sign, ...]:
    return tuple(Sign(key, member.seq, member.lease_ms) for key, member in sorted(rows.members.items()))


def _none(rows: Rows, request: Request, why: str) -> Answer:
    return Answer(None, request.seq, {}, _signs(rows), why)
