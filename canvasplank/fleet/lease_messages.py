"""The messages of the lease protocol between a process and the store."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from canvasplank.fleet.state import Allocation, Task


class Heartbeat(msgspec.Struct, frozen=True, order=True):
    """A member's newest sequence number as one transaction saw it, and the duration of its leases."""

    incarnation: int
    seq: int
    lease_ms: float


class LeaseRequest(msgspec.Struct, frozen=True):
    """A request to join, renew or leave."""

    name: str
    incarnation: int | None  # None: it is not a member, and joins
    seq: int  # grows with each request of a process
    max_members: int
    lease_ms: float
    in_use: Mapping[str, Allocation]  # by budget; ``held``: the largest share that it uses from now on
    expired: tuple[Heartbeat, ...] = ()  # members whose lease has expired, as it last saw them
    leaving: bool = False
    capabilities: tuple[str, ...] = ()  # tasks that it can own
    ready: Mapping[str, int] = {}  # tasks that it would own now, with the failures that it knows of
    given_up: tuple[str, ...] = ()  # tasks that it owned and that failed here
    done: tuple[str, ...] = ()  # tasks that it owns and that succeeded since the last request
    sees_discovery: bool = False  # service discovery sends it events


class Grant(msgspec.Struct, frozen=True):
    """The share of a budget that a member may use, and the share that it should come to have."""

    share: int
    target: int  # where it is below the share, the member releases the difference


class LeaseResponse(msgspec.Struct, frozen=True):
    """The result of a transaction."""

    incarnation: int | None  # None: it is not a member, or no longer
    seq: int  # the request's
    grants: Mapping[str, Grant] = {}  # by budget
    heartbeats: tuple[Heartbeat, ...] = ()  # of all members
    reason: str = ""  # why it is not a member
    tasks: Mapping[str, Task] = {}  # all tasks, by name
    members_seeing_discovery: int = 0  # how many other members service discovery sends events to
