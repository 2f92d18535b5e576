"""Connects the components of the proxy, and handles signals and the shutdown."""

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

from canvasplank import interface as api
from canvasplank.admin import Admin
from canvasplank.config.addresses import parse_address
from canvasplank.config.configuration import Configuration, ConfigurationError, load_configuration
from canvasplank.config.discovery_events import DiscoveryEvent, apply_events
from canvasplank.config.platform_settings import (
    read_connection_limits,
    read_load_report_reader,
    read_request_bounds,
    read_settings,
)
from canvasplank.counters import Counters
from canvasplank.exchange.exchange import Exchange
from canvasplank.extensions.extension import Extension, ExtensionFactory, FleetView
from canvasplank.extensions.registry import load_enabled_extensions
from canvasplank.network.callers import Callers
from canvasplank.network.discovery import Discovery
from canvasplank.network.listener import is_port_in_use
from canvasplank.network.predecessor import PredecessorStream
from canvasplank.network.servers import Servers
from canvasplank.network.stream import BufferBudget
from canvasplank.network.successor import Successor
from canvasplank.policy import Controller
from canvasplank.runtime import signals, structured_logging
from canvasplank.runtime.event_loop import PipeEventLoop
from canvasplank.runtime.scheduler import Scheduler, TimerQueue
from canvasplank.runtime.shutdown import Phase, Shutdown

LOG = logging.getLogger(__name__)
MIB = 2**20
# An old process at this address is stopped once this one is ready, and counts as ended after this time.
PREDECESSOR_END_MS = 5000.0
SUCCESSOR_TIMEOUT_S = 0.2  # for the next process at this address to confirm the releases passed on to it
END_DETECTION_MS = 400.0  # for call servers to detect that the old process's connections have ended
MAX_LOGGED_CALLS = 10  # in one line
# Fields of the configuration whose changes take effect at the next start only.
APPLIED_AT_START = ("name", "listen", "admin", "settings")


class Program:
    """A signalling proxy; extensions use its components through ``ExtensionContext``."""

    def __init__(
        self,
        configuration: Configuration,
        reread_configuration: Callable[[], Configuration],
        factories: list[ExtensionFactory],
    ) -> None:
        self.configuration = configuration
        self._reread_configuration = reread_configuration
        settings = read_settings(configuration.settings)
        limits = read_connection_limits(configuration.settings)
        self.counters = Counters([each.name for each in settings.classes])
        self.scheduler = Scheduler(TimerQueue())
        controller = self.controller = Controller(settings, int(configuration.seed, 16), self._budget_delay)
        memory = configuration.limits.memory_mb * MIB
        self.exchange = Exchange(self.scheduler, controller.handle, self.counters, limits.max_open, memory)
        self._budget = BufferBudget(memory)
        bounds = read_request_bounds(settings, configuration.settings)
        self._callers = Callers(
            self.exchange,
            bounds,
            configuration.limits.sockets,
            limits.conn_idle_ms,
            self._budget,
            self._accepts_callers,
        )
        self.exchange.attach_callers(self._callers)
        load_reports = read_load_report_reader(configuration.settings)
        self.servers = Servers(self.exchange, limits, settings.resend_ms, self._budget, load_reports)
        self.servers.limit(configuration.limits.sockets)
        self.exchange.attach_servers(self.servers)
        self.discovery = Discovery(
            self.scheduler,
            configuration.discovery,
            configuration.known.rev,
            self._on_discovery_event,
            self._budget,
            random.Random(int(configuration.seed, 16)),
        )
        self._predecessor: PredecessorStream | None = None
        self.exchange.attach_other_process(self._announce_abandoned)
        self._shutdown = Shutdown(max(c.deadline_ms for c in settings.classes))
        self._successor = Successor(self.scheduler, self._budget, configuration.listen)
        self._done = asyncio.Event()
        self._listening = False
        self._admin = Admin(self)
        self._fleet_view: FleetView | None = None
        self._extensions: list[Extension] = [create(self) for create in factories]

    async def run(self) -> None:
        """Serve until the shutdown has finished, and drain the extensions."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._terminate)
        loop.add_signal_handler(signal.SIGINT, self._terminate)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        signals.unblock()
        self.scheduler.begin_iteration()
        self.servers.update_endpoints(True, apply_events(self.configuration.known.events))
        for extension in self._extensions:
            await extension.start()
        self.discovery.start()
        host, port = parse_address(self.configuration.listen)
        if self._serving and is_port_in_use(host, port):
            await self._watch_predecessor(host, port)
        if self._serving:
            self._callers.listen(host, port)
            self._listening = True
            LOG.info("%s listens on %s", self.configuration.name, self.configuration.listen)
        if self.configuration.admin and self._serving:
            await self._admin.listen(self.configuration.admin)
            LOG.info("admin address is %s", self.configuration.admin)
        await self._done.wait()
        self._admin.close()
        remaining_s = self._shutdown.remaining_ms(self.scheduler.now_ms) / 1000
        await self._successor.close(min(SUCCESSOR_TIMEOUT_S, remaining_s))
        for extension in self._extensions:
            self.scheduler.begin_iteration()
            await extension.drain(self._shutdown.remaining_ms(self.scheduler.now_ms) / 1000)

    async def _watch_predecessor(self, host: str, port: int) -> None:
        """Renew the server connections when the process that listens at this address has ended.

        Call servers then send the releases again that the old process has left unconfirmed.
        """
        self.scheduler.call_later(PREDECESSOR_END_MS, self.servers.renew_connections)
        self._predecessor = PredecessorStream(
            self.scheduler,
            self._budget,
            self._on_predecessor_ended,
            self.exchange.on_abandoned_elsewhere,
        )
        await self._predecessor.connect(host, port)
        self.scheduler.begin_iteration()

    def _announce_abandoned(self, call_id: str) -> None:
        """Tell the processes before and after this one at its address of an abandoned call."""
        self._callers.announce_abandoned(call_id)
        if self._predecessor is not None:
            self._predecessor.announce_abandoned(call_id)

    def _on_predecessor_ended(self) -> None:
        self.scheduler.call_later(END_DETECTION_MS, self.servers.renew_connections)

    # -------------------------------------------------------------------------------- ExtensionContext

    def set_fleet_view(self, fleet_view: FleetView) -> None:
        """See ``ExtensionContext``."""
        self._fleet_view = fleet_view

    def fleet_size(self) -> int:
        """See ``ExtensionContext``."""
        return 0 if self._fleet_view is None else self._fleet_view.size()

    def fleet_set_up_fraction(self) -> float | None:
        """See ``ExtensionContext``."""
        return None if self._fleet_view is None else self._fleet_view.set_up_fraction()

    def _budget_delay(self, call: api.Call, attempt: int, server_id: str, take: bool) -> float:
        if self._fleet_view is None:
            return 0.0
        return self._fleet_view.budget_delay(call, attempt, server_id, take)

    def _accepts_callers(self) -> bool:
        return self._serving and all(extension.is_ready() for extension in self._extensions)

    @property
    def _serving(self) -> bool:
        return self._shutdown.phase is Phase.SERVING

    # -------------------------------------------------------------------------------- AdminCommands

    def ready(self) -> bool:
        """See ``AdminCommands``."""
        return self._listening and self._callers.takes_callers

    def metric_lines(self) -> list[str]:
        """See ``AdminCommands``; a call is in flight from its set-up until it is rejected or has ended."""
        in_flight = self.exchange.open_calls + self.exchange.established_calls
        return self.counters.metric_lines(in_flight, *self.servers.known_and_excluded())

    def quiesce(self) -> None:
        """See ``AdminCommands``."""
        self.scheduler.begin_iteration()
        self._callers.quiesce()

    def resume(self) -> None:
        """See ``AdminCommands``."""
        self.scheduler.begin_iteration()
        self._callers.resume()

    def print_counters(self) -> None:
        """Print the counters to standard error."""
        for extension in self._extensions:
            extension.export_metrics()
        for line in self.counters.lines():
            print(line, file=sys.stderr, flush=True)

    def _on_discovery_event(self, event: DiscoveryEvent) -> None:
        if event.pool is not None:
            self.servers.update_endpoints(event.pool.reset, event.pool.instances)
        for extension in self._extensions:
            extension.on_discovery_event(event)

    def _reload(self) -> None:
        """Read the configuration again, on SIGHUP, and apply the address of discovery and the limits.

        Other changes are logged and take effect at the next start.  An invalid file changes nothing.
        """
        self.scheduler.begin_iteration()
        try:
            reloaded = self._reread_configuration()
            read_connection_limits(reloaded.settings)
            read_request_bounds(read_settings(reloaded.settings), reloaded.settings)
            read_load_report_reader(reloaded.settings)
        except (ConfigurationError, api.SettingsError) as error:
            LOG.warning("configuration not reloaded, the previous one stays in effect: %s", one_line(error))
            return
        deferred = [
            name for name in APPLIED_AT_START if getattr(reloaded, name) != getattr(self.configuration, name)
        ]
        deferred_text = f"; in effect from the next start: {', '.join(deferred)}" if deferred else ""
        LOG.info("configuration reloaded%s", deferred_text)
        for name in deferred:  # so that the next reload logs it again
            setattr(reloaded, name, getattr(self.configuration, name))
        self.configuration = reloaded
        self._callers.limit(reloaded.limits.sockets)
        self.servers.limit(reloaded.limits.sockets)
        self.exchange.set_memory_limit(reloaded.limits.memory_mb * MIB)
        self._budget.limit(reloaded.limits.memory_mb * MIB)
        self.discovery.move_to(reloaded.discovery)
        for extension in self._extensions:
            extension.on_configuration_reloaded()

    def _terminate(self) -> None:
        """Begin a graceful shutdown (see ``runtime.shutdown``), on SIGTERM and SIGINT."""
        self.scheduler.begin_iteration()
        if self._shutdown.begin(self.scheduler.now_ms):
            LOG.info("shutdown requested")
            self._schedule_shutdown_check()

    def _schedule_shutdown_check(self) -> None:
        self.scheduler.call_later(self._shutdown.next_check_ms(self.scheduler.now_ms), self._advance_shutdown)

    def _advance_shutdown(self) -> None:
        """Advance the shutdown, act on a new phase, and schedule the next check unless it has stopped."""
        before, now_ms = self._shutdown.phase, self.scheduler.now_ms
        if before is Phase.DRAINING and self._shutdown.is_out_of_time(now_ms):
            self.exchange.fail_all()
        unsettled = self._settle_calls() if before is Phase.DRAINING else []
        phase = self._shutdown.advance(
            now_ms,
            open_calls=self.exchange.open_calls,
            unsent=self._callers.unsent(),
            connections=len(self._callers.streams),
            unsettled=len(unsettled),
        )
        if phase is not before:
            match phase:
                case Phase.DRAINING:
                    self._callers.stop_listening()
                case Phase.DISCONNECTING:
                    if unsettled:
                        ids = " ".join(unsettled[:MAX_LOGGED_CALLS])
                        LOG.warning(
                            "%d failed calls may still be released by a server: %s", len(unsettled), ids
                        )
                    self.servers.disconnect()
                    self._callers.disconnect()
                case Phase.STOPPED:
                    self._done.set()
        if phase is not Phase.STOPPED:
            self._schedule_shutdown_check()

    def _settle_calls(self) -> list[str]:
        """Pass the releases of unsettled calls on to the successor; returns the calls that stay unsettled.

        Unsettled calls are failed calls that a server may still release, to the next process if this one has
        ended.  By now only the successor listens at this address.  If calls are established but no caller is
        connected, the shutdown waits for no call: servers then release the established ones to the next
        process, and not to this one, which could not pass their releases on.
        """
        self._successor.release(self.servers.unsettled_calls())
        if self.exchange.established_calls and not self._callers.streams:
            return []
        attempts = self.servers.unsettled_attempts()
        return [call_id for call_id in attempts if not self._successor.has_confirmed(call_id)]


def serve() -> int:
    """Run the program, configured by the environment, and return the exit status.

    An invalid configuration is reported in one line on standard error, with exit status 2.
    """
    signals.block()
    try:
        structured_logging.configure(os.environ.get("CANVASPLANK_LOG", "human"))
        factories = load_enabled_extensions(os.environ)
        with asyncio.Runner(loop_factory=PipeEventLoop) as runner:
            runner.run(_serve(_configuration(), factories))
    except (ConfigurationError, api.SettingsError, OSError, ValueError) as error:
        print(f"canvasplank: {one_line(error)}", file=sys.stderr)
        return 2
    return 0


def _configuration() -> Configuration:
    configuration = load_configuration(os.environ.get("EDGE_CONFIG", ""))
    configuration.listen = os.environ.get("EDGE_LISTEN", configuration.listen)
    configuration.name = os.environ.get("EDGE_NAME", configuration.name)
    configuration.admin = os.environ.get("EDGE_ADMIN", configuration.admin)
    for address in (configuration.listen, configuration.admin or "any:0"):
        try:
            parse_address(address)
        except ValueError as error:
            raise ConfigurationError(f"configuration: {error}") from None
    return configuration


def one_line(error: Exception) -> str:
    """Returns the message of an error as one line."""
    return " ".join(str(error).split())


async def _serve(configuration: Configuration, factories: list[ExtensionFactory]) -> None:
    program = Program(configuration, _configuration, factories)
    gc.freeze()  # objects created at the start are permanent: garbage collections need not traverse them
    with contextlib.suppress(asyncio.CancelledError):
        await program.run()
    program.print_counters()
    signals.block()  # a signal that arrives from now on must not change the exit status
