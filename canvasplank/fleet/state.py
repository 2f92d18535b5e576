"""What the store holds of the fleet, and what a proxy and the store say to each other.

Rates are whole thousandths of a unit a second, so that dividing a whole creates nothing by rounding.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

FORM = 1  # of a row; a row of another form is left alone


class Allocation(msgspec.Struct, frozen=True):
    """One proxy's part in one budget."""

    total: int = msgspec.field(name="whole")  # what its file says that the fleet may use
    reserve: int  # of that, kept back for proxies without a lease
    held: int  # the most that it may be using of the rest
    demand: int | None = None  # what it would use; None: not known yet


class Task(msgspec.Struct, frozen=True):
    """Work that one process does at a time; its term grows with each owner and never falls."""

    term: int = 0
    owner: int | None = None  # an incarnation, which may be no more
    failures: int = 0  # in a row
    failed_by: int | None = None


class Member(msgspec.Struct, frozen=True):
    """One start of one proxy: its row."""

    incarnation: int
    name: str
    seq: int  # grows with each request that counted
    max_members: int  # what its file says that there may be of proxies
    lease_ms: float  # and how long its leases run
    allocations: Mapping[str, Allocation]
    capabilities: tuple[str, ...] = ()  # tasks that it would do
    sees_discovery: bool = False  # the notice board tells it things


@dataclass(slots=True)
class FleetState:
    """The fleet as one transaction sees it."""

    members: dict[int, Member] = field(default_factory=dict)
    next_incarnation: int = 1
    unreadable: tuple[int, ...] = ()  # incarnations whose rows are of a form that is not ours
    tasks: dict[str, Task] = field(default_factory=dict)
