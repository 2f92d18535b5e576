"""Limits a proxy's set-ups to its allowances: a token bucket and a demand estimate for each budget.

This module does no I/O and reads no clock.  Allowances are integers, in thousandths of a unit per second.
Tokens accrue at the allowance times the elapsed milliseconds, so one unit is ``TOKENS_PER_UNIT`` tokens.
Only tokens may be fractional; grants never are.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from canvasplank.fleet.lease_holder import LeaseHolder

TOKENS_PER_UNIT = 1_000_000.0
# Fractions of the last reported demand.  A demand between them leaves the report unchanged, so that reports,
# and with them the shares of all proxies, seldom change (docs/fleet.md, dead band).
DEAD_BAND_LOW, DEAD_BAND_HIGH = 0.7, 1.1
HEADROOM_FACTOR = 1.25  # reported demand per use, so that the share is granted before it is needed
SATURATED_FACTOR = 2.0  # minimum reported demand per allowance if a set-up had to wait


class BudgetKind(enum.StrEnum):
    """Which set-ups a budget covers; the values appear in the configuration file."""

    SET_UPS = "set-ups"  # all set-ups
    MEMBER = "member"  # the first attempt of each call of one tenant
    RETRIES = "repeats"  # every attempt of a call after the first
    SERVER = "server"  # all set-ups to one call server


@dataclass(frozen=True, slots=True)
class BudgetScope:
    """The set-ups that a budget covers."""

    kind: BudgetKind
    subject: str = ""  # the tenant's name, or the server's instanceId

    def covers(self, tenant: str | None, attempt: int, server_id: str) -> bool:
        """Return whether a set-up takes a unit of the budget; ``attempt`` counts from 0 for each call."""
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
    """A token bucket that starts empty and refills at the allowance.

    Its capacity is what the allowance yields in ``burst_ms``, but at least one unit.
    """

    def __init__(self, burst_ms: float, now_ms: float) -> None:
        self._burst_ms = burst_ms
        self._tokens = 0.0
        self._last_ms = now_ms

    def refill(self, now_ms: float, unleased_quota: int, share: int, until_ms: float) -> int:
        """Add the tokens accrued since the last call; returns the allowance, in thousandths per second.

        ``unleased_quota`` and ``share`` must not have changed since the last call.  The share yields tokens
        only until the lease ends at ``until_ms``, even if the process was suspended for longer.
        """
        if now_ms > self._last_ms:
            leased_ms = max(0.0, min(now_ms, until_ms) - self._last_ms)
            self._tokens += unleased_quota * (now_ms - self._last_ms) + share * leased_ms
            self._last_ms = now_ms
        allowance = unleased_quota + (share if now_ms < until_ms else 0)
        self._tokens = min(self._tokens, max(TOKENS_PER_UNIT, allowance * self._burst_ms))
        return allowance

    def wait_ms(self, allowance: int) -> float:
        """Return the milliseconds until the bucket holds one unit; infinite if the allowance is 0."""
        missing = TOKENS_PER_UNIT - self._tokens
        if missing <= 0:
            return 0.0
        return missing / allowance if allowance else float("inf")

    def spend(self) -> None:
        """Remove one unit of tokens."""
        self._tokens -= TOKENS_PER_UNIT


class DemandEstimator:
    """Estimates the demand on one budget from its use, with a dead band around the last estimate."""

    def __init__(self) -> None:
        self._spent = 0
        self._waited = False
        self._since_ms: float | None = None
        self._reported: int | None = None

    def record_spent(self) -> None:
        """Count one spent unit."""
        self._spent += 1

    def record_wait(self) -> None:
        """Record that a set-up had to wait for a unit."""
        self._waited = True

    def report(self, now_ms: float, allowance: int) -> int | None:
        """Return the demand in thousandths per second, from the use since the last report.

        The result is None until there is a previous call to measure from.
        """
        since_ms, self._since_ms = self._since_ms, now_ms
        spent, self._spent = self._spent, 0
        waited, self._waited = self._waited, False
        if since_ms is None or now_ms <= since_ms:
            return self._reported
        demand = int(HEADROOM_FACTOR * spent * TOKENS_PER_UNIT / (now_ms - since_ms))
        if waited:
            demand = max(demand, int(SATURATED_FACTOR * allowance))
        previous = self._reported
        if previous is None or not DEAD_BAND_LOW * previous <= demand <= DEAD_BAND_HIGH * previous:
            # The report rises at once but falls only halfway: a pause between two calls does not mean that
            # the demand has ended.
            self._reported = demand if previous is None or demand > previous else (demand + previous) // 2
        return self._reported


class BudgetLimiter:
    """Admits or delays a proxy's set-ups according to all of its budgets."""

    def __init__(
        self, holder: LeaseHolder, scopes: Mapping[str, BudgetScope], burst_ms: float, now_ms: float
    ) -> None:
        self._holder, self._scopes = holder, dict(scopes)
        self._buckets = {budget: TokenBucket(burst_ms, now_ms) for budget in scopes}
        self._demands = {budget: DemandEstimator() for budget in scopes}

    def applicable_budgets(self, tenant: str | None, attempt: int, server_id: str) -> list[str]:
        """Return the budgets from each of which a set-up takes one unit."""
        return [budget for budget, scope in self._scopes.items() if scope.covers(tenant, attempt, server_id)]

    def refill(self, now_ms: float) -> None:
        """Refill all buckets; must be called before an allowance changes."""
        for budget in self._buckets:
            self._refill(budget, now_ms)

    def wait_ms(self, budgets: Iterable[str], now_ms: float) -> float:
        """Return the milliseconds until all these budgets have a unit, and record a wait as demand."""
        longest_ms = 0.0
        for budget in budgets:
            wait_ms = self._buckets[budget].wait_ms(self._refill(budget, now_ms))
            if wait_ms > 0:
                self._demands[budget].record_wait()
            longest_ms = max(longest_ms, wait_ms)
        return longest_ms

    def spend(self, budgets: Iterable[str], now_ms: float) -> bool:
        """Take one unit from each budget; returns False and takes none if a budget has none left."""
        budgets = list(budgets)
        if self.wait_ms(budgets, now_ms) > 0:
            return False
        for budget in budgets:
            self._buckets[budget].spend()
            self._demands[budget].record_spent()
        return True

    def demands(self, now_ms: float) -> dict[str, int | None]:
        """Return the demand to report for each budget; see ``DemandEstimator.report``."""
        return {
            budget: demand.report(now_ms, self._holder.allowance(budget, now_ms))
            for budget, demand in self._demands.items()
        }

    def _refill(self, budget: str, now_ms: float) -> int:
        holder = self._holder
        return self._buckets[budget].refill(
            now_ms, holder.limits[budget].unleased_quota, holder.in_use(budget), holder.until_ms
        )
