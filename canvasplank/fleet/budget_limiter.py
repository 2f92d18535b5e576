"""Spends a proxy's allowances: a bucket for each budget, and the demand that is reported for it.

No I/O and no clock.  Rates are thousandths of a unit a second; only here, times milliseconds, they become
tokens with fractions, and nowhere in what is granted.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Literal

from canvasplank.fleet.lease_holder import LeaseHolder

UNIT = 1_000_000.0  # a set-up, in thousandths a second times milliseconds
Kind = Literal["set-ups", "member", "repeats", "server"]
BAND_LOW, BAND_HIGH = 0.7, 1.1  # a demand within this of what was reported is no news
HEADROOM = 1.25  # more than was used is asked for, so that a share is there before it is needed
SATURATED_FACTOR = 2.0  # times the allowance is asked for where it did not do


@dataclass(frozen=True, slots=True)
class BudgetScope:
    """What a budget is spent on."""

    kind: Kind
    subject: str = ""  # the member, or the server

    def covers(self, tenant: str | None, attempt: int, server_id: str) -> bool:
        """Whether a set-up needs a unit of it; attempts of a call count from 0."""
        match self.kind:
            case "set-ups":
                return True
            case "member":
                return attempt == 0 and tenant == self.subject
            case "repeats":
                return attempt > 0
            case _:
                return server_id == self.subject


class TokenBucket:
    """Fills at an allowance that ends with a lease, holds ``burst_ms`` of it or a unit, and starts empty."""

    def __init__(self, burst_ms: float, now_ms: float) -> None:
        self._burst_ms = burst_ms
        self._tokens = 0.0
        self._last_ms = now_ms

    def settle(self, now_ms: float, unleased_quota: int, share: int, until_ms: float) -> int:
        """Bring it up to now, under an allowance that has not changed since; gives the allowance now.

        Guards a pause of ours (a stopped process) against what was leased running on past its end.
        """
        if now_ms > self._last_ms:
            leased_ms = max(0.0, min(now_ms, until_ms) - self._last_ms)
            self._tokens += unleased_quota * (now_ms - self._last_ms) + share * leased_ms
            self._last_ms = now_ms
        allowance = unleased_quota + (share if now_ms < until_ms else 0)
        self._tokens = min(self._tokens, max(UNIT, allowance * self._burst_ms))
        return allowance

    def wait_ms(self, allowance: int) -> float:
        """How long until a unit is there, at this allowance."""
        missing = UNIT - self._tokens
        if missing <= 0:
            return 0.0
        return missing / allowance if allowance else float("inf")

    def spend(self) -> None:
        """Take a unit."""
        self._tokens -= UNIT


class DemandEstimator:
    """What is reported of the use, so that it changes seldom: a report outside the band, or none."""

    def __init__(self) -> None:
        self._spent = 0
        self._saturated = False
        self._since_ms: float | None = None
        self._reported: int | None = None

    def spent(self) -> None:
        """A unit was used."""
        self._spent += 1

    def saturated(self) -> None:
        """A unit was wanted and not there."""
        self._saturated = True

    def report(self, now_ms: float, allowance: int) -> int | None:
        """What to report now, from the use since the last time; None: nothing is known yet."""
        since_ms, self._since_ms = self._since_ms, now_ms
        spent, self._spent = self._spent, 0
        saturated, self._saturated = self._saturated, False
        if since_ms is None or now_ms <= since_ms:
            return self._reported
        demand = int(HEADROOM * spent * UNIT / (now_ms - since_ms))
        if saturated:
            demand = max(demand, int(SATURATED_FACTOR * allowance))
        old = self._reported
        if old is None or not BAND_LOW * old <= demand <= BAND_HIGH * old:
            # Down by halves, up at once: a lull between two calls is no end of the demand.
            self._reported = demand if old is None or demand > old else (demand + old) // 2
        return self._reported


class BudgetLimiter:
    """All budgets of one proxy: whether a set-up may go, and that it went."""

    def __init__(
        self, holder: LeaseHolder, scopes: Mapping[str, BudgetScope], burst_ms: float, now_ms: float
    ) -> None:
        self._holder, self._scopes = holder, dict(scopes)
        self._buckets = {budget: TokenBucket(burst_ms, now_ms) for budget in scopes}
        self._demands = {budget: DemandEstimator() for budget in scopes}

    def covering(self, tenant: str | None, attempt: int, server_id: str) -> list[str]:
        """The budgets that a set-up needs a unit of, each."""
        return [budget for budget, scope in self._scopes.items() if scope.covers(tenant, attempt, server_id)]

    def settle(self, now_ms: float) -> None:
        """Bring all buckets up to now; must be called before an allowance changes."""
        for budget in self._buckets:
            self._settle(budget, now_ms)

    def wait_ms(self, budgets: Iterable[str], now_ms: float) -> float:
        """How long until there is a unit of each."""
        longest_ms = 0.0
        for budget in budgets:
            wait_ms = self._buckets[budget].wait_ms(self._settle(budget, now_ms))
            if wait_ms > 0:
                self._demands[budget].saturated()
            longest_ms = max(longest_ms, wait_ms)
        return longest_ms

    def spend(self, budgets: Iterable[str], now_ms: float) -> bool:
        """Take a unit of each, or none; False: there is not one of each."""
        budgets = list(budgets)
        if self.wait_ms(budgets, now_ms) > 0:
            return False
        for budget in budgets:
            self._buckets[budget].spend()
            self._demands[budget].spent()
        return True

    def demands(self, now_ms: float) -> dict[str, int | None]:
        """What to report."""
        return {
            budget: demand.report(now_ms, self._holder.allowance(budget, now_ms))
            for budget, demand in self._demands.items()
        }

    def _settle(self, budget: str, now_ms: float) -> int:
        holder = self._holder
        return self._buckets[budget].settle(
            now_ms, holder.limits[budget].unleased_quota, holder.in_use(budget), holder.until_ms
        )
