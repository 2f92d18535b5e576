"""A toy call server and a toy service discovery in one process.

``python -m examples.toy_server [SIP_PORT [DISCOVERY_PORT]]``

The call server answers every set-up after 30 ms, reports its free circuits every second, and releases each
call after 2 s.
"""

from __future__ import annotations

import asyncio
import sys

from canvasplank.codecs import sip

CIRCUITS = 40
ANSWER_DELAY_S, CALL_DURATION_S, REPORT_INTERVAL_S = 0.03, 2.0, 1.0
SIP_PORT, DISCOVERY_PORT = "2906", "4222"


class ToyServerConnection:
    """One connection from a signalling proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._calls: dict[str, asyncio.Task[None]] = {}

    async def serve(self) -> None:
        """Read until the proxy disconnects."""
        reporting = asyncio.create_task(self._report())
        parser = sip.Parser()
        try:
            while data := await self._reader.read(4096):
                for message in parser.feed(data):
                    self._on_message(message)
        finally:
            reporting.cancel()
            self._writer.close()

    def _on_message(self, message: sip.Message) -> None:
        match message.method, message.status:
            case "INVITE", 0:
                self._calls[message.call_id] = asyncio.create_task(self._call(message))
            case (("BYE" | "CANCEL"), 0):
                call = self._calls.pop(message.call_id, None)
                if call is not None:
                    call.cancel()
                self._writer.write(sip.response(200, "OK", message))

    async def _call(self, invite: sip.Message) -> None:
        await asyncio.sleep(ANSWER_DELAY_S)
        answer = sip.response(200, "OK", invite).replace(b"Content-Length: 0", b"Content-Length: 10")
        self._writer.write(answer + b"toy answer")
        print("answered", invite.call_id, flush=True)
        await asyncio.sleep(CALL_DURATION_S)
        del self._calls[invite.call_id]
        self._writer.write(sip.request("BYE", "caller", invite.call_id, 2, {"Reason": "Q.850;cause=16"}))

    async def _report(self) -> None:
        while True:
            headers = {"X-Gauges": f"free:{CIRCUITS - len(self._calls)};size:{CIRCUITS}"}
            self._writer.write(sip.request("NOTIFY", "exchange", "0" * 16, 1, headers))
            await asyncio.sleep(REPORT_INTERVAL_S)


async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve service discovery without events: send a comment every second."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
    while not writer.is_closing():
        writer.write(b":\n\n")
        await asyncio.sleep(REPORT_INTERVAL_S)


async def main(sip_port: str = SIP_PORT, discovery_port: str = DISCOVERY_PORT) -> None:
    """Serve until the process is stopped."""
    servers = [
        await asyncio.start_server(
            lambda r, w: ToyServerConnection(r, w).serve(), "127.0.0.1", int(sip_port)
        ),
        await asyncio.start_server(discovery, "127.0.0.1", int(discovery_port)),
    ]
    print("toy server ready", flush=True)
    await asyncio.gather(*(server.serve_forever() for server in servers))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
