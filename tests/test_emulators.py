"""The stand-ins themselves: one that stops unnoticed would let a proof pass that saw nothing."""

from __future__ import annotations

import asyncio

from emulators.callers import Callers


def test_callers_who_find_no_proxy_for_a_while_are_lost_and_go_on_coming():
    async def run():
        callers = Callers(seed=1)
        await callers.offer(200.0, 0.3)
        assert len(callers.tries) > 20
        assert {made.outcome for made in callers.tries.values()} == {"lost"}

    asyncio.run(run())
