"""Members of a fleet in memory, for tests of leases."""

from __future__ import annotations

from canvasplank.fleet import lease_transaction
from canvasplank.fleet.lease_holder import BudgetLimits, Lease, LeaseHolder
from canvasplank.fleet.state import FleetState

LEASE = Lease(3000.0, 100.0, 0.001)
LIMITS = {"b": BudgetLimits(total=80_000, reserve=16_000, max_members=8)}


def join(*names, state=None):
    """The state of a fleet with these members, and their holders, each having received its response."""
    state = state or FleetState()
    holders = []
    for name in names:
        holder = LeaseHolder(name, LIMITS, LEASE)
        state, response = lease_transaction.apply(state, holder.next_request(0.0, {}))
        holder.on_response(response)
        holders.append(holder)
    return state, holders


def renew(state, holder, now_ms=0.0, expired=(), **demands):
    """One request of a member, and the response that it receives."""
    state, response = lease_transaction.apply(state, holder.next_request(now_ms, demands, expired))
    holder.on_response(response)
    return state, response


def total_held(state):
    """The sum of the shares that members hold of the budget."""
    return sum(member.allocations["b"].held for member in state.members.values())
