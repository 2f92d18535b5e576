"""Case 8: a release replaces a call server by a new one at its address, and the old one's calls are cut."""

from __future__ import annotations

import asyncio
import random
import time

from standins_2 import Board, Callers, CallServer, Case, Proxy, main

SERVERS = 4  # one of them is replaced: 25%
CALLS = 6
HOLD_S = 11.0
DRAINS_S = 6.5  # from the event "draining" to the end of the old process
TAKEN_OVER_AFTER_S = 1.0  # from the end of the old process to the start of the new one at its address
TOLD_AFTER_S = 2.0  # from the end of the old process to the event on the notice board
RELEASED_WITHIN_S = 8.05  # from the end of a call, with the 50 ms that the page adds
WATCHED_S = 14.0  # after that event


async def play(case: Case) -> int:
    """Set calls up at the old server, let the new one take its place, and look for the calls' releases."""
    record = case.record
    old = CallServer("s-old", record, hold_s=lambda: HOLD_S)
    others = [CallServer(f"s-{number}", record) for number in range(1, SERVERS)]
    new = CallServer("s-new", record, port=old.port)
    board = Board(record)
    for each in (old, *others, board):
        await each.start()
    await board.tell(old.entry(0), *(server.entry(cell) for cell, server in enumerate(others, 1)), reset=True)
    proxy = Proxy(record, case.folder, board)
    case.programs.append(proxy)
    await proxy.launch()
    callers = Callers(proxy.address, record)
    calls = []
    for _ in range(CALLS):
        calls.append(await callers.call(cell=0))
        await asyncio.sleep(0.2)
    await callers.settle(calls)
    if case.trouble:
        await board.tell(old.entry(0, "draining"))
        await _go_on(callers, DRAINS_S)
        old.die()
        await _go_on(callers, TAKEN_OVER_AFTER_S)
        started_ms = int(time.time() * 1000)
        await new.start()
        await _go_on(callers, TOLD_AFTER_S - TAKEN_OVER_AFTER_S)
        await board.tell(old.entry(0, "gone"), new.entry(0, started_ms=started_ms))
    else:
        await _go_on(callers, DRAINS_S + TOLD_AFTER_S)
    await _go_on(callers, WATCHED_S)
    faults, judged = [], 0
    for call in calls:
        ended_s = old.ended_s.get(call.call_id)
        if not call.stands or ended_s is None:
            continue
        judged += 1
        if call.released_s is None:
            waited_s = record.now_s() - ended_s
            faults.append(f"{call.call_id} was over {waited_s:.1f} s ago and its caller has no release")
        elif call.released_s - ended_s > RELEASED_WITHIN_S:
            faults.append(f"{call.call_id} was released {call.released_s - ended_s:.1f} s after its end")
    if not judged:
        raise RuntimeError("no call stood at the old server")
    return case.verdict(faults, f"{judged} calls were released in time")


async def _go_on(callers: Callers, for_s: float) -> None:
    """Let the callers go on: two calls a second at the other servers."""
    until_s = callers.record.now_s() + for_s
    while callers.record.now_s() < until_s:
        await callers.call(cell=random.randrange(1, SERVERS))
        await asyncio.sleep(min(0.5, max(0.0, until_s - callers.record.now_s())))


if __name__ == "__main__":
    main(__file__, play)
