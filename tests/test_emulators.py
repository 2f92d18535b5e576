"""The emulators themselves: one that stops unnoticed would let a test pass that observed nothing."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

from emulators.callers import Callers
from emulators.fleet import PortReservations

ROOT = Path(__file__).parent.parent
WAIT_S = 20.0
RESERVE = """
import sys
from pathlib import Path
from emulators.fleet import PortReservations
reservations = PortReservations(Path(sys.argv[1]))
print(reservations.reserve(40_001), reservations.reserve(40_002), flush=True)
sys.stdin.read()
"""


def test_calls_without_a_proxy_are_lost_and_arrivals_continue():
    async def run():
        callers = Callers(seed=1)
        await callers.offer(200.0, 0.3)
        assert len(callers.tries) > 20
        assert {attempt.outcome for attempt in callers.tries.values()} == {"lost"}

    asyncio.run(run())


def test_a_port_is_reserved_by_one_process_at_a_time(tmp_path):
    """Two runs of the tests at once could be given one port, and divide the callers of both proxies."""
    path = tmp_path / "ports"
    mine = PortReservations(path)
    assert mine.reserve(40_001) and not mine.reserve(40_001)
    command = [sys.executable, "-c", RESERVE, str(path)]
    with subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as other:
        try:
            assert other.stdout.readline().split() == [b"False", b"True"]
            assert not mine.reserve(40_002)
            other.stdin.close()
            assert other.wait(WAIT_S) == 0
        finally:
            other.kill()
    assert mine.reserve(40_002), "its process has ended"
