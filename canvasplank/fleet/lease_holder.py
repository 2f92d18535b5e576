"""One process's leased shares of the budgets, and its next request to the store.

This module does no I/O and reads no clock: each method is given the time, in milliseconds on a clock that is
never set and that keeps running while the machine sleeps.  A share is lowered before the request that reports
it, and raised only by the response to the newest request.
"""

from __future__ import annotations

import copy
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from canvasplank.fleet.lease_messages import Heartbeat, LeaseRequest, LeaseResponse
from canvasplank.fleet.state import Allocation

NEVER = float("-inf")  # earlier than any time


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """One budget by this proxy's configuration; rates are in thousandths of a unit per second."""

    total: int
    reserve: int  # the part of the total that is reserved for proxies without a lease
    max_members: int  # the maximum number of processes at once

    @property
    def unleased_quota(self) -> int:
        """The part of the reserve that this proxy may use without a lease."""
        return self.reserve // self.max_members


@dataclass(frozen=True, slots=True)
class Lease:
    """The duration of a lease, and the tolerances for clock drift and pauses."""

    lease_ms: float
    margin_ms: float  # covers the time between reading the clock and acting on it
    drift: float  # the maximum drift of a clock, as a fraction

    def usable_ms(self) -> float:
        """Return how long the shares of a response may be used, counted from sending its request."""
        return self.lease_ms * (1 - self.drift) - self.margin_ms

    def expiry_ms(self, member_lease_ms: float) -> float:
        """Return how long a heartbeat must be unchanged before its member certainly uses no share.

        The longer of the two lease durations counts, since the member's configuration may differ from this
        process's.
        """
        return max(self.lease_ms, member_lease_ms) * (1 + self.drift) + self.margin_ms


class LeaseHolder:
    """One process's shares of all budgets, with the requests and responses that change them."""

    def __init__(
        self, name: str, limits: Mapping[str, BudgetLimits], lease: Lease, max_members: int | None = None
    ) -> None:
        """``max_members``, the maximum number of processes at once, is required if ``limits`` is empty."""
        self.name, self.limits, self._lease = name, dict(limits), lease
        self._max_members = max_members or min(each.max_members for each in limits.values())
        self.incarnation: int | None = None
        self.until_ms = NEVER  # the end of the lease
        self._seq = 0
        self._sent_ms = NEVER
        self._in_use = dict.fromkeys(limits, 0)
        self._target = dict.fromkeys(limits, 0)

    def allowance(self, budget: str, now_ms: float) -> int:
        """Return the unleased quota plus the current share, in thousandths per second."""
        return self.limits[budget].unleased_quota + self.share(budget, now_ms)

    def share(self, budget: str, now_ms: float) -> int:
        """Return the leased share, or 0 once the lease has expired."""
        return self._in_use[budget] if now_ms < self.until_ms else 0

    def in_use(self, budget: str) -> int:
        """Return the leased share, whether or not the lease has expired."""
        return self._in_use[budget]

    def is_below_target(self) -> bool:
        """Return whether a share is below its target, since other members have not yet released enough."""
        return any(self._in_use[budget] < self._target[budget] for budget in self.limits)

    def next_request(
        self,
        now_ms: float,
        demands: Mapping[str, int | None],
        expired: Iterable[Heartbeat] = (),
        *,
        leaving: bool = False,
    ) -> LeaseRequest:
        """Return the next request; responses to earlier requests are ignored from then on.

        ``now_ms`` must be read before the request is sent, since the lease starts at that time.
        """
        self._seq += 1
        self._sent_ms = now_ms
        if leaving:
            self._drop_shares()
        in_use = {
            budget: Allocation(limits.total, limits.reserve, self._in_use[budget], demands.get(budget))
            for budget, limits in self.limits.items()
        }
        return LeaseRequest(
            self.name,
            self.incarnation,
            self._seq,
            self._max_members,
            self._lease.lease_ms,
            in_use,
            tuple(expired),
            leaving,
        )

    def on_response(self, response: LeaseResponse) -> bool:
        """Apply the response's grants; returns False if it answers an earlier request and was ignored."""
        if response.seq != self._seq:
            return False
        if response.incarnation is None:
            self.incarnation = None
            self._drop_shares()
            return True
        self.incarnation = response.incarnation
        self.until_ms = self._sent_ms + self._lease.usable_ms()
        for budget, grant in response.grants.items():
            self._target[budget] = grant.target
            # The excess over the target is unused from now on; the next request reports it as released.
            self._in_use[budget] = min(grant.share, grant.target)
        return True

    def has_excess(self, response: LeaseResponse) -> bool:
        """Return whether a granted share exceeds its target: others may be waiting for the excess."""
        return any(grant.share > grant.target for grant in response.grants.values())

    def copy(self) -> LeaseHolder:
        """Return an independent holder in the same state, for the model checker."""
        duplicate = copy.copy(self)
        duplicate._in_use, duplicate._target = dict(self._in_use), dict(self._target)
        return duplicate

    def _drop_shares(self) -> None:
        self.until_ms = NEVER
        self._in_use = dict.fromkeys(self.limits, 0)
