"""An emulator of open-loop callers: calls arrive at random times, whether or not earlier ones are answered.

The time to an answer is measured from when a call was due, not from when it was sent, so that a frozen proxy
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
    """A class of callers: its share of the calls, the value of an answer, and its time limits."""

    name: str
    share: float
    weight: float
    aim_s: float  # latency objective: a later answer is worth a tenth of ``weight``
    wait_s: float  # deadline: the caller gives up after this time


CLASSES = (
    CallerClass("balance-check", 0.78, 1.0, 1.5, 3.2),
    CallerClass("reading-submit", 0.22, 3.0, 2.0, 3.2),
)


@dataclass(slots=True)
class PlacedCall:
    """One call and its outcome. Times are in Unix seconds; ``due_s`` is when the set-up was to be sent."""

    id: str
    kind: CallerClass
    proxy: str
    due_s: float
    outcome: str = "open"  # then served, refused, failed, given_up, or lost (no connection to the proxy)
    answered_s: float | None = None  # also set when the caller gives up or the call is lost
    released_s: float | None = None
    answers: int = 0  # answers and rejections received, including those after the caller gave up

    @property
    def took_s(self) -> float:
        """Seconds from when the call was due to its answer, or to now while it has none."""
        return (self.answered_s or time.time()) - self.due_s


class Callers:
    """All callers, with one connection to each proxy. ``calls`` maps call ids to all calls so far."""

    def __init__(
        self, seed: int, classes: tuple[CallerClass, ...] = CLASSES, pools: int = 1, grace_s: float = 0.1
    ) -> None:
        """``grace_s``: how long after its deadline a call is given up."""
        self.random = random.Random(seed)
        self.grace_s = grace_s
        self.classes = classes
        self.pools = pools
        self.calls: dict[str, PlacedCall] = {}
        self.proxies: list[str] = []
        self._streams: dict[str, asyncio.StreamWriter] = {}
        self._tasks = Tasks()

    async def add_proxy(self, address: str) -> None:
        """Connect to a proxy and place calls through it from now on."""
        reader, writer = await asyncio.open_connection(*parse_address(address))
        self._streams[address] = writer
        self._tasks.keep(self._read(address, reader))
        self.proxies.append(address)

    def drop_proxy(self, address: str) -> None:
        """Place no new calls through a proxy. Its open calls continue."""
        self.proxies.remove(address)

    async def offer(self, rate_per_s: float, for_s: float) -> None:
        """Place calls at a mean rate for ``for_s`` seconds, without waiting for answers.

        Arrivals are a Poisson process in real time: on a busy machine, overdue calls are sent at once.
        """
        start_s = due_s = time.time()
        while (due_s := due_s + self.random.expovariate(rate_per_s)) < start_s + for_s:
            if (delay_s := due_s - time.time()) > 0:
                await asyncio.sleep(delay_s)
            self.place(due_s)
        if (delay_s := start_s + for_s - time.time()) > 0:
            await asyncio.sleep(delay_s)

    def place(self, due_s: float) -> PlacedCall:
        """Place a call through a random proxy. Without any proxy, the outcome is ``lost``."""
        kind = self.random.choices(self.classes, [c.share for c in self.classes])[0]
        proxy = self.random.choice(self.proxies) if self.proxies else ""
        call = PlacedCall(f"{self.random.getrandbits(64) | 1:016x}", kind, proxy, due_s)
        self.calls[call.id] = call
        if not proxy:
            call.outcome, call.answered_s = "lost", time.time()
            return call
        parameters: dict[int, bytes] = {
            isup.Parameter.CLASS: kind.name.encode(),
            isup.Parameter.WAIT: b"%d" % max(1, (due_s + kind.wait_s - time.time()) * 1000),
            isup.Parameter.NUMBER: b"%016x" % self.random.getrandbits(64),
            isup.Parameter.FIGURES: b"dest:%d;width:1;via:-1" % self.random.randrange(self.pools),
            isup.Parameter.DESCRIPTION: b"offer " + call.id.encode(),
        }
        self._write(call.proxy, isup.encode(isup.Message(isup.Kind.SET_UP, call.id, parameters)))
        asyncio.get_running_loop().call_later(kind.wait_s + self.grace_s, self._on_deadline, call)
        return call

    def _on_deadline(self, call: PlacedCall) -> None:
        if call.outcome == "open":
            call.outcome, call.answered_s = "given_up", time.time()
            self._write(call.proxy, isup.release(call.id, ReleaseCause.NORMAL_CLEARING))

    def _write(self, address: str, data: bytes) -> None:
        """Send data to a proxy if its connection is open, else drop the data."""
        writer = self._streams.get(address)
        if writer is not None and not writer.is_closing():
            writer.write(data)

    async def _read(self, address: str, reader: asyncio.StreamReader) -> None:
        parser = isup.Parser()
        with contextlib.suppress(OSError):
            while data := await reader.read(16_384):
                for message in parser.feed(data):
                    self._on_message(address, message)
        for call in self.calls.values():
            if call.proxy == address and call.outcome == "open":
                call.outcome, call.answered_s = "lost", time.time()
        if address in self.proxies:  # connect again: proxies close idle connections
            with contextlib.suppress(OSError):
                reader, self._streams[address] = await asyncio.open_connection(*parse_address(address))
                self._tasks.keep(self._read(address, reader))

    def _on_message(self, address: str, message: isup.Message) -> None:
        call = self.calls.get(message.call_id)
        if call is None or message.kind not in (isup.Kind.ANSWER, isup.Kind.RELEASE):
            return
        if message.kind == isup.Kind.RELEASE:
            self._write(address, isup.release_confirmed(message.call_id))
            if call.outcome == "served":
                call.released_s = time.time()
                return
        call.answers += 1
        if call.outcome != "open":
            return
        call.answered_s = time.time()
        if message.kind == isup.Kind.ANSWER:
            call.outcome = "served"
        else:
            call.outcome = "refused" if message.cause in REFUSAL_CAUSES else "failed"

    async def wait_until_answered(self, within_s: float) -> None:
        """Wait until no call is open, at most ``within_s`` seconds."""
        deadline_s = time.time() + within_s
        while time.time() < deadline_s and any(call.outcome == "open" for call in self.calls.values()):
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Close all connections."""
        self.proxies.clear()
        for writer in self._streams.values():
            writer.close()
        await self._tasks.end()


def service_level(calls: list[PlacedCall]) -> float:
    """Return the weight of the served calls divided by the weight of all calls, or 1 without calls.

    A call that is answered after ``aim_s`` counts a tenth of its weight.
    """
    offered = sum(call.kind.weight for call in calls)
    served = [call for call in calls if call.outcome == "served"]
    earned = sum(call.kind.weight * (1.0 if call.took_s <= call.kind.aim_s else 0.1) for call in served)
    return earned / offered if offered else 1.0
