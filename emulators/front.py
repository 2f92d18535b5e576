"""An emulator of the front: the health test that a proxy must pass before the front sends callers to it."""

from __future__ import annotations

import asyncio

from canvasplank.codecs import isup
from canvasplank.config.addresses import parse_address

TEST_ID = "0" * 15 + "1"
TEST_TIMEOUT_S = 2.0
READY_CAUSE = 1


async def passes_health_test(address: str) -> bool:
    """Return whether the proxy at this address reports within ``TEST_TIMEOUT_S`` that it is ready."""
    writer = None
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*parse_address(address))
            writer.write(isup.encode(isup.Message(isup.Kind.TEST, TEST_ID, {isup.Parameter.CAUSE: b"\0"})))
            messages = list(isup.Parser().feed(await reader.read(1024)))
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.close()
    return bool(messages) and messages[0].cause == READY_CAUSE


async def wait_until_healthy(address: str, every_s: float = 0.25) -> None:
    """Test a proxy every ``every_s`` seconds until it passes."""
    while not await passes_health_test(address):
        await asyncio.sleep(every_s)
