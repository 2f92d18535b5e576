"""Members of a fleet whose state is in memory, for tests of leases."""

from __future__ import annotations

from canvasplank.fleet import lease_transaction
from canvasplank.fleet.lease_holder import BudgetLimits, Lease, LeaseHolder
from canvasplank.fleet.state import FleetState

LEASE = Lease(3000.0, 100.0, 0.001)
LIMITS = {"b": BudgetLimits(total=80_000, reserve=16_000, max_members=8)}


def join(*names, state=None):
    """Return the state of a fleet that these members have joined, and their lease holders."""
    state = state or FleetState()
    holders = []
    for name in names:
        holder = LeaseHolder(name, LIMITS, LEASE)
        state, response = lease_transaction.apply(state, holder.next_request(0.0, {}))
        holder.on_response(response)
        holders.append(holder)
    return state, holders


def renew(state, holder, now_ms=0.0, expired=(), **demands):
    """Send one request of a member; returns the state and the response, which the member has received."""
    state, response = lease_transaction.apply(state, holder.next_request(now_ms, demands, expired))
    holder.on_response(response)
    return state, response


def total_held(state):
    """Return the sum of the members' shares of the budget."""
    return sum(member.allocations["b"].held for member in state.members.values())
