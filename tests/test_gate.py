"""The gate by itself: each of the five rules is checked there, whatever the code before it let through."""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import SETTINGS, Gateway, draining, ready

from canvasplank import interface as api


@pytest.fixture
def held():
    """A gateway that holds a call which no server could take, and a server that has just become ready."""
    g = Gateway()
    call_id, _ = g.call()
    controller = g.controller
    g.servers(draining("a", 0))
    view = controller._servers["a"]
    view.entry = replace(view.entry, state=api.ServerState.READY)
    return controller, controller._calls[call_id], view


def sends(controller, call, view) -> bool:
    controller._context.actions = []
    opened = controller._gate(call, view)
    assert opened == any(isinstance(a, api.SetUp) for a in controller._context.actions)
    return opened


def test_it_opens_when_every_rule_holds(held):
    assert sends(*held)


@pytest.mark.parametrize("late", ["time is up", "no longer owed"])
def test_1_in_time_and_only_while_owed(held, late):
    controller, call, view = held
    if late == "time is up":
        controller._context.now_ms = call.request.expires_ms - 1
    else:
        del controller._calls[call.request.id]
    assert not sends(controller, call, view)


@pytest.mark.parametrize("spent", [False, True])
def test_2_one_attempt_at_a_time_and_no_more_than_allowed(held, spent):
    controller, call, view = held
    if spent:
        call.attempts = SETTINGS.max_attempts
    else:
        call.server = view
    assert not sends(controller, call, view)


@pytest.mark.parametrize("state", [api.ServerState.DRAINING, api.ServerState.GONE, None])
def test_3_nothing_to_a_server_that_drains_or_is_gone(held, state):
    controller, call, view = held
    if state is None:  # gone, and another server of that id came in its place
        controller._servers["a"] = object()
    else:
        view.entry = replace(view.entry, state=state)
    assert not sends(controller, call, view)


def test_4_nothing_past_a_cold_servers_budget():
    g = Gateway()
    call_id, _ = g.call()
    g.servers(ready("a", 0, started_ms=0.0))
    controller = g.controller
    view, call = controller._servers["a"], controller._calls[call_id]
    assert not call.server, "its first set-up waits for its turn"
    view.slow_start.bucket.fill = 1.0
    assert not sends(controller, call, view)
    view.slow_start.bucket.fill = 0.0
    assert sends(controller, call, view)


def test_5_release_awaited(held):
    controller, call, view = held
    call.not_before_ms = controller._context.now_ms + 1
    assert not sends(controller, call, view)
