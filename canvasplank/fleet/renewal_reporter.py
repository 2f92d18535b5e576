"""Log events and counters of the lease renewals.

The reporter does not change the lease holder.  The names and fields of the events are parsed by
``verification.spending`` and the experiments.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from canvasplank.counters import Counters
from canvasplank.fleet.lease_holder import LeaseHolder
from canvasplank.fleet.lease_messages import Heartbeat, LeaseRequest, LeaseResponse
from canvasplank.fleet.state import THOUSANDTHS_PER_UNIT
from canvasplank.runtime.structured_logging import log_event

LOG = logging.getLogger(__name__)


class RenewalReporter:
    """Reports one process's lease renewals and spent units as log events and counters."""

    def __init__(
        self, holder: LeaseHolder, counters: Counters, clock: Callable[[], float], *, trace: bool
    ) -> None:
        """``clock`` returns milliseconds; ``trace`` logs an event for each spent unit and renewed share."""
        self._holder, self._counters, self._clock = holder, counters, clock
        self._trace = trace
        self._store_unavailable = False
        self._logged_shares: dict[str, int] = {}  # the last logged share, by budget

    def on_units_spent(self, budgets: list[str], now_ms: float) -> None:
        """Count a set-up that was admitted and took one unit from each of these budgets."""
        self._counters.add("fleet.spent")
        if self._trace:
            log_event(LOG, "budget.spent", budgets=budgets, at_ms=now_ms)

    def on_budget_exhausted(self) -> None:
        """Count a set-up that has to wait for its budgets."""
        self._counters.add("fleet.waits")

    def on_request_completed(self) -> None:
        """Count a request that the store answered, and log the end of an outage."""
        self._counters.add("fleet.requests")
        if self._store_unavailable:
            self._store_unavailable = False
            log_event(LOG, "fleet.available", text="fleet: the store is available again")

    def on_request_failed(self, reason: str) -> None:
        """Count a failed request; the first in a row is logged, with its reason on one line."""
        self._counters.add("fleet.failures")
        if not self._store_unavailable:
            one_line = " ".join(reason.split())
            log_event(LOG, "fleet.unavailable", text=f"fleet: the store is unavailable: {one_line}")
        self._store_unavailable = True

    def on_response(
        self, previous_incarnation: int | None, request: LeaseRequest, response: LeaseResponse
    ) -> None:
        """Log what a request and its response changed: membership, expired members and shares."""
        if response.incarnation is None:
            log_event(LOG, "fleet.out", text=f"fleet: not a member: {response.reason}", why=response.reason)
        elif response.incarnation != previous_incarnation:
            self._log_joined(response.incarnation, len(response.heartbeats))
        removed = _incarnations(request.expired) - _incarnations(response.heartbeats)
        if removed:
            self._log_removed(sorted(removed))
        self.log_shares()

    def log_shares(self) -> None:
        """Log each share that has changed; with ``trace``, log all shares."""
        until_ms = max(0.0, self._holder.until_ms)
        for budget, limits in self._holder.limits.items():
            share = self._holder.in_use(budget) if until_ms else 0
            if self._trace or self._logged_shares.get(budget) != share:
                self._logged_shares[budget] = share
                self._log_share(budget, limits.unleased_quota, share, until_ms)

    def export_metrics(self, members: int) -> None:
        """Set the counters for the fleet's size and the current allowance of each budget."""
        now_ms = self._clock()
        self._counters.set("fleet.members", members)
        for budget in self._holder.limits:
            self._counters.set(f"fleet.allowed[{budget}]", self._holder.allowance(budget, now_ms))

    def _log_joined(self, incarnation: int, members: int) -> None:
        log_event(
            LOG,
            "fleet.in",
            text=f"fleet: joined as incarnation {incarnation}, one of {members} members",
            incarnation=incarnation,
            members=members,
        )

    def _log_removed(self, incarnations: list[int]) -> None:
        self._counters.add("fleet.removed", len(incarnations))
        log_event(
            LOG,
            "fleet.removed",
            text=f"fleet: leases expired, incarnations removed: {incarnations}",
            incarnations=incarnations,
            at_ms=self._clock(),
        )

    def _log_share(self, budget: str, unleased_quota: int, share: int, until_ms: float) -> None:
        unleased_per_s, share_per_s = unleased_quota / THOUSANDTHS_PER_UNIT, share / THOUSANDTHS_PER_UNIT
        log_event(
            LOG,
            "budget.share",
            text=f"fleet: budget {budget}: {unleased_per_s:g}/s unleased and {share_per_s:g}/s leased",
            budget=budget,
            own=unleased_quota,
            share=share,
            until_ms=until_ms,
            at_ms=self._clock(),
        )


def _incarnations(heartbeats: tuple[Heartbeat, ...]) -> set[int]:
    return {heartbeat.incarnation for heartbeat in heartbeats}
