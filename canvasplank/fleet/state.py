"""The fleet's state as the store holds it: members with their allocations, and tasks.

Rates are whole thousandths of a unit a second, so that dividing a total creates nothing by rounding.  Stored
keys differ from the names of some fields: see ``name=``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec


class Allocation(msgspec.Struct, frozen=True):
    """One member's allocation of one budget, in thousandths of a unit a second."""

    # What the fleet may use together, by this member's configuration.
    total: int = msgspec.field(name="whole")
    reserve: int  # of the total, for proxies without a lease
    held: int  # the largest share that it may be using now
    demand: int | None = None  # None: not known yet


class Task(msgspec.Struct, frozen=True):
    """A task that one process owns at a time; its term grows with each new owner and never falls."""

    term: int = 0
    owner: int | None = None  # an incarnation, which may not be a member any more
    failures: int = 0  # in a row
    failed_by: int | None = None  # the incarnation that failed last


class Member(msgspec.Struct, frozen=True):
    """One process of the fleet: one start of a proxy or a worker."""

    incarnation: int  # from a counter in the store: unique, also among starts under one name
    name: str  # for operators; several members may have it
    seq: int  # of its newest request that was applied
    max_members: int  # processes that may run at once, by its configuration
    lease_ms: float  # the duration of its leases
    allocations: Mapping[str, Allocation]  # by budget
    capabilities: tuple[str, ...] = ()  # tasks that it can own
    sees_discovery: bool = False  # service discovery sends it events


@dataclass(slots=True)
class FleetState:
    """The fleet as one transaction sees it."""

    members: dict[int, Member] = field(default_factory=dict)  # by incarnation
    next_incarnation: int = 1
    unreadable: tuple[int, ...] = ()  # incarnations stored in a form that this version does not know
    tasks: dict[str, Task] = field(default_factory=dict)  # by name
