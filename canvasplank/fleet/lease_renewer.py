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
from canvasplank.fleet.budget_limiter import Spender
from canvasplank.fleet.config import Fleet
from canvasplank.fleet.failure_detector import Watch
from canvasplank.fleet.lease_holder import Holder
from canvasplank.fleet.renewal_schedule import Pace
from canvasplank.fleet.state import Answer, Request
from canvasplank.fleet.task_leadership import Ownership
from canvasplank.runtime.structured_logging import log_event

LOG = logging.getLogger(__name__)
MS = 1000.0
CLOSE_S = 0.2
WAIT_MOST_MS = 1000.0  # a set-up without any allowance asks again after so long


def steady_ms() -> float:
    """A clock that nobody sets and that goes on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS


class Agent:
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
    ) -> None:
        """``works``: tasks of the fleet that this process does, and then it holds no budgets."""
        self._fleet, self._counters, self._clock = fleet, counters, clock
        self._backend: Backend = fleet.open_with()
        self.ownership = Ownership(works, random.Random(seed))
        terms = {} if self.ownership.able else fleet.terms()
        self.holder = Holder(name, terms, fleet.lease(), fleet.proxies_most)
        self.watch = Watch(fleet.lease())
        scopes = {budget: scope for budget, scope in fleet.scopes().items() if budget in terms}
        self.spender = Spender(self.holder, scopes, fleet.burst_ms, clock())
        self._for_all = next((budget for budget, scope in scopes.items() if scope.kind == "set-ups"), None)
        self._pace = Pace(fleet.renew_ms, random.Random(seed))
        self._open = False
        self._failing = False
        self.hears: Callable[[], bool] = bool  # whether the notice board tells this proxy things
        self.others_hear: Callable[[], None] = bool  # told when it tells others things
        self._told: dict[str, int] = {}  # the share last told of, by budget
        self._task: asyncio.Task | None = None

    # ------------------------------------------------------------------------------------ for the module

    def spend(self, tenant: str | None, attempt: int, server_id: str, take: bool) -> float:
        """How long until a set-up may go by the budgets; 0: now, and with ``take`` it goes."""
        now_ms = self._clock()
        budgets = self.spender.covering(tenant, attempt, server_id)
        if take and self.spender.spend(budgets, now_ms):
            self._counters.add("fleet.spent")
            if self._fleet.trace:
                log_event(LOG, "budget.spent", budgets=budgets, at_ms=now_ms)
            return 0.0
        wait_ms = self.spender.wait_ms(budgets, now_ms)
        if wait_ms > 0:
            self._counters.add("fleet.waits")
        return min(wait_ms, WAIT_MOST_MS)

    def part_of_set_ups(self) -> float | None:
        """What this proxy may send now of what all may; None: no budget is for all set-ups."""
        if (budget := self._for_all) is None:
            return None
        return self.holder.allowance(budget, self._clock()) / self.holder.terms[budget].whole

    # ------------------------------------------------------------------------------------ the task

    def start(self) -> None:
        """Begin to ask; nothing waits for it."""
        self._tell_shares()
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
            self.spender.settle(now_ms)
            request = self.holder.request(now_ms, {}, leaving=True)
            self._tell_shares()
            await self._carry(request, within_s)
        await self._let_go()

    async def _run(self) -> None:
        while True:
            pause_ms = await self._ask()
            await asyncio.sleep(pause_ms / MS)

    async def _ask(self) -> float:
        """One request and what it brings; gives the pause until the next."""
        sent_ms = self._clock()  # before anything is sent, or a connection made
        self.spender.settle(sent_ms)
        request = self.holder.request(sent_ms, self.spender.demands(sent_ms), self.watch.dead(sent_ms))
        request = msgspec.structs.replace(request, hears=self.hears(), **self.ownership.says(sent_ms))
        answer = await self._carry(request, self._fleet.request_ms / MS)
        if answer is None:
            return self._pace.after_failure(len(self.watch))
        now_ms = self._clock()
        self.spender.settle(now_ms)
        known = self.holder.incarnation
        if self.holder.answered(answer):
            self.ownership.heard(answer, now_ms)
        self.watch.saw(answer.seen, now_ms)
        if answer.hear:
            self.others_hear()
        self._tell(known, request, answer)
        if answer.incarnation is None:  # the next request joins anew, at once unless there are too many
            return self._pace.after_answer(len(self.watch), eager=known is not None)
        return self._pace.after_answer(len(self.watch), eager=self.holder.owes(answer) or self.holder.short())

    async def _carry(self, request: Request, within_s: float) -> Answer | None:
        try:
            async with asyncio.timeout(within_s):
                if not self._open:
                    await self._backend.open()
                    self._open = True
                answer = await self._backend.transact(request)
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
        return answer

    async def _fail(self, why: str) -> None:
        self._counters.add("fleet.failures")
        if not self._failing:
            log_event(
                LOG, "fleet.unavailable", text=f"fleet: the store does not answer: {' '.join(why.split())}"
            )
        self._failing = True
        await self._let_go()

    async def _let_go(self) -> None:
        self._open = False
        await let_go(self._backend, CLOSE_S)

    # ------------------------------------------------------------------------------------ what it tells

    def _tell(self, known: int | None, request: Request, answer: Answer) -> None:
        if answer.incarnation is None:
            log_event(LOG, "fleet.out", text=f"fleet: not in it: {answer.why}", why=answer.why)
        elif answer.incarnation != known:
            log_event(
                LOG,
                "fleet.in",
                text=f"fleet: in it as {answer.incarnation}, one of {len(answer.seen)}",
                incarnation=answer.incarnation,
                members=len(answer.seen),
            )
        gone = {sign.incarnation for sign in request.dead} - {sign.incarnation for sign in answer.seen}
        if gone:
            self._counters.add("fleet.removed", len(gone))
            log_event(
                LOG,
                "fleet.removed",
                text=f"fleet: not heard of for a lease, removed: {sorted(gone)}",
                incarnations=sorted(gone),
            )
        self._tell_shares()

    def _tell_shares(self) -> None:
        """An event for each share that is new, or that runs on."""
        until_ms = max(0.0, self.holder.until_ms)
        for budget, terms in self.holder.terms.items():
            share = self.holder.using(budget) if until_ms else 0
            if self._fleet.trace or self._told.get(budget) != share:
                self._told[budget] = share
                text = f"fleet: budget {budget}: {terms.own_part / MS:g}/s and a share of {share / MS:g}/s"
                log_event(
                    LOG,
                    "budget.share",
                    text=text,
                    budget=budget,
                    own=terms.own_part,
                    share=share,
                    until_ms=until_ms,
                    at_ms=self._clock(),
                )

    def count(self) -> None:
        """Have the counters show the fleet as it is seen, and what may be used now."""
        now_ms = self._clock()
        self._counters.set("fleet.members", len(self.watch))
        for budget in self.holder.terms:
            self._counters.set(f"fleet.allowed[{budget}]", self.holder.allowance(budget, now_ms))
