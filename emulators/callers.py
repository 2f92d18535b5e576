"""An emulator of open-loop callers: calls arrive at random times, whether or not earlier ones are answered.

The time to an answer counts from when a call was due, not from when it could be sent, so that a frozen proxy
or a busy machine shows as long waits instead of fewer calls (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass

from canvasplank.codecs import isup
from canvasplank.codecs.q850 import ReleaseCause
from canvasplank.config.addresses import parse_address
from emulators.tasks import Tasks

REFUSAL_CAUSES = (34, 42, 102)  # Q.850: no circuit, congestion, recovery on timer expiry


@dataclass(frozen=True, slots=True)
class CallerClass:
    """A class of callers: its share of the calls, its weight, and its latency objective and deadline."""

    name: str
    share: float
    weight: float
    aim_s: float  # an answer within this is worth ``weight``
    wait_s: float  # a caller gives up after this


CLASSES = (
    CallerClass("balance-check", 0.78, 1.0, 1.5, 3.2),
    CallerClass("reading-submit", 0.22, 3.0, 2.0, 3.2),
)


@dataclass(slots=True)
class Try:
    """One set-up and its outcome; times are Unix seconds, ``due_s`` when it was to be sent."""

    id: str
    kind: CallerClass
    proxy: str
    due_s: float
    outcome: str = "open"  # then served, refused, failed, given_up or lost
    answered_s: float | None = None
    released_s: float | None = None
    answers: int = 0

    @property
    def took_s(self) -> float:
        """From when it was due to its answer, or to now."""
        return (self.answered_s or time.time()) - self.due_s


class Callers:
    """All callers, with one connection to each proxy; ``tries`` holds every call by its id."""

    def __init__(self, seed: int, classes: tuple[CallerClass, ...] = CLASSES, pools: int = 1) -> None:
        self.random = random.Random(seed)
        self.classes = classes
        self.pools = pools
        self.tries: dict[str, Try] = {}
        self.proxies: list[str] = []
        self._streams: dict[str, asyncio.StreamWriter] = {}
        self._tasks = Tasks()

    async def add_proxy(self, address: str) -> None:
        """Connect to this proxy; callers choose it too from now on."""
        reader, writer = await asyncio.open_connection(*parse_address(address))
        self._streams[address] = writer
        self._tasks.keep(self._read(address, reader))
        self.proxies.append(address)

    def drop_proxy(self, address: str) -> None:
        """Send no new calls to this proxy; those that are open go on."""
        self.proxies.remove(address)

    async def offer(self, rate_per_s: float, for_s: float) -> None:
        """Place calls at this mean rate (Poisson arrivals by the clock), without waiting for answers."""
        start_s = due = time.time()
        while (due := due + self.random.expovariate(rate_per_s)) < start_s + for_s:
            if (delay_s := due - time.time()) > 0:
                await asyncio.sleep(delay_s)
            self.place(due)
        if (delay_s := start_s + for_s - time.time()) > 0:
            await asyncio.sleep(delay_s)

    def place(self, due_s: float) -> Try:
        """Place a call at a random proxy; without one it is lost, like a call whose proxy dies."""
        kind = self.random.choices(self.classes, [c.share for c in self.classes])[0]
        proxy = self.random.choice(self.proxies) if self.proxies else ""
        attempt = Try(f"{self.random.getrandbits(64) | 1:016x}", kind, proxy, due_s)
        self.tries[attempt.id] = attempt
        if not proxy:
            attempt.outcome, attempt.answered_s = "lost", time.time()
            return attempt
        parameters: dict[int, bytes] = {
            isup.Parameter.CLASS: kind.name.encode(),
            isup.Parameter.WAIT: b"%d" % max(1, (due_s + kind.wait_s - time.time()) * 1000),
            isup.Parameter.NUMBER: b"%016x" % self.random.getrandbits(64),
            isup.Parameter.FIGURES: b"dest:%d;width:1;via:-1" % self.random.randrange(self.pools),
            isup.Parameter.DESCRIPTION: b"offer " + attempt.id.encode(),
        }
        self._write(attempt.proxy, isup.encode(isup.Message(isup.Kind.SET_UP, attempt.id, parameters)))
        asyncio.get_running_loop().call_later(kind.wait_s + 0.1, self._on_deadline, attempt)
        return attempt

    def _on_deadline(self, attempt: Try) -> None:
        if attempt.outcome == "open":
            attempt.outcome, attempt.answered_s = "given_up", time.time()
            self._write(attempt.proxy, isup.release(attempt.id, ReleaseCause.NORMAL_CLEARING))

    def _write(self, address: str, data: bytes) -> None:
        """Send to a proxy where its connection is open; what cannot be sent stays unanswered."""
        writer = self._streams.get(address)
        if writer is not None and not writer.is_closing():
            writer.write(data)

    async def _read(self, address: str, reader: asyncio.StreamReader) -> None:
        parser = isup.Parser()
        with contextlib.suppress(OSError):
            while data := await reader.read(16_384):
                for message in parser.feed(data):
                    self._on_message(address, message)
        for attempt in self.tries.values():
            if attempt.proxy == address and attempt.outcome == "open":
                attempt.outcome, attempt.answered_s = "lost", time.time()
        if address in self.proxies:  # a proxy closes a connection that is idle for long
            with contextlib.suppress(OSError):
                reader, self._streams[address] = await asyncio.open_connection(*parse_address(address))
                self._tasks.keep(self._read(address, reader))

    def _on_message(self, address: str, message: isup.Message) -> None:
        attempt = self.tries.get(message.call_id)
        if attempt is None or message.kind not in (isup.Kind.ANSWER, isup.Kind.RELEASE):
            return
        if message.kind == isup.Kind.RELEASE:
            self._write(address, isup.release_confirmed(message.call_id))
            if attempt.outcome == "served":
                attempt.released_s = time.time()
                return
        attempt.answers += 1
        if attempt.outcome != "open":
            return
        attempt.answered_s = time.time()
        if message.kind == isup.Kind.ANSWER:
            attempt.outcome = "served"
        else:
            attempt.outcome = "refused" if message.cause in REFUSAL_CAUSES else "failed"

    async def settled(self, within_s: float) -> None:
        """Wait until no call is open, ``within_s`` at most."""
        until = time.time() + within_s
        while time.time() < until and any(t.outcome == "open" for t in self.tries.values()):
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Close all connections."""
        self.proxies.clear()
        for writer in self._streams.values():
            writer.close()
        await self._tasks.end()


def service(tries: list[Try]) -> float:
    """The weight of the calls served, a tenth of it where later than ``aim_s``, over the weight of all."""
    offered = sum(t.kind.weight for t in tries)
    served = [t for t in tries if t.outcome == "served"]
    earned = sum(t.kind.weight * (1.0 if t.took_s <= t.kind.aim_s else 0.1) for t in served)
    return earned / offered if offered else 1.0
