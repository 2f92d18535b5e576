"""Listeners that serve each connection in a task, at the end of the program."""

from __future__ import annotations

import asyncio
import logging
import socket

import pytest
from race_conditions import WAIT_S, run_coroutine
from test_admin import ProgramRecorder

from canvasplank.admin import Admin
from canvasplank.warm_start.peer_snapshot import PeerSnapshot
from canvasplank.warm_start.server import SnapshotServer
from emulators.fleet import free_port


@pytest.mark.parametrize(
    "listener",
    [lambda: Admin(ProgramRecorder()), lambda: SnapshotServer(lambda: PeerSnapshot(1, "n0", 0.0, []))],
    ids=["admin", "snapshots"],
)
def test_a_connection_that_is_open_at_the_end_of_the_program_leaves_no_traceback(listener, caplog):
    """asyncio logged a traceback for the cancelled handler of the connection."""

    async def run() -> None:
        server, port = listener(), free_port()
        await server.listen(f"127.0.0.1:{port}")
        with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S):
            async with asyncio.timeout(WAIT_S):
                while not server._connections:
                    await asyncio.sleep(0.005)
            server.close()

    with caplog.at_level(logging.ERROR):
        run_coroutine(run())
    assert [record.message for record in caplog.records] == []
