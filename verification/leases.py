"""Model checker for the lease protocol: runs the production code in every interleaving within given bounds.

A state consists of a few proxies (each with a production ``LeaseHolder`` and ``FailureDetector``), the state
in the store, the messages in flight and the time. The checker tries every possible step from each state:

- the time advances by a tick, in which each proxy's clock may gain or lose a tick;
- a proxy sends a request, which is applied now, late, twice or never;
- a proxy receives a response, now, late or never;
- a proxy starts under a name in use, while the older process continues.

A frozen process corresponds to a proxy that takes no step for several ticks. Sending a request changes only
its sender. A request that is applied in the tick in which it is sent is therefore sent and applied in one
step; any other order of the two leads to the same states.

The invariant is checked in every state: the sum of the shares that the proxies may be using, each by its own
clock, does not exceed the total.
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
TOTAL = 6  # small, to keep the number of states low
Apply = Callable[[FleetState, LeaseRequest], tuple[FleetState, LeaseResponse]]


@dataclass(slots=True)
class Proxy:
    """One process, the error of its clock, and its messages in flight."""

    holder: LeaseHolder
    failure_detector: FailureDetector
    clock_offset: int = 0  # the time on its clock minus the true time
    clock_slips: int = 0  # how often its clock has gained or lost a tick
    requests_sent: int = 0
    request: LeaseRequest | None = None  # the newest request, unless it has been applied
    sent_at: int = 0  # the true time when the newest request was sent
    delayed: LeaseRequest | None = None  # a duplicate, or a request superseded by a newer one
    response: LeaseResponse | None = None  # in flight


@dataclass(slots=True)
class State:
    """A state of the model; times are in ticks."""

    proxies: list[Proxy]
    fleet: FleetState = field(default_factory=FleetState)
    now: int = 0

    def in_use(self) -> int:
        """Return the sum of the shares that the proxies may be using now."""
        return sum(p.holder.share(BUDGET, self.now + p.clock_offset) for p in self.proxies)

    def key(self) -> tuple[object, ...]:
        """Return a key that is equal for states with the same future.

        An expired lease has the same key as one that was never granted.
        """
        return (
            tuple(self._proxy_key(p) for p in self.proxies),
            tuple(sorted((k, m.seq, m.allocations[BUDGET].held) for k, m in self.fleet.members.items())),
            self.fleet.next_incarnation,
            self.now,
        )

    def _proxy_key(self, proxy: Proxy) -> tuple[object, ...]:
        holder = proxy.holder
        until = holder.until_ms if holder.until_ms > self.now + proxy.clock_offset else NEVER
        sent = holder._sent_ms if proxy.request or proxy.response else NEVER
        return (
            holder.incarnation,
            until,
            holder.in_use(BUDGET),
            holder._target[BUDGET],
            sent,
            holder._seq,
            proxy.clock_offset,
            proxy.clock_slips,
            proxy.requests_sent,
            _request_key(proxy.request),
            _request_key(proxy.delayed),
            _response_key(proxy.response),
            tuple(sorted(proxy.failure_detector._unchanged_since.items())),
        )


def _request_key(request: LeaseRequest | None) -> tuple[object, ...] | None:
    return request and (request.incarnation, request.seq, request.in_use[BUDGET].held, request.expired)


def _response_key(response: LeaseResponse | None) -> tuple[object, ...] | None:
    return response and (
        response.incarnation,
        response.seq,
        tuple(response.grants.items()),
        response.heartbeats,
    )


@dataclass(frozen=True, slots=True)
class Bounds:
    """The upper limits of an exploration, and its initial number of processes."""

    ticks: int = 6
    requests: int = 4  # by each proxy
    clock_slips: int = 1  # of each clock
    delayed_proxies: int = 1  # proxies whose requests may be in flight over a tick, late or duplicated
    processes: int = 2
    initial_processes: int = 1
    states: int = 400_000


@dataclass(frozen=True, slots=True)
class Exploration:
    """The result of an exploration."""

    states: int
    complete: bool  # whether every state within the bounds was explored
    path: tuple[str, ...] | None  # the steps to a state that violates the invariant; None: none was found


class Explorer:
    """Explores states breadth-first, so that the path to a violation is a shortest one."""

    def __init__(self, lease: Lease, bounds: Bounds, apply: Apply = lease_transaction.apply) -> None:
        """``apply`` is the transaction to check; the default is the production one."""
        self._lease, self._bounds, self._apply = lease, bounds, apply
        self._prompt_steps = (self._request, self._receive)
        self._all_steps = (
            *self._prompt_steps,
            self._request_twice,
            self._send,
            self._arrive,
            self._arrive_late,
        )

    def run(self) -> Exploration:
        """Explore all states within the bounds, or until one violates the invariant."""
        initial = self.initial_state()
        predecessors: dict[tuple[object, ...], tuple[tuple[object, ...], str] | None] = {initial.key(): None}
        queue = deque([initial])
        while queue:
            state = queue.popleft()
            for step, after in self.steps(state):
                key = after.key()
                if key in predecessors:
                    continue
                predecessors[key] = state.key(), step
                if after.in_use() > TOTAL:
                    return Exploration(len(predecessors), False, self._path(predecessors, key))
                if len(predecessors) >= self._bounds.states:
                    return Exploration(len(predecessors), False, None)
                queue.append(after)
        return Exploration(len(predecessors), True, None)

    def initial_state(self) -> State:
        """Return the state in which no proxy has sent a request yet."""
        return State([self._proxy("p0") for _ in range(self._bounds.initial_processes)])

    @staticmethod
    def _path(
        predecessors: dict[tuple[object, ...], tuple[tuple[object, ...], str] | None], key: tuple[object, ...]
    ) -> tuple[str, ...]:
        steps = []
        while (predecessor := predecessors[key]) is not None:
            key, step = predecessor
            steps.append(step)
        return tuple(reversed(steps))

    def _proxy(self, name: str) -> Proxy:
        limits = {BUDGET: BudgetLimits(TOTAL, 0, self._bounds.processes + 2)}
        return Proxy(LeaseHolder(name, limits, self._lease), FailureDetector(self._lease))

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the name of every step that is possible in a state, and the state that it leads to."""
        if state.now < self._bounds.ticks:
            yield from self._ticks(state)
        if len(state.proxies) < self._bounds.processes:
            # The new process takes the name of one that is still running.
            yield "start", State([*state.proxies, self._proxy("p0")], state.fleet, state.now)
        for number in range(len(state.proxies)):
            for step in self._all_steps if number < self._bounds.delayed_proxies else self._prompt_steps:
                proxies = list(state.proxies)
                proxies[number] = _copy(proxies[number])
                after = State(proxies, state.fleet, state.now)
                if step(after, proxies[number]):
                    yield f"{step.__name__.strip('_')} {number}", after

    def _ticks(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the steps that advance the time by a tick, one per subset of clocks that gain or lose one."""
        can_slip = [
            number for number, p in enumerate(state.proxies) if p.clock_slips < self._bounds.clock_slips
        ]
        for slipping in itertools.chain.from_iterable(
            itertools.combinations(can_slip, count) for count in range(len(can_slip) + 1)
        ):
            proxies = list(state.proxies)
            for number in slipping:
                proxies[number] = replace(
                    proxies[number],
                    clock_offset=1 - proxies[number].clock_offset,
                    clock_slips=proxies[number].clock_slips + 1,
                )
            yield f"tick, slipping {list(slipping)}", State(proxies, state.fleet, state.now + 1)

    # A step changes the given state and proxy, and returns False if it is not possible in this state.
    # ``Exploration.path`` contains the names of these methods.

    def _send(self, state: State, proxy: Proxy) -> bool:
        """The proxy sends a request; an earlier one that is still in flight may arrive late, or never."""
        if proxy.requests_sent >= self._bounds.requests:
            return False
        proxy.requests_sent += 1
        proxy.delayed = proxy.request or proxy.delayed
        now = state.now + proxy.clock_offset
        proxy.request = proxy.holder.next_request(now, {}, proxy.failure_detector.expired(now))
        proxy.sent_at = state.now
        return True

    def _request(self, state: State, proxy: Proxy) -> bool:
        """The proxy sends a request that is applied at once; its response is received in a later step."""
        return self._send(state, proxy) and self._commit(state, proxy)

    def _request_twice(self, state: State, proxy: Proxy) -> bool:
        """The proxy sends a request that is applied at once, while a duplicate stays in flight."""
        if not self._send(state, proxy):
            return False
        proxy.delayed = proxy.request
        return self._commit(state, proxy)

    def _arrive(self, state: State, proxy: Proxy) -> bool:
        """The store applies the newest request, sent in an earlier tick."""
        return proxy.request is not None and proxy.sent_at < state.now and self._commit(state, proxy)

    def _commit(self, state: State, proxy: Proxy) -> bool:
        state.fleet, proxy.response = self._apply(state.fleet, proxy.request)
        proxy.request = None
        return True

    def _arrive_late(self, state: State, proxy: Proxy) -> bool:
        """The store applies a superseded or duplicate request, whose response is lost."""
        if proxy.delayed is None:
            return False
        state.fleet, _ = self._apply(state.fleet, proxy.delayed)
        proxy.delayed = None
        return True

    def _receive(self, state: State, proxy: Proxy) -> bool:
        """The proxy receives the response in flight."""
        if proxy.response is None:
            return False
        proxy.holder.on_response(proxy.response)
        proxy.failure_detector.observe(proxy.response.heartbeats, state.now + proxy.clock_offset)
        proxy.response = None
        return True


def _copy(proxy: Proxy) -> Proxy:
    return replace(proxy, holder=proxy.holder.copy(), failure_detector=copy.copy(proxy.failure_detector))


LARGE_EXPLORATIONS = {
    "three processes, one tick": (
        Lease(2.0, 1.0, 0.0),
        Bounds(ticks=1, requests=2, initial_processes=3, processes=3, delayed_proxies=0, clock_slips=0),
    ),
    "clocks slip, four ticks": (
        Lease(2.0, 1.0, 0.0),
        Bounds(ticks=4, requests=2, initial_processes=2, delayed_proxies=0),
    ),
    "requests delayed over a tick": (
        Lease(2.0, 1.0, 0.0),
        Bounds(ticks=1, requests=3, initial_processes=2, clock_slips=0, states=10**6),
    ),
}


def main() -> int:
    """Explore more states than the tests do, in some minutes; return the number of violations found."""
    violations = 0
    for name, (lease, bounds) in LARGE_EXPLORATIONS.items():
        exploration = Explorer(lease, bounds).run()
        extent = "all" if exploration.complete else "the first"
        print(
            f"{name}: {extent} {exploration.states} states, {exploration.path or 'no violation'}",
            flush=True,
        )
        violations += exploration.path is not None
    return violations


if __name__ == "__main__":
    raise SystemExit(main())
