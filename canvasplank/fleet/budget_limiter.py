"""Limits a proxy's set-ups to its allowances: a token bucket and a demand estimate for each budget.

No I/O and no clock.  Allowances are whole thousandths of a unit a second.  Tokens are thousandths of a unit a
second times milliseconds, so ``UNIT`` tokens are one unit; only tokens have fractions, never a grant.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from canvasplank.fleet.lease_holder import LeaseHolder

UNIT = 1_000_000.0  # tokens that a set-up takes
# Chosen so that reports, and with them the shares of all proxies, change seldom (docs/fleet.md, dead band).
BAND_LOW, BAND_HIGH = 0.7, 1.1  # of the last report: a demand within the band is not reported anew
HEADROOM = 1.25  # times the use is reported, so that a share is there before it is needed
SATURATED_FACTOR = 2.0  # times the allowance is reported at least, where a set-up had to wait


class BudgetKind(enum.StrEnum):
    """Which set-ups a budget covers; the values are those of the configuration file."""

    SET_UPS = "set-ups"  # all
    MEMBER = "member"  # the first attempts of one member's calls
    RETRIES = "repeats"  # second and further attempts
    SERVER = "server"  # all to one call server


@dataclass(frozen=True, slots=True)
class BudgetScope:
    """The set-ups that a budget covers."""

    kind: BudgetKind
    subject: str = ""  # the member's name, or the server's instanceId

    def covers(self, tenant: str | None, attempt: int, server_id: str) -> bool:
        """Whether a set-up takes a unit of it; attempts of a call count from 0."""
        match self.kind:
            case BudgetKind.SET_UPS:
                return True
            case BudgetKind.MEMBER:
                return attempt == 0 and tenant == self.subject
            case BudgetKind.RETRIES:
                return attempt > 0
            case BudgetKind.SERVER:
                return server_id == self.subject


class TokenBucket:
    """A token bucket that fills at an allowance and starts empty.

    It holds the tokens of ``burst_ms`` at that allowance, or those of one unit if that is more.
    """

    def __init__(self, burst_ms: float, now_ms: float) -> None:
        self._burst_ms = burst_ms
        self._tokens = 0.0
        self._last_ms = now_ms

    def settle(self, now_ms: float, unleased_quota: int, share: int, until_ms: float) -> int:
        """Add the tokens since the last call; gives the allowance now, in thousandths a second.

        ``unleased_quota`` and ``share`` must not have changed since the last call.  The share adds tokens
        only up to ``until_ms``: a process that was stopped past the end of its lease saves up none after it.
        """
        if now_ms > self._last_ms:
            leased_ms = max(0.0, min(now_ms, until_ms) - self._last_ms)
            self._tokens += unleased_quota * (now_ms - self._last_ms) + share * leased_ms
            self._last_ms = now_ms
        allowance = unleased_quota + (share if now_ms < until_ms else 0)
        self._tokens = min(self._tokens, max(UNIT, allowance * self._burst_ms))
        return allowance

    def wait_ms(self, allowance: int) -> float:
        """Milliseconds until it holds a unit, at this allowance; infinite without any."""
        missing = UNIT - self._tokens
        if missing <= 0:
            return 0.0
        return missing / allowance if allowance else float("inf")

    def spend(self) -> None:
        """Remove a unit's tokens."""
        self._tokens -= UNIT


class DemandEstimator:
    """Estimates the demand on one budget from its use; the estimate changes only outside a dead band."""

    def __init__(self) -> None:
        self._spent = 0
        self._saturated = False
        self._since_ms: float | None = None
        self._reported: int | None = None

    def spent(self) -> None:
        """Count a unit that was spent."""
        self._spent += 1

    def saturated(self) -> None:
        """Note that a set-up had to wait for a unit."""
        self._saturated = True

    def report(self, now_ms: float, allowance: int) -> int | None:
        """The demand in thousandths a second, from the use since the last report; None: not known yet."""
        since_ms, self._since_ms = self._since_ms, now_ms
        spent, self._spent = self._spent, 0
        saturated, self._saturated = self._saturated, False
        if since_ms is None or now_ms <= since_ms:
            return self._reported
        demand = int(HEADROOM * spent * UNIT / (now_ms - since_ms))
        if saturated:
            demand = max(demand, int(SATURATED_FACTOR * allowance))
        previous = self._reported
        if previous is None or not BAND_LOW * previous <= demand <= BAND_HIGH * previous:
            # Up at once, down by halves: a lull between two calls is not the end of the demand.
            self._reported = demand if previous is None or demand > previous else (demand + previous) // 2
        return self._reported


class BudgetLimiter:
    """Admits a proxy's set-ups by all of its budgets."""

    def __init__(
        self, holder: LeaseHolder, scopes: Mapping[str, BudgetScope], burst_ms: float, now_ms: float
    ) -> None:
        self._holder, self._scopes = holder, dict(scopes)
        self._buckets = {budget: TokenBucket(burst_ms, now_ms) for budget in scopes}
        self._demands = {budget: DemandEstimator() for budget in scopes}

    def covering(self, tenant: str | None, attempt: int, server_id: str) -> list[str]:
        """The budgets of which a set-up takes a unit each."""
        return [budget for budget, scope in self._scopes.items() if scope.covers(tenant, attempt, server_id)]

    def settle(self, now_ms: float) -> None:
        """Fill all buckets up to now; must be called before an allowance changes."""
        for budget in self._buckets:
            self._settle(budget, now_ms)

    def wait_ms(self, budgets: Iterable[str], now_ms: float) -> float:
        """Milliseconds until each of these budgets has a unit; a wait counts as demand."""
        longest_ms = 0.0
        for budget in budgets:
            wait_ms = self._buckets[budget].wait_ms(self._settle(budget, now_ms))
            if wait_ms > 0:
                self._demands[budget].saturated()
            longest_ms = max(longest_ms, wait_ms)
        return longest_ms

    def spend(self, budgets: Iterable[str], now_ms: float) -> bool:
        """Take a unit of each, or of none; False: at least one budget has no unit."""
        budgets = list(budgets)
        if self.wait_ms(budgets, now_ms) > 0:
            return False
        for budget in budgets:
            self._buckets[budget].spend()
            self._demands[budget].spent()
        return True

    def demands(self, now_ms: float) -> dict[str, int | None]:
        """The demand to report for each budget; see ``DemandEstimator.report``."""
        return {
            budget: demand.report(now_ms, self._holder.allowance(budget, now_ms))
            for budget, demand in self._demands.items()
        }

    def _settle(self, budget: str, now_ms: float) -> int:
        holder = self._holder
        return self._buckets[budget].settle(
            now_ms, holder.limits[budget].unleased_quota, holder.in_use(budget), holder.until_ms
        )
