"""The lease transaction: applies one request to the fleet's state.  Only this code grants shares and tasks.

Both database engines run it on the locked state, and the model checker runs it on its own state.  This module
does no I/O and reads no clock: the sender's failure detector decides which members' leases have expired, and
the request names them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

import msgspec

from canvasplank.fleet.fair_division import divide
from canvasplank.fleet.lease_messages import Grant, Heartbeat, LeaseRequest, LeaseResponse
from canvasplank.fleet.state import Allocation, FleetState, Member, Task


def apply(state: FleetState, request: LeaseRequest) -> tuple[FleetState, LeaseResponse]:
    """Return the state after a request, and the response; ``state`` itself is not changed."""
    unexpired = _without_expired(state, request)
    if request.incarnation is None:
        return _join(unexpired, request)
    sender = unexpired.members.get(request.incarnation)
    if sender is None:
        return unexpired, _response_without_lease(unexpired, request, "the lease has expired")
    if request.seq <= sender.seq:  # a delayed or duplicate request must not undo a newer one
        return state, _response_without_lease(state, request, "the request is stale")
    if request.leaving:
        return _remove(unexpired, request, sender, "the member has left")
    if _uses_more_than_granted(sender, request):  # the sender's view of its shares cannot be relied on
        return _remove(unexpired, request, sender, "the member uses more than it was granted")
    return _renew(unexpired, request, sender.incarnation)


def _without_expired(state: FleetState, request: LeaseRequest) -> FleetState:
    """Remove the members that the request reports as expired, unless they have renewed meanwhile."""
    expired = {
        (heartbeat.incarnation, heartbeat.seq)
        for heartbeat in request.expired
        if heartbeat.incarnation != request.incarnation
    }
    members = {key: member for key, member in state.members.items() if (key, member.seq) not in expired}
    return replace(state, members=members)


def _remove(
    state: FleetState, request: LeaseRequest, sender: Member, reason: str
) -> tuple[FleetState, LeaseResponse]:
    members = {key: member for key, member in state.members.items() if key != sender.incarnation}
    after = replace(state, members=members)
    return after, _response_without_lease(after, request, reason)


def _uses_more_than_granted(sender: Member, request: LeaseRequest) -> bool:
    return any(_held(sender, budget) < allocation.held for budget, allocation in request.in_use.items())


def _join(state: FleetState, request: LeaseRequest) -> tuple[FleetState, LeaseResponse]:
    max_members = min([request.max_members, *(member.max_members for member in state.members.values())])
    if len(state.members) + len(state.unreadable) >= max_members:
        return state, _response_without_lease(state, request, f"there are {max_members} members already")
    incarnation = state.next_incarnation
    without_shares = {
        budget: msgspec.structs.replace(allocation, held=0) for budget, allocation in request.in_use.items()
    }
    joined = replace(state, next_incarnation=incarnation + 1)
    return _renew(joined, msgspec.structs.replace(request, in_use=without_shares), incarnation)


def _renew(state: FleetState, request: LeaseRequest, incarnation: int) -> tuple[FleetState, LeaseResponse]:
    """Store the member's use of each budget, and grant it free shares and tasks."""
    others = {key: member for key, member in state.members.items() if key != incarnation}
    grants = {
        budget: _grant(budget, own, others, incarnation, nothing_free=bool(state.unreadable))
        for budget, own in request.in_use.items()
    }
    member = Member(
        incarnation,
        request.name,
        request.seq,
        request.max_members,
        request.lease_ms,
        {
            budget: msgspec.structs.replace(own, held=grants[budget].share)
            for budget, own in request.in_use.items()
        },
        request.capabilities,
        request.sees_discovery,
    )
    after = _assign(replace(state, members=others | {incarnation: member}), request, incarnation)
    return after, LeaseResponse(
        incarnation,
        request.seq,
        grants,
        _heartbeats(after),
        tasks=after.tasks,
        members_seeing_discovery=sum(other.sees_discovery for other in others.values()),
    )


def _grant(
    budget: str, own: Allocation, others: Mapping[int, Member], incarnation: int, *, nothing_free: bool
) -> Grant:
    """Return the member's share of one budget: what it uses, raised to its target as far as the rest is free.

    ``nothing_free`` is set while there are unreadable members, since they may hold all of the rest.
    """
    allocations = {key: m.allocations[budget] for key, m in others.items() if budget in m.allocations}
    total = leasable_total([own, *allocations.values()])
    demands = {key: each.demand for key, each in (allocations | {incarnation: own}).items()}
    target = divide(total, dict(sorted(demands.items())))[incarnation]
    free = total - own.held - sum(each.held for each in allocations.values())
    if nothing_free:
        free = 0
    return Grant(max(own.held, min(target, own.held + free)), target)


def _assign(state: FleetState, request: LeaseRequest, incarnation: int) -> FleetState:
    """Release the tasks that the member gives up, and assign free ones to it, each with a new term."""
    tasks = dict(state.tasks)
    for name, task in state.tasks.items():
        if task.owner == incarnation and name in request.given_up:
            tasks[name] = Task(task.term, None, task.failures + 1, incarnation)
        elif task.owner == incarnation and name not in request.capabilities:
            tasks[name] = msgspec.structs.replace(task, owner=None)  # the member can no longer own the task
        elif task.owner == incarnation and name in request.done and task.failures:
            tasks[name] = msgspec.structs.replace(task, failures=0, failed_by=None)
    for name, failures in request.ready.items():
        task = tasks.get(name, Task())
        free = task.owner not in state.members and name not in request.given_up
        # A member that does not know of the newest failure has not waited for the backoff after it.
        if free and task.failures == failures and _is_next_owner(state, tasks, name, incarnation):
            tasks[name] = msgspec.structs.replace(task, term=task.term + 1, owner=incarnation)
    return replace(state, tasks=tasks)


def _is_next_owner(state: FleetState, tasks: Mapping[str, Task], name: str, incarnation: int) -> bool:
    """Return whether the member is the preferred owner among the members capable of the task.

    A member that was the last to fail at the task yields to any other, and a member that owns more tasks
    yields to one that owns fewer.
    """
    failed_by = tasks.get(name, Task()).failed_by
    others = [
        key
        for key, member in state.members.items()
        if name in member.capabilities and key not in (incarnation, failed_by)
    ]
    if failed_by == incarnation and any(
        name in m.capabilities for key, m in state.members.items() if key != incarnation
    ):
        return False
    owned = {key: sum(task.owner == key for task in tasks.values()) for key in (incarnation, *others)}
    return all(owned[incarnation] <= owned[key] for key in others)


def leasable_total(allocations: list[Allocation]) -> int:
    """Return how much of a budget may be leased, in thousandths per second.

    If configurations differ, this is the smallest total minus the largest reserve.
    """
    return max(0, min(each.total for each in allocations) - max(each.reserve for each in allocations))


def _held(member: Member, budget: str) -> int:
    allocation = member.allocations.get(budget)
    return 0 if allocation is None else allocation.held


def _heartbeats(state: FleetState) -> tuple[Heartbeat, ...]:
    return tuple(Heartbeat(key, member.seq, member.lease_ms) for key, member in sorted(state.members.items()))


def _response_without_lease(state: FleetState, request: LeaseRequest, reason: str) -> LeaseResponse:
    return LeaseResponse(None, request.seq, {}, _heartbeats(state), reason)
