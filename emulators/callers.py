"""Open-loop callers: they come at times drawn ahead, whether or not anything is answered.

A call's wait is counted from when it was due to come, not from when it could be sent, so that a frozen proxy
or a busy machine shows in the figures instead of hiding in fewer calls (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass

from canvasplank.codecs import isup
from canvasplank.config.addresses import parse_address
from emulators.tasks import Tasks

REFUSAL_CAUSES = (34, 42, 102)


@dataclass(frozen=True, slots=True)
class CallerClass:
    """What callers of one class want."""

    name: str
    share: float
    weight: float
    aim_s: float
    wait_s: float


CLASSES = (
    CallerClass("balance-check", 0.78, 1.0, 1.5, 3.2),
    CallerClass("reading-submit", 0.22, 3.0, 2.0, 3.2),
)


@dataclass(slots=True)
class Try:
    """One set-up and what became of it; times are Unix seconds, ``due_s`` when it was to be sent."""

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
        """From when it was due to its answer."""
        return (self.answered_s or time.time()) - self.due_s


class Callers:
    """All callers, with one connection to each proxy."""

    def __init__(self, seed: int, classes: tuple[CallerClass, ...] = CLASSES, pools: int = 1) -> None:
        self.random = random.Random(seed)
        self.classes = classes
        self.pools = pools
        self.tries: dict[str, Try] = {}
        self.proxies: list[str] = []
        self._streams: dict[str, asyncio.StreamWriter] = {}
        self._tasks = Tasks()

    async def add_proxy(self, address: str) -> None:
        """Callers come to this proxy too from now on."""
        reader, writer = await asyncio.open_connection(*parse_address(address))
        self._streams[address] = writer
        self._tasks.keep(self._read(address, reader))
        self.proxies.append(address)

    def drop_proxy(self, address: str) -> None:
        """Nobody new comes to it."""
        self.proxies.remove(address)

    async def offer(self, rate_per_s: float, for_s: float) -> None:
        """Arrivals at random (Poisson), all drawn against the clock and none waiting for an answer."""
        start_s = due = time.time()
        while (due := due + self.random.expovariate(rate_per_s)) < start_s + for_s:
            if (delay_s := due - time.time()) > 0:
                await asyncio.sleep(delay_s)
            self.place(due)
        if (delay_s := start_s + for_s - time.time()) > 0:
            await asyncio.sleep(delay_s)

    def place(self, due_s: float) -> Try:
        """One call, to a proxy at random; while there is none, it is lost like one whose proxy dies."""
        kind = self.random.choices(self.classes, [c.share for c in self.classes])[0]
        proxy = self.random.choice(self.proxies) if self.proxies else ""
        attempt = Try(f"{self.random.getrandbits(64) | 1:016x}", kind, proxy, due_s)
        self.tries[attempt.id] = attempt
        if not proxy:
            attempt.outcome, attempt.answered_s = "lost", time.time()
            return attempt
        parameters = {
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
            self._write(attempt.proxy, isup.release(attempt.id, isup.Cause.NORMAL))

    def _write(self, address: str, data: bytes) -> None:
        """On the connection to a proxy, where that is open; what cannot be written finds no answer."""
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
        if address in self.proxies:  # a proxy ends a connection that says nothing for long
            with contextlib.suppress(OSError):
                reader, self._streams[address] = await asyncio.open_connection(*parse_address(address))
                self._tasks.keep(self._read(address, reader))

    def _on_message(self, address: str, message: isup.Message) -> None:
        attempt = self.tries.get(message.call_id)
        if attempt is None or message.kind not in (isup.Kind.ANSWER, isup.Kind.RELEASE):
            return
        if message.kind == isup.Kind.RELEASE:
            self._write(address, isup.release_heard(message.call_id))
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
        """Wait until every try has its answer."""
        until = time.time() + within_s
        while time.time() < until and any(t.outcome == "open" for t in self.tries.values()):
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Go."""
        self.proxies.clear()
        for writer in self._streams.values():
            writer.close()
        await self._tasks.end()


def service(tries: list[Try]) -> float:
    """Worth answered within its aim, and a tenth of it later, over the worth asked for."""
    asked = sum(t.kind.weight for t in tries)
    served = [t for t in tries if t.outcome == "served"]
    got = sum(t.kind.weight * (1.0 if t.took_s <= t.kind.aim_s else 0.1) for t in served)
    return got / asked if asked else 1.0
