"""Case 7: a bad client names classes that don't exist, at full speed, beside the usual callers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
from pathlib import Path

from standins_2 import (
    CLASS,
    DESCRIPTION,
    FIGURES,
    NUMBER,
    READ_BYTES,
    SET_UP,
    WAIT,
    Board,
    Callers,
    CallServer,
    Case,
    Proxy,
    binary,
    main,
    take_binary,
)

MEMORY_MB = 192
FOR_S = 60.0
CALLS_PER_S = 10.0
CLASS_BYTES = 6000  # of a class's name: the message stays under 16 KiB
SET_UPS_IN_FLIGHT = 20  # the bad client reads whatever it is sent, and sends on
LOOK_S = 0.2


async def play(case: Case) -> int:
    """Watch the proxy's memory while the bad client sends; kill it at the limit, as the platform does."""
    record = case.record
    board = Board(record)
    await board.start()
    servers = [CallServer(f"s-{number}", record) for number in range(2)]
    for server in servers:
        await server.start()
    await board.tell(*(server.entry(cell) for cell, server in enumerate(servers)), reset=True)
    proxy = Proxy(record, case.folder, board)
    case.programs.append(proxy)
    await proxy.launch()
    callers = Callers(proxy.address, record)
    if not _memory_mb(proxy):
        raise RuntimeError("the proxy's memory cannot be read")
    bad = asyncio.create_task(_bad_client(case, proxy)) if case.trouble else None
    until_s, faults, next_note_s = record.now_s() + FOR_S, [], 0.0
    largest_mb = 0.0
    usual = asyncio.create_task(_usual_callers(callers, until_s))
    while record.now_s() < until_s:
        largest_mb = max(largest_mb, memory_mb := _memory_mb(proxy))
        if record.now_s() >= next_note_s:
            record.note("platform", f"the proxy holds {memory_mb:.0f} MB of {MEMORY_MB}")
            next_note_s = record.now_s() + 5.0
        if memory_mb > MEMORY_MB:
            await proxy.end()
            standing = sum(call.stands and call.released_s is None for call in callers.calls.values())
            faults.append(
                f"the proxy held {memory_mb:.0f} MB, over the limit of {MEMORY_MB}, and was killed; "
                f"{standing} calls stood"
            )
            break
        if not proxy.runs:
            faults.append("the proxy ended")
            break
        await asyncio.sleep(LOOK_S)
    usual.cancel()
    if bad is not None:
        bad.cancel()
        await asyncio.wait({bad})
    return case.verdict(faults, f"the proxy held {largest_mb:.0f} MB at most")


async def _usual_callers(callers: Callers, until_s: float) -> None:
    while callers.record.now_s() < until_s:
        await callers.call(cell=random.randrange(2))
        await asyncio.sleep(1 / CALLS_PER_S)


async def _bad_client(case: Case, proxy: Proxy) -> None:
    """Send set-ups of classes that don't exist; read each answer, and send the next."""
    sent = answered = 0
    try:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*proxy.address)
            buffer = bytearray()
            while True:
                while sent - answered < SET_UPS_IN_FLIGHT:
                    writer.write(_set_up())
                    sent += 1
                await writer.drain()
                data = await reader.read(READ_BYTES)
                if not data:
                    break
                buffer += data
                while take_binary(buffer) is not None:
                    answered += 1
    finally:
        case.record.note("bad client", f"{sent} set-ups of classes that don't exist, {answered} answers")


def _set_up() -> bytes:
    call_id = secrets.token_hex(8)
    parameters = {
        CLASS: secrets.token_hex(CLASS_BYTES // 2).encode(),
        WAIT: b"3000",
        NUMBER: call_id.encode(),
        FIGURES: b"dest:0;width:1;via:-1",
        DESCRIPTION: b"x",
    }
    return binary(SET_UP, call_id, parameters)


def _memory_mb(proxy: Proxy) -> float:
    """Return what the proxy's process holds in memory, as the platform sees it."""
    assert proxy.process is not None, "launch() sets it"
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{proxy.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


if __name__ == "__main__":
    main(__file__, play)
