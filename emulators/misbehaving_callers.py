"""An emulator of callers that misuse the callers' protocol at full speed: a program of its own.

``python -m emulators.misbehaving_callers KIND ADDRESS --connections N --seconds S --seed N`` opens the
connections, misbehaves for the given time, and prints what was sent and received as one line of JSON.
It is a process of its own, so that its work does not delay the callers whose answers a test measures.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import enum
import json
import random
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass

from canvasplank.codecs import isup
from canvasplank.codecs.errors import MAX_MESSAGE_BYTES
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.config.addresses import parse_address
from emulators.fleet import ROOT

ROUND_BYTES = 16 * 1024  # written at a time, and then again as soon as the kernel has taken most of it
READ_BYTES = 65_536
CLASS_NAME_BYTES = 6000  # a set-up with such a name is well formed
MAX_UNANSWERED = 100  # set-ups of one connection that wait for their answers
RECONNECT_DELAY_S = 0.01
MAX_DESCRIPTION_BYTES = 15 * 1024
SLOW_WRITE_INTERVAL_S = 0.5
SET_UP_WAIT_MS = 3000
PARAMETER_HEADER_BYTES = 3
UNUSED_PARAMETER = 200
KNOWN_CLASS = b"balance-check"
NORMAL = ReleaseCause.NORMAL_CLEARING


class Misbehaviour(enum.Enum):
    """What these callers do."""

    UNKNOWN_CLASSES = "unknown-classes"  # set-ups, each of another class that does not exist
    SET_UPS = "set-ups"  # set-ups that servers can use, under new ids
    LARGE_SET_UPS = "large-set-ups"  # the same, with the longest descriptions
    RELEASED_SET_UPS = "released-set-ups"  # set-ups that are released at once
    RELEASES = "releases"  # releases of calls that do not exist
    CONFIRMATIONS = "confirmations"  # confirmations of releases that were never sent
    TESTS = "tests"
    PROGRESS = "progress"
    SHORT_PARAMETERS = "short-parameters"  # messages of the maximum size that consist of empty parameters
    UNREADABLE = "unreadable"  # messages that cannot be parsed, each on a new connection
    UNREAD = "unread"  # set-ups whose answers are not read
    HALF_MESSAGES = "half-messages"  # half of a large set-up, and no more
    SLOW_WRITES = "slow-writes"  # a large set-up, a few bytes at a time


@dataclass
class Traffic:
    """What was sent and received on all connections."""

    connections: int = 0
    sent: int = 0  # messages
    received: int = 0  # messages


def set_up(call_id: str, class_name: bytes, description: bytes = b"offer") -> bytes:
    """Return an encoded set-up."""
    parameters: dict[int, bytes] = {
        isup.Parameter.CLASS: class_name,
        isup.Parameter.WAIT: b"%d" % SET_UP_WAIT_MS,
        isup.Parameter.NUMBER: call_id.encode(),
        isup.Parameter.FIGURES: b"dest:0;width:1;via:-1",
        isup.Parameter.DESCRIPTION: description,
    }
    return isup.encode(isup.Message(isup.Kind.SET_UP, call_id, parameters))


class MisbehavingCaller:
    """One caller, which opens a new connection whenever its connection ends."""

    def __init__(self, kind: Misbehaviour, address: str, until_s: float, seed: int, traffic: Traffic) -> None:
        self._kind, self._address, self._until_s = kind, address, until_s
        self._random = random.Random(seed)
        self._traffic = traffic
        self._unanswered = 0

    async def run(self) -> None:
        """Misbehave until the end."""
        while time.monotonic() < self._until_s:
            with contextlib.suppress(OSError):
                await self._use_connection()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.open_connection(*parse_address(self._address))
        self._traffic.connections += 1
        self._unanswered = 0
        reading = None if self._kind is Misbehaviour.UNREAD else asyncio.create_task(self._read(reader))
        try:
            while time.monotonic() < self._until_s and not (reading is not None and reading.done()):
                await self._write_round(writer)
                await asyncio.sleep(0)
        finally:
            if reading is not None:
                reading.cancel()
            writer.close()

    async def _write_round(self, writer: asyncio.StreamWriter) -> None:
        match self._kind:
            case Misbehaviour.HALF_MESSAGES:
                await self._write_half(writer)
            case Misbehaviour.SLOW_WRITES:
                await self._write_slowly(writer)
            case Misbehaviour.UNREADABLE:
                writer.write(b"\0\1" * 100)
                self._traffic.sent += 1
                await asyncio.sleep(RECONNECT_DELAY_S)
            case Misbehaviour.UNKNOWN_CLASSES | Misbehaviour.SET_UPS | Misbehaviour.LARGE_SET_UPS:
                await self._write_set_ups(writer)
            case _:
                await self._write_messages(writer)

    async def _write_half(self, writer: asyncio.StreamWriter) -> None:
        data = self._large_set_up()
        writer.write(data[: len(data) // 2])
        await asyncio.sleep(max(0.0, self._until_s - time.monotonic()))

    async def _write_slowly(self, writer: asyncio.StreamWriter) -> None:
        data = self._large_set_up()
        for start in range(0, len(data), len(data) // 20):
            writer.write(data[start : start + len(data) // 20])
            await asyncio.sleep(SLOW_WRITE_INTERVAL_S)
            if time.monotonic() >= self._until_s or writer.is_closing():
                return

    async def _write_set_ups(self, writer: asyncio.StreamWriter) -> None:
        """Write set-ups up to ``MAX_UNANSWERED``, and the next ones as soon as these are answered."""
        if self._unanswered >= MAX_UNANSWERED:
            await asyncio.sleep(RECONNECT_DELAY_S / 10)
            return
        count = MAX_UNANSWERED - self._unanswered
        self._unanswered += count
        await self._send(writer, [self._message() for _ in range(count)])

    async def _write_messages(self, writer: asyncio.StreamWriter) -> None:
        messages, size = [], 0
        while size < ROUND_BYTES:
            messages.append(self._message())
            size += len(messages[-1])
        await self._send(writer, messages)

    async def _send(self, writer: asyncio.StreamWriter, messages: list[bytes]) -> None:
        writer.write(b"".join(messages))
        self._traffic.sent += len(messages)
        await writer.drain()

    def _message(self) -> bytes:
        call_id = f"{self._random.getrandbits(64) | 1:016x}"
        return MESSAGES[self._kind](self, call_id)

    def unknown_class(self, call_id: str) -> bytes:
        """Return a set-up of a class that does not exist."""
        return set_up(call_id, self._random.randbytes(CLASS_NAME_BYTES // 2).hex().encode())

    def _large_set_up(self) -> bytes:
        call_id = f"{self._random.getrandbits(64) | 1:016x}"
        return set_up(call_id, KNOWN_CLASS, bytes(MAX_DESCRIPTION_BYTES))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        parser = isup.Parser()
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                for message in parser.feed(data):
                    self._traffic.received += 1
                    self._unanswered -= message.kind in (isup.Kind.ANSWER, isup.Kind.RELEASE)


def _short_parameters(call_id: str) -> bytes:
    size = MAX_MESSAGE_BYTES - 11
    empty = bytes([UNUSED_PARAMETER, 0, 0]) * (size // PARAMETER_HEADER_BYTES)
    return (9 + len(empty)).to_bytes(2, "big") + bytes([isup.Kind.TEST]) + bytes.fromhex(call_id) + empty


MESSAGES: dict[Misbehaviour, Callable[[MisbehavingCaller, str], bytes]] = {
    Misbehaviour.UNKNOWN_CLASSES: MisbehavingCaller.unknown_class,
    Misbehaviour.SET_UPS: lambda _, call_id: set_up(call_id, KNOWN_CLASS),
    Misbehaviour.LARGE_SET_UPS: lambda _, call_id: set_up(call_id, KNOWN_CLASS, bytes(MAX_DESCRIPTION_BYTES)),
    Misbehaviour.RELEASED_SET_UPS: lambda _, call_id: (
        set_up(call_id, KNOWN_CLASS) + isup.release(call_id, NORMAL)
    ),
    Misbehaviour.RELEASES: lambda _, call_id: isup.release(call_id, NORMAL),
    Misbehaviour.CONFIRMATIONS: lambda _, call_id: isup.release_confirmed(call_id),
    Misbehaviour.TESTS: lambda _, call_id: isup.test(call_id),
    Misbehaviour.PROGRESS: lambda _, call_id: isup.progress(call_id),
    Misbehaviour.SHORT_PARAMETERS: lambda _, call_id: _short_parameters(call_id),
    Misbehaviour.UNREAD: lambda _, call_id: set_up(call_id, KNOWN_CLASS),
}


async def misbehave(kind: Misbehaviour, address: str, connections: int, seconds: float, seed: int) -> Traffic:
    """Run this many callers for a time, and return what they sent and received."""
    traffic = Traffic()
    until_s = time.monotonic() + seconds
    callers = [
        MisbehavingCaller(kind, address, until_s, seed + number, traffic) for number in range(connections)
    ]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(*(caller.run() for caller in callers))
    return traffic


async def start_misbehaving(
    kind: Misbehaviour, address: str, connections: int, seconds: float
) -> asyncio.subprocess.Process:
    """Start this program; its output is one line of JSON with the fields of ``Traffic``."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "emulators.misbehaving_callers",
        kind.value,
        address,
        f"--connections={connections}",
        f"--seconds={seconds}",
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )


def main(arguments: list[str]) -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", type=Misbehaviour)
    parser.add_argument("address")
    parser.add_argument("--connections", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--seed", type=int, default=1000)
    options = parser.parse_args(arguments)
    traffic = asyncio.run(
        misbehave(options.kind, options.address, options.connections, options.seconds, options.seed)
    )
    print(json.dumps(asdict(traffic)))


if __name__ == "__main__":
    main(sys.argv[1:])
