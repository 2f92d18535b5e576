"""Runs the emulated PostgreSQL: ``python -m emulators.postgresql FOLDER``.

The program prints its DSN and reads commands from standard input, one a line: a field of ``Faults`` and its
value (``stalled 1``, ``drop_after_commit 1``), or ``restart SECONDS``. It stops at the end of the input.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from emulators.postgresql.server import PostgresqlEmulator


async def main(folder: str) -> None:
    """Run the server until the end of standard input."""
    server = PostgresqlEmulator(Path(folder))
    await server.start()
    print(server.dsn, flush=True)
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    while words := (await commands.readline()).decode().split():
        command, value = words
        if command == "restart":
            await server.restart(float(value))
        else:
            setattr(server.faults, command, float(value) if command == "delay_s" else int(value))
    await server.stop()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
