"""The fleet's stored state: members with their allocations, and tasks.

Rates are integers, in thousandths of a unit per second, so that rounding cannot make quotas exceed a total.
Some fields have another name in the database, given by ``name=``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

THOUSANDTHS_PER_UNIT = 1000  # of all rates of the fleet's budgets


class Allocation(msgspec.Struct, frozen=True):
    """One member's allocation of one budget, in thousandths of a unit per second."""

    # The limit of the whole fleet, by this member's configuration.
    total: int = msgspec.field(name="whole")
    reserve: int  # the part of the total that is reserved for proxies without a lease
    held: int  # the largest share that the member may be using now
    demand: int | None = None  # None if not known yet


class Task(msgspec.Struct, frozen=True):
    """A task that one process at a time owns; its term increases with each new owner and never decreases."""

    term: int = 0
    owner: int | None = None  # the owner's incarnation, even if it is no longer a member
    failures: int = 0  # in a row
    failed_by: int | None = None  # the incarnation that was the last to fail


class Member(msgspec.Struct, frozen=True):
    """One process of the fleet, a proxy or a worker; it gets a new incarnation whenever it joins."""

    incarnation: int  # from a counter in the store: unique, even among processes of the same name
    name: str  # for operators; not unique
    seq: int  # of the newest applied request
    max_members: int  # the maximum number of processes at once, by this member's configuration
    lease_ms: float  # the duration of this member's leases
    allocations: Mapping[str, Allocation]  # by budget
    capabilities: tuple[str, ...] = ()  # tasks that this member can own
    sees_discovery: bool = False  # whether service discovery sends events to this member


@dataclass(slots=True)
class FleetState:
    """The fleet's state as one transaction reads it."""

    members: dict[int, Member] = field(default_factory=dict)  # by incarnation
    next_incarnation: int = 1
    unreadable: tuple[int, ...] = ()  # incarnations whose rows this version cannot read
    tasks: dict[str, Task] = field(default_factory=dict)  # by name
