"""Helpers that run processes of the program, in sequence or side by side, with fake call servers."""

from __future__ import annotations

import contextlib
import json
import os
import select
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from exchange_replay import SETTINGS
from race_conditions import ROOT, WAIT_S

from canvasplank.codecs import isup, sip
from emulators.fleet import free_port

READ_BYTES = 65_536
ANSWER = b"v=0 answer"


@dataclass
class FakeCallServer:
    """A fake call server that the test controls, and that sends releases as the protocol requires.

    A release goes out on the connection of the set-up, or else on any open one, and once more on the next one
    opened.  With ``stops_when_confirmed``, a release that is confirmed by then is not sent again.
    """

    stops_when_confirmed: bool = True
    listener: socket.socket = field(default_factory=lambda: socket.create_server(("127.0.0.1", 0)))
    connections: list[socket.socket] = field(default_factory=list)  # open, oldest first
    established: dict[str, socket.socket] = field(default_factory=dict)  # by call: its set-up's connection
    # Calls whose release is sent again on the next connection.
    to_send_again: set[str] = field(default_factory=set)
    _parsers: dict[socket.socket, sip.Parser] = field(default_factory=dict)

    def accept(self) -> socket.socket:
        """Accept the next connection, and send the releases on it that are to be sent again."""
        self.listener.settimeout(WAIT_S)
        connection, _ = self.listener.accept()
        connection.settimeout(WAIT_S)
        self.connections.append(connection)
        self._parsers[connection] = sip.Parser()
        released, self.to_send_again = self.to_send_again, set()
        for call_id in sorted(released):
            self._write_release(connection, call_id)
        return connection

    def read_until(self, connection: socket.socket, method: str) -> sip.Message:
        """Read messages up to the first request with this method, and return it."""
        while True:
            data = connection.recv(READ_BYTES)
            assert data, f"connection ended before {method}"
            for message in self._parsers[connection].feed(memoryview(data)):
                self._on_message(message)
                if message.method == method and not message.status:
                    return message

    def read_available(self, connection: socket.socket) -> None:
        """Read available messages of a connection, and close it at the end of the stream."""
        data = b""
        with contextlib.suppress(ConnectionResetError):  # the peer has closed it with data unread
            data = connection.recv(READ_BYTES)
        for message in self._parsers[connection].feed(memoryview(data)):
            self._on_message(message)
        if not data:
            self.connections.remove(connection)
            connection.close()

    def read_until_eof(self, connection: socket.socket) -> None:
        """Read all messages up to the end of the stream, and close the connection."""
        with contextlib.suppress(ConnectionResetError):  # the peer has closed it with data unread
            while data := connection.recv(READ_BYTES):
                for message in self._parsers[connection].feed(memoryview(data)):
                    self._on_message(message)
        self.connections.remove(connection)
        connection.close()

    def read_all_until_eof(self) -> None:
        """Read all messages of a process that has ended, also on connections not accepted yet."""
        while select.select([self.listener], [], [], 0.0)[0]:
            self.accept()
        for connection in list(self.connections):
            self.read_until_eof(connection)

    def answer(self, connection: socket.socket, invite: sip.Message) -> None:
        """Establish the call of this set-up."""
        self.established[invite.call_id] = connection
        head = sip.response(200, "OK", invite)
        length = b"Content-Length: %d" % len(ANSWER)
        with contextlib.suppress(OSError):  # the connection has ended, which is not detected yet
            connection.sendall(head.replace(b"Content-Length: 0", length) + ANSWER)

    def release(self, call_id: str) -> None:
        """Release an established call."""
        connection = self.established.pop(call_id)
        self.to_send_again.add(call_id)
        self._write_release(connection if connection in self.connections else self.connections[-1], call_id)

    def close(self) -> None:
        for open_socket in [self.listener, *self.connections]:
            open_socket.close()

    def _write_release(self, connection: socket.socket, call_id: str) -> None:
        with contextlib.suppress(OSError):  # the connection has ended, which is not detected yet
            connection.sendall(sip.request("BYE", "exchange", call_id, 2, {"Reason": "Q.850;cause=16"}))

    def _on_message(self, message: sip.Message) -> None:
        if message.method == "BYE" and message.status and self.stops_when_confirmed:
            self.to_send_again.discard(message.call_id)
        elif message.method == "BYE" and not message.status:
            self.established.pop(message.call_id, None)


class Deployment:
    """Processes of the program that share a configuration and an address for callers, and their servers."""

    def __init__(
        self,
        folder: Path,
        servers: list[FakeCallServer],
        settings: dict | None = None,
        **environment: str,
    ) -> None:
        self._folder, self.servers = folder, servers
        self._environment = environment
        self.processes: list[subprocess.Popen] = []
        self.port = free_port()
        self._configuration = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "settings": settings or SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64},
            "board": f"127.0.0.1:{free_port()}",
        }
        self.list(["ready"] * len(servers))

    def list(self, lifecycles: list[str]) -> None:
        """Write the configuration of the next process, with the servers in these lifecycles."""
        entries = [
            {
                "instanceId": f"s-{number}",
                "hostPort": f"127.0.0.1:{server.listener.getsockname()[1]}",
                "cell": number,
                "lifecycle": lifecycle,
                "startedAtMs": 0,
                "zone": "z",
                "new": True,
            }
            for number, (server, lifecycle) in enumerate(zip(self.servers, lifecycles, strict=True))
        ]
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"reset": True, "instances": entries}}]}
        (self._folder / "config.json").write_text(json.dumps(self._configuration | {"known": known}))

    def start(self) -> subprocess.Popen:
        """Start another process, and wait until it listens."""
        log = self._log_file(len(self.processes))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "canvasplank"],
                cwd=ROOT,
                stderr=output,
                stdout=output,
                env=environment | {"EDGE_CONFIG": str(self._folder / "config.json")} | self._environment,
            )
        self.processes.append(process)
        deadline_s = time.monotonic() + WAIT_S
        while "listens on" not in log.read_text():
            assert process.poll() is None and time.monotonic() < deadline_s, log.read_text()
            time.sleep(0.01)
        return process

    def log(self, number: int = 0) -> str:
        """The log of a process, numbered from 0 in the order of their start."""
        return self._log_file(number).read_text()

    def _log_file(self, number: int) -> Path:
        return self._folder / f"log-{number}"

    def caller(self) -> socket.socket:
        """Open a new connection as a caller."""
        return socket.create_connection(("127.0.0.1", self.port), timeout=WAIT_S)

    def stop(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        for server in self.servers:
            server.close()


def read_message(peer: socket.socket, kind: isup.Kind) -> isup.Message:
    """Read messages at a caller up to the next one of this kind, and return it."""
    parser = isup.Parser()
    while True:
        data = peer.recv(1)  # so that nothing of the following message is read
        assert data, f"connection ended before {kind.name}"
        for message in parser.feed(memoryview(data)):
            if message.kind == kind:
                return message
