"""Runs scripted exchanges of bytes against the program and compares the replies, for tests over sockets.

A script is a text file with one step per line; ``#`` begins a comment.  Bytes are written as in a Python
literal, and ``<*>`` in expected bytes stands for up to 400 bytes of any value.

    listed a ready             a call server that listens and is in the initial list; pools count from 0
    listed b refused           ... and refuses connections
    listed b unresponsive      ... and does not answer connection requests
    server b accepts_late      the unresponsive server accepts the connection (TCP retries after a second)
    settings JSON              changes the settings, key by key, for the next start
    start                      runs the program
    caller 1 sends BYTES       connects first, if the caller is not connected
    caller 1 gets BYTES        the next bytes are exactly these
    caller 1 gets_after_progress BYTES   likewise, after any number of PROGRESS messages
    caller 1 gets_nothing MS   nothing arrives for this time
    caller 1 gets_after MS BYTES   the next bytes, no earlier than this after any peer's last send or close
    caller 1 half_closes       shuts down its writing side
    caller 1 closes / resets   ends the connection
    caller 1 disconnected      the program ends the connection, without further bytes
    server a accepts           accepts its next connection
    server a refuses           refuses connections from now on
    server b takes_connection a   server b goes on with the connection of server a, which stays open
    discovery accepts / sends / gets ...   service discovery has the same steps as a server
    discovery announces N a STATE STARTED   event N: server a's state, and its start (Unix ms or ``now``)
    discovery adds N b         event N: server b is new, and listens
    discovery moves            moves to a new address, which is written to the configuration file
    old discovery ...          a step of service discovery at its previous address
    wait MS                    nothing is done for this time
    program signalled NAME     sends the signal
    program prints REGEX       waits until the log matches
    program exits STATUS       waits for the exit
    program configured TEXT    replaces the configuration file with this text
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
WAIT_S = 20.0  # the timeout of every expected event
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
    """Return the bytes of a Python literal without its quotes."""
    return codecs.escape_decode(text.encode())[0]


def pattern(text: str) -> re.Pattern[bytes]:
    """Return the expected bytes as a regular expression."""
    return re.compile(rb".{0,400}?".join(re.escape(literal(part)) for part in text.split("<*>")), re.DOTALL)


class Peer:
    """A caller, a call server or service discovery."""

    last_action_s = 0.0  # of any peer: when it last sent or closed

    def __init__(self, listens: bool) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0)) if listens else None
        self.stream: socket.socket | None = None
        self.received = b""
        self.backlog_fillers: list[socket.socket] = []

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def accepts(self, _: str = "") -> None:
        self.listener.settimeout(WAIT_S)
        self.stream, _address = self.listener.accept()
        self.received = b""

    def refuses(self, _: str = "") -> None:
        self.listener.close()

    def fill_backlog(self) -> None:
        """Fill the listener's accept queue, so that further connection requests get no answer."""
        self.listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.backlog_fillers.append(filler)

    def accepts_late(self, _: str = "") -> None:
        """Accept connections until one comes that is not from ``fill_backlog``."""
        filler_addresses = {filler.getsockname() for filler in self.backlog_fillers}
        self.listener.listen(16)
        self.listener.settimeout(WAIT_S)
        while self.stream is None:
            stream, address = self.listener.accept()
            if address not in filler_addresses:
                self.stream = stream

    def sends(self, text: str) -> None:
        Peer.last_action_s = time.monotonic()
        self.stream.sendall(literal(text))

    def gets(self, text: str) -> None:
        expected, deadline = pattern(text), time.monotonic() + WAIT_S
        while (match := expected.match(self.received)) is None:
            self.stream.settimeout(max(0.01, deadline - time.monotonic()))
            try:
                more = self.stream.recv(65536)
            except TimeoutError:
                raise AssertionError(f"expected {text!r}, received {self.received!r}") from None
            assert more, f"expected {text!r}, received {self.received!r} and the end of the connection"
            self.received += more
        self.received = self.received[match.end() :]

    def gets_after_progress(self, text: str) -> None:
        expected, deadline = pattern(text), time.monotonic() + WAIT_S
        while PROGRESS.match(self.received) or not expected.match(self.received):
            if progress := PROGRESS.match(self.received):
                self.received = self.received[progress.end() :]
                continue
            self.stream.settimeout(max(0.01, deadline - time.monotonic()))
            more = self.stream.recv(65536)
            assert more, f"expected {text!r}, received {self.received!r} and the end of the connection"
            self.received += more
        self.received = self.received[expected.match(self.received).end() :]

    def gets_after(self, text: str) -> None:
        after_ms, expected = text.split(" ", 1)
        self.gets(expected)
        assert (time.monotonic() - Peer.last_action_s) * 1000 >= float(after_ms)

    def gets_nothing(self, text: str) -> None:
        self.stream.settimeout(float(text) / 1000)
        with contextlib.suppress(TimeoutError):
            self.received += self.stream.recv(65536)
        assert not self.received, f"expected nothing, received {self.received!r}"

    def disconnected(self, _: str = "") -> None:
        self.stream.settimeout(WAIT_S)
        try:
            more = self.stream.recv(65536)
        except ConnectionResetError:
            more = b""
        assert not self.received + more, f"expected the end, received {self.received + more!r}"

    def half_closes(self, _: str = "") -> None:
        self.stream.shutdown(socket.SHUT_WR)

    def closes(self, _: str = "") -> None:
        Peer.last_action_s = time.monotonic()
        self.stream.close()
        self.stream = None

    def resets(self, _: str = "") -> None:
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.closes()

    def close(self) -> None:
        for open_socket in (self.listener, self.stream, *self.backlog_fillers):
            if open_socket is not None:
                open_socket.close()


class Replay:
    """A process of the program and its peers."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.peers: dict[str, Peer] = {"discovery": Peer(listens=True)}
        self.listed: list[dict] = []  # endpoints of the initial list, and added ones
        self.listen = ""
        self.settings = SETTINGS
        self.process: subprocess.Popen | None = None
        self.log = folder / "log"

    def endpoint(self, name: str, state: str = "ready", started_ms: int = 0, cell: int | None = None) -> dict:
        cell = len(self.listed) if cell is None else cell
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
        self.listed.append(self.endpoint(name))
        {"refused": peer.refuses, "unresponsive": peer.fill_backlog}.get(how, lambda: None)()

    def start(self, descriptors: int = 1024, **changes: object) -> None:
        self.listen = f"127.0.0.1:{free_port()}"
        configuration = {
            "name": "n0",
            "listen": self.listen,
            "seed": "8c1f30d27a5be964",
            "settings": self.settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64},
            "board": self.peers["discovery"].address,
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"reset": True, "instances": self.listed}}]},
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
        self.peers["old discovery"] = self.peers["discovery"]
        self.peers["discovery"] = Peer(listens=True)
        self.configure(json.dumps(self.configuration | {"board": self.peers["discovery"].address}))

    def announce(self, number: str, endpoint: dict) -> None:
        data = json.dumps({"rev": int(number), "pool": {"reset": False, "instances": [endpoint]}})
        self.peers["discovery"].stream.sendall(f"id: {number}\ndata: {data}\n\n".encode())

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
        """Execute one line of a script."""
        words = line.split(" ", 3)
        match words:
            case ["listed", name, how]:
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
            case ["server", other, "takes_connection", name]:
                self.peers[f"server {other}"] = peer = Peer(listens=False)
                peer.stream = self.peers[f"server {name}"].stream
            case ["server", name, verb, *rest]:
                getattr(self.peers[f"server {name}"], verb)(*rest)
            case ["discovery", "announces", number, text]:
                name, state, started = text.split(" ")
                started_ms = int(time.time() * 1000) if started == "now" else int(started)
                cell = next(e["cell"] for e in self.listed if e["instanceId"] == f"s-{name}")
                self.announce(number, self.endpoint(name, state, started_ms, cell))
            case ["discovery", "moves"]:
                self.move_discovery()
            case ["old", "discovery", verb, *rest]:
                getattr(self.peers["old discovery"], verb)(*rest)
            case ["discovery", "adds", number, name]:
                self.add(name, "ready")
                self.announce(number, self.listed[-1])
            case ["discovery", verb, *rest]:
                getattr(self.peers["discovery"], verb)(" ".join(rest))
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
            assert time.monotonic() < deadline, f"expected {regex!r} in {self.log.read_text()!r}"
            time.sleep(0.02)

    def run(self, script: str) -> None:
        """Execute all steps; the error of a failed step names its line."""
        for number, line in enumerate(script.splitlines(), 1):
            if line.strip() and not line.startswith("#"):
                try:
                    self.step(line)
                except (AssertionError, OSError) as error:
                    log = self.log.read_text()
                    raise AssertionError(f"line {number}: {line[:100]}\n{error}\n{log}") from error
