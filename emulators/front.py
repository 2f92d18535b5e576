"""What a front does before it sends callers to a proxy: a test, as the protocol has it."""

from __future__ import annotations

import asyncio

from canvasplank.codecs import isup
from canvasplank.config.addresses import parse_address

TEST_ID = "0" * 15 + "1"
TEST_TIMEOUT_S = 2.0


async def passes_test(address: str) -> bool:
    """Whether the proxy there says that callers may be sent to it; one that says nothing does not."""
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
    return bool(messages) and messages[0].cause == 1


async def until_passed(address: str, every_s: float = 0.25) -> None:
    """Wait for the first yes."""
    while not await passes_test(address):
        await asyncio.sleep(every_s)
