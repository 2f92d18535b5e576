"""Releases of established calls reach their callers, whatever becomes of connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from race_conditions import ID, WAIT_S, CallerSide, run_coroutine
from server_side import ServerSide

from canvasplank.codecs import isup, sip

SERVER = "s-a"
OTHER_ID = "cc" * 8


async def calling_caller(caller_side: CallerSide, pending: bytes = b"") -> socket.socket:
    """A connection that has carried calls; ``pending``: what has waited for it."""
    peer = await caller_side.caller()
    peer.sendall(isup.release(OTHER_ID, 16))
    expected = pending + isup.release_confirmed(OTHER_ID)
    assert await received(peer, len(expected)) == expected
    return peer


async def received(peer: socket.socket, size: int) -> bytes:
    """So many bytes, or all up to the end of the connection."""
    loop, data = asyncio.get_running_loop(), b""
    while len(data) < size and (part := await loop.run_in_executor(None, peer.recv, size - len(data))):
        data += part
    return data


def parsed(request: bytes) -> sip.Message:
    return next(sip.Parser().feed(memoryview(request)))


async def all_are_gone(caller_side: CallerSide) -> None:
    async with asyncio.timeout(WAIT_S):
        while caller_side.callers.streams:
            await asyncio.sleep(0.005)


def test_a_release_counts_as_passed_on_only_once_it_is_written_to_a_caller():
    """It was confirmed to the server while it waited for a connection, and lost if the process ended then."""

    async def run() -> None:
        caller_side, passed_on = CallerSide(), []
        caller_side.callers.listen("127.0.0.1", caller_side.port)

        def release(number: int) -> None:
            caller_side.exchange.on_released_by_server(SERVER, ID, 16, None, lambda: passed_on.append(number))

        (await calling_caller(caller_side)).close()
        await all_are_gone(caller_side)
        release(1)
        release(2)  # the server sends it again, on another connection: the first may have ended
        assert passed_on == []
        peer = await calling_caller(caller_side, pending=isup.release(ID, 16))
        assert passed_on == [2]
        release(3)
        assert passed_on == [2, 3], "it has been told"
        peer.close()
        caller_side.callers.stop_listening()

    run_coroutine(run())


def test_a_server_gets_the_confirmation_once_its_release_is_passed_on(monkeypatch):
    async def run() -> None:
        rig = ServerSide(monkeypatch)
        waiting: list[Callable[[], None]] = []
        rig.callers.release = lambda origin, call_id, cause, on_sent: waiting.append(on_sent)
        try:
            await rig.start()
            peer = rig.peers[SERVER]
            release = sip.request("BYE", "exchange", ID, 2, {"Reason": "Q.850;cause=16"})
            peer.sendall(release)
            async with asyncio.timeout(WAIT_S):
                while not waiting:
                    await rig.step()
            assert not rig.peers_have_data(SERVER)
            waiting[0]()
            confirmed = sip.response(200, "OK", parsed(release))
            assert await received(peer, len(confirmed)) == confirmed
        finally:
            rig.close()

    run_coroutine(run())
