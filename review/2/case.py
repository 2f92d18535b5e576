"""A call at a draining call server is never released to its caller once the proxy has been restarted."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

from standins import (
    Board,
    Caller,
    CallerCall,
    CallServer,
    CaseCannotRunError,
    Proxy,
    Record,
    run_case,
    settings,
    until,
)

SERVERS, PROXIES = 4, 6  # of a small deployment on a busy day
CALLS = 8
HOLD_S = 10.0  # of each call, within the means of the site
RELEASE_LIMIT_S = 8.0 + 0.05  # of the rule: where no release could be sent
RESTART_LIMIT_S = 3.0 + 0.7  # from SIGTERM to SIGKILL


async def case(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Set calls up, have their server drain, restart the proxy, and wait for the releases."""
    servers = [CallServer(f"s-{cell}", cell, record, 0.05, HOLD_S) for cell in range(SERVERS)]
    board = Board(record)
    await board.start()
    for server in servers:
        await server.start()
    board.tell([server.entry() for server in servers], whole=True)
    proxy = Proxy("n1", folder, record, board, settings(PROXIES, SERVERS))
    try:
        await proxy.start_ready()
        return await _play(record, trouble, servers, board, proxy)
    finally:
        await proxy.end()
        for server in servers:
            server.stop()
        board.stop()


async def _play(
    record: Record, trouble: bool, servers: list[CallServer], board: Board, proxy: Proxy
) -> list[str]:
    calls: dict[str, CallerCall] = {}
    caller = Caller(proxy.port, record, calls)
    await caller.connect()
    for number in range(CALLS):
        caller.set_up("balance-check", number % SERVERS)
        await asyncio.sleep(0.1)
    if not await until(lambda: all(call.answers == ["stands"] for call in calls.values()), 5.0):
        raise CaseCannotRunError("not all calls stand")
    if trouble:
        record.write("disruption: s-0 drains, and the proxy is restarted")
        board.tell([servers[0].entry("draining")])
        await asyncio.sleep(1.0)
        proxy.signal(signal.SIGTERM)
        if await proxy.wait(RESTART_LIMIT_S) != 0:
            raise CaseCannotRunError("the proxy did not end by itself")
        await proxy.start_ready()
        caller = Caller(proxy.port, record, calls)
        await caller.connect()
    later = caller.set_up("balance-check", 1)
    if not await until(lambda: later.answers == ["stands"], 5.0):
        raise CaseCannotRunError("the proxy does not serve")
    ends = {call_id: call for server in servers for call_id, call in server.calls.items()}
    await until(lambda: all(call.ended_s is not None for call in ends.values()), HOLD_S + 5.0)
    last_end_s = max(call.ended_s or 0.0 for call in ends.values())
    await until(lambda: all(call.released_s is not None for call in calls.values()), RELEASE_LIMIT_S)
    await asyncio.sleep(max(0.0, last_end_s + RELEASE_LIMIT_S - time.time()))
    broken = []
    for call_id, call in calls.items():
        ended_s = ends[call_id].ended_s
        if ended_s is None:
            raise CaseCannotRunError(f"call {call_id} has not ended at its server")
        if call.released_s is None:
            broken.append(f"call {call_id} is over for {time.time() - ended_s:.1f} s, and was not released")
        elif call.released_s - ended_s > RELEASE_LIMIT_S:
            broken.append(f"call {call_id} was released {call.released_s - ended_s:.1f} s after its end")
    caller.close()
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
