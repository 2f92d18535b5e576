"""Replays a recorded exchange of bytes against the program and compares it: the helper of the socket tests.

A record is a text file of steps, one a line; ``#`` begins a comment.  Bytes are written as in a Python
literal, and ``<*>`` in what is expected stands for anything short.

    known a ready            a call server that listens and is in the list at the start; pools count from 0
    known b refused|never    one whose address refuses connections, or whose connections never come up
    server b comes_up        now they do; the machine that connects tries again after a second
    settings JSON            what the settings say otherwise, key by key, from the next start on
    start                    run the program; server a accepts the connection that is kept up to it
    caller 1 sends BYTES     connects where it is not connected yet
    caller 1 gets BYTES      the next bytes, exactly these
    caller 1 hears BYTES     the next bytes but for progress, which is free and means nothing
    caller 1 silent MS       nothing comes for so long
    caller 1 later MS BYTES  the next bytes, no sooner than so long after the last that anybody sent or
                             closed
    caller 1 closes / resets likewise for servers and the board
    server a accepts         takes its next connection
    server b was a           the connection that server a has is b's from now on, and stays open
    board accepts / sends / gets
    board tells N a STATE STARTED   event N: server a is ready, draining or gone, and when it started
    board adds N b           event N: server b is new, and listens
    board moves              its address is another from now on, and the configuration file says so
    wait MS                  nobody does anything
    program signalled NAME / exits STATUS / prints REGEX
    program configured TEXT  the configuration file is replaced by this
"""

from __future__ import annotations

import codecs
import contextlib
import json
import os
import re
import resource
import signal
import socket
import struct
import subprocess
import sys
import time
from pathlib import Path

from emulators.fleet import free_port

ROOT = Path(__file__).parent.parent
WAIT_S = 20.0  # for anything that is expected; a slow machine only takes longer
PROGRESS = re.compile(rb"\x00\x09\x06.{8}", re.DOTALL)
SETTINGS = {
    "instances": 1,
    "tick_ms": 1.0,
    "profiles": [
        {"name": "low", "aim_ms": 1500.0, "deadline_ms": 9000.0, "worth": 1.0, "late_worth": 0.1},
        {"name": "high", "aim_ms": 2000.0, "deadline_ms": 9000.0, "worth": 3.0, "late_worth": 0.1},
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
        "max_open": 100,
        "conn_idle_ms": 60000.0,
        "connect_timeout_ms": 300.0,
        "max_retry_after_ms": 2000.0,
    },
    "family_info": {"clear_wait_ms": 200.0, "resend_ms": 500.0, "skilled_pools": [[0, 1], [0, 1]]},
    "load_report": {"names": ["free", "size"], "via": "on_probe"},
}


def literal(text: str) -> bytes:
    """The bytes that a Python literal denotes."""
    return codecs.escape_decode(text.encode())[0]


def pattern(text: str) -> re.Pattern[bytes]:
    return re.compile(rb".{0,400}?".join(re.escape(literal(part)) for part in text.split("<*>")), re.DOTALL)


class Peer:
    """A caller, a call server or service discovery."""

    acted_s = 0.0

    def __init__(self, listens: bool) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0)) if listens else None
        self.stream: socket.socket | None = None
        self.received = b""
        self.fillers: list[socket.socket] = []

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def accepts(self, _: str = "") -> None:
        self.listener.settimeout(WAIT_S)
        self.stream, _address = self.listener.accept()
        self.received = b""

    def refuses(self, _: str = "") -> None:
        self.listener.close()

    def never_comes_up(self) -> None:
        """Fill the queue of a listener that accepts nothing: further connections get no answer."""
        self.listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def comes_up(self, _: str = "") -> None:
        """Accept what waits in the queue, until the connection that is not one of ours comes through."""
        ours = {filler.getsockname() for filler in self.fillers}
        self.listener.listen(16)
        self.listener.settimeout(WAIT_S)
        while self.stream is None:
            stream, address = self.listener.accept()
            if address not in ours:
                self.stream = stream

    def sends(self, text: str) -> None:
        Peer.acted_s = time.monotonic()
        self.stream.sendall(literal(text))

    def gets(self, text: str) -> None:
        expected, deadline = pattern(text), time.monotonic() + WAIT_S
        while (match := expected.match(self.received)) is None:
            self.stream.settimeout(max(0.01, deadline - time.monotonic()))
            try:
                more = self.stream.recv(65536)
            except TimeoutError:
                raise AssertionError(f"wanted {text!r}, came {self.received!r}") from None
            assert more, f"wanted {text!r}, came {self.received!r} and the end"
            self.received += more
        self.received = self.received[match.end() :]

    def hears(self, text: str) -> None:
        expected, deadline = pattern(text), time.monotonic() + WAIT_S
        while PROGRESS.match(self.received) or not expected.match(self.received):
            if progress := PROGRESS.match(self.received):
                self.received = self.received[progress.end() :]
                continue
            self.stream.settimeout(max(0.01, deadline - time.monotonic()))
            more = self.stream.recv(65536)
            assert more, f"wanted {text!r}, came {self.received!r} and the end"
            self.received += more
        self.received = self.received[expected.match(self.received).end() :]

    def later(self, text: str) -> None:
        after_ms, expected = text.split(" ", 1)
        self.gets(expected)
        assert (time.monotonic() - Peer.acted_s) * 1000 >= float(after_ms)

    def silent(self, text: str) -> None:
        self.stream.settimeout(float(text) / 1000)
        with contextlib.suppress(TimeoutError):
            self.received += self.stream.recv(65536)
        assert not self.received, f"wanted nothing, came {self.received!r}"

    def ended(self, _: str = "") -> None:
        self.stream.settimeout(WAIT_S)
        try:
            more = self.stream.recv(65536)
        except ConnectionResetError:
            more = b""
        assert not self.received + more, f"wanted the end, came {self.received + more!r}"

    def shuts(self, _: str = "") -> None:
        self.stream.shutdown(socket.SHUT_WR)

    def closes(self, _: str = "") -> None:
        Peer.acted_s = time.monotonic()
        self.stream.close()
        self.stream = None

    def resets(self, _: str = "") -> None:
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.closes()

    def close(self) -> None:
        for each in (self.listener, self.stream, *self.fillers):
            if each is not None:
                each.close()


class Replay:
    """One process of the program, and the peers that it is connected to."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.peers: dict[str, Peer] = {"board": Peer(listens=True)}
        self.known: list[dict] = []
        self.listen = ""
        self.settings = SETTINGS
        self.process: subprocess.Popen | None = None
        self.log = folder / "log"

    def entry(self, name: str, state: str = "ready", started_ms: int = 0, cell: int | None = None) -> dict:
        cell = len(self.known) if cell is None else cell
        return {
            "instanceId": f"s-{name}",
            "hostPort": self.peers[f"server {name}"].address,
            "cell": cell,
            "lifecycle": state,
            "startedAtMs": started_ms,
            "zone": "z",
            "new": True,
        }

    def add(self, name: str, how: str) -> None:
        peer = self.peers[f"server {name}"] = Peer(listens=True)
        self.known.append(self.entry(name))
        {"refused": peer.refuses, "never": peer.never_comes_up}.get(how, lambda: None)()

    def start(self, descriptors: int = 1024, **changes: object) -> None:
        self.listen = f"127.0.0.1:{free_port()}"
        configuration = {
            "name": "n0",
            "listen": self.listen,
            "seed": "8c1f30d27a5be964",
            "settings": self.settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64},
            "board": self.peers["board"].address,
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"reset": True, "instances": self.known}}]},
        } | changes
        self.configuration, path = configuration, self.folder / "config.json"
        self.configure(json.dumps(configuration))
        environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "canvasplank"],
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env=environment | {"EDGE_CONFIG": str(path)},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)),
            )

    def configure(self, text: str) -> None:
        (self.folder / "config.json").write_text(text)

    def move_discovery(self) -> None:
        self.peers["old board"] = self.peers["board"]
        self.peers["board"] = Peer(listens=True)
        self.configure(json.dumps(self.configuration | {"board": self.peers["board"].address}))

    def notify(self, number: str, entry: dict) -> None:
        data = json.dumps({"rev": int(number), "pool": {"reset": False, "instances": [entry]}})
        self.peers["board"].stream.sendall(f"id: {number}\ndata: {data}\n\n".encode())

    def stop(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        for peer in self.peers.values():
            peer.close()

    def caller(self, number: str) -> Peer:
        name = f"caller {number}"
        if name not in self.peers or self.peers[name].stream is None:
            host, port = self.listen.split(":")
            deadline = time.monotonic() + WAIT_S
            peer = self.peers[name] = Peer(listens=False)
            while peer.stream is None:
                try:
                    peer.stream = socket.create_connection((host, int(port)))
                except ConnectionRefusedError:
                    assert time.monotonic() < deadline and self.process.poll() is None, self.log.read_text()
                    time.sleep(0.02)
        return self.peers[name]

    def step(self, line: str) -> None:
        """One line of a record."""
        words = line.split(" ", 3)
        match words:
            case ["known", name, how]:
                self.add(name, how)
            case ["settings", *rest]:
                for key, value in json.loads(" ".join(rest)).items():
                    old = self.settings.get(key)
                    self.settings = self.settings | {key: old | value if isinstance(old, dict) else value}
            case ["start"]:
                self.start()
            case ["wait", span_ms]:
                time.sleep(float(span_ms) / 1000)
            case ["caller", number, verb, *rest]:
                getattr(self.caller(number), verb)(*rest)
            case ["server", other, "was", name]:
                self.peers[f"server {other}"] = peer = Peer(listens=False)
                peer.stream = self.peers[f"server {name}"].stream
            case ["server", name, verb, *rest]:
                getattr(self.peers[f"server {name}"], verb)(*rest)
            case ["board", "tells", number, what]:
                name, state, started = what.split(" ")
                started_ms = int(time.time() * 1000) if started == "now" else int(started)
                cell = next(e["cell"] for e in self.known if e["instanceId"] == f"s-{name}")
                self.notify(number, self.entry(name, state, started_ms, cell))
            case ["board", "moves"]:
                self.move_discovery()
            case ["old", "board", verb, *rest]:
                getattr(self.peers["old board"], verb)(*rest)
            case ["board", "adds", number, name]:
                self.add(name, "ready")
                self.notify(number, self.known[-1])
            case ["board", verb, *rest]:
                getattr(self.peers["board"], verb)(" ".join(rest))
            case ["program", "signalled", name]:
                self.process.send_signal(signal.Signals[name])
            case ["program", "configured", *rest]:
                self.configure(" ".join(rest))
            case ["program", "exits", status]:
                assert self.process.wait(WAIT_S) == int(status), self.log.read_text()
            case ["program", "prints", *rest]:
                self.prints(" ".join(rest))
            case _:
                raise ValueError(f"not a step: {line!r}")

    def prints(self, regex: str) -> None:
        deadline = time.monotonic() + WAIT_S
        while not re.search(regex, self.log.read_text()):
            assert time.monotonic() < deadline, f"wanted {regex!r} in {self.log.read_text()!r}"
            time.sleep(0.02)

    def run(self, record: str) -> None:
        """All steps; a failure names the line."""
        for number, line in enumerate(record.splitlines(), 1):
            if line.strip() and not line.startswith("#"):
                try:
                    self.step(line)
                except (AssertionError, OSError) as error:
                    log = self.log.read_text()
                    raise AssertionError(f"line {number}: {line[:100]}\n{error}\n{log}") from error
