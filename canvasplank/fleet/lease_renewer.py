"""The lease renewal loop: the only part of the fleet's coordination that waits for the store."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import Callable, Iterable

import msgspec

from canvasplank.counters import Counters
from canvasplank.database.errors import DatabaseUnavailableError, DataRejectedError
from canvasplank.database.location import close_within
from canvasplank.fleet.backend import Backend
from canvasplank.fleet.budget_limiter import BudgetKind, BudgetLimiter
from canvasplank.fleet.config import FleetSettings
from canvasplank.fleet.failure_detector import FailureDetector
from canvasplank.fleet.lease_holder import LeaseHolder
from canvasplank.fleet.lease_messages import LeaseRequest, LeaseResponse
from canvasplank.fleet.renewal_reporter import RenewalReporter
from canvasplank.fleet.renewal_schedule import RenewalSchedule
from canvasplank.fleet.task_leadership import TaskLeadership

LOG = logging.getLogger(__name__)
MS_PER_S = 1000.0
CLOSE_TIMEOUT_S = 0.2  # for closing the connection to the store
MAX_BUDGET_WAIT_MS = 1000.0  # the retry interval of a set-up while its budget has no allowance


def boottime_ms() -> float:
    """Return milliseconds on a clock that is never set and that keeps running while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S


class LeaseRenewer:
    """Renews one process's leases and limits its set-ups by them."""

    def __init__(
        self,
        fleet: FleetSettings,
        name: str,
        seed: int,
        counters: Counters,
        clock: Callable[[], float] = boottime_ms,
        *,
        capabilities: Iterable[str] = (),
        sees_discovery: Callable[[], bool] = lambda: False,
        on_others_see_discovery: Callable[[], None] = lambda: None,
    ) -> None:
        """``capabilities`` are the fleet's tasks that this process can own; with any, it holds no budgets.

        ``sees_discovery`` returns whether service discovery sends events to this proxy.
        ``on_others_see_discovery`` is called when a response reports that discovery sends events to others.
        """
        self._fleet, self._clock = fleet, clock
        self._backend: Backend = fleet.create_backend()
        self._connected = False
        self.leadership = TaskLeadership(capabilities, random.Random(seed))
        limits = {} if self.leadership.capabilities else fleet.budget_limits()
        self.holder = LeaseHolder(name, limits, fleet.lease(), fleet.max_members)
        self.failure_detector = FailureDetector(fleet.lease())
        scopes = {budget: scope for budget, scope in fleet.scopes().items() if budget in limits}
        self.limiter = BudgetLimiter(self.holder, scopes, fleet.burst_ms, clock())
        self._set_up_budget = next(
            (budget for budget, scope in scopes.items() if scope.kind == BudgetKind.SET_UPS), None
        )
        self._schedule = RenewalSchedule(fleet.renew_ms, random.Random(seed))
        self._reporter = RenewalReporter(self.holder, counters, clock, trace=fleet.trace)
        self._sees_discovery = sees_discovery
        self._on_others_see_discovery = on_others_see_discovery
        self._task: asyncio.Task[None] | None = None
        self._closing = asyncio.Event()

    # ------------------------------------------------------------------------------------ admission

    def spend(self, tenant: str | None, attempt: int, server_id: str, take: bool) -> float:
        """Return the milliseconds until the budgets admit a set-up; 0 if they admit it now.

        If ``take`` is set and the set-up is admitted, its units are spent.
        """
        now_ms = self._clock()
        budgets = self.limiter.applicable_budgets(tenant, attempt, server_id)
        if take and self.limiter.spend(budgets, now_ms):
            self._reporter.on_units_spent(budgets, now_ms)
            return 0.0
        wait_ms = self.limiter.wait_ms(budgets, now_ms)
        if wait_ms > 0:
            self._reporter.on_budget_exhausted()
        return min(wait_ms, MAX_BUDGET_WAIT_MS)

    def set_up_fraction(self) -> float | None:
        """Return this proxy's fraction of the budget of all set-ups; None if there is no such budget."""
        if (budget := self._set_up_budget) is None:
            return None
        return self.holder.allowance(budget, self._clock()) / self.holder.limits[budget].total

    def export_metrics(self) -> None:
        """Set the counters for the fleet's size and this proxy's allowances."""
        self._reporter.export_metrics(len(self.failure_detector))

    # ------------------------------------------------------------------------------------ renewal loop

    def start(self) -> None:
        """Start the renewal loop without waiting for its first request."""
        self._reporter.log_shares()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self, within_s: float) -> None:
        """End the loop and leave the fleet, so that the other members get the shares at once.

        A request in flight is completed first.  If it were interrupted, it could leave an open transaction or
        a busy thread, on which the leaving request would fail, or a new member whose incarnation this process
        does not know.  The method waits for the store for at most ``within_s`` seconds, and raises nothing.
        """
        if self._task is None:
            return
        self._closing.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await self._task
                if self.holder.incarnation is not None:
                    await self._leave(within_s)
        await self._disconnect()

    async def _leave(self, within_s: float) -> None:
        now_ms = self._clock()
        self.limiter.refill(now_ms)
        request = self.holder.next_request(now_ms, {}, leaving=True)
        self._reporter.log_shares()
        await self._transact(request, within_s)

    async def _run(self) -> None:
        while not self._closing.is_set():
            pause_ms = await self._renew()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_ms / MS_PER_S):
                    await self._closing.wait()

    async def _renew(self) -> float:
        """Execute one request and return the pause until the next, in milliseconds."""
        request = self._next_request()
        response = await self._transact(request, self._fleet.request_ms / MS_PER_S)
        if response is None:
            return self._schedule.after_failure(len(self.failure_detector))
        previous_incarnation = self.holder.incarnation
        self._apply_response(response)
        self._reporter.on_response(previous_incarnation, request, response)
        if response.incarnation is None:  # only a member that was removed rejoins early
            eager = previous_incarnation is not None
        else:
            eager = self.holder.has_excess(response) or self.holder.is_below_target()
        return self._schedule.after_response(len(self.failure_detector), eager=eager)

    def _next_request(self) -> LeaseRequest:
        sent_ms = self._clock()  # the lease starts here, before a connection is opened and the request sent
        self.limiter.refill(sent_ms)
        request = self.holder.next_request(
            sent_ms, self.limiter.demands(sent_ms), self.failure_detector.expired(sent_ms)
        )
        return msgspec.structs.replace(
            request, sees_discovery=self._sees_discovery(), **self.leadership.request_fields(sent_ms)
        )

    def _apply_response(self, response: LeaseResponse) -> None:
        now_ms = self._clock()
        self.limiter.refill(now_ms)  # at the previous allowance, before the response changes it
        if self.holder.on_response(response):
            self.leadership.on_response(response, now_ms)
        self.failure_detector.observe(response.heartbeats, now_ms)
        if response.members_seeing_discovery:
            self._on_others_see_discovery()

    # ------------------------------------------------------------------------------------ store access

    async def _transact(self, request: LeaseRequest, within_s: float) -> LeaseResponse | None:
        """Return the store's response, or None after a failure, which is reported."""
        try:
            async with asyncio.timeout(within_s):
                if not self._connected:
                    await self._backend.open()
                    self._connected = True
                response = await self._backend.transact(request)
        except (DatabaseUnavailableError, DataRejectedError, TimeoutError) as error:
            await self._on_failure(str(error) or f"no answer within {within_s:g} s")
            return None
        except Exception as error:  # a software defect must not end the loop, or the leases would expire
            LOG.exception("fleet: a request failed unexpectedly")
            await self._on_failure(type(error).__name__)
            return None
        self._reporter.on_request_completed()
        return response

    async def _on_failure(self, reason: str) -> None:
        self._reporter.on_request_failed(reason)
        await self._disconnect()

    async def _disconnect(self) -> None:
        self._connected = False
        await close_within(self._backend, CLOSE_TIMEOUT_S)
