"""The emulators themselves: one that stops unnoticed would let a test pass that observed nothing."""

from __future__ import annotations

import asyncio

from emulators.callers import Callers


def test_calls_without_a_proxy_are_lost_and_arrivals_continue():
    async def run():
        callers = Callers(seed=1)
        await callers.offer(200.0, 0.3)
        assert len(callers.tries) > 20
        assert {attempt.outcome for attempt in callers.tries.values()} == {"lost"}

    asyncio.run(run())
