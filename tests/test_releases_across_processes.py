"""Releases by a server that meet the end of a process reach the caller by the process that comes next."""

from __future__ import annotations

import select
import signal

import pytest
from race_conditions import ID, WAIT_S, set_up
from two_processes import Deployment, StandInServer, read_message

from canvasplank.codecs import isup


@pytest.mark.parametrize("stops_when_confirmed", [True, False], ids=["till confirmed", "in any case"])
def test_a_release_written_to_a_caller_that_closes_reaches_it_after_a_restart(tmp_path, stops_when_confirmed):
    """It was confirmed to the server as it was written, and so not sent to the process that came next."""
    server = StandInServer(stops_when_confirmed)
    deployment = Deployment(tmp_path, [server])
    try:
        old = deployment.start()
        connection = server.accept()
        caller = deployment.caller()
        caller.sendall(set_up())
        server.answer(connection, server.read_until(connection, "INVITE"))
        read_message(caller, isup.Kind.ANSWER)
        old.send_signal(signal.SIGTERM)
        server.release(ID)
        assert select.select([caller], [], [], WAIT_S)[0], "the release is written"
        caller.close()  # and unread
        server.read_to_the_end(connection)
        assert old.wait(WAIT_S) == 0
        deployment.start()
        server.accept()
        with deployment.caller() as caller:
            released = read_message(caller, isup.Kind.RELEASE)
        assert (released.call_id, released.cause) == (ID, 16)
    finally:
        deployment.stop()
