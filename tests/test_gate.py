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
    server = controller._servers["a"]
    server.entry = replace(server.entry, state=api.ServerState.READY)
    return controller, controller._calls[call_id], server


def sends(controller, call, server) -> bool:
    controller._context.actions = []
    opened = controller._gate(call, server)
    assert opened == any(isinstance(a, api.SetUp) for a in controller._context.actions)
    return opened


def test_it_opens_when_every_rule_holds(held):
    assert sends(*held)


@pytest.mark.parametrize("late", ["time is up", "no longer owed"])
def test_1_in_time_and_only_while_unanswered(held, late):
    controller, call, server = held
    if late == "time is up":
        controller._context.now_ms = call.request.expires_ms - 1
    else:
        del controller._calls[call.request.id]
    assert not sends(controller, call, server)


@pytest.mark.parametrize("spent", [False, True])
def test_2_one_attempt_at_a_time_and_no_more_than_allowed(held, spent):
    controller, call, server = held
    if spent:
        call.attempts = SETTINGS.max_attempts
    else:
        call.server = server
    assert not sends(controller, call, server)


@pytest.mark.parametrize("state", [api.ServerState.DRAINING, api.ServerState.GONE, None])
def test_3_nothing_to_a_server_that_drains_or_is_gone(held, state):
    controller, call, server = held
    if state is None:  # gone, and another server of that id came in its place
        controller._servers["a"] = object()
    else:
        server.entry = replace(server.entry, state=state)
    assert not sends(controller, call, server)


def test_4_nothing_past_a_cold_servers_budget():
    g = Gateway()
    call_id, _ = g.call()
    g.servers(ready("a", 0, started_ms=0.0))
    controller = g.controller
    server, call = controller._servers["a"], controller._calls[call_id]
    assert not call.server, "its first set-up waits for its turn"
    server.slow_start.bucket.fill = 1.0
    assert not sends(controller, call, server)
    server.slow_start.bucket.fill = 0.0
    assert sends(controller, call, server)


def test_5_release_awaited(held):
    controller, call, server = held
    call.not_before_ms = controller._context.now_ms + 1
    assert not sends(controller, call, server)
