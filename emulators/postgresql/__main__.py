"""Runs one by itself: see the package."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from emulators.postgresql.server import PostgresqlStandIn


async def main(folder: str) -> None:
    """Serve until standard input ends."""
    server = PostgresqlStandIn(Path(folder))
    await server.start()
    print(server.dsn, flush=True)
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    while line := (await commands.readline()).decode().split():
        name, figure = line
        if name == "restart":
            await server.restart(float(figure))
        else:
            setattr(server.faults, name, float(figure) if name == "delay_s" else int(figure))
    await server.stop()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
