"""The five rules hold for any legal sequence of events from servers, callers and the server list.

The simulated environment answers only what was sent and ends every attempt once; hypothesis draws the rest.
Its checks read only the controller's actions.
"""

from __future__ import annotations

from dataclasses import replace

from conftest import HIGH, LOW, RULES, SETTINGS, Gateway, sent_to
from conftest import settings as gateway_settings
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
INDEX, NUMBER = st.integers(0, 30), st.integers(0, 5)
CLASS, STATE = st.sampled_from(["low", "high"]), st.sampled_from(list(api.ServerState))
STEPS = st.one_of(
    st.tuples(st.just("wait"), st.integers(1, 900)),
    st.tuples(st.just("stall"), st.integers(100, 2500)),
    st.tuples(st.just("call"), CLASS, st.integers(0, 2), st.integers(0, 3500), NUMBER),
    st.tuples(st.just("answer"), INDEX, st.sampled_from(["established", *UNFINISHED])),
    st.tuples(st.just("end"), INDEX, st.sampled_from(ENDS)),
    st.tuples(st.just("abandon"), INDEX),
    st.tuples(st.just("list"), st.sampled_from(NAMES), STATE, st.booleans()),
    st.tuples(st.just("circuits"), st.sampled_from(NAMES), st.floats(), st.floats()),
    st.tuples(st.just("report"), st.sampled_from(NAMES), st.floats()),
)


def cold_share(age_ms: float) -> float:
    """Return the fraction of its capacity that a server has at this age."""
    return RULES.cold_share + (1 - RULES.cold_share) * min(1, age_ms / RULES.warm_within_ms)


class Environment:
    """A gateway, its callers and servers; checks the rules on every action."""

    def __init__(self, seed: int) -> None:
        classes = tuple(replace(c, hold_ms=8000.0) for c in (LOW, HIGH))  # so that reported circuits count
        self.gateway = Gateway(gateway_settings(classes=classes, instances=60), seed=seed)
        self.states = dict.fromkeys(NAMES, api.ServerState.READY)
        self.started: dict[str, float | None] = dict.fromkeys(NAMES)
        self.unanswered: dict[str, float] = {}  # calls without a final answer, and when it is due
        self.expires_ms: dict[str, float] = {}  # when their callers stop waiting
        self.in_flight: dict[str, str] = {}  # server of the attempt in flight, by call
        self.established: dict[str, str] = {}
        self.not_before: dict[str, float] = {}
        self.seen = 0  # actions checked so far
        self.gateway.servers(*(api.Server(n, i, api.ServerState.READY) for i, n in enumerate(NAMES)))

    def check(self) -> None:
        for when, action in self.gateway.action_log[self.seen :]:
            match action:
                case api.SetUp(call, server, timeout):
                    assert call in self.unanswered, "1: nothing is sent for an answered call"
                    assert when + timeout <= self.expires_ms[call], (
                        "1: the attempt ends before the caller's deadline"
                    )
                    assert call not in self.in_flight, "2: one attempt at a time"
                    assert self.states[server] is api.ServerState.READY, "3: nothing to a server not ready"
                    assert when >= self.not_before.get(call, 0), "5: release awaited"
                    self.in_flight[call] = server
                case api.Refuse(call) | api.Fail(call):
                    assert call in self.unanswered, "1: exactly one final answer"
                    assert when <= self.unanswered.pop(call) + RULES.answer_slack_ms, "1: in time"
        self.seen = len(self.gateway.action_log)
        for call, due_ms in self.unanswered.items():
            assert self.gateway.now <= due_ms + RULES.answer_slack_ms or call in self.established, (
                "1: overdue"
            )

    def finish_attempt(self, call: str, outcome: Outcome) -> None:
        server = self.in_flight.pop(call, None) or self.established.pop(call)
        finished = call not in self.unanswered or outcome is Outcome.ENDED
        if finished:
            self.unanswered.pop(call, None)
        elif outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.not_before[call] = self.gateway.now + RULES.release_ms
        self.gateway.end(call, server, outcome, finished=finished, processor_full=outcome is Outcome.FULL)

    def wait(self, ms: float) -> None:
        target = self.gateway.now + ms
        while self.gateway.timers and min(self.gateway.timers)[0] <= target:
            self.gateway.advance_to(max(self.gateway.now, min(self.gateway.timers)[0]))
            self.check()
        self.gateway.advance_to(target)

    def answer(self, call: str, what: str | Outcome) -> None:
        if what == "established":
            server = self.in_flight.pop(call)
            if self.unanswered.pop(call, None) is not None:
                self.established[call] = server
            self.gateway.answer(call, server)
        else:
            self.finish_attempt(call, what)

    def step(self, step: tuple) -> None:
        match step:
            case ("wait", ms):
                self.wait(ms)
            case ("stall", ms):  # no timer fires meanwhile; calls that came due are answered afterwards
                self.gateway.now += ms
                for call, due in self.unanswered.items():
                    self.unanswered[call] = max(due, self.gateway.now + 2 * SETTINGS.tick_ms)
            case ("call", class_name, pool, wait_ms, number):
                due = self.unanswered[f"call-{self.gateway.calls + 1}"] = self.gateway.now + wait_ms
                self.expires_ms[f"call-{self.gateway.calls + 1}"] = due
                self.gateway.call(class_name, pool, expires_ms=self.gateway.now + wait_ms, number=str(number))
            case ("answer", index, what) if self.in_flight:
                self.answer(sorted(self.in_flight)[index % len(self.in_flight)], what)
            case ("end", index, what) if self.established:
                call = sorted(self.established)[index % len(self.established)]
                self.finish_attempt(call, what)
            case ("abandon", index) if self.unanswered:
                call = sorted(self.unanswered)[index % len(self.unanswered)]
                del self.unanswered[call]
                self.gateway.handle(api.CallAbandoned(call))
            case ("circuits", name, free, circuits):
                self.gateway.handle(api.CircuitsReported(name, free, circuits))
            case ("report", name, figure):
                report = api.Report(figure, figure, figure, figure, figure)
                self.gateway.handle(api.ProbeAnswered(name, answered=figure > 0, report=report))
            case ("list", name, state, restarted):
                self.states[name] = state
                if restarted:
                    self.started[name] = self.gateway.now
                entry = api.Server(name, NAMES.index(name), state, self.started[name])
                self.gateway.servers(entry, kind=api.ListKind.CHANGES)
        self.check()


@settings(derandomize=True, deadline=None, max_examples=250, suppress_health_check=list(HealthCheck))
@given(st.lists(STEPS, max_size=80), st.integers(0, 3))
def test_rules_1_2_3_and_5_hold_for_any_events(steps, seed):
    environment = Environment(seed)
    for step in steps:
        environment.step(step)
    environment.step(("wait", 4000))
    assert all(call in environment.established for call in environment.unanswered)


def warm_gateway(seed: int, calls: int, capacity: float) -> Gateway:
    """Return a gateway whose server has answered up to ``calls`` calls at its capacity."""
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
def test_rule_4_a_cold_server_stays_within_its_limit(seed, warm_calls, capacity, gaps, answers):
    """A server with a capacity of ``capacity`` calls a second for this gateway restarts under any traffic.

    In any span it is sent at most ``overload_multiple`` times its present capacity, plus one set-up, as a
    single set-up cannot be divided.
    """
    g = warm_gateway(seed, warm_calls, capacity)
    started_ms = g.now
    g.servers(api.Server("a", 0, api.ServerState.READY, started_ms), kind=api.ListKind.CHANGES)
    g.action_log.clear()
    sends: list[float] = []
    seen, free_at = 0, started_ms
    waiting: list[tuple[float, str]] = []
    for gap in gaps:
        g.call(expires_ms=g.now + 3000)
        target = g.now + gap
        while True:
            for when, action in g.action_log[seen:]:
                if isinstance(action, api.SetUp):
                    sends.append(when)
                    free_at = max(free_at, when) + 1000 / (capacity * cold_share(when - started_ms))
                    waiting.append((free_at, action.call_id))
            seen = len(g.action_log)
            due = min([target, *(at for at, _ in waiting), *(at for at, _ in g.timers)])
            if due >= target:
                break
            g.advance_to(due)
            for at, call in [w for w in waiting if w[0] <= due]:
                waiting.remove((at, call))
                if call in g.controller._calls and answers:
                    g.answer(call, "a", 50)
        g.advance_to(target)
    span = RULES.overload_span_ms
    for index, at in enumerate(sends):
        count = sum(at - span < s <= at for s in sends[: index + 1])
        assert count <= RULES.overload_multiple * capacity * cold_share(at - started_ms) * span / 1000 + 1
