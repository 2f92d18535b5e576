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

WAVE_INTERVAL_S = 0.25  # so that processes started during the run get connections, too


class SilentCallers:
    """Opens silent connections in waves to every admitted address."""

    def __init__(self, seed: int, admitted_addresses: Callable[[], list[str]]) -> None:
        self._rng = random.Random(seed)
        self._admitted_addresses = admitted_addresses
        self._writers: list[asyncio.StreamWriter] = []

    async def connect_in_waves(self, connections_per_wave: int, duration_s: float) -> None:
        """Open this many connections to each address per wave, for ``duration_s``."""
        until_s = time.time() + duration_s
        while time.time() < until_s:
            for address in self._admitted_addresses():
                for _ in range(connections_per_wave):
                    await self._connect(address)
            await asyncio.sleep(WAVE_INTERVAL_S)

    def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _connect(self, address: str) -> None:
        """Open a connection and release an unknown call on it, which marks it as one that carries calls."""
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*parse_address(address))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            call_id = f"{self._rng.getrandbits(64):016x}"
            writer.write(isup.release(call_id, ReleaseCause.NORMAL_CLEARING))
            self._writers.append(writer)
