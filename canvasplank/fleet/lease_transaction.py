"""What one transaction does to the fleet's state: the only code that grants a share or a task.

Both engines and the model checker run it on the state that they have locked.  No I/O and no clock: the
request names the members whose lease has expired, by the sender's failure detector.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

import msgspec

from canvasplank.fleet.fair_division import divide
from canvasplank.fleet.lease_messages import Grant, Heartbeat, LeaseRequest, LeaseResponse
from canvasplank.fleet.state import Allocation, FleetState, Member, Task


def apply(state: FleetState, request: LeaseRequest) -> tuple[FleetState, LeaseResponse]:
    """The state after a request, and the response to it; ``state`` itself is not changed."""
    remaining = _without_expired(state, request)
    if request.incarnation is None:
        return _join(remaining, request)
    known = remaining.members.get(request.incarnation)
    if known is None:
        return remaining, _without_lease(remaining, request, "the lease has expired")
    if request.seq <= known.seq:  # it comes late, or a second time, and must not undo a newer one
        return state, _without_lease(state, request, "a stale request")
    if request.leaving:
        return _remove(remaining, request, known, "left")
    if _uses_more_than_granted(known, request):  # its belief about its shares is not to be built on
        return _remove(remaining, request, known, "it uses more than it was granted")
    return _renew(remaining, request, known.incarnation)


def _without_expired(state: FleetState, request: LeaseRequest) -> FleetState:
    """Remove the members that the request reports as expired, unless they have renewed since."""
    expired = {
        (heartbeat.incarnation, heartbeat.seq)
        for heartbeat in request.expired
        if heartbeat.incarnation != request.incarnation
    }
    members = {key: member for key, member in state.members.items() if (key, member.seq) not in expired}
    return replace(state, members=members)


def _remove(
    state: FleetState, request: LeaseRequest, known: Member, reason: str
) -> tuple[FleetState, LeaseResponse]:
    members = {key: member for key, member in state.members.items() if key != known.incarnation}
    after = replace(state, members=members)
    return after, _without_lease(after, request, reason)


def _uses_more_than_granted(known: Member, request: LeaseRequest) -> bool:
    return any(_held(known, budget) < allocation.held for budget, allocation in request.in_use.items())


def _join(state: FleetState, request: LeaseRequest) -> tuple[FleetState, LeaseResponse]:
    max_members = min([request.max_members, *(member.max_members for member in state.members.values())])
    if len(state.members) + len(state.unreadable) >= max_members:
        return state, _without_lease(state, request, f"there are {max_members} already")
    incarnation = state.next_incarnation
    without_shares = {
        budget: msgspec.structs.replace(allocation, held=0) for budget, allocation in request.in_use.items()
    }
    joined = replace(state, next_incarnation=incarnation + 1)
    return _renew(joined, msgspec.structs.replace(request, in_use=without_shares), incarnation)


def _renew(state: FleetState, request: LeaseRequest, incarnation: int) -> tuple[FleetState, LeaseResponse]:
    """Store the member's use of each budget, and grant shares and tasks that are free."""
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
    """The share of one budget: what is in use already, and up to the target what no other member holds.

    ``nothing_free``: members that cannot be read may hold all of the rest.
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
    """Release the tasks that the member gives up, and assign it free ones; each new owner gets a new term."""
    tasks = dict(state.tasks)
    for name, task in state.tasks.items():
        if task.owner == incarnation and name in request.given_up:
            tasks[name] = Task(task.term, None, task.failures + 1, incarnation)
        elif task.owner == incarnation and name not in request.capabilities:
            tasks[name] = msgspec.structs.replace(task, owner=None)  # it can no longer own it: handed over
        elif task.owner == incarnation and name in request.done and task.failures:
            tasks[name] = msgspec.structs.replace(task, failures=0, failed_by=None)
    for name, failures in request.ready.items():
        task = tasks.get(name, Task())
        free = task.owner not in state.members and name not in request.given_up
        # A member that does not know of the newest failure has not waited for its backoff.
        if free and task.failures == failures and _is_next_owner(state, tasks, name, incarnation):
            tasks[name] = msgspec.structs.replace(task, term=task.term + 1, owner=incarnation)
    return replace(state, tasks=tasks)


def _is_next_owner(state: FleetState, tasks: Mapping[str, Task], name: str, incarnation: int) -> bool:
    """Whether no other capable member comes first: one with fewer tasks, or not the last to fail."""
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
    """What may be leased of a budget, in thousandths a second.

    Where configurations differ, it is the smallest total less the largest reserve.
    """
    return max(0, min(each.total for each in allocations) - max(each.reserve for each in allocations))


def _held(member: Member, budget: str) -> int:
    allocation = member.allocations.get(budget)
    return 0 if allocation is None else allocation.held


def _heartbeats(state: FleetState) -> tuple[Heartbeat, ...]:
    return tuple(Heartbeat(key, member.seq, member.lease_ms) for key, member in sorted(state.members.items()))


def _without_lease(state: FleetState, request: LeaseRequest, reason: str) -> LeaseResponse:
    return LeaseResponse(None, request.seq, {}, _heartbeats(state), reason)
