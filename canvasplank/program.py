"""Wires the program together and minds the signals."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import random
import signal
import sys
from collections.abc import Callable

from canvasplank import events, signals
from canvasplank import interface as api
from canvasplank.admin import Admin
from canvasplank.counters import Counters
from canvasplank.deadlines import Deadlines, Turns
from canvasplank.exchange import Exchange
from canvasplank.network.callers import Callers
from canvasplank.network.discovery import Discovery
from canvasplank.network.loop import PipeLoop
from canvasplank.network.servers import Servers
from canvasplank.network.stream import BufferBudget
from canvasplank.parts import PartFactory, enabled_parts
from canvasplank.policy import Controller
from canvasplank.settings import (
    Configuration,
    ConfigurationError,
    DiscoveryEvent,
    folded,
    load_configuration,
    read_ceilings,
    read_figures,
    read_gauges,
    read_settings,
    split_address,
)

LOG = logging.getLogger(__name__)
SERVE_ON_MS = 700.0  # after SIGTERM callers may still come for so long
LONGEST_MS = 3000.0  # a caller's deadline counts as no longer than this when we are to end
MIB = 2**20
AT_START = ("name", "listen", "admin", "settings")  # what holds from the next start on when it has changed
LEAVE_EARLY_MS = 300.0  # whatever is open so long before somebody may kill us is failed
KILLED_EARLY_MS = 100.0  # and all is to be done so long before it
LOOK_MS = 20.0
FLUSH_MS = 100.0  # past that, for the last bytes to leave
PART_MS = 100.0  # for callers to hear the end of their connections; what crosses it does so within 50 ms


class Program:
    """One signalling proxy; what it is made of stands open to its parts (``parts.Host``)."""

    def __init__(self, configuration: Configuration, read_again: Callable[[], Configuration],
                 factories: list[PartFactory]) -> None:
        self.configuration = configuration
        self._read_again = read_again
        settings = read_settings(configuration.settings)
        ceilings = read_ceilings(configuration.settings)
        self.counters = Counters()
        self.turns = Turns(Deadlines())
        controller = self.controller = Controller(settings, int(configuration.seed, 16))
        memory = configuration.limits.memory_mb * MIB
        self.exchange = Exchange(self.turns, controller.handle, self.counters, ceilings.max_open, memory)
        self._budget = BufferBudget(memory)
        figures = read_figures(settings, configuration.settings)
        self._callers = Callers(self.exchange, figures, configuration.limits.sockets, ceilings.conn_idle_ms,
                                self._budget)
        self.exchange.callers = self._callers
        gauges = read_gauges(configuration.settings)
        self.servers = Servers(self.exchange, ceilings, settings.resend_ms, self._budget, gauges)
        self.exchange.servers = self.servers
        self.discovery = Discovery(self.turns, configuration.discovery, configuration.known.rev, self._notice,
                            self._budget, random.Random(int(configuration.seed, 16)))
        longest_ms = min(LONGEST_MS, max(c.deadline_ms for c in settings.classes))
        self._leave_ms = longest_ms + SERVE_ON_MS - LEAVE_EARLY_MS
        self._closing_ms = 0.0
        self._done = asyncio.Event()
        self._listening = False
        self._admin = Admin(self)
        self.count_fleet: Callable[[], int] = int
        self.part_of_fleet: Callable[[], float | None] = lambda: None
        self._parts = [made(self) for made in factories]
        self._callers.able = lambda: all(part.ready() for part in self._parts)

    async def run(self) -> None:
        """Serve until told to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._terminate)
        loop.add_signal_handler(signal.SIGINT, self._terminate)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        signals.heed()
        self.turns.begin()
        self.servers.listed(True, folded(self.configuration.known.notices))
        for part in self._parts:
            await part.start()
        self.discovery.start()
        if not self.exchange.closing:
            self._callers.listen(*split_address(self.configuration.listen))
            self._listening = True
            LOG.info("%s listens on %s", self.configuration.name, self.configuration.listen)
        if self.configuration.admin and not self.exchange.closing:
            await self._admin.listen(self.configuration.admin)
            LOG.info("the operators' address is %s", self.configuration.admin)
        await self._done.wait()
        self._admin.close()
        for part in self._parts:
            await part.drain(self._drain_s())

    def _drain_s(self) -> float:
        """What may be spent on the parts' ends: before somebody may kill us."""
        self.turns.begin()
        past_ms = self.turns.now_ms - self._closing_ms
        return max(0.0, self._leave_ms + LEAVE_EARLY_MS - KILLED_EARLY_MS - past_ms) / 1000

    # -------------------------------------------------------------------------------- for the operators

    def ready(self) -> bool:
        """See ``Operated``."""
        return self._listening and self._callers.takes_callers

    def figures(self) -> list[str]:
        """See ``Operated``; a request that was answered is in flight until the call it set up is over."""
        in_flight = self.exchange.open_calls + self.exchange.established_calls
        return self.counters.figures(in_flight, *self.servers.known_and_excluded())

    def quiesce(self) -> None:
        """See ``Operated``."""
        self.turns.begin()
        self._callers.quiesce()

    def resume(self) -> None:
        """See ``Operated``."""
        self.turns.begin()
        self._callers.resume()

    def print_counters(self) -> None:
        """For the operators."""
        for part in self._parts:
            part.count()
        for line in self.counters.lines():
            print(line, file=sys.stderr, flush=True)

    def _notice(self, notice: DiscoveryEvent) -> None:
        if notice.pool is not None:
            self.servers.listed(notice.pool.reset, notice.pool.instances)
        for part in self._parts:
            part.told(notice)

    def _reload(self) -> None:
        """Read the configuration again, follow the board where it now is and take new limits.

        The rest needs a restart, and what of it has changed is told.  Guards against ending on SIGHUP, and
        against a file that cannot be used: then the old one stays.
        """
        self.turns.begin()
        try:
            fresh = self._read_again()
            read_ceilings(fresh.settings)
            read_figures(read_settings(fresh.settings), fresh.settings)
            read_gauges(fresh.settings)
        except (ConfigurationError, api.SettingsError) as fault:
            LOG.warning("not reloaded, the old configuration stays: %s", one_line(fault))
            return
        waiting = [name for name in AT_START if getattr(fresh, name) != getattr(self.configuration, name)]
        for_later = f"; for the next start: {', '.join(waiting)}" if waiting else ""
        LOG.info("configuration read again%s", for_later)
        for name in waiting:  # guards against telling a change once and then forgetting that it waits
            setattr(fresh, name, getattr(self.configuration, name))
        self.configuration = fresh
        self._callers.limit(fresh.limits.sockets)
        self.exchange.limit(fresh.limits.memory_mb * MIB)
        self._budget.limit(fresh.limits.memory_mb * MIB)
        self.discovery.move(fresh.discovery)
        for part in self._parts:
            part.reloaded()

    def _terminate(self) -> None:
        """Serve on for a moment, then close the listener, answer all that is open, and leave."""
        if self.exchange.closing:
            return
        LOG.info("told to stop")
        self.turns.begin()
        self.exchange.closing = True
        self._closing_ms = self.turns.now_ms
        self.turns.after(SERVE_ON_MS, self._stop_listening)

    def _stop_listening(self) -> None:
        """Take no new connection; what lay at the listener is read before anything is ended."""
        self._callers.stop_listening()
        self.turns.after(LOOK_MS, self._answer_the_rest)

    def _answer_the_rest(self) -> None:
        """Until all is answered and written, or somebody may kill us.

        Asked anew each time: guards a set-up that comes while the last bytes leave against being taken and
        then left without an answer, and one who reads late against the end of an answer half written.
        """
        past_ms = self.turns.now_ms - self._closing_ms
        if past_ms >= self._leave_ms:
            self.exchange.fail_all()
        unsent = self._callers.unsent() and past_ms < self._leave_ms + FLUSH_MS
        if self.exchange.open_calls or unsent:
            self.turns.after(LOOK_MS, self._answer_the_rest)
        else:
            self._part()

    def _part(self) -> None:
        """End all connections while they are still read; the process winds down with none open."""
        self.servers.part()
        self._callers.part()
        self._until_parted(self.turns.now_ms + PART_MS)

    def _until_parted(self, until_ms: float) -> None:
        if self._callers.streams and self.turns.now_ms < until_ms:
            self.turns.after(LOOK_MS, lambda: self._until_parted(until_ms))
        else:
            self._done.set()


def serve() -> int:
    """Run by the environment's configuration; a fault in it is one line on standard error."""
    signals.hold()
    try:
        events.begin(os.environ.get("CANVASPLANK_LOG", "human"))
        factories = enabled_parts(os.environ)
        with asyncio.Runner(loop_factory=PipeLoop) as runner:
            runner.run(_serve(_configuration(), factories))
    except (ConfigurationError, api.SettingsError, OSError, ValueError) as fault:
        print(f"canvasplank: {one_line(fault)}", file=sys.stderr)
        return 2
    return 0


def _configuration() -> Configuration:
    configuration = load_configuration(os.environ.get("EDGE_CONFIG", ""))
    configuration.listen = os.environ.get("EDGE_LISTEN", configuration.listen)
    configuration.name = os.environ.get("EDGE_NAME", configuration.name)
    configuration.admin = os.environ.get("EDGE_ADMIN", configuration.admin)
    for address in (configuration.listen, configuration.admin or "any:0"):
        try:
            split_address(address)
        except ValueError as fault:
            raise ConfigurationError(f"configuration: {fault}") from None
    return configuration


def one_line(fault: Exception) -> str:
    """What is wrong, as one line for the log."""
    return " ".join(str(fault).split())


async def _serve(configuration: Configuration, factories: list[PartFactory]) -> None:
    program = Program(configuration, _configuration, factories)
    gc.freeze()  # what is made at the start stays: collections need not look at it
    with contextlib.suppress(asyncio.CancelledError):
        await program.run()
    program.print_counters()
    signals.hold()  # guards the exit status against one that comes now
