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


class Heartbeat(msgspec.Struct, frozen=True, order=True):
    """That a row was there with this number, and how long its lease runs."""

    incarnation: int
    seq: int
    lease_ms: float


@dataclass(slots=True)
class FleetState:
    """The fleet as one transaction sees it."""

    members: dict[int, Member] = field(default_factory=dict)
    next_incarnation: int = 1
    unreadable: tuple[int, ...] = ()  # incarnations whose rows are of a form that is not ours
    tasks: dict[str, Task] = field(default_factory=dict)


class LeaseRequest(msgspec.Struct, frozen=True):
    """What a proxy asks of the store; ``incarnation`` is None for one that has no row."""

    name: str
    incarnation: int | None
    seq: int
    max_members: int
    lease_ms: float
    in_use: Mapping[str, Allocation]  # ``held``: what it uses from now on at most
    expired: tuple[Heartbeat, ...] = ()  # whom it has not heard of for a lease
    leaving: bool = False
    capabilities: tuple[str, ...] = ()  # tasks that it would do
    ready: Mapping[str, int] = {}  # those that it would take over, by failures it knows of
    given_up: tuple[str, ...] = ()  # tasks that it owned and failed at
    done: tuple[str, ...] = ()  # tasks that it owns and did well at since the last request
    sees_discovery: bool = False  # the notice board tells it things


class Grant(msgspec.Struct, frozen=True):
    """What a proxy may use of a budget, and what it should use."""

    share: int
    target: int  # below the share: let go of the rest


class LeaseResponse(msgspec.Struct, frozen=True):
    """What a transaction came to."""

    incarnation: int | None  # None: there is no row for it (any more)
    seq: int
    grants: Mapping[str, Grant] = {}
    heartbeats: tuple[Heartbeat, ...] = ()  # all rows there are now
    reason: str = ""  # where there is no row, why
    tasks: Mapping[str, Task] = {}  # all there are
    members_seeing_discovery: int = 0  # how many of the others the notice board tells things
