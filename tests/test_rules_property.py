"""The five rules over legal event sequences: whatever the servers, callers and the list do, they hold.

The world below answers only what was sent, ends every attempt once, and otherwise does as hypothesis pleases.
Its checks are its own: they read only the actions.
"""

from __future__ import annotations

from dataclasses import replace

from conftest import HIGH, LOW, RULES, SETTINGS, Gateway, sent_to
from conftest import settings as fleet
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from canvasplank import interface as api
from canvasplank.interface import Outcome

NAMES = ("a", "b", "c")
UNFINISHED = (
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.TIMED_OUT,
    Outcome.NO_CONNECTION,
    Outcome.RESET,
    Outcome.CANCELLED,
    Outcome.NOT_SENT,
)
ENDS = (Outcome.ENDED, Outcome.RESET, Outcome.CANCELLED)
WHICH, NUMBER = st.integers(0, 30), st.integers(0, 5)
CLASS, STATE = st.sampled_from(["low", "high"]), st.sampled_from(list(api.ServerState))
STEPS = st.one_of(
    st.tuples(st.just("wait"), st.integers(1, 900)),
    st.tuples(st.just("stall"), st.integers(100, 2500)),
    st.tuples(st.just("call"), CLASS, st.integers(0, 2), st.integers(0, 3500), NUMBER),
    st.tuples(st.just("answer"), WHICH, st.sampled_from(["established", *UNFINISHED])),
    st.tuples(st.just("end"), WHICH, st.sampled_from(ENDS)),
    st.tuples(st.just("leave"), WHICH),
    st.tuples(st.just("list"), st.sampled_from(NAMES), STATE, st.booleans()),
    st.tuples(st.just("lines"), st.sampled_from(NAMES), st.floats(), st.floats()),
    st.tuples(st.just("report"), st.sampled_from(NAMES), st.floats()),
)


def cold_share(age_ms: float) -> float:
    """The share of its capacity that a server has so long after its start."""
    return RULES.cold_share + (1 - RULES.cold_share) * min(1, age_ms / RULES.warm_within_ms)


class World:
    """A gateway among servers, with the rules checked on every action."""

    def __init__(self, seed: int) -> None:
        classes = tuple(replace(c, hold_ms=8000.0) for c in (LOW, HIGH))  # so that told lines count
        self.g = Gateway(fleet(classes=classes, instances=60), seed=seed)
        self.states = dict.fromkeys(NAMES, api.ServerState.READY)
        self.started: dict[str, float | None] = dict.fromkeys(NAMES)
        self.unanswered: dict[str, float] = {}  # calls without a final answer, and when it is due
        self.gives_up: dict[str, float] = {}  # when their callers give up
        self.out: dict[str, str] = {}  # attempts out: call and server
        self.established: dict[str, str] = {}
        self.not_before: dict[str, float] = {}
        self.seen = 0
        self.g.servers(*(api.Server(n, i, api.ServerState.READY) for i, n in enumerate(NAMES)))

    def check(self) -> None:
        for when, action in self.g.action_log[self.seen :]:
            match action:
                case api.SetUp(call, server, timeout):
                    assert call in self.unanswered, "1: nothing is sent for a call that is over"
                    assert when + timeout <= self.gives_up[call], "1: the attempt ends in the caller's time"
                    assert call not in self.out, "2: one attempt at a time"
                    assert self.states[server] is api.ServerState.READY, "3: nothing to a server not ready"
                    assert when >= self.not_before.get(call, 0), "5: release awaited"
                    self.out[call] = server
                case api.Refuse(call) | api.Fail(call):
                    assert call in self.unanswered, "1: exactly one final answer"
                    assert when <= self.unanswered.pop(call) + RULES.answer_slack_ms, "1: in time"
        self.seen = len(self.g.action_log)
        for call, advance_to in self.unanswered.items():
            assert self.g.now <= advance_to + RULES.answer_slack_ms or call in self.established, "1: overdue"

    def finish_attempt(self, call: str, outcome: Outcome) -> None:
        server = self.out.pop(call, None) or self.established.pop(call)
        finished = call not in self.unanswered or outcome is Outcome.ENDED
        if finished:
            self.unanswered.pop(call, None)
        elif outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.not_before[call] = self.g.now + RULES.release_ms
        self.g.end(call, server, outcome, finished=finished, processor_full=outcome is Outcome.FULL)

    def wait(self, ms: float) -> None:
        target = self.g.now + ms
        while self.g.timers and min(self.g.timers)[0] <= target:
            self.g.advance_to(max(self.g.now, min(self.g.timers)[0]))
            self.check()
        self.g.advance_to(target)

    def answer(self, call: str, what: str | Outcome) -> None:
        if what == "established":
            server = self.out.pop(call)
            if self.unanswered.pop(call, None) is not None:
                self.established[call] = server
            self.g.answer(call, server)
        else:
            self.finish_attempt(call, what)

    def step(self, step: tuple) -> None:
        match step:
            case ("wait", ms):
                self.wait(ms)
            case ("stall", ms):  # no timer rings; what came due meanwhile is answered on waking
                self.g.now += ms
                for call, due in self.unanswered.items():
                    self.unanswered[call] = max(due, self.g.now + 2 * SETTINGS.tick_ms)
            case ("call", name, pool, left, number):
                due = self.unanswered[f"call-{self.g.calls + 1}"] = self.g.now + left
                self.gives_up[f"call-{self.g.calls + 1}"] = due
                self.g.call(name, pool, expires_ms=self.g.now + left, number=str(number))
            case ("answer", which, what) if self.out:
                self.answer(sorted(self.out)[which % len(self.out)], what)
            case ("end", which, what) if self.established:
                call = sorted(self.established)[which % len(self.established)]
                self.finish_attempt(call, what)
            case ("leave", which) if self.unanswered:
                call = sorted(self.unanswered)[which % len(self.unanswered)]
                del self.unanswered[call]
                self.g.handle(api.CallAbandoned(call))
            case ("lines", name, free, lines):
                self.g.handle(api.CircuitsReported(name, free, lines))
            case ("report", name, figure):
                report = api.Report(figure, figure, figure, figure, figure)
                self.g.handle(api.ProbeAnswered(name, answered=figure > 0, report=report))
            case ("list", name, state, restarted):
                self.states[name] = state
                if restarted:
                    self.started[name] = self.g.now
                entry = api.Server(name, NAMES.index(name), state, self.started[name])
                self.g.servers(entry, kind=api.ListKind.CHANGES)
        self.check()


@settings(derandomize=True, deadline=None, max_examples=250, suppress_health_check=list(HealthCheck))
@given(st.lists(STEPS, max_size=80), st.integers(0, 3))
def test_rules_1_2_3_and_5_hold_whatever_happens(steps, seed):
    world = World(seed)
    for step in steps:
        world.step(step)
    world.step(("wait", 4000))
    assert all(call in world.established for call in world.unanswered)


def warm_gateway(seed: int, calls: int, capacity: float) -> Gateway:
    """A gateway whose server has answered so many calls at its capacity."""
    g = Gateway(seed=seed)
    g.servers(api.Server("a", 0, api.ServerState.READY))
    for _ in range(calls):
        call, actions = g.call(expires_ms=g.now + 2000)
        g.advance_to(g.now + 1000 / capacity)
        if sent_to(actions):
            g.answer(call, "a", 1000 / capacity)
    return g


@settings(derandomize=True, deadline=None, max_examples=60, suppress_health_check=list(HealthCheck))
@given(
    st.integers(1, 30),
    st.integers(0, 80),
    st.floats(0.2, 30),
    st.lists(st.integers(1, 120), min_size=40, max_size=120),
    st.integers(0, 9),
)
def test_rule_4_a_cold_server_is_never_near_its_limit(seed, warm_calls, capacity, gaps, silence):
    """A server that can do `capacity` calls a second for this gateway's part, restarted under any traffic.

    It answers at the rate that it then has; what it is sent in any span stays under the tipping multiple of
    that, plus one set-up: a single one cannot be divided.
    """
    g = warm_gateway(seed, warm_calls, capacity)
    born = g.now
    g.servers(api.Server("a", 0, api.ServerState.READY, born), kind=api.ListKind.CHANGES)
    g.action_log.clear()
    sends: list[float] = []
    seen, free_at = 0, born
    waiting: list[tuple[float, str]] = []
    for gap in gaps:
        g.call(expires_ms=g.now + 3000)
        target = g.now + gap
        while True:
            for when, action in g.action_log[seen:]:
                if isinstance(action, api.SetUp):
                    sends.append(when)
                    free_at = max(free_at, when) + 1000 / (capacity * cold_share(when - born))
                    waiting.append((free_at, action.call_id))
            seen = len(g.action_log)
            due = min([target, *(at for at, _ in waiting), *(at for at, _ in g.timers)])
            if due >= target:
                break
            g.advance_to(due)
            for at, call in [w for w in waiting if w[0] <= due]:
                waiting.remove((at, call))
                if call in g.controller._calls and silence:
                    g.answer(call, "a", 50)
        g.advance_to(target)
    span = RULES.overload_span_ms
    for index, at in enumerate(sends):
        count = sum(at - span < s <= at for s in sends[: index + 1])
        assert count <= RULES.overload_multiple * capacity * cold_share(at - born) * span / 1000 + 1
