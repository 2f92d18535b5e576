"""Bad clients: each sends requests of a class that doesn't exist, and the same again as soon as turned away.

``python bad_clients.py PORT CONNECTIONS REQUESTS``: sends at full speed, reads whatever it is sent, and runs
until it is ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import sys

from standins_2 import (
    CLASS,
    DESCRIPTION,
    FIGURES,
    HOST,
    NUMBER,
    READ_BYTES,
    SET_UP,
    WAIT,
    binary,
)

RELEASE_BYTES = 15  # of the refusal of one request
RECONNECTS_AFTER_S = 0.1


def request() -> bytes:
    """Return a set-up of a class that doesn't exist."""
    call_id = secrets.token_hex(8)
    parameters = {
        CLASS: b"meter-dance",
        WAIT: b"3000",
        NUMBER: call_id.encode(),
        FIGURES: b"dest:0;width:1;via:-1",
        DESCRIPTION: b"x",
    }
    return binary(SET_UP, call_id, parameters)


async def client(port: int, requests: int) -> None:
    """Send some requests at once, read the answers, and send again; connect again when disconnected."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, port)
            data = b"-"
            while data:
                writer.write(b"".join(request() for _ in range(requests)))
                await writer.drain()
                got = 0
                while data and got < requests * RELEASE_BYTES:
                    data = await reader.read(READ_BYTES)
                    got += len(data)
            writer.close()
        await asyncio.sleep(RECONNECTS_AFTER_S)


async def main() -> None:
    """Run all clients."""
    port, connections, requests = (int(text) for text in sys.argv[1:])
    await asyncio.gather(*(client(port, requests) for _ in range(connections)))


if __name__ == "__main__":
    asyncio.run(main())
