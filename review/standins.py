"""Stand-ins for the peers of a proxy, and a runner of the programs that the deploy file starts.

Only the standard library is used, and nothing of the project is imported: call servers, service discovery and
callers speak the wire formats of the operators' protocol page.  Everything listens on a loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
MS_PER_S = 1000.0
TIME_LIMIT_S = 110.0  # of one case; the limit of the task is 120 s
READY_LIMIT_S = 30.0
BACKLOG = 8  # of a call server
CIRCUITS = 100  # of a call server

# The callers' binary protocol: message types and parameter codes.
SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, TEST, TEST_RESULT = 1, 6, 9, 12, 16, 52, 53
CLASS, WAIT, NUMBER, FIGURES, CAUSE, DESCRIPTION = 100, 103, 112, 115, 142, 145
NORMAL = 16  # Q.850 cause of a normal end
NO_CALL = "0" * 16


class CaseCannotRunError(Exception):
    """The case could not be carried out, so it says nothing about the rule."""


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.time()
        self.write(f"unix time {self._started_s:.3f}")

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        line = f"{time.time() - self._started_s:8.3f} s  {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


def free_ports(count: int) -> list[int]:
    """Return different ports that are free on the loopback address."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [int(probe.getsockname()[1]) for probe in probes]


# ---------------------------------------------------------------------------------------- call servers


@dataclass
class SipMessage:
    """A SIP message; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """The method of a request, or that in the CSeq of a response."""
        return self.headers.get("cseq", " ").split()[-1] if self.is_response else self.start.split(" ")[0]

    @property
    def is_response(self) -> bool:
        """Whether it is a response."""
        return self.start.startswith("SIP/2.0")

    @property
    def call_id(self) -> str:
        """The Call-ID."""
        return self.headers.get("call-id", "")


async def read_sip(reader: asyncio.StreamReader) -> SipMessage:
    """Read one message; raises ``IncompleteReadError`` at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().strip("\r\n")
    start, *lines = head.split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    return SipMessage(start, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def sip_response(status: str, request: SipMessage, body: bytes = b"", extra: str = "") -> bytes:
    """Return a response with the headers that a server copies from the request."""
    copied = "".join(
        f"{name}: {request.headers[name.lower()]}\r\n"
        for name in ("Via", "Call-ID", "CSeq")
        if name.lower() in request.headers
    )
    return f"SIP/2.0 {status}\r\n{copied}{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


def sip_bye(call_id: str, cause: int) -> bytes:
    """Return the release of an established call."""
    return (
        f"BYE sip:caller@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\nCSeq: 2 BYE\r\n"
        f"Reason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


@dataclass
class ServerCall:
    """A call as its server sees it."""

    writer: asyncio.StreamWriter
    task: asyncio.Task[None] | None = None
    established_s: float | None = None
    ended_s: float | None = None


class CallServer:
    """A sound call server: answers each set-up after ``answer_s`` and ends each call after ``hold_s``.

    No connection owns an established call.  Its release goes out on the connection of its set-up, else on any
    open one, and on each that is opened later, until the proxy has confirmed it.
    """

    def __init__(
        self, name: str, cell: int, record: Record, answer_s: float, hold_s: float, zone: str = "budapest"
    ) -> None:
        self.name, self.cell, self.zone, self._record = name, cell, zone, record
        self.answer_s, self.hold_s = answer_s, hold_s
        self.port = 0
        self.is_cut_off = False
        self.calls: dict[str, ServerCall] = {}
        self.connections = 0
        self._open: list[asyncio.StreamWriter] = []
        self._unconfirmed: dict[str, int] = {}
        self._listener: asyncio.Server | None = None
        self._fillers: list[socket.socket] = []

    async def start(self, port: int = 0) -> None:
        """Listen on a free port, or on this one."""
        self._listener = await asyncio.start_server(
            self._serve, HOST, port, reuse_address=True, backlog=BACKLOG
        )
        self.port = int(self._listener.sockets[0].getsockname()[1])

    def cut_off(self) -> None:
        """Cut the server off: open connections stay open without a word, and new ones never come up.

        For the latter nothing is accepted any more and the queue of the listener is filled, so that the
        kernel drops what asks for a connection.  The server itself goes on.
        """
        assert self._listener is not None
        self.is_cut_off = True
        self._record.write(f"{self.name}: cut off")
        for writer in self._open:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        for listening in self._listener.sockets:
            asyncio.get_running_loop().remove_reader(listening.fileno())
        for _ in range(BACKLOG + 2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self._fillers.append(filler)

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not self.is_cut_off:
            writer.write(data)

    def stop(self) -> None:
        """Stop as a process does: reset the connections, and cut the calls."""
        for filler in self._fillers:
            filler.close()
        if self._listener is not None:
            self._listener.close()
        for writer in self._open:
            writer.transport.abort()
        for call in self.calls.values():
            if call.task is not None:
                call.task.cancel()

    def entry(self, lifecycle: str = "ready", started_ms: int = 0) -> dict[str, object]:
        """Return the server's entry in the endpoint list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": self.zone,
            "machineType": "single-core",
            "cell": self.cell,
            "lifecycle": lifecycle,
            "weight": 1,
            "startedAtMs": started_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._open.append(writer)
        self._record.write(f"{self.name}: a connection was opened ({len(self._open)} open)")
        self._write(writer, self._group_state())
        for call_id, cause in self._unconfirmed.items():
            self._record.write(f"{self.name}: release of {call_id} written on the new connection")
            self._write(writer, sip_bye(call_id, cause))
        # A cancellation comes at the end of the case only.
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            while True:
                self._on_message(await read_sip(reader), writer)
        self._open.remove(writer)
        self._record.write(f"{self.name}: a connection has ended ({len(self._open)} open)")
        for call_id, call in list(self.calls.items()):
            if call.writer is writer and call.established_s is None and call.task is not None:
                call.task.cancel()
                del self.calls[call_id]
        writer.close()

    def _on_message(self, message: SipMessage, writer: asyncio.StreamWriter) -> None:
        if message.is_response:
            if message.method == "BYE":
                self._record.write(f"{self.name}: release of {message.call_id} confirmed by the proxy")
                self._unconfirmed.pop(message.call_id, None)
            return
        match message.method:
            case "INVITE":
                self._record.write(f"{self.name}: set-up {message.call_id} arrived")
                call = self.calls[message.call_id] = ServerCall(writer)
                call.task = asyncio.create_task(self._run_call(call, message))
            case "CANCEL":
                call_or_none = self.calls.get(message.call_id)
                self._write(writer, sip_response("200 OK", message))
                if call_or_none is not None and call_or_none.established_s is None:
                    self._record.write(f"{self.name}: set-up {message.call_id} given up by the proxy")
                    self._forget(message.call_id)
            case "BYE":
                self._record.write(f"{self.name}: call {message.call_id} released by the proxy")
                self._forget(message.call_id)
                self._write(writer, sip_response("200 OK", message))
            case "OPTIONS":
                self._write(writer, sip_response("200 OK", message))

    def _group_state(self) -> bytes:
        """Return the report of free and all circuits: due on a new connection, and after each change."""
        free = CIRCUITS - sum(1 for c in self.calls.values() if c.established_s and not c.ended_s)
        return (
            f"NOTIFY sip:group@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {NO_CALL}\r\n"
            f"CSeq: 1 NOTIFY\r\nX-Gauges: free:{free};size:{CIRCUITS}\r\nContent-Length: 0\r\n\r\n"
        ).encode()

    def _report_change(self) -> None:
        for writer in self._open[:4]:
            self._write(writer, self._group_state())

    def _forget(self, call_id: str) -> None:
        call = self.calls.pop(call_id, None)
        if call is not None and call.task is not None:
            call.task.cancel()
        if call is not None and call.established_s is not None and call.ended_s is None:
            self._report_change()

    async def _run_call(self, call: ServerCall, invite: SipMessage) -> None:
        await asyncio.sleep(self.answer_s)
        body = f"{self.name} answers {invite.call_id}".encode()
        call.established_s = time.time()
        self._record.write(f"{self.name}: call {invite.call_id} stands, answer written")
        self._write(call.writer, sip_response("200 OK", invite, body))
        self._report_change()
        await asyncio.sleep(self.hold_s)
        call.ended_s = time.time()
        self._unconfirmed[invite.call_id] = NORMAL
        writer = call.writer if call.writer in self._open else next(iter(self._open), None)
        if writer is None:
            self._record.write(f"{self.name}: call {invite.call_id} is over; no connection for its release")
        else:
            self._record.write(f"{self.name}: call {invite.call_id} is over, release written")
            self._write(writer, sip_bye(invite.call_id, NORMAL))
        self._report_change()


# ---------------------------------------------------------------------------------------- service discovery


class Board:
    """Service discovery: numbered events over server-sent events, with a comment every second."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.port = 0
        self.answer_s = 0.0  # from a poll to the beginning of its response
        self.polls = 0
        self._events: list[dict[str, object]] = []
        self._changed = asyncio.Event()
        self._listener: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a free port, or on this one."""
        self._listener = await asyncio.start_server(self._serve, HOST, port, reuse_address=True)
        self.port = int(self._listener.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.close()

    def tell(self, entries: list[dict[str, object]], *, whole: bool = False) -> None:
        """Add an event with the changed entries, or with the whole list."""
        number = len(self._events) + 1
        pool = {"generation": number, "reset": whole, "instances": entries}
        self._events.append({"rev": number, "pool": pool})
        states = ", ".join(f"{entry['instanceId']} {entry['lifecycle']}" for entry in entries)
        self._record.write(f"notice board: event {number}: {states}")
        self._changed.set()
        self._changed = asyncio.Event()

    def known(self) -> dict[str, object]:
        """Return the events up to now, as the configuration has them."""
        return {"rev": len(self._events), "notices": list(self._events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A cancellation comes at the end of the case only.
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            last = next(
                int(x.split(":")[1]) for x in head.split("\r\n") if x.lower().startswith("last-event-id")
            )
            self.polls += 1
            self._record.write(f"notice board: poll {self.polls}, after event {last}")
            await asyncio.sleep(self.answer_s)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while not writer.is_closing():
                for event in self._events[last:]:
                    last += 1
                    writer.write(f"id: {last}\ndata: {json.dumps(event)}\n\n".encode())
                writer.write(b":\n\n")
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await self._changed.wait()
        writer.close()


# ---------------------------------------------------------------------------------------- callers


def binary(kind: int, call_id: str, parameters: dict[int, bytes]) -> bytes:
    """Return a message of the callers' protocol."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters.items())
    return struct.pack(">HB", 9 + len(body), kind) + bytes.fromhex(call_id) + body


def parse_binary(raw: bytes) -> tuple[int, str, dict[int, bytes]]:
    """Return type, call id and parameters of a message without its length."""
    parameters: dict[int, bytes] = {}
    offset = 9
    while offset < len(raw):
        code, length = struct.unpack_from(">BH", raw, offset)
        parameters[code] = raw[offset + 3 : offset + 3 + length]
        offset += 3 + length
    return raw[0], raw[1:9].hex(), parameters


@dataclass
class CallerCall:
    """A call as its caller sees it; times are Unix seconds."""

    id: str
    sent_s: float
    answers: list[str] = field(default_factory=list)  # final answers: ``stands`` or ``cause N``
    answered_s: float | None = None
    released_s: float | None = None  # when the release after the answer arrived
    release_cause: int | None = None


class Caller:
    """A caller with one connection to the proxy; connects again after the proxy has closed it."""

    def __init__(self, port: int, record: Record, calls: dict[str, CallerCall] | None = None) -> None:
        """``calls``: the table of all callers, since a release may come on any connection from callers."""
        self._port, self._record = port, record
        self.calls: dict[str, CallerCall] = {} if calls is None else calls
        self.is_open = False
        self.ended_s: float | None = None
        self.test_results: list[int] = []
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Open the connection; raises ``OSError``."""
        reader, self._writer = await asyncio.open_connection(HOST, self._port)
        self.is_open = True
        self._task = asyncio.create_task(self._read(reader, self._writer))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self.is_open = False

    def test(self) -> None:
        """Send a test."""
        assert self._writer is not None
        self._writer.write(binary(TEST, NO_CALL, {CAUSE: b"\0"}))

    def set_up(
        self, class_name: str, pool: int, wait_ms: int = 3000, number: str | None = None
    ) -> CallerCall:
        """Send a set-up with a new id."""
        assert self._writer is not None
        call = CallerCall(secrets.token_hex(8), time.time())
        self.calls[call.id] = call
        parameters = {
            CLASS: class_name.encode(),
            WAIT: str(wait_ms).encode(),
            NUMBER: (number or secrets.token_hex(8)).encode(),
            FIGURES: f"dest:{pool};width:1;via:-1".encode(),
            DESCRIPTION: f"offer of {call.id}".encode(),
        }
        self._writer.write(binary(SET_UP, call.id, parameters))
        self._record.write(f"caller: set-up {call.id} written ({class_name}, first choice {pool})")
        return call

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                (length,) = struct.unpack(">H", await reader.readexactly(2))
                kind, call_id, parameters = parse_binary(await reader.readexactly(length))
                self._on_message(kind, call_id, parameters, writer)
        self.is_open = False
        self.ended_s = time.time()
        self._record.write("caller: the proxy has ended the connection")
        writer.close()

    def _on_message(
        self, kind: int, call_id: str, parameters: dict[int, bytes], writer: asyncio.StreamWriter
    ) -> None:
        cause = parameters.get(CAUSE, b"\0")[0]
        if kind == TEST_RESULT:
            self.test_results.append(cause)
            return
        call = self.calls.get(call_id)
        if kind == RELEASE and call is not None and "stands" in call.answers:
            if call.released_s is None:
                call.released_s, call.release_cause = time.time(), cause
            self._record.write(f"caller: call {call_id} released, cause {cause}")
            writer.write(binary(RELEASE_HEARD, call_id, {}))
        elif kind in (ANSWER, RELEASE) and call is not None:
            call.answers.append("stands" if kind == ANSWER else f"cause {cause}")
            call.answered_s = time.time()
            self._record.write(f"caller: call {call_id} answered: {call.answers[-1]}")


# ---------------------------------------------------------------------------------------- the programs


def settings(instances: int, cells: int) -> dict[str, object]:
    """Return settings with the figures of the operators' site ``merokozpont-main``."""
    return {
        "instances": instances,
        "tick_ms": 5.0,
        "profiles": [
            {
                "name": "balance-check",
                "aim_ms": 1500.0,
                "deadline_ms": 9000.0,
                "worth": 1.0,
                "late_worth": 0.1,
            },
            {
                "name": "reading-submit",
                "aim_ms": 2000.0,
                "deadline_ms": 9000.0,
                "worth": 3.0,
                "late_worth": 0.1,
            },
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
            "probes": True,
            "retry_after": False,
            "max_open": 20000,
            "conn_idle_ms": 600000.0,
            "connect_timeout_ms": 500.0,
            "max_retry_after_ms": 2000.0,
        },
        "family_info": {
            "clear_wait_ms": 200.0,
            "resend_ms": 500.0,
            "skilled_pools": [list(range(cells)), list(range(cells))],
            "class_hold_ms": [9500.0, 11400.0],
            "widths": [1, 1],
        },
        "load_report": {"names": ["free", "size"], "via": "off"},
    }


class Program:
    """A program of the project in a process of its own, started by a command of the shell from the root."""

    def __init__(self, name: str, command: str, environment: dict[str, str], record: Record) -> None:
        self.name, self._command, self._environment, self._record = name, command, environment, record
        self._process: asyncio.subprocess.Process | None = None
        self._log: list[str] = []
        self._readers: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the process; its output goes to the record."""
        self._process = process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self._command,
            cwd=ROOT,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **self._environment},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._record.write(f"{self.name}: started as process {process.pid}")
        assert process.stdout is not None
        self._readers.append(asyncio.create_task(self._read(process.stdout)))

    async def _read(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            text = line.decode("utf-8", "replace").rstrip()
            if not text.startswith("counters"):
                self._record.write(f"{self.name}: log: {text}")

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self.is_running:
            self._record.write(f"{self.name}: {number.name} sent to process {self._process.pid}")
            self._process.send_signal(number)

    async def wait(self, timeout_s: float) -> int:
        """Wait for the end of the process, and return its exit status; kill it after the time-out."""
        assert self._process is not None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._process.wait()
        if self.is_running:
            self.signal(signal.SIGKILL)
        status = await self._process.wait()
        self._record.write(f"{self.name}: process has ended with status {status}")
        return status

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.is_running:
            self.signal(signal.SIGKILL)
            await self.wait(5.0)


def deploy_command(key: str) -> str:
    """Return a command of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))[key])


class Proxy(Program):
    """A proxy, started by ``run`` of the deploy file."""

    def __init__(
        self,
        name: str,
        folder: Path,
        record: Record,
        board: Board,
        options: dict[str, object],
    ) -> None:
        self.port, self.admin_port = free_ports(2)
        self._folder, self._board, self._options = folder, board, options
        self._config = folder / f"{name}.json"
        temporary = folder / f"{name}.tmp"
        temporary.mkdir()
        variables = {"EDGE_CONFIG": str(self._config), "TMPDIR": str(temporary)}
        super().__init__(name, deploy_command("run"), variables, record)

    async def start_ready(self) -> None:
        """Start the process, and wait until it passes a test."""
        configuration = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "admin": f"{HOST}:{self.admin_port}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "board": f"{HOST}:{self._board.port}",
            "known": self._board.known(),
            "settings": self._options,
        }
        self._config.write_text(json.dumps(configuration), encoding="utf-8")
        await self.start()
        await wait_for(self._passes_test, READY_LIMIT_S, f"{self.name} passes a test")
        self._record.write(f"{self.name}: passes a test")

    async def _passes_test(self) -> bool:
        if not self.is_running:
            raise CaseCannotRunError(f"{self.name} has ended")
        prober = Caller(self.port, _SILENT)
        try:
            await prober.connect()
        except OSError:
            return False
        prober.test()
        await asyncio.sleep(0.1)
        prober.close()
        return prober.test_results == [1]


class _Silent(Record):
    def __init__(self) -> None:
        pass

    def write(self, text: str) -> None:
        """Write nothing."""


_SILENT = _Silent()


async def wait_for(condition: Callable[[], Awaitable[bool]], timeout_s: float, what: str) -> None:
    """Wait until the condition holds; raises ``CaseCannotRunError`` after the time-out."""
    end_s = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > end_s:
            raise CaseCannotRunError(f"not within {timeout_s:.0f} s: {what}")
        await asyncio.sleep(0.05)


async def until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until the condition holds, for a time; return whether it does."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            return False
        await asyncio.sleep(0.02)
    return True


Case = Callable[[Record, Path, bool], Awaitable[list[str]]]


def run_case(folder: Path, case: Case) -> int:
    """Run a case and return its exit status.

    ``case`` gets the record, a temporary folder, and whether the disruption is to happen (``TROUBLE`` is not
    0).  It returns a line for each time that the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record: Record | None = None
    try:
        record = Record(folder)
        record.write(f"disruption: {'yes' if trouble else 'no'}")
        broken = _run_limited(record, case, trouble=trouble)
    except (Exception, asyncio.CancelledError) as error:
        # Python's own exit status for an exception would say that the rule was broken.
        traceback.print_exc()
        (record or _SILENT).write(f"the case could not run: {type(error).__name__}: {error}")
        return NOT_RUN
    for line in broken:
        record.write(f"RULE BROKEN: {line}")
    record.write("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD


def _run_limited(record: Record, case: Case, *, trouble: bool) -> list[str]:
    async def limited(temporary: Path) -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # the programs are ended in any case
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(TIME_LIMIT_S):
            return await case(record, temporary, trouble)

    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        return asyncio.run(limited(Path(temporary)))


if __name__ == "__main__":
    sys.exit("this module is imported by the cases")
