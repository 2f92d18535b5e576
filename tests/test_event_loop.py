"""The event loop on platforms without Unix sockets is woken through a pipe."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import threading

from canvasplank.runtime.event_loop import PipeEventLoop


def refuse_socket_pair(*_args, **_kwargs):
    raise OSError("no Unix sockets on this platform")


def test_signals_and_other_threads_wake_the_loop(monkeypatch):
    """asyncio's event loop is woken through a socket pair, and fails to start without Unix sockets."""
    monkeypatch.setattr(socket, "socketpair", refuse_socket_pair)
    wake_ups: list[str] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        done = asyncio.Event()
        loop.add_signal_handler(signal.SIGUSR2, lambda: (wake_ups.append("signal"), done.set()))
        os.kill(os.getpid(), signal.SIGUSR2)
        async with asyncio.timeout(10):
            await done.wait()
        done.clear()
        woken = lambda: (wake_ups.append("thread"), done.set())  # noqa: E731
        threading.Thread(target=loop.call_soon_threadsafe, args=(woken,)).start()
        async with asyncio.timeout(10):
            await done.wait()
        loop.remove_signal_handler(signal.SIGUSR2)

    with asyncio.Runner(loop_factory=PipeEventLoop) as runner:
        runner.run(run())
    assert wake_ups == ["signal", "thread"]
