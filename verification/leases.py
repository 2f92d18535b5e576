"""Explores every interleaving of the lease protocol, in the program's own code, up to bounds.

A state is a few proxies (each the program's own ``LeaseHolder`` and ``FailureDetector``), the store's rows,
messages on their way and the time.  From each state every step is tried: a tick of time, in which each
proxy's clock may gain or lose one; a request sent, and carried out now, late, twice or never; its
answer heard, late or never; a proxy started anew under the same name while the old one goes on.  A frozen
one takes no step for long.

Sending a request touches nothing but its sender, so one that is carried out within the same tick is sent and
carried out in one step; what comes of every other order is the same.

Checked in every state: what all proxies may be using, each by its own clock, sums to no more than the whole.
"""

from __future__ import annotations

import copy
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from canvasplank.fleet import lease_transaction
from canvasplank.fleet.failure_detector import FailureDetector
from canvasplank.fleet.lease_holder import NEVER, BudgetLimits, Lease, LeaseHolder
from canvasplank.fleet.lease_messages import LeaseRequest, LeaseResponse
from canvasplank.fleet.state import FleetState

BUDGET = "b"
WHOLE = 6
Apply = Callable[[FleetState, LeaseRequest], tuple[FleetState, LeaseResponse]]


@dataclass(slots=True)
class Proxy:
    """One process, its clock's error, and what is on its way from and to it."""

    holder: LeaseHolder
    watch: FailureDetector
    gained: int = 0  # its clock is the true time and this
    slips: int = 0  # how often it has gained or lost
    asked: int = 0
    request: LeaseRequest | None = None  # the newest, not carried out yet
    sent: int = 0  # when that was sent
    late: LeaseRequest | None = None  # one that its sender has given up, or that comes again
    answer: LeaseResponse | None = None  # on its way


@dataclass(slots=True)
class State:
    """Everything there is."""

    proxies: list[Proxy]
    rows: FleetState = field(default_factory=FleetState)
    now: int = 0

    def used(self) -> int:
        """What all may be using now."""
        return sum(p.holder.share(BUDGET, self.now + p.gained) for p in self.proxies)

    def key(self) -> tuple:
        """The same for states that go on alike: times count from now, and what is long past is past."""
        return (
            tuple(self._proxy_key(p) for p in self.proxies),
            tuple(sorted((k, m.seq, m.allocations[BUDGET].held) for k, m in self.rows.members.items())),
            self.rows.next_incarnation,
            self.now,
        )

    def _proxy_key(self, proxy: Proxy) -> tuple:
        holder = proxy.holder
        lasts = holder.until_ms if holder.until_ms > self.now + proxy.gained else NEVER
        sent = holder._sent_ms if proxy.request or proxy.answer else NEVER
        return (
            holder.incarnation,
            lasts,
            holder.in_use(BUDGET),
            holder._target[BUDGET],
            sent,
            holder._seq,
            proxy.gained,
            proxy.slips,
            proxy.asked,
            _request_key(proxy.request),
            _request_key(proxy.late),
            _answer_key(proxy.answer),
            tuple(sorted(proxy.watch._since.items())),
        )


def _request_key(request: LeaseRequest | None) -> tuple | None:
    return request and (request.incarnation, request.seq, request.in_use[BUDGET].held, request.expired)


def _answer_key(answer: LeaseResponse | None) -> tuple | None:
    return answer and (answer.incarnation, answer.seq, tuple(answer.grants.items()), answer.heartbeats)


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far to look."""

    ticks: int = 6
    asks: int = 4  # by each proxy
    slips: int = 1  # of each clock
    late: int = 1  # of the proxies, whose requests may be on their way over a tick, come late, or come twice
    processes: int = 2
    starts: int = 1  # of them, at the beginning
    states: int = 400_000


@dataclass(frozen=True, slots=True)
class Found:
    """What exploring came to."""

    states: int
    whole: bool  # whether everything within the bounds was looked at
    path: tuple[str, ...] | None  # the steps to a state that is wrong, where there is one


class Explorer:
    """Breadth first, so that a path to a fault is a shortest one."""

    def __init__(self, lease: Lease, bounds: Bounds, apply: Apply = lease_transaction.apply) -> None:
        self._lease, self._bounds, self._apply = lease, bounds, apply
        self._prompt = (self._ask, self._hear)
        self._slow = (*self._prompt, self._ask_twice, self._send, self._arrive, self._late)

    def run(self) -> Found:
        """Look at every state within the bounds, or up to the first that is wrong."""
        first = self.first()
        before: dict[tuple, tuple[tuple, str] | None] = {first.key(): None}
        waiting = deque([first])
        while waiting:
            state = waiting.popleft()
            for step, after in self.steps(state):
                key = after.key()
                if key in before:
                    continue
                before[key] = state.key(), step
                if after.used() > WHOLE:
                    return Found(len(before), False, self._path(before, key))
                if len(before) >= self._bounds.states:
                    return Found(len(before), False, None)
                waiting.append(after)
        return Found(len(before), True, None)

    def first(self) -> State:
        """Nobody has asked anything."""
        return State([self._proxy("p0") for _ in range(self._bounds.starts)])

    @staticmethod
    def _path(before: dict, key: tuple) -> tuple[str, ...]:
        steps = []
        while (came := before[key]) is not None:
            key, step = came
            steps.append(step)
        return tuple(reversed(steps))

    def _proxy(self, name: str) -> Proxy:
        terms = {BUDGET: BudgetLimits(WHOLE, 0, self._bounds.processes + 2)}
        return Proxy(LeaseHolder(name, terms, self._lease), FailureDetector(self._lease))

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Every step that can follow, and what it leads to."""
        if state.now < self._bounds.ticks:
            yield from self._ticks(state)
        if len(state.proxies) < self._bounds.processes:
            # The name is used again while the old one goes on.
            yield "start", State([*state.proxies, self._proxy("p0")], state.rows, state.now)
        for number in range(len(state.proxies)):
            for step in self._slow if number < self._bounds.late else self._prompt:
                proxies = list(state.proxies)
                proxies[number] = _copy(proxies[number])
                after = State(proxies, state.rows, state.now)
                if step(after, proxies[number]):
                    yield f"{step.__name__.strip('_')} {number}", after

    def _ticks(self, state: State) -> Iterator[tuple[str, State]]:
        """Time passes; any of the clocks may gain or lose one against it."""
        can = [number for number, p in enumerate(state.proxies) if p.slips < self._bounds.slips]
        for chosen in itertools.chain.from_iterable(
            itertools.combinations(can, count) for count in range(len(can) + 1)
        ):
            proxies = list(state.proxies)
            for number in chosen:
                proxies[number] = replace(
                    proxies[number], gained=1 - proxies[number].gained, slips=proxies[number].slips + 1
                )
            yield f"tick, slipping {list(chosen)}", State(proxies, state.rows, state.now + 1)

    def _send(self, state: State, proxy: Proxy) -> bool:
        """It sends a request; the one before, if it is still on its way, may come late, or never."""
        if proxy.asked >= self._bounds.asks:
            return False
        proxy.asked += 1
        proxy.late = proxy.request or proxy.late
        now = state.now + proxy.gained
        proxy.request = proxy.holder.next_request(now, {}, proxy.watch.expired(now))
        proxy.sent = state.now
        return True

    def _ask(self, state: State, proxy: Proxy) -> bool:
        """It sends one, and the store commits it at once; whether the answer is heard is another step."""
        return self._send(state, proxy) and self._commit(state, proxy)

    def _ask_twice(self, state: State, proxy: Proxy) -> bool:
        """The same, and it will come a second time."""
        if not self._send(state, proxy):
            return False
        proxy.late = proxy.request
        return self._commit(state, proxy)

    def _arrive(self, state: State, proxy: Proxy) -> bool:
        """The store commits what was sent before the last tick."""
        return proxy.request is not None and proxy.sent < state.now and self._commit(state, proxy)

    def _commit(self, state: State, proxy: Proxy) -> bool:
        state.rows, proxy.answer = self._apply(state.rows, proxy.request)
        proxy.request = None
        return True

    def _late(self, state: State, proxy: Proxy) -> bool:
        if proxy.late is None:
            return False
        state.rows, _ = self._apply(state.rows, proxy.late)
        proxy.late = None
        return True

    def _hear(self, state: State, proxy: Proxy) -> bool:
        if proxy.answer is None:
            return False
        proxy.holder.on_response(proxy.answer)
        proxy.watch.observe(proxy.answer.heartbeats, state.now + proxy.gained)
        proxy.answer = None
        return True


def _copy(proxy: Proxy) -> Proxy:
    holder, watch = copy.copy(proxy.holder), copy.copy(proxy.watch)
    holder._in_use, holder._target = dict(holder._in_use), dict(holder._target)
    return replace(proxy, holder=holder, watch=watch)


LARGE = {
    "three processes, one tick": (
        Lease(2.0, 1.0, 0.0),
        Bounds(ticks=1, asks=2, starts=3, processes=3, late=0, slips=0),
    ),
    "clocks slip, four ticks": (Lease(2.0, 1.0, 0.0), Bounds(ticks=4, asks=2, starts=2, late=0)),
    "late over a tick": (Lease(2.0, 1.0, 0.0), Bounds(ticks=1, asks=3, starts=2, slips=0, states=10**6)),
}


def main() -> int:
    """Explore further than the tests do; minutes."""
    wrong = 0
    for name, (lease, bounds) in LARGE.items():
        found = Explorer(lease, bounds).run()
        extent = "all" if found.whole else "the first"
        print(f"{name}: {extent} {found.states} states, {found.path or 'the sum holds in each'}", flush=True)
        wrong += found.path is not None
    return wrong


if __name__ == "__main__":
    raise SystemExit(main())
