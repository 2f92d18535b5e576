"""Callers of a soak run: like the platform's, they use a connection until it ends, and open new ones."""

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

# A set-up sent within this time before its connection ends counts as crossing the end, and is resent once.
CROSSING_WINDOW_S = 0.05
# A call uses any open connection with ``REUSE_PROBABILITY``, otherwise a connection to an admitted address.
REUSE_PROBABILITY = 0.5
# A call to an admitted address opens a new connection with ``NEW_CONNECTION_PROBABILITY``.
NEW_CONNECTION_PROBABILITY = 0.3
IDLE_CLOSE_S = 4.0  # callers close a connection that has carried no call for this long
GIVE_UP_PROBABILITY, GIVE_UP_AFTER_S = 0.05, (0.05, 0.8)
RELEASE_PROBABILITY, RELEASE_AFTER_S = 0.15, (0.1, 1.0)
CALLER_TIMEOUTS_S = (1.0, 2.0, 3.0, 5.0)


@dataclass(eq=False, slots=True)
class Connection:
    """A caller's connection to a proxy's address."""

    writer: asyncio.StreamWriter
    address: str
    last_used_s: float
    open_set_ups: set[str] = field(default_factory=set)
    established: set[str] = field(default_factory=set)
    ended: bool = False
    # Ids of calls whose release was written on this connection, in that order.
    unconfirmed_releases: dict[str, None] = field(default_factory=dict)


class SoakCallers:
    """Places calls and records their outcomes in the trace.

    ``admitted_addresses`` returns the addresses to which the front sends new connections; ``is_serving``
    returns whether any process behind an address has to accept connections.
    """

    def __init__(
        self,
        seed: int,
        trace: CallTrace,
        admitted_addresses: Callable[[], list[str]],
        is_serving: Callable[[str], bool],
    ) -> None:
        self._rng = random.Random(seed)
        self._trace, self._admitted_addresses, self._is_serving = trace, admitted_addresses, is_serving
        self.connections: list[Connection] = []
        self._tasks = Tasks()

    async def offer(self, rate_per_s: float, duration_s: float) -> None:
        """Place calls at this mean rate (Poisson arrivals), without waiting for answers."""
        start_s = due_s = time.time()
        while (due_s := due_s + self._rng.expovariate(rate_per_s)) < start_s + duration_s:
            await asyncio.sleep(max(0.0, due_s - time.time()))
            self._tasks.keep(self._place_call())

    async def offer_crowd(self, connections: int, rate_per_s: float, duration_s: float) -> None:
        """Open this many connections at once, and place calls at this mean rate."""
        for _ in range(connections):
            self._tasks.keep(self._connect())
        await self.offer(rate_per_s, duration_s)

    async def wait_for_answers(self, timeout_s: float) -> None:
        """Wait until no set-up is unanswered, for at most ``timeout_s``."""
        until_s = time.time() + timeout_s
        while time.time() < until_s and any(connection.open_set_ups for connection in self.connections):
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
        """Connect to this address, or to a random admitted one; return None if that fails."""
        address = address or self._rng.choice(self._admitted_addresses() or [""])
        if not address:
            return None
        try:
            reader, writer = await asyncio.open_connection(*parse_address(address))
        except OSError:
            if self._is_serving(address):
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
                connection.last_used_s = time.time()
                for message in parser.feed(data):
                    self._on_message(connection, message)
        await self._on_connection_ended(connection)

    async def _on_connection_ended(self, connection: Connection) -> None:
        if connection.ended:
            return
        connection.ended = True
        self.connections.remove(connection)
        connection.writer.close()
        now_s = time.time()
        for call_id in connection.unconfirmed_releases:
            self._tasks.keep(self._repeat_release(call_id))
        for call_id in list(connection.open_set_ups):
            call = self._trace.calls[call_id]
            crossed = now_s - call.sent_s <= CROSSING_WINDOW_S + self._trace.max_lateness_s
            if call.resent or not crossed:
                call.lost_s = now_s
            else:
                call.resent = True
                self._tasks.keep(self._resend_set_up(call))

    # ------------------------------------------------------------------------------------ calls

    async def _choose_connection(self) -> Connection | None:
        """Return any open connection, or an open or new one to an admitted address; None without one."""
        candidates = self.connections
        if not candidates or self._rng.random() >= REUSE_PROBABILITY:
            address = self._rng.choice(self._admitted_addresses() or [""])
            candidates = [connection for connection in self.connections if connection.address == address]
            is_new = not candidates or self._rng.random() < NEW_CONNECTION_PROBABILITY
            if address and is_new and (connection := await self._connect(address)) is not None:
                return connection
        return self._rng.choice(candidates) if candidates else None

    async def _place_call(self) -> None:
        caller_class = self._rng.choices(CLASSES, [each.share for each in CLASSES])[0]
        timeout_s, call_id = self._rng.choice(CALLER_TIMEOUTS_S), f"{self._rng.getrandbits(64) | 1:016x}"
        connection = await self._choose_connection()
        if connection is None:
            return  # no process accepts connections
        now_s = time.time()
        call = self._trace.calls[call_id] = CallerCall(call_id, now_s, now_s + timeout_s)
        self._write_set_up(connection, call, caller_class)
        if self._rng.random() < GIVE_UP_PROBABILITY:
            await asyncio.sleep(self._rng.uniform(*GIVE_UP_AFTER_S))
            self._give_up(call)
        else:
            await asyncio.sleep(timeout_s + 0.3)
            self._give_up(call)

    async def _resend_set_up(self, call: CallerCall) -> None:
        connection = await self._connect() or await self._choose_connection()
        if connection is None:
            call.ended_by_caller_s = time.time()  # no process accepts connections, and none has to
            return
        self._write_set_up(connection, call, CLASSES[0])

    def _write_set_up(self, connection: Connection, call: CallerCall, caller_class: CallerClass) -> None:
        call.sent_s = connection.last_used_s = time.time()
        call.exchanges.append((call.sent_s, f"caller sends the set-up to {connection.address}"))
        parameters: dict[int, bytes] = {
            isup.Parameter.CLASS: caller_class.name.encode(),
            isup.Parameter.WAIT: b"%d" % max(1, (call.deadline_s - call.sent_s) * 1000),
            isup.Parameter.NUMBER: call.call_id.encode(),
            isup.Parameter.FIGURES: b"dest:%d;width:1;via:-1" % (int(call.call_id[-2:], 16) % 3),
            isup.Parameter.DESCRIPTION: b"offer " + call.call_id.encode(),
        }
        connection.open_set_ups.add(call.call_id)
        connection.writer.write(isup.encode(isup.Message(isup.Kind.SET_UP, call.call_id, parameters)))

    def _give_up(self, call: CallerCall) -> None:
        connection = self._find_connection(call.call_id)
        if connection is None or call.call_id not in connection.open_set_ups:
            return
        call.ended_by_caller_s = time.time()
        connection.open_set_ups.discard(call.call_id)
        connection.writer.write(isup.release(call.call_id, ReleaseCause.NORMAL_CLEARING))

    def _find_connection(self, call_id: str) -> Connection | None:
        matches = (c for c in self.connections if call_id in c.open_set_ups or call_id in c.established)
        return next(matches, None)

    async def _release_later(self, call: CallerCall) -> None:
        """Release an established call on its connection or, once that has ended, on any other."""
        await asyncio.sleep(self._rng.uniform(*RELEASE_AFTER_S))
        connection = self._find_connection(call.call_id)
        if connection is None and self.connections:
            connection = self._rng.choice(self.connections)
        if connection is not None and not call.releases_s:
            call.ended_by_caller_s = time.time()
            self._write_release(connection, call.call_id)

    def _write_release(self, connection: Connection, call_id: str) -> None:
        connection.established.discard(call_id)
        connection.unconfirmed_releases[call_id] = None
        connection.writer.write(isup.release(call_id, ReleaseCause.NORMAL_CLEARING))

    async def _repeat_release(self, call_id: str) -> None:
        """Write a release again after its connection ended without a confirmation."""
        connection = await self._choose_connection()
        if connection is not None:
            self._write_release(connection, call_id)

    def _on_message(self, connection: Connection, message: isup.Message) -> None:
        call = self._trace.calls.get(message.call_id)
        if call is None:
            return
        now_s = time.time()
        kind = isup.Kind(message.kind).name.lower()
        call.exchanges.append((now_s, f"caller receives from {connection.address}: {kind}"))
        if message.kind == isup.Kind.ANSWER:
            self._on_final_answer(connection, call, Answer.SERVED)
            connection.established.add(call.call_id)
            if self._rng.random() < RELEASE_PROBABILITY:
                self._tasks.keep(self._release_later(call))
        elif message.kind == isup.Kind.RELEASE_CONFIRMED:
            connection.unconfirmed_releases.pop(message.call_id, None)
        elif message.kind == isup.Kind.RELEASE:
            connection.writer.write(isup.release_confirmed(call.call_id))
            connection.established.discard(call.call_id)
            if call.served_s is not None:
                call.releases_s.append(now_s)
            elif call.ended_by_caller_s is None or call.answers:
                refused = message.cause in REFUSAL_CAUSES
                self._on_final_answer(connection, call, Answer.REFUSED if refused else Answer.FAILED)

    def _on_final_answer(self, connection: Connection, call: CallerCall, answer: Answer) -> None:
        connection.open_set_ups.discard(call.call_id)
        if call.ended_by_caller_s is None:
            call.answers.append((time.time(), answer))

    def held_connections(self, address: str, process: str, now_s: float) -> list[HeldConnection]:
        """Return the connections to an address on which ``process`` is the only listener."""
        held = []
        for connection in self.connections:
            if connection.address == address:
                sent_s = [self._trace.calls[call_id].sent_s for call_id in connection.open_set_ups]
                age_s = now_s - max(sent_s) if sent_s else None
                established = bool(connection.established)
                held.append(HeldConnection(process, now_s, age_s, established))
        return held

    def close_idle(self) -> None:
        """Close connections that have carried no call for ``IDLE_CLOSE_S``."""
        now_s = time.time()
        for connection in list(self.connections):
            unused = not connection.open_set_ups and not connection.established
            if unused and now_s - connection.last_used_s > IDLE_CLOSE_S:
                connection.ended = True
                self.connections.remove(connection)
                connection.writer.close()
