"""``Controller._gate`` by itself checks each of the five rules, even those that earlier code has checked."""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import SETTINGS, Gateway, draining, ready

from canvasplank import interface as api


@pytest.fixture
def queued_call():
    """A controller, its queued call, and a server that became ready without an event."""
    g = Gateway()
    call_id, _ = g.call()
    controller = g.controller
    g.servers(draining("a", 0))
    server = controller._servers["a"]
    server.entry = replace(server.entry, state=api.ServerState.READY)
    return controller, controller._calls[call_id], server


def sends(controller, call, server) -> bool:
    controller._context.actions = []
    sent = controller._gate(call, server)
    assert sent == any(isinstance(a, api.SetUp) for a in controller._context.actions)
    return sent


def test_gate_sends_when_every_rule_holds(queued_call):
    assert sends(*queued_call)


@pytest.mark.parametrize("cause", ["deadline passed", "already answered"])
def test_1_in_time_and_only_while_unanswered(queued_call, cause):
    controller, call, server = queued_call
    if cause == "deadline passed":
        controller._context.now_ms = call.request.expires_ms - 1
    else:
        del controller._calls[call.request.id]
    assert not sends(controller, call, server)


@pytest.mark.parametrize("attempts_used_up", [False, True])
def test_2_one_attempt_at_a_time_and_no_more_than_allowed(queued_call, attempts_used_up):
    controller, call, server = queued_call
    if attempts_used_up:
        call.attempts = SETTINGS.max_attempts
    else:
        call.server = server
    assert not sends(controller, call, server)


@pytest.mark.parametrize("state", [api.ServerState.DRAINING, api.ServerState.GONE, None])
def test_3_nothing_to_a_server_that_drains_or_is_gone(queued_call, state):
    controller, call, server = queued_call
    if state is None:  # replaced by another server with the same id
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
    assert not call.server, "the first set-up to a cold server is delayed"
    server.slow_start.bucket.fill = 1.0
    assert not sends(controller, call, server)
    server.slow_start.bucket.fill = 0.0
    assert sends(controller, call, server)


def test_5_release_awaited(queued_call):
    controller, call, server = queued_call
    call.not_before_ms = controller._context.now_ms + 1
    assert not sends(controller, call, server)
