"""What this proxy may use of each budget now, and its next request to the store.

No I/O and no clock: each method is given the time, in milliseconds on a clock that is never set and that goes
on while the machine sleeps.  A share is lowered before the request that reports it, and raised only by the
response to the newest request.
"""

from __future__ import annotations

import copy
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from canvasplank.fleet.lease_messages import Heartbeat, LeaseRequest, LeaseResponse
from canvasplank.fleet.state import Allocation

NEVER = float("-inf")  # a time before all others


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """One budget by this proxy's configuration; rates in thousandths of a unit a second."""

    total: int
    reserve: int  # of the total, for proxies without a lease
    max_members: int  # processes that may run at once

    @property
    def unleased_quota(self) -> int:
        """This proxy's quota of the reserve, which it may use without a lease."""
        return self.reserve // self.max_members


@dataclass(frozen=True, slots=True)
class Lease:
    """How long a share may be used, and the tolerances for clocks and pauses."""

    lease_ms: float
    margin_ms: float  # for the time between reading the clock and acting on it
    drift: float  # how much a steady clock may gain or lose at most, as a fraction

    def usable_ms(self) -> float:
        """How long after a request was sent its response's shares may be used."""
        return self.lease_ms * (1 - self.drift) - self.margin_ms

    def expiry_ms(self, member_lease_ms: float) -> float:
        """How long after a heartbeat was first seen, and has not changed, its member uses no share any more.

        The longer of the two leases counts, since the member's configuration may differ from ours.
        """
        return max(self.lease_ms, member_lease_ms) * (1 + self.drift) + self.margin_ms


class LeaseHolder:
    """One proxy's side of all budgets."""

    def __init__(
        self, name: str, limits: Mapping[str, BudgetLimits], lease: Lease, max_members: int | None = None
    ) -> None:
        """``max_members``: processes that may run at once; needed by one that holds no budgets."""
        self.name, self.limits, self._lease = name, dict(limits), lease
        self._max_members = max_members or min(each.max_members for each in limits.values())
        self.incarnation: int | None = None
        self.until_ms = NEVER  # the shares may be used before this time
        self._seq = 0
        self._sent_ms = NEVER
        self._in_use = dict.fromkeys(limits, 0)
        self._target = dict.fromkeys(limits, 0)

    def allowance(self, budget: str, now_ms: float) -> int:
        """What it may use now, in thousandths a second: its unleased quota and its share."""
        return self.limits[budget].unleased_quota + self.share(budget, now_ms)

    def share(self, budget: str, now_ms: float) -> int:
        """The leased share; 0 once the lease has expired."""
        return self._in_use[budget] if now_ms < self.until_ms else 0

    def in_use(self, budget: str) -> int:
        """The leased share, whether or not the lease has expired."""
        return self._in_use[budget]

    def is_below_target(self) -> bool:
        """Whether a share is below its target: others are still to release the difference."""
        return any(self._in_use[budget] < self._target[budget] for budget in self.limits)

    def next_request(
        self,
        now_ms: float,
        demands: Mapping[str, int | None],
        expired: Iterable[Heartbeat] = (),
        *,
        leaving: bool = False,
    ) -> LeaseRequest:
        """The next request; responses to earlier ones are ignored from here on.

        ``now_ms`` must be read before the request is sent: the lease runs from there.
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
        """Take over a response's grants; False: it answers an earlier request and was ignored."""
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
            # The excess over the target is not used from here on; the next request reports it as released.
            self._in_use[budget] = min(grant.share, grant.target)
        return True

    def has_excess(self, response: LeaseResponse) -> bool:
        """Whether it was granted more than it uses now: others may be waiting for the excess."""
        return any(grant.share > grant.target for grant in response.grants.values())

    def copy(self) -> LeaseHolder:
        """An independent holder in the same state, for the model checker."""
        duplicate = copy.copy(self)
        duplicate._in_use, duplicate._target = dict(self._in_use), dict(self._target)
        return duplicate

    def _drop_shares(self) -> None:
        self.until_ms = NEVER
        self._in_use = dict.fromkeys(self.limits, 0)
