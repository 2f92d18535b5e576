"""Case 9: some good answers arrive with a Content-Length that doesn't fit: one byte too many."""

from __future__ import annotations

import asyncio
import random

from standins_2 import Board, Callers, CallServer, Case, Proxy, SipMessage, main, response, sip

SERVERS = 2
CALLS_PER_S = 45.0
FOR_S = 40.0
HOLD_S = (7.3, 11.0)
SPOILT_SHARE = 0.02  # of the answers
RELEASED_WITHIN_S = 8.05


async def play(case: Case) -> int:
    """Let calls come at a steady rate while some answers are spoilt, and compare what callers were told."""
    record = case.record
    board = Board(record)
    await board.start()
    servers = [
        CallServer(f"s-{number}", record, hold_s=lambda: random.uniform(*HOLD_S)) for number in range(SERVERS)
    ]
    spoilt: set[str] = set()

    def spoil(server: CallServer) -> None:
        def spoils(message: SipMessage, body: bytes) -> bytes | None:
            if not case.trouble or random.random() >= SPOILT_SHARE:
                return None
            spoilt.add(message.call_id)
            record.note(server.name, f"spoils the answer to {message.call_id}: {len(body)} + 1 bytes")
            return sip("SIP/2.0 200 OK", response(message), body, len(body) + 1)

        server.spoils = spoils

    for server in servers:
        spoil(server)
        await server.start()
    await board.tell(*(server.entry(cell) for cell, server in enumerate(servers)), reset=True)
    proxy = Proxy(record, case.folder, board)
    case.programs.append(proxy)
    await proxy.launch()
    callers = Callers(proxy.address, record)
    until_s = record.now_s() + FOR_S
    while record.now_s() < until_s:
        await callers.call(cell=random.randrange(SERVERS))
        await asyncio.sleep(random.expovariate(CALLS_PER_S))
    await asyncio.sleep(max(HOLD_S) + RELEASED_WITHIN_S + 1.0)
    faults = []
    answered: dict[str, list[bytes]] = {}
    for server in servers:
        for call_id, body in server.answered.items():
            answered.setdefault(call_id, []).append(body)
    for call in callers.calls.values():
        if call.stands and call.description not in answered.get(call.call_id, []):
            faults.append(f"{call.call_id} was served with what no server made for it: {call.description!r}")
        ends = [server.ended_s[call.call_id] for server in servers if call.call_id in server.ended_s]
        if (
            call.stands
            and ends
            and call.released_s is None
            and record.now_s() - max(ends) > RELEASED_WITHIN_S
        ):
            over_s = record.now_s() - max(ends)
            faults.append(f"{call.call_id} was over {over_s:.1f} s ago and its caller has no release")
    if not any(call.stands for call in callers.calls.values()):
        raise RuntimeError("no call stood")
    return case.verdict(faults, f"{len(callers.calls)} calls, {len(spoilt)} answers spoilt")


if __name__ == "__main__":
    main(__file__, play)
