"""A call is sent again no sooner than the release wait after it was given up at its first server.

The wait counts from when the server can know that the call was given up.  It must not be shortened by a
pause of the process between any two statements, or by a cancellation that the kernel does not take.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import pytest
from conftest import RULES
from race_conditions import ID, WAIT_S, run_coroutine
from server_side import CALL_MS, STEP_MS, ServerSideRig, offered_call

import canvasplank
from canvasplank.config.discovery_events import Endpoint

PACKAGE = Path(canvasplank.__file__).parent
PAUSED_PACKAGES = ("exchange", "network", "policy", "runtime")
PAUSE_MS = 150.0


def cancel_at_silent_server(rig: ServerSideRig) -> None:
    """Do nothing: the decision module moves the call, since its server is silent."""


def cancel_at_gone_server(rig: ServerSideRig) -> None:
    """List the server as gone while its connection is still open."""
    entry = Endpoint(rig.first_server, "127.0.0.1:1", lifecycle="gone")
    rig.servers.update_endpoints(False, [entry])


def reset_unreadable(rig: ServerSideRig) -> None:
    rig.first_stream().abort_unreadable("a bad message")


def reset_for_restart(rig: ServerSideRig) -> None:
    port = rig.listeners[rig.first_server].getsockname()[1]
    entry = Endpoint(rig.first_server, f"127.0.0.1:{port}", "ready", started_at_ms=rig.scheduler.now_ms + 1)
    rig.servers.update_endpoints(False, [entry])


def reset_by_peer(rig: ServerSideRig) -> None:
    rig.peers[rig.first_server].close()


WAYS_TO_GIVE_UP = [
    cancel_at_silent_server,
    cancel_at_gone_server,
    reset_unreadable,
    reset_for_restart,
    reset_by_peer,
]


class Pause:
    """Advances the clock once, before the executed line with this number, to simulate a pause."""

    def __init__(self, rig: ServerSideRig, at_line: int | None) -> None:
        self.lines = 0
        self._rig, self._at_line = rig, at_line
        self._files = tuple(str(PACKAGE / name) for name in PAUSED_PACKAGES)

    def __enter__(self) -> Pause:
        sys.settrace(self._trace)
        return self

    def __exit__(self, *_) -> None:
        sys.settrace(None)

    def _trace(self, frame, event, _) -> Callable | None:
        if not frame.f_code.co_filename.startswith(self._files):
            return None
        if event == "line":
            if self.lines == self._at_line:
                self._rig.now_ms += PAUSE_MS
            self.lines += 1
        return self._trace


class RepeatedCall(NamedTuple):
    """A call that was given up at its first server and sent again."""

    waited_ms: float  # from when the first server could know until the next set-up was written
    lines: range  # numbers of the lines executed in the iteration that gave the call up


async def repeat_call(
    monkeypatch, give_up: Callable[[ServerSideRig], None], pause_at: int | None = None
) -> RepeatedCall:
    async with offered_call(monkeypatch) as rig:
        with Pause(rig, pause_at) as pause:
            first_line = pause.lines
            rig.scheduler.begin_iteration()
            give_up(rig)
            async with asyncio.timeout(WAIT_S):
                while rig.given_up_ms is None:
                    first_line = pause.lines
                    await rig.step()
            await rig.step(0.0)
        lines = range(first_line, pause.lines)
        await rig.wait_until_sent_again()
        return RepeatedCall(rig.sent_ms[1] - rig.given_up_ms, lines)


@pytest.mark.parametrize("give_up", WAYS_TO_GIVE_UP)
def test_a_pause_between_any_two_lines_does_not_shorten_the_release_wait(monkeypatch, give_up):
    """The wait was counted from the start of the iteration, and the cancellation was written later."""

    def run(pause_at: int | None = None) -> RepeatedCall:
        with monkeypatch.context() as patches:
            return run_coroutine(repeat_call(patches, give_up, pause_at))

    unpaused = run()
    assert unpaused.waited_ms >= RULES.release_ms
    waits_ms = {line: run(line).waited_ms for line in unpaused.lines}
    assert {line: ms for line, ms in waits_ms.items() if ms < RULES.release_ms} == {}


def test_the_release_wait_counts_from_when_an_unsent_cancellation_has_left(monkeypatch):
    """The cancellation was still in the transport's buffer while the wait ran."""

    async def run() -> float:
        async with offered_call(monkeypatch) as rig:
            await rig.block_cancellation()
            await rig.step(2 * RULES.release_ms)
            await rig.step()
            assert len(rig.sent_ms) == 1
            peer, received = rig.peers[rig.first_server], b""
            while b"CANCEL" not in received:
                received += await asyncio.get_running_loop().run_in_executor(None, peer.recv, 65536)
            given_up_ms = rig.now_ms
            await rig.wait_until_sent_again()
            return rig.sent_ms[1] - given_up_ms

    assert run_coroutine(run()) >= RULES.release_ms


def test_an_unsent_cancellation_does_not_delay_the_final_answer(monkeypatch):
    async def run() -> tuple[list[str], int]:
        async with offered_call(monkeypatch) as rig:
            expires_ms = rig.now_ms + CALL_MS
            await rig.block_cancellation()
            while rig.now_ms < expires_ms - STEP_MS:
                await rig.step()
            return rig.callers.rejected, len(rig.sent_ms)

    assert run_coroutine(run()) == ([ID], 1)


def test_a_connection_that_ends_takes_an_unsent_cancellation_with_it(monkeypatch):
    """The end of a connection gives up its set-ups, so the call is sent again."""

    async def run() -> float:
        async with offered_call(monkeypatch) as rig:
            await rig.block_cancellation()
            rig.first_stream().abort()
            ended_ms = rig.now_ms
            await rig.wait_until_sent_again()
            return rig.sent_ms[1] - ended_ms

    assert run_coroutine(run()) >= RULES.release_ms


def test_the_release_wait_counts_from_when_a_release_of_an_unreadable_answer_has_left(monkeypatch):
    """The release waited for a connection; meanwhile the call was sent elsewhere and established twice."""

    async def run() -> float:
        async with offered_call(monkeypatch) as rig:
            peer = rig.first_stream().peer
            peer.connect_after_ms = float("inf")  # prevents connections until it is reset below
            rig.first_stream().abort_unreadable("a bad message")
            for _ in range(100):  # longer than until the decision module would move the call
                await rig.step()
            assert peer.pending_releases
            assert len(rig.sent_ms) == 1
            peer.connect_after_ms = 0.0
            rig.servers._connections.connect(peer)
            async with asyncio.timeout(WAIT_S):
                while peer.pending_releases:
                    await rig.step()
            left_ms = rig.now_ms
            await rig.wait_until_sent_again()
            return rig.sent_ms[1] - left_ms

    assert run_coroutine(run()) >= RULES.release_ms


def test_a_call_does_not_wait_for_a_release_that_no_connection_can_carry(monkeypatch):
    async def run() -> int:
        async with offered_call(monkeypatch) as rig:
            rig.listeners[rig.first_server].close()
            rig.first_stream().abort_unreadable("a bad message")
            await rig.wait_until_sent_again()
            return len(set(rig.servers_sent_to))

    assert run_coroutine(run()) == 2
