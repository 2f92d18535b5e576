"""The messages of the lease protocol between a process and the store."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from canvasplank.fleet.state import Allocation, Task


class Heartbeat(msgspec.Struct, frozen=True, order=True):
    """The sequence number of a member's newest applied request, and the duration of the member's leases."""

    incarnation: int
    seq: int
    lease_ms: float


class LeaseRequest(msgspec.Struct, frozen=True):
    """A request to join, renew or leave."""

    name: str
    incarnation: int | None  # None if the process is not a member: it joins
    seq: int  # increases with each request of a process
    max_members: int
    lease_ms: float
    in_use: Mapping[str, Allocation]  # by budget; ``held`` is the maximum share used from now on
    expired: tuple[Heartbeat, ...] = ()  # the last heartbeats of members whose lease has expired
    leaving: bool = False
    capabilities: tuple[str, ...] = ()  # tasks that the sender can own
    # Tasks that the sender would own now, each with the last number of failures that the sender has seen.
    ready: Mapping[str, int] = {}
    given_up: tuple[str, ...] = ()  # tasks that the sender owned and failed to run
    done: tuple[str, ...] = ()  # tasks that the sender owns and that succeeded since its last request
    sees_discovery: bool = False  # whether service discovery sends events to the sender


class Grant(msgspec.Struct, frozen=True):
    """The share of a budget that a member may use now, and its fair share as the target."""

    share: int
    target: int  # the member releases the part of its share that exceeds the target


class LeaseResponse(msgspec.Struct, frozen=True):
    """The store's response to a request."""

    incarnation: int | None  # None if the sender is not a member, or no longer one
    seq: int  # of the request
    grants: Mapping[str, Grant] = {}  # by budget
    heartbeats: tuple[Heartbeat, ...] = ()  # of all members
    reason: str = ""  # why the sender is not a member
    tasks: Mapping[str, Task] = {}  # all tasks, by name
    members_seeing_discovery: int = 0  # the number of other members to which discovery sends events
