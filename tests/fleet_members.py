"""Members of a fleet in memory, for tests of leases."""

from __future__ import annotations

from canvasplank.fleet import lease_transaction
from canvasplank.fleet.lease_holder import BudgetLimits, Lease, LeaseHolder
from canvasplank.fleet.state import FleetState

LEASE = Lease(3000.0, 100.0, 0.001)


TERMS = {"b": BudgetLimits(total=80_000, reserve=16_000, max_members=8)}


def joined(*names, rows=None):
    """Rows with these members, and their holders, each having heard its answer."""
    rows = rows or FleetState()
    holders = []
    for name in names:
        holder = LeaseHolder(name, TERMS, LEASE)
        rows, answer = lease_transaction.apply(rows, holder.next_request(0.0, {}))
        holder.on_response(answer)
        holders.append(holder)
    return rows, holders


def ask(rows, holder, now_ms=0.0, dead=(), **demand):
    rows, answer = lease_transaction.apply(rows, holder.next_request(now_ms, demand, dead))
    holder.on_response(answer)
    return rows, answer


def held(rows):
    return sum(member.allocations["b"].held for member in rows.members.values())
