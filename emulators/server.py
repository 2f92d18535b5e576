"""A stand-in call server: SIP on loopback, one processor with a queue, that can be slowed while it runs.

A set-up costs ``1000 / capacity`` ms of processor and waits in line for it.  Once the wait passes ``full_ms``
set-ups are turned away with 'processor full', for a fifth of the work.  One that was cancelled is dropped.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque
from dataclasses import dataclass, field

from canvasplank.codecs import sip
from emulators.tasks import Tasks

REJECT_SHARE, RELEASE_SHARE = 0.2, 0.15  # of a set-up's work
TELLS_EVERY_S = 0.5
WARMS_EVERY_S = 0.1
SECOND_MS = 1000.0


@dataclass(slots=True)
class Job:
    """One piece of work for the processor; ``writer`` is where its answer goes."""

    writer: asyncio.StreamWriter
    invite: sip.Message | None
    share: float = 1.0


@dataclass
class CallServer:
    """One call server; ``speed`` may be changed at any time, 1 is its usual one."""

    name: str
    capacity_per_s: float
    hold_ms: float = 2000.0
    full_ms: float = 2500.0
    lines: int = 400
    speed: float = 1.0
    silent: bool = False  # reads, and says nothing
    set_ups: int = 0
    connections: int = 0  # open now
    accepted: list[float] = field(default_factory=list)  # when each came, in seconds of the loop's clock
    came: list[float] = field(default_factory=list)  # when each set-up did
    started_ms: float = 0.0  # Unix; 0: long ago.  One that has just started is as slow as ``begin_cold`` says
    stood: set[str] = field(default_factory=set)
    cancelled: set[str] = field(default_factory=set)
    _queue: deque[Job] = field(default_factory=deque)
    _arrived: asyncio.Event = field(default_factory=asyncio.Event)
    _standing: dict[str, asyncio.Task] = field(default_factory=dict)
    _tasks: Tasks = field(default_factory=Tasks)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._tasks.keep(self._process())

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """End everything."""
        self._server.close()
        await self._tasks.end()

    async def begin_cold(self, share: float, warm_s: float) -> None:
        """As one that has just started: from this share of its speed to all of it, evenly."""
        self.started_ms, began = time.time() * SECOND_MS, time.monotonic()
        while (age := (time.monotonic() - began) / warm_s) < 1.0:
            self.speed = share + (1.0 - share) * age
            await asyncio.sleep(WARMS_EVERY_S)
        self.speed = 1.0

    def wait_ms(self) -> float:
        """How long what comes now would wait."""
        return sum(job.share for job in self._queue) * SECOND_MS / self.capacity_per_s / self.speed

    async def _process(self) -> None:
        while True:
            while not self._queue:
                self._arrived.clear()
                await self._arrived.wait()
            job = self._queue[0]
            if job.invite is not None and job.invite.call_id in self.cancelled:
                self._queue.popleft()
                continue
            await asyncio.sleep(job.share / self.capacity_per_s / self.speed)
            self._queue.popleft()
            if job.invite is not None and job.invite.call_id not in self.cancelled:
                self._answer(job.writer, job.invite)

    def _put(self, job: Job) -> None:
        self._queue.append(job)
        self._arrived.set()

    def _say(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not self.silent and not writer.is_closing():
            writer.write(data)

    def _answer(self, writer: asyncio.StreamWriter, invite: sip.Message) -> None:
        body = b"answer " + invite.call_id.encode()
        head = sip.response(200, "OK", invite)
        self._say(writer, head.replace(b"Content-Length: 0", b"Content-Length: %d" % len(body)) + body)
        self.stood.add(invite.call_id)
        self._standing[invite.call_id] = self._tasks.keep(self._hold(writer, invite.call_id))

    async def _hold(self, writer: asyncio.StreamWriter, call_id: str) -> None:
        await asyncio.sleep(self.hold_ms / SECOND_MS)
        self._standing.pop(call_id, None)
        self._say(writer, sip.request("BYE", "caller", call_id, 2, {"Reason": "Q.850;cause=16"}))
        self._put(Job(writer, None, RELEASE_SHARE))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = sip.Parser()
        self.connections += 1
        self.accepted.append(asyncio.get_running_loop().time())
        self._tasks.keep(self._tell(writer))
        with contextlib.suppress(OSError, asyncio.CancelledError):  # cancelled at the end: no error to print
            while data := await reader.read(16_384):
                for message in parser.feed(data):
                    self._take(writer, message)
        self.connections -= 1
        writer.close()

    async def _tell(self, writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            load_reports = {"X-Gauges": f"free:{self.lines - len(self._standing)};size:{self.lines}"}
            self._say(writer, sip.request("NOTIFY", "exchange", "0" * 16, 1, load_reports))
            await asyncio.sleep(TELLS_EVERY_S)

    def _take(self, writer: asyncio.StreamWriter, message: sip.Message) -> None:
        match message.method, message.status:
            case "INVITE", 0:
                self.set_ups += 1
                self.came.append(asyncio.get_running_loop().time())
                self.cancelled.discard(message.call_id)
                if self.wait_ms() > self.full_ms:
                    full = sip.response(503, "full", message)
                    full = full.replace(b"Content-Length", b"X-Outcome: cpu_full\r\nContent-Length")
                    self._say(writer, full)
                    self._put(Job(writer, None, REJECT_SHARE))
                else:
                    self._put(Job(writer, message))
            case (("BYE" | "CANCEL"), 0):
                self.cancelled.add(message.call_id)
                if (call := self._standing.pop(message.call_id, None)) is not None:
                    call.cancel()
                self._say(writer, sip.response(200, "OK", message))
