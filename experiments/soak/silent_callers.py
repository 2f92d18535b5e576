"""Clients that send one message of a call, read nothing, and keep their connections open."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from canvasplank.codecs import isup
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.config.addresses import parse_address

WAVE_INTERVAL_S = 0.25  # new processes get their share of them, too


class SilentCallers:
    """A crowd of them, in waves, at every address that is admitted."""

    def __init__(self, seed: int, admitted: Callable[[], list[str]]) -> None:
        self._random = random.Random(seed)
        self._admitted = admitted
        self._writers: list[asyncio.StreamWriter] = []

    async def come(self, connections_a_wave: int, for_s: float) -> None:
        """Come for so long, so many at each address at a time."""
        until_s = time.time() + for_s
        while time.time() < until_s:
            for address in self._admitted():
                for _ in range(connections_a_wave):
                    await self._connect(address)
            await asyncio.sleep(WAVE_INTERVAL_S)

    def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _connect(self, address: str) -> None:
        """A call that no server knows is released: this marks a connection that carries calls."""
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*parse_address(address))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            call_id = f"{self._random.getrandbits(64):016x}"
            writer.write(isup.release(call_id, ReleaseCause.NORMAL_CLEARING))
            self._writers.append(writer)
