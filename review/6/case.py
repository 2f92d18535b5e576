"""Case 6: bad clients send again as soon as they are turned away, and usual callers wait for answers."""

from __future__ import annotations

import asyncio
import random

from standins_2 import Board, Callers, CallServer, Case, Program, Proxy, main

CONNECTIONS = 200  # of bad clients: callers hold at most a third of the 1,024 descriptors
REQUESTS = 100  # that each of them sends at once
CALLS_PER_S = 5.0
WAIT_S = 3.0  # of a usual caller: 30 to 40% of 9 s
CALM_S, FLOOD_S = 3.0, 25.0
LOST_AFTER_S = 0.5 + 0.05  # from the end of a caller's wait
BAD_CLIENTS = (
    "PYTHONPATH=review exec .venv/bin/python review/6/bad_clients.py {port} {connections} {requests}"
)


async def play(case: Case) -> int:
    """Let usual callers call while the bad clients send, and look for calls without an answer."""
    record = case.record
    board = Board(record)
    await board.start()
    servers = [CallServer(f"s-{number}", record) for number in range(2)]
    for server in servers:
        await server.start()
    await board.tell(*(server.entry(cell) for cell, server in enumerate(servers)), reset=True)
    proxy = Proxy(record, case.folder, board)
    bad_clients = Program(record, "bad-clients", case.folder)
    case.programs += [proxy, bad_clients]
    await proxy.launch()
    callers = Callers(proxy.address, record)
    await _call_for(callers, CALM_S)
    if case.trouble:
        await bad_clients.start(
            BAD_CLIENTS.format(port=proxy.port, connections=CONNECTIONS, requests=REQUESTS), {}
        )
    await _call_for(callers, FLOOD_S)
    judged = list(callers.calls.values())
    await asyncio.sleep(WAIT_S + LOST_AFTER_S + 0.5)
    if case.trouble and not bad_clients.runs:
        raise RuntimeError("the bad clients have ended")
    await bad_clients.end()
    lost = [
        call
        for call in judged
        if call.answered_s is None or call.answered_s - call.sent_s > WAIT_S + LOST_AFTER_S
    ]
    for call in lost:
        took = (
            "never" if call.answered_s is None else f"{call.answered_s - call.sent_s:.1f} s after its set-up"
        )
        record.note("lost", f"{call.call_id} was answered {took}, its caller waited {WAIT_S:.1f} s")
    faults = []
    if lost:
        never = sum(call.answered_s is None for call in lost)
        faults.append(
            f"{len(lost)} of {len(judged)} calls had no final answer {LOST_AFTER_S:.2f} s after the end of "
            f"their callers' wait; {never} of them had none at the end"
        )
    return case.verdict(faults, f"{len(judged)} calls had their final answers in time")


async def _call_for(callers: Callers, for_s: float) -> None:
    until_s = callers.record.now_s() + for_s
    while callers.record.now_s() < until_s:
        await callers.call(cell=random.randrange(2), wait_s=WAIT_S)
        await asyncio.sleep(1 / CALLS_PER_S)


if __name__ == "__main__":
    main(__file__, play)
