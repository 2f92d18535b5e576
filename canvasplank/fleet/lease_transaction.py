"""What one transaction does to the fleet's rows: the one place where anything is granted.

Both engines, and the model checker, run this same code on the rows they have locked.  It does no I/O and has
no clock: that somebody is dead is said by whoever watched its row for a lease.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec

from canvasplank.fleet.fair_division import divide
from canvasplank.fleet.lease_messages import Grant, Heartbeat, LeaseRequest, LeaseResponse
from canvasplank.fleet.state import Allocation, FleetState, Member, Task


def apply(rows: FleetState, request: LeaseRequest) -> tuple[FleetState, LeaseResponse]:
    """The rows after a request, and its answer; ``rows`` itself is not changed."""
    members = dict(rows.members)
    for heartbeat in request.expired:
        known = members.get(heartbeat.incarnation)
        # Guards against removing one that has renewed since it was last seen.
        if known is not None and known.seq == heartbeat.seq and heartbeat.incarnation != request.incarnation:
            del members[heartbeat.incarnation]
    after = replace(rows, members=members)
    if request.incarnation is None:
        return _join(after, request)
    known = members.get(request.incarnation)
    if known is None:
        return after, _without_lease(after, request, "the lease is over")
    if request.seq <= known.seq:
        # Guards against a request that comes late, or twice, undoing a newer one.
        return rows, _without_lease(rows, request, "an old request")
    if request.leaving:
        del members[request.incarnation]
        return after, _without_lease(after, request, "left")
    if any(_held(known, budget) < allocation.held for budget, allocation in request.in_use.items()):
        # It believes that it holds what nobody granted it: what it has is not to be built on.
        del members[request.incarnation]
        return after, _without_lease(after, request, "it uses more than it was granted")
    return _grant(after, request, request.incarnation)


def _join(rows: FleetState, request: LeaseRequest) -> tuple[FleetState, LeaseResponse]:
    max_members = min([request.max_members, *(member.max_members for member in rows.members.values())])
    if len(rows.members) + len(rows.unreadable) >= max_members:
        return rows, _without_lease(rows, request, f"there are {max_members} already")
    incarnation = rows.next_incarnation
    fresh = {
        budget: msgspec.structs.replace(allocation, held=0) for budget, allocation in request.in_use.items()
    }
    joined = replace(rows, next_incarnation=incarnation + 1)
    return _grant(joined, msgspec.structs.replace(request, in_use=fresh), incarnation)


def _grant(rows: FleetState, request: LeaseRequest, incarnation: int) -> tuple[FleetState, LeaseResponse]:
    """Write what it uses, and add to that what it should have and nobody holds."""
    others = {key: member for key, member in rows.members.items() if key != incarnation}
    grants: dict[str, Grant] = {}
    allocations: dict[str, Allocation] = {}
    for budget, own in request.in_use.items():
        others_allocations = {
            key: m.allocations[budget] for key, m in others.items() if budget in m.allocations
        }
        total = leased([own, *others_allocations.values()])
        demands = {
            key: allocation.demand for key, allocation in (others_allocations | {incarnation: own}).items()
        }
        target = divide(total, dict(sorted(demands.items())))[incarnation]
        free = total - own.held - sum(allocation.held for allocation in others_allocations.values())
        if rows.unreadable:  # whoever they are, they may hold all of the rest
            free = 0
        share = max(own.held, min(target, own.held + free))
        grants[budget] = Grant(share, target)
        allocations[budget] = msgspec.structs.replace(own, held=share)
    member = Member(
        incarnation,
        request.name,
        request.seq,
        request.max_members,
        request.lease_ms,
        allocations,
        request.capabilities,
        request.sees_discovery,
    )
    after = _assign(replace(rows, members=others | {incarnation: member}), request, incarnation)
    members_seeing_discovery = sum(other.sees_discovery for other in others.values())
    return after, LeaseResponse(
        incarnation,
        request.seq,
        grants,
        _heartbeats(after),
        tasks=after.tasks,
        members_seeing_discovery=members_seeing_discovery,
    )


def _assign(rows: FleetState, request: LeaseRequest, incarnation: int) -> FleetState:
    """Take what it gives up, and give it what is free and its turn; each new owner has a term of its own."""
    tasks = dict(rows.tasks)
    for name, task in rows.tasks.items():
        if task.owner == incarnation and name in request.given_up:
            tasks[name] = Task(task.term, None, task.failures + 1, incarnation)
        elif task.owner == incarnation and name not in request.capabilities:
            tasks[name] = msgspec.structs.replace(task, owner=None)  # handed over
        elif task.owner == incarnation and name in request.done and task.failures:
            tasks[name] = msgspec.structs.replace(task, failures=0, failed_by=None)
    for name, failures in request.ready.items():
        task = tasks.get(name, Task())
        free = task.owner not in rows.members and name not in request.given_up
        # Guards against taking what has just failed elsewhere, without the wait that its failures ask for.
        if free and task.failures == failures and _is_next_owner(rows, tasks, name, incarnation):
            tasks[name] = msgspec.structs.replace(task, term=task.term + 1, owner=incarnation)
    return replace(rows, tasks=tasks)


def _is_next_owner(rows: FleetState, tasks: dict[str, Task], name: str, incarnation: int) -> bool:
    """Whether nobody else who would do it owns less, or has not just failed at it where this one has."""
    failed_by = tasks.get(name, Task()).failed_by
    others = [
        key
        for key, member in rows.members.items()
        if name in member.capabilities and key not in (incarnation, failed_by)
    ]
    if failed_by == incarnation and any(
        name in m.capabilities for key, m in rows.members.items() if key != incarnation
    ):
        return False
    owned = {key: sum(task.owner == key for task in tasks.values()) for key in (incarnation, *others)}
    return all(owned[incarnation] <= owned[key] for key in others)


def leased(allocations: list[Allocation]) -> int:
    """What may be leased of a budget: where files differ, the smallest whole less the largest reserve."""
    return max(0, min(h.total for h in allocations) - max(h.reserve for h in allocations))


def _held(member: Member, budget: str) -> int:
    allocation = member.allocations.get(budget)
    return 0 if allocation is None else allocation.held


def _heartbeats(rows: FleetState) -> tuple[Heartbeat, ...]:
    return tuple(Heartbeat(key, member.seq, member.lease_ms) for key, member in sorted(rows.members.items()))


def _without_lease(rows: FleetState, request: LeaseRequest, reason: str) -> LeaseResponse:
    return LeaseResponse(None, request.seq, {}, _heartbeats(rows), reason)
