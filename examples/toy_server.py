"""A toy call server, with a toy notice board beside it.

``python -m examples.toy_server [SIP_PORT [BOARD_PORT]]``

It answers every set-up after 30 ms, tells its free lines every second, and ends each call after two seconds.
"""

from __future__ import annotations

import asyncio
import sys

from canvasplank.codecs import sip

LINES = 40
ANSWERS_AFTER_S, TALKS_FOR_S, TELLS_EVERY_S = 0.03, 2.0, 1.0
SIP_PORT, BOARD_PORT = "2906", "4222"


class ToyServer:
    """One connection from a signalling proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._calls: dict[str, asyncio.Task] = {}

    async def serve(self) -> None:
        """Read until the proxy goes."""
        telling = asyncio.create_task(self._tell())
        parser = sip.Parser()
        try:
            while data := await self._reader.read(4096):
                for message in parser.feed(data):
                    self._take(message)
        finally:
            telling.cancel()
            self._writer.close()

    def _take(self, message: sip.Message) -> None:
        match message.method, message.status:
            case "INVITE", 0:
                self._calls[message.call_id] = asyncio.create_task(self._call(message))
            case (("BYE" | "CANCEL"), 0):
                call = self._calls.pop(message.call_id, None)
                if call is not None:
                    call.cancel()
                self._writer.write(sip.response(200, "OK", message))

    async def _call(self, invite: sip.Message) -> None:
        await asyncio.sleep(ANSWERS_AFTER_S)
        answer = sip.response(200, "OK", invite).replace(b"Content-Length: 0", b"Content-Length: 10")
        self._writer.write(answer + b"toy answer")
        print("answered", invite.call_id, flush=True)
        await asyncio.sleep(TALKS_FOR_S)
        del self._calls[invite.call_id]
        self._writer.write(sip.request("BYE", "caller", invite.call_id, 2, {"Reason": "Q.850;cause=16"}))

    async def _tell(self) -> None:
        while True:
            load_reports = {"X-Gauges": f"free:{LINES - len(self._calls)};size:{LINES}"}
            self._writer.write(sip.request("NOTIFY", "exchange", "0" * 16, 1, load_reports))
            await asyncio.sleep(TELLS_EVERY_S)


async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A notice board with no news."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
    while not writer.is_closing():
        writer.write(b":\n\n")
        await asyncio.sleep(TELLS_EVERY_S)


async def main(sip_port: str = SIP_PORT, board_port: str = BOARD_PORT) -> None:
    """Serve until stopped."""
    servers = [
        await asyncio.start_server(lambda r, w: ToyServer(r, w).serve(), "127.0.0.1", int(sip_port)),
        await asyncio.start_server(discovery, "127.0.0.1", int(board_port)),
    ]
    print("toy server ready", flush=True)
    await asyncio.gather(*(server.serve_forever() for server in servers))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
