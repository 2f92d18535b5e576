"""What a proxy and the store say to each other."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from canvasplank.fleet.state import Allocation, Task


class Heartbeat(msgspec.Struct, frozen=True, order=True):
    """That a row was there with this number, and how long its lease runs."""

    incarnation: int
    seq: int
    lease_ms: float


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
