"""Carries a proxy's requests to the store: the only part of the fleet's coordination that waits on it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import Callable, Iterable

import msgspec

from canvasplank.counters import Counters
from canvasplank.database.errors import StoreRefusedError, StoreUnavailableError
from canvasplank.database.location import let_go
from canvasplank.fleet.backend import Backend
from canvasplank.fleet.budget_limiter import BudgetLimiter
from canvasplank.fleet.config import Fleet
from canvasplank.fleet.failure_detector import FailureDetector
from canvasplank.fleet.lease_holder import LeaseHolder
from canvasplank.fleet.lease_messages import LeaseRequest, LeaseResponse
from canvasplank.fleet.renewal_schedule import RenewalSchedule
from canvasplank.fleet.task_leadership import TaskLeadership
from canvasplank.runtime.structured_logging import log_event

LOG = logging.getLogger(__name__)
MS = 1000.0
CLOSE_S = 0.2
MAX_WAIT_MS = 1000.0  # a set-up without any allowance asks again after so long


def steady_ms() -> float:
    """A clock that nobody sets and that goes on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS


class LeaseRenewer:
    """One proxy's coordination with the fleet."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        seed: int,
        counters: Counters,
        clock: Callable[[], float] = steady_ms,
        *,
        works: Iterable[str] = (),
        sees_discovery: Callable[[], bool] = lambda: False,
        on_others_see_discovery: Callable[[], None] = lambda: None,
    ) -> None:
        """``works``: tasks of the fleet that this process does, and then it holds no budgets.

        ``sees_discovery``: whether service discovery sends events to this proxy; ``on_others_see_discovery``
        is called when a response says that it sends them to others.
        """
        self._fleet, self._counters, self._clock = fleet, counters, clock
        self._backend: Backend = fleet.create_backend()
        self.leadership = TaskLeadership(works, random.Random(seed))
        limits = {} if self.leadership.capabilities else fleet.budget_limits()
        self.holder = LeaseHolder(name, limits, fleet.lease(), fleet.max_members)
        self.failure_detector = FailureDetector(fleet.lease())
        scopes = {budget: scope for budget, scope in fleet.scopes().items() if budget in limits}
        self.limiter = BudgetLimiter(self.holder, scopes, fleet.burst_ms, clock())
        self._for_all = next((budget for budget, scope in scopes.items() if scope.kind == "set-ups"), None)
        self._schedule = RenewalSchedule(fleet.renew_ms, random.Random(seed))
        self._open = False
        self._failing = False
        self._sees_discovery = sees_discovery
        self._on_others_see_discovery = on_others_see_discovery
        self._logged_shares: dict[str, int] = {}  # the share last told of, by budget
        self._task: asyncio.Task | None = None

    # ------------------------------------------------------------------------------------ for the module

    def spend(self, tenant: str | None, attempt: int, server_id: str, take: bool) -> float:
        """How long until a set-up may go by the budgets; 0: now, and with ``take`` it goes."""
        now_ms = self._clock()
        budgets = self.limiter.covering(tenant, attempt, server_id)
        if take and self.limiter.spend(budgets, now_ms):
            self._counters.add("fleet.spent")
            if self._fleet.trace:
                log_event(LOG, "budget.spent", budgets=budgets, at_ms=now_ms)
            return 0.0
        wait_ms = self.limiter.wait_ms(budgets, now_ms)
        if wait_ms > 0:
            self._counters.add("fleet.waits")
        return min(wait_ms, MAX_WAIT_MS)

    def set_up_fraction(self) -> float | None:
        """What this proxy may send now of what all may; None: no budget is for all set-ups."""
        if (budget := self._for_all) is None:
            return None
        return self.holder.allowance(budget, self._clock()) / self.holder.limits[budget].total

    # ------------------------------------------------------------------------------------ the task

    def start(self) -> None:
        """Begin to ask; nothing waits for it."""
        self._log_shares()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self, within_s: float) -> None:
        """Leave the fleet, so that others have the share at once; a store that is away is not waited for."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        if self.holder.incarnation is not None and self._open:
            now_ms = self._clock()
            self.limiter.settle(now_ms)
            request = self.holder.next_request(now_ms, {}, leaving=True)
            self._log_shares()
            await self._carry(request, within_s)
        await self._disconnect()

    async def _run(self) -> None:
        while True:
            pause_ms = await self._renew()
            await asyncio.sleep(pause_ms / MS)

    async def _renew(self) -> float:
        """One request and what it brings; gives the pause until the next."""
        sent_ms = self._clock()  # before anything is sent, or a connection made
        self.limiter.settle(sent_ms)
        request = self.holder.next_request(
            sent_ms, self.limiter.demands(sent_ms), self.failure_detector.expired(sent_ms)
        )
        request = msgspec.structs.replace(
            request, sees_discovery=self._sees_discovery(), **self.leadership.request_fields(sent_ms)
        )
        response = await self._carry(request, self._fleet.request_ms / MS)
        if response is None:
            return self._schedule.after_failure(len(self.failure_detector))
        now_ms = self._clock()
        self.limiter.settle(now_ms)
        known = self.holder.incarnation
        if self.holder.on_response(response):
            self.leadership.on_response(response, now_ms)
        self.failure_detector.observe(response.heartbeats, now_ms)
        if response.members_seeing_discovery:
            self._on_others_see_discovery()
        self._log_response(known, request, response)
        if response.incarnation is None:  # the next request joins anew, at once unless there are too many
            return self._schedule.after_answer(len(self.failure_detector), eager=known is not None)
        return self._schedule.after_answer(
            len(self.failure_detector),
            eager=self.holder.has_excess(response) or self.holder.is_below_target(),
        )

    async def _carry(self, request: LeaseRequest, within_s: float) -> LeaseResponse | None:
        try:
            async with asyncio.timeout(within_s):
                if not self._open:
                    await self._backend.open()
                    self._open = True
                response = await self._backend.transact(request)
        except (StoreUnavailableError, StoreRefusedError, TimeoutError) as error:
            await self._fail(str(error) or f"no answer within {within_s:g} s")
            return None
        except Exception as error:  # guards the shares against a fault of ours: the task must go on
            LOG.exception("fleet: a request failed")
            await self._fail(type(error).__name__)
            return None
        self._counters.add("fleet.requests")
        if self._failing:
            self._failing = False
            log_event(LOG, "fleet.available", text="fleet: the store answers again")
        return response

    async def _fail(self, why: str) -> None:
        self._counters.add("fleet.failures")
        if not self._failing:
            log_event(
                LOG, "fleet.unavailable", text=f"fleet: the store does not answer: {' '.join(why.split())}"
            )
        self._failing = True
        await self._disconnect()

    async def _disconnect(self) -> None:
        self._open = False
        await let_go(self._backend, CLOSE_S)

    # ------------------------------------------------------------------------------------ what it tells

    def _log_response(self, known: int | None, request: LeaseRequest, response: LeaseResponse) -> None:
        if response.incarnation is None:
            log_event(LOG, "fleet.out", text=f"fleet: not in it: {response.reason}", why=response.reason)
        elif response.incarnation != known:
            log_event(
                LOG,
                "fleet.in",
                text=f"fleet: in it as {response.incarnation}, one of {len(response.heartbeats)}",
                incarnation=response.incarnation,
                members=len(response.heartbeats),
            )
        gone = {heartbeat.incarnation for heartbeat in request.expired} - {
            heartbeat.incarnation for heartbeat in response.heartbeats
        }
        if gone:
            self._counters.add("fleet.removed", len(gone))
            log_event(
                LOG,
                "fleet.removed",
                text=f"fleet: not heard of for a lease, removed: {sorted(gone)}",
                incarnations=sorted(gone),
            )
        self._log_shares()

    def _log_shares(self) -> None:
        """An event for each share that is new, or that runs on."""
        until_ms = max(0.0, self.holder.until_ms)
        for budget, limits in self.holder.limits.items():
            share = self.holder.in_use(budget) if until_ms else 0
            if self._fleet.trace or self._logged_shares.get(budget) != share:
                self._logged_shares[budget] = share
                own_per_s, share_per_s = limits.unleased_quota / MS, share / MS
                text = f"fleet: budget {budget}: {own_per_s:g}/s and a share of {share_per_s:g}/s"
                log_event(
                    LOG,
                    "budget.share",
                    text=text,
                    budget=budget,
                    own=limits.unleased_quota,
                    share=share,
                    until_ms=until_ms,
                    at_ms=self._clock(),
                )

    def export_metrics(self) -> None:
        """Have the counters show the fleet as it is seen, and what may be used now."""
        now_ms = self._clock()
        self._counters.set("fleet.members", len(self.failure_detector))
        for budget in self.holder.limits:
            self._counters.set(f"fleet.allowed[{budget}]", self.holder.allowance(budget, now_ms))
