"""Stand-ins of the second review: a call server, the notice board, callers, and the proxy's processes.

They follow the operators' pages, use the standard library alone, and write to one record what was sent,
answered and run. All addresses are loopback addresses; all times in the record are seconds from its start.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
CASE_LIMIT_S = 113.0
END_S = 0.2
START_LIMIT_S = 30.0  # the platform waits so long for a proxy to be ready
READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: a dying process resets its connections
SET_UP, ANSWER, RELEASE, RELEASE_HEARD = 1, 9, 12, 16
LENGTH_BYTES = 2  # of a binary message's length
CLASS, WAIT, NUMBER, FIGURES, CAUSE, DESCRIPTION = 100, 103, 112, 115, 142, 145
REFUSED_CAUSES = (34, 42, 102)
CALL_ID = re.compile(r"[0-9a-f]{16}")

SETTINGS: dict[str, object] = {
    "instances": 1,
    "me": 0,
    "tick_ms": 5.0,
    "zone": "budapest",
    "localities": ["budapest", "debrecen", "pecs"],
    "discovery": "pushed",
    "service_type": "trunks",
    "weights": "off",
    "worth_by": "request",
    "profiles": [
        {"name": "balance-check", "aim_ms": 1500.0, "deadline_ms": 9000.0, "worth": 1.0, "late_worth": 0.1},
        {"name": "reading-submit", "aim_ms": 2000.0, "deadline_ms": 9000.0, "worth": 3.0, "late_worth": 0.1},
    ],
    "rules": {
        "answer_slack_ms": 20.0,
        "stop_sending_within_ms": 250.0,
        "cold_share": 0.29,
        "warm_within_ms": 15000.0,
        "tip_multiple": 4.0,
        "overload_for_ms": 3000.0,
    },
    "ceilings": {
        "most_tries": 4,
        "cancel": True,
        "probes": False,
        "retry_after": False,
        "max_open": 20000,
        "conn_idle_ms": 600000.0,
        "connect_timeout_ms": 500.0,
        "max_retry_after_ms": 2000.0,
        "streams_per_conn": 1048576,
        "parallel_tries": False,
        "peers": False,
    },
    "family_info": {
        "clear_wait_ms": 200.0,
        "resend_ms": 500.0,
        "shape": "pools",
        "skilled_pools": [[0, 1, 2, 3], [0, 1, 2, 3]],
        "widths": [1, 1],
        "class_hold_ms": [9500.0, 11400.0],
    },
    "load_report": {"names": ["free", "size"], "via": "on_probe"},
    "tenants": [],
}


class Record:
    """The record of a case: ``record.txt`` in its folder."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started_s

    def note(self, who: str, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s():9.3f} {who}: {text}\n")


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


# ------------------------------------------------------------------------------------ the call server


@dataclass
class SipMessage:
    """One SIP message; ``status`` is 0 for a request."""

    method: str
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def call_id(self) -> str:
        """The Call-ID."""
        return self.headers.get("call-id", "")


def take_sip(buffer: bytearray) -> SipMessage | None:
    """Remove and return the first complete message of the buffer, or None."""
    while buffer.startswith(b"\r\n"):
        del buffer[:2]
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        return None
    first, *lines = bytes(buffer[:end]).decode().split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    size = end + 4 + int(headers["content-length"])
    if len(buffer) < size:
        return None
    body = bytes(buffer[end + 4 : size])
    del buffer[:size]
    if first.startswith("SIP/2.0 "):
        return SipMessage(headers["cseq"].split()[1], int(first.split()[1]), headers, body)
    return SipMessage(first.split()[0], 0, headers, body)


def sip(first: str, headers: dict[str, str], body: bytes = b"", length: int | None = None) -> bytes:
    """Return an encoded message; ``length`` replaces the right Content-Length."""
    size = len(body) if length is None else length
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {size}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def response(message: SipMessage) -> dict[str, str]:
    """Return the headers of a response to a request, copied from it."""
    names = {"via": "Via", "call-id": "Call-ID", "cseq": "CSeq"}
    return {name: message.headers[key] for key, name in names.items() if key in message.headers}


@dataclass
class Standing:
    """A call that stands at a server."""

    call_id: str
    line: Line
    timer: asyncio.TimerHandle | None


@dataclass(eq=False)
class Line:
    """One connection from the proxy to a call server."""

    writer: asyncio.StreamWriter
    number: int
    last_s: float
    set_ups: set[str] = field(default_factory=set)


class CallServer:
    """One process of a call server: it answers, holds and releases calls.

    A release goes out on the connection of its set-up, else on any open one; while it isn't confirmed, it
    goes out on the next connection opened as well. With ``report_s`` the state of the group is told at that
    interval, else on each new connection and when it has changed.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        port: int | None = None,
        hold_s: Callable[[], float] = lambda: 10.0,
        report_s: float | None = 1.0,
        answer_s: float = 0.02,
        lines: int = 400,
    ) -> None:
        self.name, self.record, self.port = name, record, port or free_port()
        self.hold_s, self.report_s, self.answer_s, self.size = hold_s, report_s, answer_s, lines
        self.calls: dict[str, Standing] = {}
        self.ended_s: dict[str, float] = {}  # when each call was over
        self.connections: list[Line] = []
        self.spoils: Callable[[SipMessage, bytes], bytes | None] = lambda _message, _body: None
        self.cut_by_proxy: dict[str, float] = {}  # calls that a release of the proxy's has cut
        self.answered: dict[str, bytes] = {}
        self._unconfirmed: dict[str, int] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    @property
    def address(self) -> str:
        """Where the server listens."""
        return f"{HOST}:{self.port}"

    def entry(self, cell: int, lifecycle: str = "ready", started_ms: int = 0) -> dict[str, object]:
        """Return the server's entry on the notice board."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "budapest",
            "machineType": "single-core",
            "cell": cell,
            "lifecycle": lifecycle,
            "weight": 1,
            "startedAtMs": started_ms,
        }

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.record.note(self.name, f"process runs at {self.address}")

    def die(self) -> None:
        """End the process: its connections are reset and its calls are cut."""
        self.record.note(self.name, f"process dies, calls cut: {' '.join(self.calls) or 'none'}")
        self._end_calls()
        if self._server is not None:
            self._server.close()
        for line in list(self.connections):
            self.reset(line)
        for task in self._tasks:
            task.cancel()

    def _end_calls(self) -> None:
        for call_id, call in list(self.calls.items()):
            if call.timer is not None:
                call.timer.cancel()
            self.ended_s[call_id] = self.record.now_s()
        self.calls.clear()

    def reset(self, line: Line) -> None:
        """Reset one connection."""
        raw = line.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        line.writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._count += 1
        line = Line(writer, self._count, self.record.now_s())
        self.connections.append(line)
        self.record.note(self.name, f"connection {line.number} accepted")
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        self._report(line)
        for call_id, cause in list(self._unconfirmed.items()):
            del self._unconfirmed[call_id]
            self._release(line, call_id, cause)
        reporting = asyncio.get_running_loop().create_task(self._keep_reporting(line))
        buffer = bytearray()
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(READ_BYTES):
                line.last_s = self.record.now_s()
                buffer += data
                while (message := take_sip(buffer)) is not None:
                    self._on_message(line, message)
        reporting.cancel()
        if line in self.connections:
            self.connections.remove(line)
        self.record.note(self.name, f"connection {line.number} ended")
        writer.close()

    async def _keep_reporting(self, line: Line) -> None:
        while self.report_s is not None:
            await asyncio.sleep(self.report_s)
            self._report(line)

    def _report(self, line: Line) -> None:
        gauges = f"free:{self.size - len(self.calls)};size:{self.size}"
        headers = {"Call-ID": "0" * 16, "CSeq": "1 NOTIFY", "X-Gauges": gauges}
        self.write(line, sip("NOTIFY sip:state@net SIP/2.0", headers))

    def _changed(self) -> None:
        if self.report_s is None:
            for line in self.connections[-4:]:
                self._report(line)

    def write(self, line: Line, data: bytes) -> None:
        """Write to a connection, unless it has ended."""
        if not line.writer.is_closing():
            line.last_s = self.record.now_s()
            line.writer.write(data)

    def _on_message(self, line: Line, message: SipMessage) -> None:
        call_id = message.call_id
        if message.method == "BYE" and message.status:
            self._unconfirmed.pop(call_id, None)
        if message.status:
            return
        if message.method != "ACK":
            self.record.note(self.name, f"got {message.method} {call_id} on connection {line.number}")
        match message.method:
            case "INVITE":
                line.set_ups.add(call_id)
                loop = asyncio.get_running_loop()
                loop.call_later(self.answer_s, self._answer, line, message)
            case "CANCEL":
                line.set_ups.discard(call_id)
            case "BYE":
                if (call := self.calls.pop(call_id, None)) is not None:
                    if call.timer is not None:
                        call.timer.cancel()
                    self.cut_by_proxy[call_id] = self.ended_s[call_id] = self.record.now_s()
                    self._changed()
                self.write(line, sip("SIP/2.0 200 OK", response(message)))
            case "OPTIONS":
                self.write(line, sip("SIP/2.0 200 OK", response(message)))

    def _answer(self, line: Line, message: SipMessage) -> None:
        call_id = message.call_id
        if call_id not in line.set_ups or line.writer.is_closing():
            return
        line.set_ups.discard(call_id)
        headers = response(message)
        body = f"{call_id}\r\nc=IN IP4 127.0.0.1\r\nm=audio {self.port} RTP/AVP 0 8 101\r\n".encode()
        self.answered[call_id] = body
        hold_s = self.hold_s()
        timer = asyncio.get_running_loop().call_later(hold_s, self.end_call, call_id)
        self.calls[call_id] = Standing(call_id, line, timer)
        spoilt = self.spoils(message, body)
        if spoilt is None:
            self.record.note(self.name, f"answers {call_id}, {len(body)} bytes, to end in {hold_s:.1f} s")
        self.write(line, spoilt or sip("SIP/2.0 200 OK", headers, body))
        self._changed()

    def end_call(self, call_id: str, cause: int = 16) -> None:
        """End a call that stands, and release it."""
        call = self.calls.pop(call_id, None)
        if call is None:
            return
        if call.timer is not None:
            call.timer.cancel()
        self.ended_s[call_id] = self.record.now_s()
        line = call.line
        self._unconfirmed[call_id] = cause
        if line not in self.connections:
            if not self.connections:
                self.record.note(self.name, f"{call_id} is over, no connection to release it on")
                return
            line = self.connections[-1]
        self._release(line, call_id, cause)
        self._changed()

    def _release(self, line: Line, call_id: str, cause: int) -> None:
        self.record.note(self.name, f"releases {call_id} on connection {line.number}, cause {cause}")
        headers = {"Call-ID": call_id, "CSeq": "2 BYE", "Reason": f"Q.850;cause={cause}"}
        self.write(line, sip("BYE sip:edge@net SIP/2.0", headers))


# ------------------------------------------------------------------------------------ the notice board


class Board:
    """The notice board: numbered events, and a comment every second."""

    def __init__(self, record: Record) -> None:
        self.record, self.port = record, free_port()
        self.events: list[dict[str, object]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    async def tell(self, *entries: dict[str, object], reset: bool = False) -> None:
        """Tell of changed call servers."""
        number = len(self.events) + 1
        pool = {"generation": 1, "reset": reset, "instances": list(entries)}
        async with self._changed:
            self.events.append({"rev": number, "pool": pool})
            self._changed.notify_all()
        states = ", ".join(f"{each['instanceId']} {each['lifecycle']}" for each in entries)
        self.record.note("board", f"event {number}: {states}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            found = re.search(r"last-event-id: *(\d+)", head)
            sent = int(found[1]) if found else 0
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while not writer.is_closing():
                for event in self.events[sent:]:
                    writer.write(f"id: {event['rev']}\ndata: {json.dumps(event)}\n\n".encode())
                sent = len(self.events)
                writer.write(b": here\n\n")
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0), self._changed:
                        await self._changed.wait_for(lambda: len(self.events) > sent)  # noqa: B023
        writer.close()


# ------------------------------------------------------------------------------------ callers


@dataclass
class Call:
    """One set-up of a caller, and what the caller was sent."""

    call_id: str
    number: str
    sent_s: float
    wait_s: float
    answers: list[str] = field(default_factory=list)  # stands, refused or failed
    description: bytes = b""
    answered_s: float | None = None
    released_s: float | None = None
    cause: int | None = None

    @property
    def stands(self) -> bool:
        """Whether the caller was told that the call stands."""
        return "stands" in self.answers


def binary(kind: int, call_id: str, parameters: dict[int, bytes] | None = None) -> bytes:
    """Return an encoded message of the callers' protocol."""
    body = b"".join(struct.pack(">BH", code, len(v)) + v for code, v in (parameters or {}).items())
    return struct.pack(">HB", 9 + len(body), kind) + bytes.fromhex(call_id) + body


def take_binary(buffer: bytearray) -> bytes | None:
    """Remove and return the first complete message of the callers' protocol, or None."""
    if len(buffer) < LENGTH_BYTES:
        return None
    size = LENGTH_BYTES + int.from_bytes(buffer[:LENGTH_BYTES], "big")
    if len(buffer) < size:
        return None
    message = bytes(buffer[:size])
    del buffer[:size]
    return message


class Callers:
    """Callers with one connection to the proxy, which is opened again when the proxy closes it."""

    def __init__(self, address: tuple[str, int], record: Record, name: str = "caller") -> None:
        self.address, self.record, self.name = address, record, name
        self.calls: dict[str, Call] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Connect, unless a connection is open."""
        if self._writer is None or self._writer.is_closing():
            reader, self._writer = await asyncio.open_connection(*self.address)
            self._task = asyncio.get_running_loop().create_task(self._read(reader))

    async def call(self, number: str | None = None, wait_s: float = 3.0, cell: int = 0) -> Call:
        """Send a set-up."""
        await self.connect()
        call = Call(secrets.token_hex(8), number or secrets.token_hex(8), self.record.now_s(), wait_s)
        self.calls[call.call_id] = call
        parameters = {
            CLASS: b"balance-check",
            WAIT: b"%d" % (wait_s * 1000),
            NUMBER: call.number.encode(),
            FIGURES: b"dest:%d;width:1;via:-1" % cell,
            DESCRIPTION: f"{call.call_id}\r\nc=IN IP4 127.0.0.1\r\n".encode(),
        }
        self.record.note(self.name, f"set-up {call.call_id} to number {call.number}, waits {wait_s:.1f} s")
        assert self._writer is not None, "connect() sets it"
        self._writer.write(binary(SET_UP, call.call_id, parameters))
        return call

    async def settle(self, calls: list[Call], within_s: float = 4.0) -> None:
        """Wait until each of these calls has its final answer."""
        until_s = self.record.now_s() + within_s
        while self.record.now_s() < until_s and not all(call.answers for call in calls):  # noqa: ASYNC110
            await asyncio.sleep(0.01)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        buffer = bytearray()
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                buffer += data
                while (message := take_binary(buffer)) is not None:
                    self._on_message(message)
        self.record.note(self.name, "connection ended")
        if self._writer is not None:
            self._writer.close()

    def _on_message(self, raw: bytes) -> None:
        kind, call_id = raw[2], raw[3:11].hex()
        parameters: dict[int, bytes] = {}
        offset = 11
        while offset < len(raw):
            code, length = struct.unpack_from(">BH", raw, offset)
            parameters[code] = raw[offset + 3 : offset + 3 + length]
            offset += 3 + length
        if kind not in (ANSWER, RELEASE):
            return
        call = self.calls.get(call_id)
        if call is None:
            return
        cause = parameters.get(CAUSE, b"\0")[0]
        if kind == ANSWER:
            call.answers.append("stands")
            call.description, call.answered_s = parameters.get(DESCRIPTION, b""), self.record.now_s()
            self.record.note(self.name, f"{call_id} stands, description of {len(call.description)} bytes")
        elif call.stands:
            call.released_s, call.cause = call.released_s or self.record.now_s(), cause
            self.record.note(self.name, f"{call_id} is released, cause {cause}")
            if self._writer is not None:
                self._writer.write(binary(RELEASE_HEARD, call_id))
        else:
            call.answers.append("refused" if cause in REFUSED_CAUSES else "failed")
            call.answered_s = self.record.now_s()
            self.record.note(self.name, f"{call_id} is {call.answers[-1]}, cause {cause}")


# ------------------------------------------------------------------------------------ the proxy


class Program:
    """A process of the project's, started from the root and ended by its process id."""

    def __init__(self, record: Record, name: str, folder: Path) -> None:
        self.record, self.name, self.folder = record, name, folder
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, command: str, environment: dict[str, str]) -> None:
        """Start a command by ``/bin/sh -c``; its output goes to a file in the case's temporary folder."""
        self.record.note(self.name, f"start: {command}")
        temporary = self.folder / f"tmp-{self.name}"
        temporary.mkdir(exist_ok=True)
        ours = ("EDGE_", "CANVASPLANK")
        keep = {key: value for key, value in os.environ.items() if not key.startswith(ours)}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=keep | {"TMPDIR": str(temporary)} | environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def runs(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def end(self, number: int = signal.SIGKILL) -> None:
        """Send a signal and wait for the end."""
        if self.process is not None and self.process.returncode is None:
            self.record.note(self.name, f"signal {signal.Signals(number).name}")
            self.process.send_signal(number)
            await self.process.wait()


class Proxy(Program):
    """A signalling proxy, started with the command ``run`` of the deploy file."""

    def __init__(self, record: Record, folder: Path, board: Board, name: str = "n0") -> None:
        super().__init__(record, name, folder)
        self.board = board
        self.port, self.admin_port = free_port(), free_port()
        self.settings: dict[str, object] = dict(SETTINGS)

    @property
    def address(self) -> tuple[str, int]:
        """Where callers connect."""
        return HOST, self.port

    async def launch(self, environment: dict[str, str] | None = None) -> None:
        """Write the configuration, start the process and wait until it is ready."""
        path = self.folder / f"{self.name}.json"
        configuration = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "admin": f"{HOST}:{self.admin_port}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "board": f"{HOST}:{self.board.port}",
            "known": {"rev": len(self.board.events), "notices": self.board.events},
            "settings": self.settings,
        }
        path.write_text(json.dumps(configuration))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        await self.start(run, {"EDGE_CONFIG": str(path)} | (environment or {}))
        until_s = self.record.now_s() + START_LIMIT_S
        while self.record.now_s() < until_s:
            if not self.runs:
                break
            if (await self.ask("health")).startswith("200"):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} was not ready")

    async def ask(self, command: str) -> str:
        """Send one command to the admin address; return the answer, empty without one."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(HOST, self.admin_port)
                writer.write(f"{command}\n".encode())
                answer = await reader.read()
                writer.close()
                return answer.decode()
        return ""


@dataclass
class Case:
    """What a case runs with: its record, a temporary folder, and whether the disruption happens."""

    record: Record
    folder: Path
    trouble: bool
    programs: list[Program] = field(default_factory=list)

    def verdict(self, faults: list[str], held: str) -> int:
        """Write the verdict to the record and return the exit status."""
        for fault in faults:
            self.record.note("verdict", f"BROKEN: {fault}")
        if not faults:
            self.record.note("verdict", f"held: {held}")
        return BROKEN if faults else HELD


def main(file: str, play: Callable[[Case], Awaitable[int]]) -> None:
    """Run a case and exit with its status; 2 if it couldn't run."""
    case_folder = Path(file).resolve().parent
    record = Record(case_folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("case", f"{case_folder.name}, {'with' if trouble else 'without'} the disruption")

    async def run(case: Case) -> int:
        try:
            async with asyncio.timeout(CASE_LIMIT_S):
                return await play(case)
        finally:
            for program in case.programs:
                await program.end()
            await asyncio.sleep(END_S)  # for the stand-ins to see the ends of their connections

    status = NOT_RUN
    with tempfile.TemporaryDirectory() as name:
        try:
            status = asyncio.run(run(Case(record, Path(name), trouble)))
        except Exception as error:  # whatever goes wrong here, the case couldn't run
            record.note("case", f"could not run: {type(error).__name__} {error}")
        for log in sorted(Path(name).glob("*.log")):
            for text in log.read_text(errors="replace").splitlines()[-60:]:
                record.note(f"log of {log.stem}", text)
    record.note("case", f"exit {status}")
    sys.exit(status)
