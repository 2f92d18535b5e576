"""A client's connection: reads messages and buffers output until the next flush."""

from __future__ import annotations

import asyncio
import struct

from emulators.postgresql.protocol import PROTOCOL_3, SSL_REQUEST, MessageReader


class ClientConnection:
    """Reads the messages of one client and writes messages to it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._output = bytearray()

    async def read_startup(self) -> dict[str, str] | None:
        """Return the client's settings, or None for a cancel request or an unknown protocol; decline TLS."""
        while True:
            body = await self.read_body()
            code = body.number("I")
            if code == SSL_REQUEST:
                self._writer.write(b"N")
            elif code == PROTOCOL_3:
                settings = {}
                while name := body.string():
                    settings[name] = body.string()
                return settings
            else:
                return None

    async def read_kind(self) -> bytes:
        """Read the type of the next message."""
        return await self._reader.readexactly(1)

    async def read_body(self) -> MessageReader:
        """Read the length and the body of a message whose type has been read."""
        [length] = struct.unpack(">I", await self._reader.readexactly(4))
        return MessageReader(await self._reader.readexactly(length - 4))

    def send(self, data: bytes) -> None:
        """Add messages to the output buffer."""
        self._output += data

    def flush(self) -> None:
        """Write the output buffer to the connection."""
        self._writer.write(bytes(self._output))
        self._output.clear()

    async def drain(self) -> None:
        """Wait while the connection's write buffer is full because the client reads slowly."""
        await self._writer.drain()
