"""What this proxy may use of each budget now, and what it asks of the store next.

No I/O and no clock: every call is told the time on a clock that is never set and goes on while the machine
sleeps.  A share is used less before that is said, and more only once the newest request's answer is here.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from canvasplank.fleet.lease_messages import Heartbeat, LeaseRequest, LeaseResponse
from canvasplank.fleet.state import Allocation

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """One budget, as this proxy's file has it; rates in thousandths of a unit a second."""

    total: int
    reserve: int
    max_members: int  # proxies that there may be

    @property
    def unleased_quota(self) -> int:
        """Of what is kept back, this proxy's: it may use that always."""
        return self.reserve // self.max_members


@dataclass(frozen=True, slots=True)
class Lease:
    """How long a share may be used, and how much clocks and pauses are trusted."""

    lease_ms: float
    margin_ms: float  # between the last look at the clock and the use, at each end
    drift: float  # the most that a steady clock may gain or lose, as a part

    def usable_ms(self) -> float:
        """After a request was sent: so long its answer may be used."""
        return self.lease_ms * (1 - self.drift) - self.margin_ms

    def expiry_ms(self, theirs_ms: float) -> float:
        """After a row was first seen: unchanged for so long, nobody uses it any more.

        Guards, with the lease that the row itself names, a proxy whose file has a longer one than ours.
        """
        return max(self.lease_ms, theirs_ms) * (1 + self.drift) + self.margin_ms


class LeaseHolder:
    """One proxy's side of all budgets."""

    def __init__(
        self, name: str, limits: Mapping[str, BudgetLimits], lease: Lease, max_members: int | None = None
    ) -> None:
        """``max_members``: proxies that there may be, for one that holds no budgets."""
        self.name, self.limits, self._lease = name, dict(limits), lease
        self._max_members = max_members or min(each.max_members for each in limits.values())
        self.incarnation: int | None = None
        self.until_ms = NEVER  # so long the shares may be used
        self._seq = 0
        self._sent_ms = NEVER
        self._in_use = dict.fromkeys(limits, 0)
        self._target = dict.fromkeys(limits, 0)

    def allowance(self, budget: str, now_ms: float) -> int:
        """What it may use now: its part of what is kept back, and its share while the lease runs."""
        return self.limits[budget].unleased_quota + self.share(budget, now_ms)

    def share(self, budget: str, now_ms: float) -> int:
        """The leased part of that."""
        return self._in_use[budget] if now_ms < self.until_ms else 0

    def in_use(self, budget: str) -> int:
        """The leased part as it was granted, whether or not the lease still runs."""
        return self._in_use[budget]

    def is_below_target(self) -> bool:
        """Whether it should have more, which others are to let go of."""
        return any(self._in_use[budget] < self._target[budget] for budget in self.limits)

    def next_request(
        self,
        now_ms: float,
        demands: Mapping[str, int | None],
        expired: Iterable[Heartbeat] = (),
        *,
        leaving: bool = False,
    ) -> LeaseRequest:
        """The next one; nothing that was sent before it counts any more.

        ``now_ms`` must be read before anything of it is sent: the lease runs from there.
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
        """Take an answer; False: it is not that of the newest request and tells nothing."""
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
            # What it should let go of it uses no more from here on, and says so with the next request.
            self._in_use[budget] = min(grant.share, grant.target)
        return True

    def has_excess(self, response: LeaseResponse) -> bool:
        """Whether the answer's shares are more than it uses now: others may be waiting for the rest."""
        return any(grant.share > grant.target for grant in response.grants.values())

    def _drop_shares(self) -> None:
        self.until_ms = NEVER
        self._in_use = dict.fromkeys(self.limits, 0)
