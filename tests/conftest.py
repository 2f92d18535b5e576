"""A simulated gateway around one controller, and settings and servers that the tests share."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import hypothesis
import pytest
from known_red import deselect_known_failures

from canvasplank import interface as api
from canvasplank.policy import Controller

pytest_plugins = ("pytester",)
KNOWN_RED_OPTION = "--known-red"

hypothesis.settings.register_profile("without deadline", deadline=None)  # tests do not depend on speed
hypothesis.settings.load_profile("without deadline")


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(KNOWN_RED_OPTION, type=Path, help="deselect exactly the tests that this file names")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    if (path := config.getoption(KNOWN_RED_OPTION)) is not None:
        deselect_known_failures(config, items, path)


RULES = api.Rules(
    release_ms=250,
    drain_grace_ms=400,
    answer_slack_ms=20,
    cold_share=0.3,
    warm_within_ms=10_000,
    overload_multiple=3,
    overload_span_ms=1000,
)
LOW = api.CallClass("low", target_ms=1600, deadline_ms=9000, weight=1, late_weight=0.1)
HIGH = api.CallClass("high", target_ms=1200, deadline_ms=6000, weight=5, late_weight=0.1)
SETTINGS = api.Settings(
    instances=4,
    classes=(LOW, HIGH),
    rules=RULES,
    max_attempts=4,
    tick_ms=5,
    resend_ms=500,
    retry_after_max_ms=2000,
)


class Gateway:
    """Passes events to a controller, runs its timers, and records its actions.

    All times are ms on the clock ``now``.
    """

    def __init__(
        self, settings: api.Settings = SETTINGS, seed: int = 1, budgets: api.BudgetDelay | None = None
    ) -> None:
        self.controller = Controller(settings, seed, budgets)
        self.now = 0.0
        self.timers: list[tuple[float, str]] = []
        self.action_log: list[tuple[float, api.Action]] = []
        self.calls = 0
        self.attempts: dict[str, int] = {}
        self.answer_delays_ms: dict[str, float] = {}  # servers that answer set-ups automatically: delay
        self.due: list[tuple[float, str, str]] = []  # automatic answers: time, call id, server

    def handle(self, event: api.Event) -> list[api.Action]:
        actions = self.controller.handle(self.now, event)
        for action in actions:
            self.action_log.append((self.now, action))
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.after_ms, action.token))
            if isinstance(action, api.SetUp):
                self.attempts[action.call_id] = self.attempts.get(action.call_id, -1) + 1
                server = action.server_id
                if server in self.answer_delays_ms:
                    self.due.append((self.now + self.answer_delays_ms[server], action.call_id, server))
        return actions

    def advance_to(self, when: float) -> list[api.Action]:
        """Advance the clock, run the timers and automatic answers due by then, and return all actions."""
        out: list[api.Action] = []
        while (pending := [*self.timers, *self.due]) and min(pending)[0] <= when:
            due = min(pending)
            self.now = max(self.now, due[0])
            if due in self.timers:
                self.timers.remove(due)
                out += self.handle(api.TimerFired(due[1]))
            else:
                self.due.remove(due)
                out += self.answer(due[1], due[2], self.answer_delays_ms.get(due[2], 40))
        self.now = when
        return out

    def servers(self, *servers: api.Server, kind: api.ListKind = api.ListKind.COMPLETE) -> list[api.Action]:
        return self.handle(api.ServerList(kind, servers))

    def call(self, class_name: str = "low", first: int = 0, **more) -> tuple[str, list[api.Action]]:
        self.calls += 1
        call_id = more.pop("id", f"call-{self.calls}")
        more.setdefault("expires_ms", self.now + 3000)
        return call_id, self.handle(api.Call(call_id, class_name, preferred_pool=first, **more))

    def answer(self, call_id: str, server: str, waited_ms: float = 40) -> list[api.Action]:
        return self.handle(api.Established(call_id, self.attempts[call_id], server, waited_ms))

    def end(self, call_id: str, server: str, outcome: api.Outcome, **more) -> list[api.Action]:
        more.setdefault("finished", False)
        return self.handle(api.AttemptEnded(call_id, self.attempts[call_id], server, outcome, **more))

    def full(self, call_id: str, server: str) -> list[api.Action]:
        return self.end(call_id, server, api.Outcome.FULL, processor_full=True)

    def serve_calls(
        self, server: str, first: int, count: int, gap_ms: float = 250, waited_ms: float = 40
    ) -> None:
        """Make ``count`` calls that the server answers after ``waited_ms``."""
        self.answer_delays_ms[server] = waited_ms
        for _ in range(count):
            self.call(first=first)
            self.advance_to(self.now + gap_ms)
        del self.answer_delays_ms[server]


def ready(name: str, pool: int, started_ms: float | None = None) -> api.Server:
    return api.Server(name, pool, api.ServerState.READY, started_ms)


def draining(name: str, pool: int) -> api.Server:
    return api.Server(name, pool, api.ServerState.DRAINING)


def gone(name: str, pool: int) -> api.Server:
    return api.Server(name, pool, api.ServerState.GONE)


def sent_to(actions: list[api.Action]) -> list[str]:
    return [a.server_id for a in actions if isinstance(a, api.SetUp)]


def settings(**changes) -> api.Settings:
    return replace(SETTINGS, **changes)


@pytest.fixture
def gateway() -> Gateway:
    """A gateway with two warm servers: a in pool 0, b in pool 1."""
    g = Gateway()
    g.servers(ready("a", 0), ready("b", 1))
    g.advance_to(10)
    return g
