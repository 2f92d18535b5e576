"""An emulator of a call server: SIP on loopback, and one processor with a queue and an adjustable speed.

A set-up waits in the queue and takes ``1000 / capacity_per_s`` ms of processor time. While the queue delay is
above ``max_queue_delay_ms``, set-ups are rejected with 'processor full' (503), which takes a fifth of that
time. A cancelled set-up is dropped from the queue.

A release is sent as the platform's protocol specifies: on the connection of the set-up or, if that has ended,
on another open connection of the same proxy; and once more on the next connection that this proxy opens,
unless the release is confirmed before. It is never sent a third time.

Proxies are told apart by the address they connect to: each may have an address of its own (``address_for``).
All proxies that connect to the shared address are treated as one.
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

REJECTION_COST = 0.2  # in set-ups
RELEASE_COST = 0.15  # in set-ups
REPORT_INTERVAL_S = 0.5
WARM_UP_STEP_S = 0.1
MS_PER_S = 1000.0
UNIDENTIFIED_PROXY = ""  # stands for all proxies that connect to the shared address


@dataclass(slots=True)
class Job:
    """Work for the processor: a set-up to answer on ``writer``, or processor time only (no ``invite``).

    ``cost`` is the processor time in multiples of a set-up's.
    """

    writer: asyncio.StreamWriter
    invite: sip.Message | None
    cost: float = 1.0


@dataclass(frozen=True, slots=True)
class ConnectionEvent:
    """An event on a connection, as observed by the server."""

    at_s: float  # Unix time
    connection: int  # the peer's port
    text: str
    call_id: str = ""  # the call whose release was written; empty: the event concerns all calls


@dataclass
class CallServer:
    """One call server. ``speed``, ``silent`` and ``end_notice_delay_s`` may be changed at any time.

    ``speed`` is a factor on ``capacity_per_s``. The server releases an answered call after ``hold_ms``.
    ``lines`` is the number of circuits in load reports. It does not limit the calls that are accepted.
    """

    name: str
    capacity_per_s: float
    hold_ms: float = 2000.0
    max_queue_delay_ms: float = 2500.0
    lines: int = 400
    speed: float = 1.0
    silent: bool = False  # messages are read, but nothing is sent
    end_notice_delay_s: float = 0.0  # a connection counts as open for this time after its peer has closed it
    set_ups: int = 0
    connections: int = 0  # open now
    # When each connection was accepted and each set-up received, in seconds of the event loop's clock.
    accepted: list[float] = field(default_factory=list)
    set_ups_at_s: list[float] = field(default_factory=list)
    started_ms: float = 0.0  # Unix time, set by ``start_cold``; 0: long ago
    established: set[str] = field(default_factory=set)  # ids of all answered calls
    _cancelled: set[str] = field(default_factory=set)
    _queue: deque[Job] = field(default_factory=deque)
    _job_queued: asyncio.Event = field(default_factory=asyncio.Event)
    _calls: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    released_at_s: dict[str, float] = field(default_factory=dict)  # first release, by call id, in Unix time
    events: list[ConnectionEvent] = field(default_factory=list)
    _writers: list[asyncio.StreamWriter] = field(default_factory=list)  # of open connections, the newest last
    _proxies: dict[asyncio.StreamWriter, str] = field(default_factory=dict)  # by connection
    _next_answer_fault: UnreadableKind | None = None
    # Maps ids of released calls to the proxy on whose next connection an unconfirmed release is repeated.
    _releases_to_repeat: dict[str, str] = field(default_factory=dict)
    _listeners: list[asyncio.Server] = field(default_factory=list)
    _tasks: Tasks = field(default_factory=Tasks)
    _address: str = ""  # of the first listener

    async def start(self) -> None:
        """Start the processor, and listen on a free port for proxies without an address of their own."""
        await self._listen(UNIDENTIFIED_PROXY)
        self._tasks.keep(self._process())

    @property
    def address(self) -> str:
        """The shared ``host:port``, for proxies without an address of their own, also after ``stop``."""
        return self._address

    async def address_for(self, proxy: str) -> str:
        """Listen on another free port for one proxy, and return the ``host:port``."""
        return _address(await self._listen(proxy))

    async def start_at(self, address: str) -> None:
        """The same as ``start``, at an address that no other server uses any more."""
        host, _, port = address.rpartition(":")
        await self._listen(UNIDENTIFIED_PROXY, host, int(port))
        self._tasks.keep(self._process())

    async def _listen(self, proxy: str, host: str = "127.0.0.1", port: int = 0) -> asyncio.Server:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._proxies[writer] = proxy
            await self._serve(reader, writer)

        self._listeners.append(await asyncio.start_server(serve, host, port))
        self._address = self._address or _address(self._listeners[0])
        return self._listeners[-1]

    async def stop(self) -> None:
        """Stop listening and end all calls."""
        for listener in self._listeners:
            listener.close()
        await self._tasks.end()

    async def die(self) -> None:
        """Emulate the end of the process: all connections are reset, and all calls end."""
        for writer in self._writers:
            writer.transport.abort()
        await self.stop()

    async def start_cold(self, fraction: float, warm_up_s: float) -> None:
        """Emulate a restart: ``speed`` rises linearly from ``fraction`` to 1 within ``warm_up_s`` seconds."""
        self.started_ms, start_s = time.time() * MS_PER_S, time.monotonic()
        while (elapsed_fraction := (time.monotonic() - start_s) / warm_up_s) < 1.0:
            self.speed = fraction + (1.0 - fraction) * elapsed_fraction
            await asyncio.sleep(WARM_UP_STEP_S)
        self.speed = 1.0

    def queue_delay_ms(self) -> float:
        """Return the time that a set-up received now would wait for the processor."""
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
        if self._next_answer_fault is not None:
            answer = unreadable_message(self._next_answer_fault, invite.call_id)
            self._record_event(writer, f"wrote an unreadable answer: {self._next_answer_fault.value}")
            self._next_answer_fault = None
        self._send(writer, answer)
        self.established.add(invite.call_id)
        self._calls[invite.call_id] = self._tasks.keep(self._hold(writer, invite.call_id))

    async def _hold(self, writer: asyncio.StreamWriter, call_id: str) -> None:
        await asyncio.sleep(self.hold_ms / MS_PER_S)
        self._calls.pop(call_id, None)
        proxy = self._proxies[writer]
        if writer not in self._writers:
            writer = next((other for other in self._writers[::-1] if self._proxies[other] == proxy), writer)
        self._releases_to_repeat[call_id] = proxy
        self.released_at_s[call_id] = time.time()
        self._release(writer, call_id)
        self._enqueue(Job(writer, None, RELEASE_COST))

    def send_unreadable_message(self, kind: UnreadableKind, *, newest: bool = True) -> None:
        """Send an unreadable message on the newest open connection, or on the oldest."""
        if self._writers:
            writer = self._writers[-1 if newest else 0]
            self._record_event(writer, f"wrote an unreadable message: {kind.value}")
            self._send(writer, unreadable_message(kind, "0" * 16))

    def make_next_answer_unreadable(self, kind: UnreadableKind) -> None:
        """Send an unreadable message instead of the next answer. The call counts as answered."""
        self._next_answer_fault = kind

    def _record_event(self, writer: asyncio.StreamWriter, text: str, call_id: str = "") -> None:
        connection = writer.get_extra_info("peername")[1]
        self.events.append(ConnectionEvent(time.time(), connection, text, call_id))

    def _release(self, writer: asyncio.StreamWriter, call_id: str) -> None:
        self._record_event(writer, "wrote a release", call_id)
        self._send(writer, sip.request("BYE", "caller", call_id, 2, {"Reason": "Q.850;cause=16"}))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._record_event(writer, "accepted")
        self.accepted.append(asyncio.get_running_loop().time())
        self._writers.append(writer)
        self._tasks.keep(self._report_load(writer))
        proxy = self._proxies[writer]
        released = [call_id for call_id, each in self._releases_to_repeat.items() if each == proxy]
        for call_id in released:  # the proxy may never have read the release on the other connection
            del self._releases_to_repeat[call_id]
            self._release(writer, call_id)
        with contextlib.suppress(asyncio.CancelledError):  # ``stop`` cancels this handler
            await self._read(reader, writer)
            self._record_event(writer, "ended by the peer")
            await asyncio.sleep(self.end_notice_delay_s)
        self._record_event(writer, "closed by the server")
        self.connections -= 1
        self._writers.remove(writer)
        writer.close()

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Process messages until the peer closes or resets the connection."""
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
                if self.queue_delay_ms() > self.max_queue_delay_ms:
                    rejection = sip.response(503, "full", message)
                    rejection = rejection.replace(b"Content-Length", b"X-Outcome: cpu_full\r\nContent-Length")
                    self._send(writer, rejection)
                    self._enqueue(Job(writer, None, REJECTION_COST))
                else:
                    self._enqueue(Job(writer, message))
            case "BYE", 200:
                self._releases_to_repeat.pop(message.call_id, None)
            case (("BYE" | "CANCEL"), 0):
                self._cancelled.add(message.call_id)
                if (call := self._calls.pop(message.call_id, None)) is not None:
                    call.cancel()
                self._send(writer, sip.response(200, "OK", message))


def _address(listener: asyncio.Server) -> str:
    return f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
