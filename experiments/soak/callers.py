"""Callers as strict as a platform's: they use connections until these end, and new ones where allowed."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from canvasplank.codecs import isup
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.config.addresses import parse_address
from emulators.callers import CLASSES, REFUSAL_CAUSES, CallerClass
from emulators.tasks import Tasks
from verification.call_trace import Answer, CallerCall, CallTrace, HeldConnection

CROSSING_S = 0.05  # a set-up may cross the end of its connection by so much, and is sent once more
KEPT_PROBABILITY = 0.5  # a call goes on any connection that is kept, else to an admitted address
NEW_CONNECTION_PROBABILITY = 0.3  # of these, on a new one
IDLE_CLOSE_S = 4.0  # a connection that carries no call is closed by its caller
GIVE_UP_PROBABILITY, GIVE_UP_AFTER_S = 0.05, (0.05, 0.8)
RELEASE_PROBABILITY, RELEASE_AFTER_S = 0.15, (0.1, 1.0)
WAITS_S = (1.0, 2.0, 3.0, 5.0)


@dataclass(eq=False, slots=True)
class Connection:
    """One connection to a proxy's address."""

    writer: asyncio.StreamWriter
    address: str
    used_s: float
    free_s: float = field(default_factory=time.time)  # when no set-up was open on it any more
    open: set[str] = field(default_factory=set)
    established: set[str] = field(default_factory=set)
    ended: bool = False
    unconfirmed: dict[str, None] = field(default_factory=dict)  # calls whose release was written here

    def close_set_up(self, call_id: str) -> None:
        """A set-up on it is open no more."""
        self.open.discard(call_id)
        if not self.open:
            self.free_s = time.time()


class SoakCallers:
    """Places calls, and notes in the trace what comes of them.

    ``admitted`` gives the addresses that a front sends new connections to; ``serving`` whether any process
    behind an address has said that it is ready and not been told otherwise.
    """

    def __init__(
        self, seed: int, trace: CallTrace, admitted: Callable[[], list[str]], serving: Callable[[str], bool]
    ) -> None:
        self._random = random.Random(seed)
        self._trace, self._admitted, self._serving = trace, admitted, serving
        self.connections: list[Connection] = []
        self._tasks = Tasks()

    async def offer(self, rate_per_s: float, for_s: float) -> None:
        """Place calls at this mean rate, without waiting for answers."""
        start_s = due_s = time.time()
        while (due_s := due_s + self._random.expovariate(rate_per_s)) < start_s + for_s:
            await asyncio.sleep(max(0.0, due_s - time.time()))
            self._tasks.keep(self._place())

    async def crowd(self, connections: int, rate_per_s: float, for_s: float) -> None:
        """Come all at once on new connections, and place calls at a high rate."""
        for _ in range(connections):
            self._tasks.keep(self._connect())
        await self.offer(rate_per_s, for_s)

    async def settle(self, within_s: float) -> None:
        """Wait until every call has its answer, ``within_s`` at most."""
        until_s = time.time() + within_s
        while time.time() < until_s and any(connection.open for connection in self.connections):
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.ended = True
            connection.writer.close()
        self.connections.clear()
        await self._tasks.end()

    # ------------------------------------------------------------------------------------ connections

    async def _connect(self, address: str = "") -> Connection | None:
        """Connect to this address, or to any that is admitted; None: nobody is there."""
        address = address or self._random.choice(self._admitted() or [""])
        if not address:
            return None
        try:
            reader, writer = await asyncio.open_connection(*parse_address(address))
        except OSError:
            if self._serving(address):
                self._trace.refused_connections_s.append(time.time())
            return None
        connection = Connection(writer, address, time.time())
        self.connections.append(connection)
        self._tasks.keep(self._read(connection, reader))
        return connection

    async def _read(self, connection: Connection, reader: asyncio.StreamReader) -> None:
        parser = isup.Parser()
        with contextlib.suppress(OSError):
            while data := await reader.read(16_384):
                connection.used_s = time.time()
                for message in parser.feed(data):
                    self._on_message(connection, message)
        await self._on_ended(connection)

    async def _on_ended(self, connection: Connection) -> None:
        if connection.ended:
            return
        connection.ended = True
        self.connections.remove(connection)
        connection.writer.close()
        now_s = time.time()
        for call_id in connection.unconfirmed:
            self._tasks.keep(self._release_again(call_id))
        for call_id in list(connection.open):
            call = self._trace.calls[call_id]
            crossed = now_s - call.sent_s <= CROSSING_S + self._trace.max_lateness_s
            if call.resent or not crossed:
                call.lost_s = now_s
            else:
                call.resent = True
                self._tasks.keep(self._resend(call))

    # ------------------------------------------------------------------------------------ calls

    async def _choose(self) -> Connection | None:
        """A kept connection, wherever it goes; or one, kept or new, to an address that is admitted."""
        kept = self.connections
        if not kept or self._random.random() >= KEPT_PROBABILITY:
            address = self._random.choice(self._admitted() or [""])
            kept = [connection for connection in self.connections if connection.address == address]
            is_new = not kept or self._random.random() < NEW_CONNECTION_PROBABILITY
            if address and is_new and (connection := await self._connect(address)) is not None:
                return connection
        return self._random.choice(kept) if kept else None

    async def _place(self) -> None:
        kind = self._random.choices(CLASSES, [each.share for each in CLASSES])[0]
        wait_s, call_id = self._random.choice(WAITS_S), f"{self._random.getrandbits(64) | 1:016x}"
        connection = await self._choose()
        if connection is None:
            return  # nobody is there to take it
        now_s = time.time()
        call = self._trace.calls[call_id] = CallerCall(call_id, now_s, now_s + wait_s)
        self._write_set_up(connection, call, kind)
        if self._random.random() < GIVE_UP_PROBABILITY:
            await asyncio.sleep(self._random.uniform(*GIVE_UP_AFTER_S))
            self._give_up(call)
        else:
            await asyncio.sleep(wait_s + 0.3)
            self._give_up(call)

    async def _resend(self, call: CallerCall) -> None:
        connection = await self._connect() or await self._choose()
        if connection is None:
            call.abandoned_s = time.time()  # no process takes connections, and none is to blame
            return
        self._write_set_up(connection, call, CLASSES[0])

    def _write_set_up(self, connection: Connection, call: CallerCall, kind: CallerClass) -> None:
        call.sent_s = connection.used_s = time.time()
        call.exchanges.append((call.sent_s, f"its set-up goes to {connection.address}"))
        parameters: dict[int, bytes] = {
            isup.Parameter.CLASS: kind.name.encode(),
            isup.Parameter.WAIT: b"%d" % max(1, (call.deadline_s - call.sent_s) * 1000),
            isup.Parameter.NUMBER: call.call_id.encode(),
            isup.Parameter.FIGURES: b"dest:%d;width:1;via:-1" % (int(call.call_id[-2:], 16) % 3),
            isup.Parameter.DESCRIPTION: b"offer " + call.call_id.encode(),
        }
        connection.open.add(call.call_id)
        connection.writer.write(isup.encode(isup.Message(isup.Kind.SET_UP, call.call_id, parameters)))

    def _give_up(self, call: CallerCall) -> None:
        connection = self._connection_of(call.call_id)
        if connection is None or call.call_id not in connection.open:
            return
        call.abandoned_s = time.time()
        connection.close_set_up(call.call_id)
        connection.writer.write(isup.release(call.call_id, ReleaseCause.NORMAL_CLEARING))

    def _connection_of(self, call_id: str) -> Connection | None:
        holds = (c for c in self.connections if call_id in c.open or call_id in c.established)
        return next(holds, None)

    async def _release_later(self, call: CallerCall) -> None:
        """Release an established call on its own connection, or on any other."""
        await asyncio.sleep(self._random.uniform(*RELEASE_AFTER_S))
        connection = self._connection_of(call.call_id)
        if connection is None and self.connections:
            connection = self._random.choice(self.connections)
        if connection is not None and not call.releases_s:
            call.abandoned_s = time.time()
            self._write_release(connection, call.call_id)

    def _write_release(self, connection: Connection, call_id: str) -> None:
        connection.established.discard(call_id)
        connection.unconfirmed[call_id] = None
        connection.writer.write(isup.release(call_id, ReleaseCause.NORMAL_CLEARING))

    async def _release_again(self, call_id: str) -> None:
        """The connection that its release was written on ended without confirming it."""
        connection = await self._choose()
        if connection is not None:
            self._write_release(connection, call_id)

    def _on_message(self, connection: Connection, message: isup.Message) -> None:
        call = self._trace.calls.get(message.call_id)
        if call is None:
            return
        now_s = time.time()
        kind = isup.Kind(message.kind).name.lower()
        call.exchanges.append((now_s, f"its caller reads from {connection.address}: {kind}"))
        if message.kind == isup.Kind.ANSWER:
            self._on_final_answer(connection, call, Answer.SERVED)
            connection.established.add(call.call_id)
            if self._random.random() < RELEASE_PROBABILITY:
                self._tasks.keep(self._release_later(call))
        elif message.kind == isup.Kind.RELEASE_CONFIRMED:
            connection.unconfirmed.pop(message.call_id, None)
        elif message.kind == isup.Kind.RELEASE:
            connection.writer.write(isup.release_confirmed(call.call_id))
            connection.established.discard(call.call_id)
            if call.served_s is not None:
                call.releases_s.append(now_s)
            elif call.abandoned_s is None or call.answers:
                refused = message.cause in REFUSAL_CAUSES
                self._on_final_answer(connection, call, Answer.REFUSED if refused else Answer.FAILED)

    def _on_final_answer(self, connection: Connection, call: CallerCall, answer: Answer) -> None:
        connection.close_set_up(call.call_id)
        if call.abandoned_s is None:
            call.answers.append((time.time(), answer))

    def held(self, address: str, process: str, now_s: float) -> list[HeldConnection]:
        """The connections to an address, which one process alone has."""
        held = []
        for connection in self.connections:
            if connection.address == address:
                sent_s = [self._trace.calls[call_id].sent_s for call_id in connection.open]
                age_s = now_s - max(sent_s) if sent_s else None
                established = bool(connection.established)
                held.append(HeldConnection(process, now_s, age_s, established, connection.free_s))
        return held

    def close_idle(self) -> None:
        """Close connections that have carried no call for long, as callers do."""
        now_s = time.time()
        for connection in list(self.connections):
            unused = not connection.open and not connection.established
            if unused and now_s - connection.used_s > IDLE_CLOSE_S:
                connection.ended = True
                self.connections.remove(connection)
                connection.writer.close()
