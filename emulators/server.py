"""An emulator of a call server: SIP on loopback, one processor with a queue, slowed down at will.

A set-up costs ``1000 / capacity_per_s`` ms of processor time and queues for it. Once the queue's delay passes
``full_ms``, set-ups are rejected with 'processor full' (503), for a fifth of the work. One that was cancelled
is dropped from the queue.

Releases go out as the platform's protocol says: on the connection of the set-up, or else on any that is open,
and on the next one opened as well.  Nothing is sent a third time, confirmed or not.  These are connections of
the proxy that has set the call up: each proxy may have an address of its own here, by which it is known.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque
from dataclasses import dataclass, field

from canvasplank.codecs import sip
from emulators.tasks import Tasks
from emulators.unreadable_messages import UnreadableKind, unreadable_message

REJECTION_COST, RELEASE_COST = 0.2, 0.15  # of a set-up's work
REPORT_INTERVAL_S = 0.5
WARM_UP_STEP_S = 0.1
MS_PER_S = 1000.0
ANY_PROXY = ""  # those that share an address: they cannot be told apart


@dataclass(slots=True)
class Job:
    """Work for the processor: a set-up to answer on ``writer``, or only cost; ``cost`` is in set-ups."""

    writer: asyncio.StreamWriter
    invite: sip.Message | None
    cost: float = 1.0


@dataclass(frozen=True, slots=True)
class ConnectionEvent:
    """Something that happened on a connection, as the server saw it."""

    at_s: float  # Unix
    connection: int  # its peer's port
    text: str
    call_id: str = ""  # of the call whose release was written; empty: it concerns all calls


@dataclass
class CallServer:
    """One call server; ``speed`` (1: as in ``capacity_per_s``) and ``silent`` may be changed at any time.

    A call that is answered is held for ``hold_ms``, then ended from here. ``lines`` bounds the free circuits
    that it reports, not the calls it takes.
    """

    name: str
    capacity_per_s: float
    hold_ms: float = 2000.0
    full_ms: float = 2500.0
    lines: int = 400
    speed: float = 1.0
    silent: bool = False  # reads and sends nothing
    notices_end_after_s: float = 0.0  # until then it takes a connection that its peer has ended for open
    set_ups: int = 0
    connections: int = 0  # open now
    accepted: list[float] = field(
        default_factory=list
    )  # when each connection was, in seconds of the loop's clock
    set_ups_at_s: list[float] = field(
        default_factory=list
    )  # when each set-up was received, on the same clock
    started_ms: float = 0.0  # Unix; 0: long ago; set by ``start_cold``
    established: set[str] = field(default_factory=set)  # call ids that were answered
    _cancelled: set[str] = field(default_factory=set)
    _queue: deque[Job] = field(default_factory=deque)
    _job_queued: asyncio.Event = field(default_factory=asyncio.Event)
    _calls: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    released_at_s: dict[str, float] = field(default_factory=dict)  # first, by call, in Unix time
    events: list[ConnectionEvent] = field(default_factory=list)
    _writers: list[asyncio.StreamWriter] = field(default_factory=list)  # open now, the newest last
    _proxies: dict[asyncio.StreamWriter, str] = field(default_factory=dict)  # by connection
    _spoils_answer: UnreadableKind | None = None  # the next one
    # The proxies of calls whose release goes out on their next connection as well, unless it is confirmed.
    _to_release_again: dict[str, str] = field(default_factory=dict)
    _listeners: list[asyncio.Server] = field(default_factory=list)
    _tasks: Tasks = field(default_factory=Tasks)

    async def start(self) -> None:
        """Listen on a free port, for all proxies that get no address of their own."""
        await self._listen(ANY_PROXY)
        self._tasks.keep(self._process())

    @property
    def address(self) -> str:
        """Its ``host:port``."""
        return _address(self._listeners[0])

    async def address_for(self, proxy: str) -> str:
        """Listen on one more free port, for this proxy alone; gives ``host:port``."""
        return _address(await self._listen(proxy))

    async def _listen(self, proxy: str) -> asyncio.Server:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._proxies[writer] = proxy
            await self._serve(reader, writer)

        self._listeners.append(await asyncio.start_server(serve, "127.0.0.1", 0))
        return self._listeners[-1]

    async def stop(self) -> None:
        """Stop listening and end all calls."""
        for listener in self._listeners:
            listener.close()
        await self._tasks.end()

    async def start_cold(self, fraction: float, warm_up_s: float) -> None:
        """Act as just started: from this fraction of its speed, evenly, to all of it after ``warm_up_s``."""
        self.started_ms, start_s = time.time() * MS_PER_S, time.monotonic()
        while (age := (time.monotonic() - start_s) / warm_up_s) < 1.0:
            self.speed = fraction + (1.0 - fraction) * age
            await asyncio.sleep(WARM_UP_STEP_S)
        self.speed = 1.0

    def queue_delay_ms(self) -> float:
        """How long a set-up that arrives now would wait for the processor."""
        return sum(job.cost for job in self._queue) * MS_PER_S / self.capacity_per_s / self.speed

    async def _process(self) -> None:
        while True:
            while not self._queue:
                self._job_queued.clear()
                await self._job_queued.wait()
            job = self._queue[0]
            if job.invite is not None and job.invite.call_id in self._cancelled:
                self._queue.popleft()
                continue
            await asyncio.sleep(job.cost / self.capacity_per_s / self.speed)
            self._queue.popleft()
            if job.invite is not None and job.invite.call_id not in self._cancelled:
                self._answer(job.writer, job.invite)

    def _enqueue(self, job: Job) -> None:
        self._queue.append(job)
        self._job_queued.set()

    def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not self.silent and not writer.is_closing():
            writer.write(data)

    def _answer(self, writer: asyncio.StreamWriter, invite: sip.Message) -> None:
        body = b"answer " + invite.call_id.encode()
        head = sip.response(200, "OK", invite)
        answer = head.replace(b"Content-Length: 0", b"Content-Length: %d" % len(body)) + body
        if self._spoils_answer is not None:
            answer = unreadable_message(self._spoils_answer, invite.call_id)
            self._note(writer, f"writes an answer that is unreadable: {self._spoils_answer.value}")
            self._spoils_answer = None
        self._send(writer, answer)
        self.established.add(invite.call_id)
        self._calls[invite.call_id] = self._tasks.keep(self._hold(writer, invite.call_id))

    async def _hold(self, writer: asyncio.StreamWriter, call_id: str) -> None:
        await asyncio.sleep(self.hold_ms / MS_PER_S)
        self._calls.pop(call_id, None)
        proxy = self._proxies[writer]
        if writer not in self._writers:
            writer = next((each for each in self._writers[::-1] if self._proxies[each] == proxy), writer)
        self._to_release_again[call_id] = proxy
        self.released_at_s[call_id] = time.time()
        self._release(writer, call_id)
        self._enqueue(Job(writer, None, RELEASE_COST))

    def spoil(self, kind: UnreadableKind, *, newest: bool = True) -> None:
        """Write a message that cannot be read to the newest open connection, or to the oldest."""
        if self._writers:
            writer = self._writers[-1 if newest else 0]
            self._note(writer, f"writes what is unreadable: {kind.value}")
            self._send(writer, unreadable_message(kind, "0" * 16))

    def spoil_next_answer(self, kind: UnreadableKind) -> None:
        """Write a message that cannot be read in place of the next answer; its call counts as answered."""
        self._spoils_answer = kind

    def _note(self, writer: asyncio.StreamWriter, text: str, call_id: str = "") -> None:
        connection = writer.get_extra_info("peername")[1]
        self.events.append(ConnectionEvent(time.time(), connection, text, call_id))

    def _release(self, writer: asyncio.StreamWriter, call_id: str) -> None:
        self._note(writer, "writes a release", call_id)
        self._send(writer, sip.request("BYE", "caller", call_id, 2, {"Reason": "Q.850;cause=16"}))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._note(writer, "accepts it")
        self.accepted.append(asyncio.get_running_loop().time())
        self._writers.append(writer)
        self._tasks.keep(self._report_load(writer))
        own = self._proxies[writer]
        released = [call_id for call_id, proxy in self._to_release_again.items() if proxy == own]
        for call_id in released:  # what was sent on another connection may never have been read
            del self._to_release_again[call_id]
            self._release(writer, call_id)
        with contextlib.suppress(asyncio.CancelledError):  # by ``stop``: no error to print
            await self._read(reader, writer)
            self._note(writer, "its peer has ended it")
            await asyncio.sleep(self.notices_end_after_s)
        self._note(writer, "notices its end")
        self.connections -= 1
        self._writers.remove(writer)
        writer.close()

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Act on messages until the peer ends the connection or resets it."""
        parser = sip.Parser()
        with contextlib.suppress(OSError):
            while data := await reader.read(16_384):
                for message in parser.feed(data):
                    self._on_message(writer, message)

    async def _report_load(self, writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            headers = {"X-Gauges": f"free:{self.lines - len(self._calls)};size:{self.lines}"}
            self._send(writer, sip.request("NOTIFY", "exchange", "0" * 16, 1, headers))
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _on_message(self, writer: asyncio.StreamWriter, message: sip.Message) -> None:
        match message.method, message.status:
            case "INVITE", 0:
                self.set_ups += 1
                self.set_ups_at_s.append(asyncio.get_running_loop().time())
                self._cancelled.discard(message.call_id)
                if self.queue_delay_ms() > self.full_ms:
                    full = sip.response(503, "full", message)
                    full = full.replace(b"Content-Length", b"X-Outcome: cpu_full\r\nContent-Length")
                    self._send(writer, full)
                    self._enqueue(Job(writer, None, REJECTION_COST))
                else:
                    self._enqueue(Job(writer, message))
            case "BYE", 200:
                self._to_release_again.pop(message.call_id, None)
            case (("BYE" | "CANCEL"), 0):
                self._cancelled.add(message.call_id)
                if (call := self._calls.pop(message.call_id, None)) is not None:
                    call.cancel()
                self._send(writer, sip.response(200, "OK", message))


def _address(listener: asyncio.Server) -> str:
    return f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
