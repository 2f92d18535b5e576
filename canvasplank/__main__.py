"""Wires the parts together and minds the signals: ``python -m canvasplank``."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from canvasplank import interface as api
from canvasplank.admin import Admin
from canvasplank.counters import Counters
from canvasplank.deadlines import Deadlines, Turns
from canvasplank.exchange import Exchange
from canvasplank.network.board import Board
from canvasplank.network.callers import Callers
from canvasplank.network.loop import PipeLoop
from canvasplank.network.servers import Servers
from canvasplank.network.stream import Held
from canvasplank.policy import Controller
from canvasplank.settings import (
    Configuration,
    ConfigurationError,
    Notice,
    folded,
    load_configuration,
    read_ceilings,
    read_figures,
    read_gauges,
    read_settings,
    split_address,
)

if TYPE_CHECKING:  # what is switched on by a file of its own is imported only then: off, it costs nothing
    from canvasplank.learning.config import Learning
    from canvasplank.membership.config import Membership
    from canvasplank.membership.keeper import Keeper
    from canvasplank.store.config import Store
    from canvasplank.store.writer import Writer

LOG = logging.getLogger(__name__)
SERVE_ON_MS = 700.0  # after SIGTERM callers may still come for so long
LONGEST_MS = 3000.0  # a caller's deadline counts as no longer than this when we are to end
MIB = 2**20
AT_START = ("name", "listen", "admin", "settings")  # what holds from the next start on when it has changed
LEAVE_EARLY_MS = 300.0  # whatever is open so long before somebody may kill us is failed
KILLED_EARLY_MS = 100.0  # and all is to be done so long before it
LOOK_MS = 20.0
FLUSH_MS = 200.0  # for the last bytes to leave
PART_MS = 100.0  # for callers to hear the end of their connections; what crosses it does so within 50 ms


@dataclass(frozen=True, slots=True)
class Switched:
    """The parts that are switched on by files of their own."""

    learning: Learning | None = None
    store: Store | None = None
    membership: Membership | None = None


class Program:
    """One signalling proxy."""

    def __init__(self, configuration: Configuration, read_again: Callable[[], Configuration],
                 switched: Switched) -> None:
        self._configuration = configuration
        self._learning = switched.learning
        self._read_again = read_again
        settings = read_settings(configuration.settings)
        ceilings = read_ceilings(configuration.settings)
        self.counters = Counters()
        self._turns = Turns(Deadlines())
        controller = self._controller = Controller(settings, int(configuration.seed, 16))
        memory = configuration.limits.memory_mb * MIB
        self._exchange = Exchange(self._turns, controller.handle, self.counters, ceilings.max_open, memory)
        self._held = Held(memory)
        figures = read_figures(settings, configuration.settings)
        self._callers = Callers(self._exchange, figures, configuration.limits.sockets, ceilings.conn_idle_ms,
                                self._held)
        self._exchange.callers = self._callers
        gauges = read_gauges(configuration.settings)
        self._servers = Servers(self._exchange, ceilings, settings.resend_ms, self._held, gauges)
        self._exchange.servers = self._servers
        self._board = Board(self._turns, configuration.board, configuration.known.rev, self._notice,
                            self._held)
        longest_ms = min(LONGEST_MS, max(c.deadline_ms for c in settings.classes))
        self._leave_ms = longest_ms + SERVE_ON_MS - LEAVE_EARLY_MS
        self._closing_ms = 0.0
        self._done = asyncio.Event()
        self._listening = False
        self._admin = Admin(self)
        self._store = switched.store
        self._writer = None if self._store is None else self._recorder(self._store)
        self._membership = switched.membership
        self._keeper: Keeper | None = None

    def _recorder(self, store: Store) -> Writer:
        from canvasplank.store.outbox import Outbox
        from canvasplank.store.writer import Writer

        seed = int(self._configuration.seed, 16)
        outbox = Outbox(store.queue_most, store.batch_most, store.linger_ms, seed)
        writer = Writer(outbox, store.open_with(), self._configuration.name, store.write_timeout_ms / 1000,
                        self.counters)
        self._exchange.recorder = writer
        return writer

    async def run(self) -> None:
        """Serve until told to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._terminate)
        loop.add_signal_handler(signal.SIGINT, self._terminate)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._turns.begin()
        self._servers.listed(True, folded(self._configuration.known.notices))
        if self._membership is not None:
            self._keep(self._membership)
        if self._writer is not None:
            self._writer.start()
        if self._learning is not None:
            await self._learn(self._learning)
        self._board.start()
        await self._callers.listen(*split_address(self._configuration.listen))
        self._listening = True
        LOG.info("%s listens on %s", self._configuration.name, self._configuration.listen)
        if self._configuration.admin:
            await self._admin.listen(self._configuration.admin)
            LOG.info("the operators' address is %s", self._configuration.admin)
        await self._done.wait()
        self._admin.close()
        if self._keeper is not None:
            await self._keeper.close()
        if self._writer is not None:
            await self._writer.drain(self._drain_s())

    def _keep(self, membership: Membership) -> None:
        """Keep the list on disk, and start from what lies there where nobody else has told one."""
        from canvasplank.membership.keeper import Keeper, read
        from canvasplank.membership.roster import Roster, judge

        known = folded(self._configuration.known.notices)
        self._keeper = Keeper(membership.path, Roster(known, self._turns.now_ms), self._turns,
                              lambda: self._board.heard_ms)
        self._keeper.start()
        if known or (kept := read(membership.path)) is None:
            return
        gateways = read_settings(self._configuration.settings).instances
        start = judge(kept, self._turns.now_ms, gateways, membership.trusted_ms, membership.most_age_ms,
                      membership.start_per_s)
        if start is None:
            LOG.warning("no list of servers taken from %s: too old, or names nobody", membership.path)
            return
        LOG.info("starting from the list kept at %s: %d servers, %.0f s old%s", membership.path,
                 len(start.instances), start.age_ms / 1000, ", with care" if start.careful else "")
        self.counters.add("membership.starts_from_disk")
        self._servers.listed(True, start.instances)
        self._exchange.hinted(start.hints)

    def _drain_s(self) -> float:
        """What may be spent on records at the end: before somebody may kill us, and no longer than is set."""
        self._turns.begin()
        left_ms = self._leave_ms + LEAVE_EARLY_MS - KILLED_EARLY_MS - (self._turns.now_ms - self._closing_ms)
        return min(self._store.drain_ms, left_ms) / 1000

    async def _learn(self, learning: Learning) -> None:
        """Offer what this instance learns to new ones, and ask a running one once, within the bound."""
        from canvasplank.learning.asking import ask
        from canvasplank.learning.exporting import Exporter
        from canvasplank.learning.merge import Listed, exported, hints, told

        if learning.listen:
            name = self._configuration.name
            exporter = Exporter(lambda: exported(name, self._controller.learned(), self._turns.now_ms))
            await exporter.listen(learning.listen)
            LOG.info("views for new instances at %s", learning.listen)
        if not learning.peer:
            return
        self.counters.add("learning.views_asked")
        seen = await ask(learning.peer, learning.bound_ms / 1000)
        self._turns.begin()
        if seen is None:
            self.counters.add("learning.views_refused")
            return
        listed = [Listed(*entry) for entry in self._servers.processes()]
        found = hints(seen, self._turns.now_ms, listed, None, learning.half_life_ms, learning.most_age_ms)
        self.counters.add("learning.views_taken")
        self._exchange.hinted(told(found))
        LOG.info("took a view of %d servers from %s: %d still count", len(seen.servers), learning.peer,
                 len(found))

    # -------------------------------------------------------------------------------- for the operators

    def ready(self) -> bool:
        """See ``Operated``."""
        return self._listening and not self._exchange.closing and not self._callers.quiesced

    def figures(self) -> list[str]:
        """See ``Operated``; a request that was answered is in flight until the call it set up is over."""
        in_flight = self._exchange.open_calls + self._exchange.standing_calls
        return self.counters.figures(in_flight, *self._servers.known_and_excluded())

    def quiesce(self) -> None:
        """See ``Operated``."""
        self._turns.begin()
        self._callers.quiesce()

    def resume(self) -> None:
        """See ``Operated``."""
        self._turns.begin()
        self._callers.resume()

    def print_counters(self) -> None:
        """For the operators."""
        if self._writer is not None:
            self._writer.count()
        for line in self.counters.lines():
            print(line, file=sys.stderr, flush=True)

    def _notice(self, notice: Notice) -> None:
        if notice.pool is not None:
            self._servers.listed(notice.pool.reset, notice.pool.instances)
        if self._keeper is not None:
            self._keeper.told(notice)

    def _reload(self) -> None:
        """Read the configuration again, follow the board where it now is and take new limits.

        The rest needs a restart, and what of it has changed is told.  Guards against ending on SIGHUP, and
        against a file that cannot be used: then the old one stays.
        """
        self._turns.begin()
        try:
            fresh = self._read_again()
            read_ceilings(fresh.settings)
            read_figures(read_settings(fresh.settings), fresh.settings)
            read_gauges(fresh.settings)
        except (ConfigurationError, api.SettingsError) as fault:
            LOG.warning("not reloaded, the old configuration stays: %s", one_line(fault))
            return
        waiting = [name for name in AT_START if getattr(fresh, name) != getattr(self._configuration, name)]
        for_later = f"; for the next start: {', '.join(waiting)}" if waiting else ""
        LOG.info("configuration read again%s", for_later)
        for name in waiting:  # guards against telling a change once and then forgetting that it waits
            setattr(fresh, name, getattr(self._configuration, name))
        self._configuration = fresh
        self._callers.limit(fresh.limits.sockets)
        self._exchange.limit(fresh.limits.memory_mb * MIB)
        self._held.limit(fresh.limits.memory_mb * MIB)
        self._board.move(fresh.board)

    def _terminate(self) -> None:
        """Serve on for a moment, then close the listener, answer all that is open, and leave."""
        if self._exchange.closing:
            return
        LOG.info("told to stop")
        self._turns.begin()
        self._exchange.closing = True
        self._closing_ms = self._turns.now_ms
        self._turns.after(SERVE_ON_MS, self._wind_up)

    def _wind_up(self) -> None:
        self._callers.stop_listening()
        if self._turns.now_ms - self._closing_ms >= self._leave_ms:
            self._exchange.fail_all()
        if self._exchange.open_calls:
            self._turns.after(LOOK_MS, self._wind_up)
        else:
            self._flush(self._turns.now_ms + FLUSH_MS)

    def _flush(self, until_ms: float) -> None:
        if self._callers.unsent() and self._turns.now_ms < until_ms:
            self._turns.after(LOOK_MS, lambda: self._flush(until_ms))
        else:
            self._part()

    def _part(self) -> None:
        """End all connections while they are still read; the process winds down with none open."""
        self._servers.part()
        self._callers.part()
        self._until_parted(self._turns.now_ms + PART_MS)

    def _until_parted(self, until_ms: float) -> None:
        if self._callers.streams and self._turns.now_ms < until_ms:
            self._turns.after(LOOK_MS, lambda: self._until_parted(until_ms))
        else:
            self._done.set()


def main() -> int:
    """Run by the environment's configuration; a fault in it is one line on standard error."""
    logging.basicConfig(format="%(asctime)s %(message)s", level=logging.INFO, stream=sys.stderr)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    try:
        switched = _switched(os.environ)
        with asyncio.Runner(loop_factory=PipeLoop) as runner:
            runner.run(_serve(_configuration(), switched))
    except (ConfigurationError, api.SettingsError, OSError, ValueError) as fault:
        print(f"canvasplank: {one_line(fault)}", file=sys.stderr)
        return 2
    return 0


def _switched(environment: Mapping[str, str]) -> Switched:
    """What the environment names files for; a part that is off is not even imported."""
    learning = store = membership = None
    if path := environment.get("CANVASPLANK_LEARNING"):
        from canvasplank.learning.config import load_learning

        learning = load_learning(path)
    if path := environment.get("CANVASPLANK_STORE"):
        from canvasplank.store.config import load_store

        store = load_store(path)
    if path := environment.get("CANVASPLANK_MEMBERSHIP"):
        from canvasplank.membership.config import load_membership

        membership = load_membership(path)
    return Switched(learning, store, membership)


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


async def _serve(configuration: Configuration, switched: Switched) -> None:
    program = Program(configuration, _configuration, switched)
    gc.freeze()  # what is made at the start stays: collections need not look at it
    with contextlib.suppress(asyncio.CancelledError):
        await program.run()
    program.print_counters()


if __name__ == "__main__":
    sys.exit(main())
