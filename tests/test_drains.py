"""Operators' drains on processes: several proxies drain at once, and a server drains beside them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from canvasplank.codecs import isup
from canvasplank.config.addresses import parse_address
from emulators.fleet import fleet, free_port
from emulators.server import CallServer

WAIT_S = 20.0  # time-out of every wait
PROXIES, DRAINED, SERVERS = 4, 3, 3
LOAD_BEFORE_DRAIN_S = 1.0
SERVER_DRAIN_AFTER_S = 1.15  # from the quiesce
DRAIN_LIMIT_S = 4.0  # time from a quiesce until no caller's connection is in use
DRAIN_S = 6.0  # from quiesce to resume
RECENT_SET_UP_S = 2.0
SLACK_S = 0.05  # of every limit
CROSSING_S = 0.05  # a set-up sent so shortly before the end of its connection is sent again by its caller
LATENESS_INTERVAL_S = 0.01


@dataclass(frozen=True)
class Load:
    """The callers of a play, and the servers' speed."""

    connections: int  # of callers, at each proxy
    set_up_interval_s: float  # mean, on each connection
    caller_wait_s: float  # until a caller gives a set-up up
    capacity_per_s: float  # set-ups that a server takes
    hold_ms: float  # duration of a call


@dataclass
class SetUp:
    """A set-up of a caller; times are Unix seconds."""

    sent_s: float
    answers: int = 0
    established: bool = False


@dataclass
class Connection:
    """A caller's connection, which it uses for as long as it is open; times are Unix seconds."""

    load: Load
    set_ups: dict[str, SetUp] = field(default_factory=dict)
    ended_s: float | None = None
    used_until_s: float = 0.0  # when its caller stopped, or it ended

    def is_lost(self, set_up: SetUp) -> bool:
        """Whether a set-up that did not cross the connection's end got no answer in its time."""
        if set_up.answers:
            return False
        if self.ended_s is not None:
            return self.ended_s - set_up.sent_s > CROSSING_S
        return self.used_until_s > set_up.sent_s + self.load.caller_wait_s + SLACK_S

    async def use(self, address: str, seed: int) -> None:
        """Send set-ups at random times, whether or not earlier ones are answered, until the end."""
        rng = random.Random(seed)
        reader, writer = await asyncio.open_connection(*parse_address(address))
        reading = asyncio.create_task(self._read(reader, writer))
        try:
            while not reading.done():
                self._send(writer, rng)
                await asyncio.wait([reading], timeout=rng.expovariate(1 / self.load.set_up_interval_s))
            reading.result()
        finally:
            self.used_until_s = time.time()
            reading.cancel()
            writer.close()

    def _send(self, writer: asyncio.StreamWriter, rng: random.Random) -> None:
        call_id = f"{rng.getrandbits(64) | 1:016x}"
        parameters: dict[int, bytes] = {
            isup.Parameter.CLASS: b"balance-check",
            isup.Parameter.WAIT: b"%d" % (self.load.caller_wait_s * 1000),
            isup.Parameter.NUMBER: call_id.encode(),
            isup.Parameter.FIGURES: b"dest:%d;width:1;via:-1" % rng.randrange(SERVERS),
            isup.Parameter.DESCRIPTION: b"offer " + call_id.encode(),
        }
        self.set_ups[call_id] = SetUp(time.time())
        writer.write(isup.encode(isup.Message(isup.Kind.SET_UP, call_id, parameters)))

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = isup.Parser()
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                for message in parser.feed(data):
                    self._on_message(message, writer)
        self.ended_s = time.time()

    def _on_message(self, message: isup.Message, writer: asyncio.StreamWriter) -> None:
        if message.kind == isup.Kind.RELEASE:
            writer.write(isup.release_confirmed(message.call_id))
        set_up = self.set_ups.get(message.call_id)  # none: the release of a call of another connection
        if set_up is None:
            return
        if message.kind == isup.Kind.ANSWER:
            set_up.established = True
            set_up.answers += 1
        elif message.kind == isup.Kind.RELEASE and not set_up.established:
            set_up.answers += 1


async def command(admin: str, line: str) -> str:
    """Send a command to an admin address, and return the first line of the answer."""
    async with asyncio.timeout(WAIT_S):
        reader, writer = await asyncio.open_connection(*parse_address(admin))
        writer.write(f"{line}\n".encode())
        answer = await reader.readline()
        writer.close()
    return answer.decode().strip()


@dataclass
class ObservedDrain:
    """What the callers of one proxy saw of its drain; times are Unix seconds."""

    connections: list[Connection]
    quiesced_s: float
    resumed_s: float
    max_lateness_s: float  # of this test's own event loop, by which observed times may be late

    def violations(self) -> list[str]:
        """Return the connections that were in use past the limit, and the set-ups that were lost."""
        allowance_s = SLACK_S + self.max_lateness_s
        due_s = self.quiesced_s + DRAIN_LIMIT_S + allowance_s
        found = []
        for number, connection in enumerate(self.connections):
            until_s = min(connection.ended_s or self.resumed_s, self.resumed_s)
            last_s = max(set_up.sent_s for set_up in connection.set_ups.values() if set_up.sent_s < until_s)
            is_recent = until_s - last_s < RECENT_SET_UP_S
            if is_recent and until_s > max(due_s, last_s + allowance_s):
                found.append(
                    f"connection {number} was in use {until_s - self.quiesced_s:.2f} s after quiesce"
                )
            found += [
                f"connection {number}: set-up {call_id} got {set_up.answers} answers"
                for call_id, set_up in connection.set_ups.items()
                if set_up.answers > 1 or connection.is_lost(set_up)
            ]
        return found


async def drain(admin: str, connections: list[Connection], lateness: Lateness) -> ObservedDrain:
    """Quiesce a proxy for ``DRAIN_S``, and resume it."""
    quiesced_s = time.time()
    assert await command(admin, "quiesce") == "200 quiescing"
    await asyncio.sleep(DRAIN_S - (time.time() - quiesced_s))
    resumed_s = time.time()
    assert await command(admin, "resume") == "200 resumed"
    assert await command(admin, "health") == "200 ready"
    return ObservedDrain(connections, quiesced_s, resumed_s, lateness.max_s)


class Lateness:
    """Measures how late this process's own event loop runs."""

    def __init__(self) -> None:
        self.max_s = 0.0

    async def measure(self) -> None:
        while True:
            started_s = time.monotonic()
            await asyncio.sleep(LATENESS_INTERVAL_S)
            self.max_s = max(self.max_s, time.monotonic() - started_s - LATENESS_INTERVAL_S)


@contextlib.asynccontextmanager
async def running(*work: Coroutine[None, None, None]) -> AsyncIterator[None]:
    """Run coroutines as tasks until the end of the block; an error in one of them is raised then."""
    tasks = [asyncio.create_task(each) for each in work]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
    errors = [error for error in ended if isinstance(error, Exception)]
    assert not errors, errors


async def play(folder: Path, load: Load) -> list[ObservedDrain]:
    """Drain three of four proxies at once, and a server beside them, with all of them in use."""
    servers = [CallServer(f"s-{n}", load.capacity_per_s, load.hold_ms) for n in range(SERVERS)]
    lateness = Lateness()
    async with fleet(folder, servers, PROXIES) as started:
        admins = [f"127.0.0.1:{free_port()}" for _ in range(PROXIES)]
        starts = (started.proxy(f"n{n}", n, EDGE_ADMIN=admin) for n, admin in enumerate(admins))
        proxies = await asyncio.gather(*starts)
        used = {proxy.name: [Connection(load) for _ in range(load.connections)] for proxy in proxies}
        callers = [
            connection.use(proxy.address, seed)
            for seed, (proxy, connection) in enumerate(
                (proxy, connection) for proxy in proxies for connection in used[proxy.name]
            )
        ]
        async with running(lateness.measure(), *callers):
            await asyncio.sleep(LOAD_BEFORE_DRAIN_S)
            drains = [
                asyncio.create_task(drain(admin, used[proxy.name], lateness))
                for proxy, admin in list(zip(proxies, admins, strict=True))[:DRAINED]
            ]
            await asyncio.sleep(SERVER_DRAIN_AFTER_S)
            await started.list(*servers, draining=servers[:1])
            return await asyncio.gather(*drains)


@pytest.mark.parametrize(
    "load",
    [
        pytest.param(Load(3, 0.12, 0.835, 12.0, 1500.0), id="835 ms, set-ups overlap"),
        pytest.param(Load(3, 0.12, 0.644, 12.0, 1500.0), id="644 ms, set-ups overlap"),
        pytest.param(Load(20, 3.0, 0.835, 6.0, 9000.0), id="835 ms, set-ups are rare and calls long"),
    ],
)
def test_drained_proxies_hold_no_connection_in_use_after_four_seconds(tmp_path, load):
    """Set-ups were accepted throughout a drain: those that overlapped, or came late, held connections."""
    drains = asyncio.run(play(tmp_path, load))
    assert [drain.violations() for drain in drains] == [[]] * DRAINED
