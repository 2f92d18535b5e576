"""Runs a soak scenario: proxy processes between a front, callers, call servers and service discovery."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from emulators.discovery import Discovery
from emulators.fleet import example_configuration, free_port, service_settings
from emulators.link import Link
from emulators.server import CallServer
from emulators.tasks import Tasks
from emulators.unreadable_messages import UnreadableKind
from experiments.soak.callers import SoakCallers
from experiments.soak.observed_link import ObservedLink, ServerObserver
from experiments.soak.proxies import ProxyProcess, loopback_host
from experiments.soak.scenario import (
    CALLS_PER_S,
    LOAD_DURATION_S,
    PROXIES,
    SERVERS,
    Disturbance,
    DisturbanceKind,
    Scenario,
)
from experiments.soak.silent_callers import SilentCallers
from verification.call_trace import CallTrace, DisturbedPeriod, DrainNotification, ServerEvent

MS_PER_S = 1000.0
LATENESS_INTERVAL_S = 0.01
DRAIN_CHECK_INTERVAL_S = 0.05
SERVER_CAPACITY_PER_S, HOLD_MS = 60.0, 1500.0
DRAIN_S = 4.8  # longer than a process may take to drain
SERVER_DRAIN_S = 2.0
CROWD_CONNECTIONS, CROWD_CALLS_PER_S, CROWD_S = 80, 120.0, 1.0
SILENT_CONNECTIONS = 20  # per wave and address: they reach the connection limit of a process in 2 s
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
# A notification sent while service discovery is disturbed counts as received after this.
MAX_DISCOVERY_DELAY_S = 7.0
ANSWERS_TIMEOUT_S = 6.0  # for calls that are unanswered when the load ends
LAST_RELEASES_S = 1.5
RECOVERY_S = 1.5  # for connections to be established again after a disturbance
UNREADABLE_INTERVAL_S = (1.1, 1.8)  # between two unreadable messages
# A short interval lets the next message reach the connection that has just replaced the last one.
UNREADABLE_SOON_PROBABILITY, UNREADABLE_SOON_INTERVAL_S = 0.25, (0.02, 0.3)
# An unreadable message replaces an answer with ``UNREADABLE_ANSWER_PROBABILITY``. Any other is sent on the
# server's oldest connection with ``OLDEST_CONNECTION_PROBABILITY``, and otherwise on its newest.
UNREADABLE_ANSWER_PROBABILITY = 0.3
OLDEST_CONNECTION_PROBABILITY = 0.3
# With ``MUTE_PROBABILITY`` the server is muted first, so that proxies replace its connections and keep the
# old ones open.
MUTE_PROBABILITY = 0.4
MUTE_DURATION_S = (0.7, 1.0)  # longer than a proxy waits before it replaces a hung connection
END_NOTICE_DELAY_S = (0.0, 0.3)  # from the end of a connection until a disturbed server notices it
# Data written this shortly before a server's end may be lost as its connections are reset.
LAST_WRITES_S = 0.1
CLOSING_DELAY_S = 0.6  # for connections to end after the callers have closed theirs


class ObservedServer:
    """A call server with an observed link for each proxy; it identifies a proxy by that link."""

    def __init__(self, name: str, cell: int, trace: CallTrace) -> None:
        self.name, self.cell = name, cell
        self.emulator = CallServer(name, SERVER_CAPACITY_PER_S, HOLD_MS)
        self.observer = ServerObserver(name, trace)
        self.links: list[ObservedLink] = []  # by proxy
        self.lifecycle = "ready"
        self._trace = trace
        self._events_recorded = False
        self._muted: list[tuple[float, float]] = []  # start and end of each time its output was held back

    async def start(self) -> None:
        """Start the server and its links."""
        await self.emulator.start()
        for proxy in range(PROXIES):
            link = ObservedLink(await self.emulator.address_for(f"p{proxy}"), self.observer)
            await link.start()
            self.links.append(link)

    async def stop(self) -> None:
        """Stop the server and its links; connections are reset, and the server's calls are cut."""
        self.stop_observing()
        self.observer.on_server_stopped()
        await self.emulator.stop()
        for link in self.links:
            await link.stop()

    def stop_observing(self) -> None:
        """Complete the trace of this server, at the end of the run or of the server."""
        for link in self.links:
            self.observer.finish(link.observed)
        if not self._events_recorded:
            self._events_recorded = True
            self._record_server_events()

    def _record_server_events(self) -> None:
        """Copy the emulator's releases and connection events into the trace."""
        last_s = time.time() - LAST_WRITES_S
        self.observer.record_written_releases(
            self.emulator.released_at_s, lambda at_s: at_s > last_s or self.is_disturbed(at_s)
        )
        for each in self.emulator.events:
            text = f"connection {each.connection}: {each.text}"
            self._trace.server_events.append(ServerEvent(self.name, each.at_s, text, each.call_id))

    async def mute(self, duration_s: float) -> None:
        """Hold back everything the server writes for ``duration_s``, then pass it on."""
        from_s = time.time()
        self.cut("back")
        await asyncio.sleep(duration_s)
        self.heal()
        self._muted.append((from_s, time.time() + LAST_WRITES_S))

    def cut(self, *directions: str) -> None:
        """Hold back data on all links, in these directions of ``Link.cut`` or, without any, in both."""
        for link in self.links:
            link.cut(*directions)

    def heal(self) -> None:
        """Pass data on all links again, in both directions."""
        for link in self.links:
            link.heal()

    def is_disturbed(self, at_s: float) -> bool:
        """Return whether data that the server writes at this time is held back or lost."""
        disturbed = [
            (each.from_s, each.until_s) for each in self._trace.disturbed if each.server == self.name
        ]
        return any(from_s - LAST_WRITES_S <= at_s <= until_s for from_s, until_s in disturbed + self._muted)

    def list_entry(self, proxy: int) -> dict[str, Any]:
        """Return the server's entry in the endpoint list for this proxy."""
        return {
            "instanceId": self.name,
            "hostPort": self.links[proxy].address,
            "zone": "here",
            "machineType": "std",
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": 1,
            "startedAtMs": self.emulator.started_ms,
        }


class Deployment:
    """One run of a scenario, with all processes and emulators."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self._scenario, self._folder = scenario, folder
        settings = service_settings(PROXIES, SERVERS, HOLD_MS)
        self._settings = settings
        self.trace = CallTrace(
            release_wait_s=settings["family_info"]["clear_wait_ms"] / MS_PER_S,
            drain_grace_s=settings["rules"]["stop_sending_within_ms"] / MS_PER_S,
        )
        self._servers = [ObservedServer(f"s{number}", number, self.trace) for number in range(SERVERS)]
        self._discoveries = [Discovery() for _ in range(PROXIES)]  # by proxy
        self._discovery_links: list[list[Link]] = []  # by proxy: the second is used after a reload
        self._discovery_link_index = 0  # of the link in use
        self._discovery_disturbed_until_s = 0.0
        self._addresses = [f"{loopback_host()}:{free_port()}" for _ in range(PROXIES)]
        self._proxies: list[list[ProxyProcess]] = [[] for _ in range(PROXIES)]  # by address, the newest last
        self._callers = SoakCallers(scenario.seed, self.trace, self._admitted_addresses, self._is_serving)
        self._silent_callers = SilentCallers(scenario.seed, self._admitted_addresses)
        self._tasks = Tasks()
        self._disturbances: list[asyncio.Task[None]] = []

    async def run(self) -> CallTrace:
        """Run the scenario, stop all processes, and return the trace."""
        self._tasks.keep(self._measure_lateness())
        await self._start()
        start_s = time.time()
        self._disturbances = [
            self._tasks.keep(self._disturb(each, start_s)) for each in self._scenario.disturbances
        ]
        load = [self._callers.offer(CALLS_PER_S, LOAD_DURATION_S)]
        if self._scenario.crowd_at_s is not None:
            load.append(self._offer_crowd(self._scenario.crowd_at_s))
        if self._scenario.silent_crowd_at_s is not None:
            load.append(self._offer_silent_crowd(self._scenario.silent_crowd_at_s))
        await asyncio.gather(*load)
        await asyncio.gather(*self._disturbances)
        await self._callers.wait_for_answers(ANSWERS_TIMEOUT_S)
        await asyncio.sleep(LAST_RELEASES_S)
        await self._shut_down()
        return self.trace

    async def _start(self) -> None:
        for server in self._servers:
            await server.start()
        for discovery in self._discoveries:
            await discovery.start()
            links = [Link(discovery.address) for _ in range(2)]
            for link in links:
                await link.start()
            self._discovery_links.append(links)
        await self._publish(self._servers, complete=True)
        starting = [await self._start_process(index) for index in range(PROXIES)]
        for process in starting:
            await process.until_ready()
            process.life.first_usage = process.usage()
        self._tasks.keep(self._record_held_connections())

    async def _shut_down(self) -> None:
        await self._callers.close()
        self._silent_callers.close()
        await asyncio.sleep(CLOSING_DELAY_S)
        self.trace.ended_s = time.time()
        for server in self._servers:
            server.stop_observing()
        for process in self._running_processes():
            process.life.last_usage = process.usage()
        await asyncio.gather(*(process.terminate() for process in self._running_processes()))
        await self._tasks.end()
        for server in self._servers:
            await server.stop()
        for link in itertools.chain.from_iterable(self._discovery_links):
            await link.stop()
        for discovery in self._discoveries:
            await discovery.stop()
        for process in [each for processes in self._proxies for each in processes]:
            process.collect_end()

    async def kill_all(self) -> None:
        """Kill the processes that still run, after an error."""
        for process in self._running_processes():
            process.signal(signal.SIGKILL)
        await self._tasks.end()

    # ------------------------------------------------------------------------------------ the front

    def _running_processes(self) -> list[ProxyProcess]:
        return [process for processes in self._proxies for process in processes if process.running]

    def _admitted_addresses(self) -> list[str]:
        """Return the addresses to which the front sends new connections."""
        return [
            address
            for address, processes in zip(self._addresses, self._proxies, strict=True)
            if any(process.is_admitted for process in processes)
        ]

    def _is_serving(self, address: str) -> bool:
        processes = self._proxies[self._addresses.index(address)]
        return any(process.must_accept_connections for process in processes)

    async def _record_held_connections(self) -> None:
        """Record the connections that draining processes hold, and when a process may have none at all.

        A caller's connection belongs to a known process only while one process alone runs at its address.
        """
        while True:
            now_s = time.time()
            for address, processes in zip(self._addresses, self._proxies, strict=True):
                draining = [process for process in processes if process.drain_started_s is not None]
                running = len([process for process in processes if process.running])
                connected = any(connection.address == address for connection in self._callers.connections)
                if running > 1 or (running and not connected):
                    self.trace.no_connection_times_s.append(now_s)
                if draining and running == 1:
                    self.trace.held += self._callers.held_connections(address, draining[0].name, now_s)
            self._callers.close_idle()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    # ------------------------------------------------------------------------------------ processes

    async def _start_process(self, index: int) -> ProxyProcess:
        name = f"p{index}.{len(self._proxies[index])}"
        process = ProxyProcess(name, self._addresses[index], self._folder, self.trace)
        process.write_configuration(self._configuration(index))
        self._proxies[index].append(process)
        await process.start()
        self._tasks.keep(process.poll_readiness())
        return process

    def _configuration(self, index: int) -> dict[str, Any]:
        return example_configuration() | {
            "seed": f"{1000 * self._scenario.seed + index:016x}",
            "board": self._discovery_links[index][self._discovery_link_index].address,
            "settings": self._settings,
            "limits": LIMITS,
            "known": self._discoveries[index].known(),
        }

    async def _restart(self, index: int, *signals: signal.Signals) -> ProxyProcess:
        """End the process with these signals, one of them SIGTERM, and start a new one."""
        process = self._proxies[index][-1]
        for signal_number in signals:
            process.signal(signal_number)
        await process.until_ended()
        return await self._start_process(index)

    async def _drain(self, index: int, *, twice: bool) -> None:
        process = self._proxies[index][-1]
        if twice:
            await process.command("quiesce")
            await process.command("resume")
        await process.command("quiesce")
        process.begin_drain()
        await asyncio.sleep(DRAIN_S)
        if process.running:
            process.end_drain(resumed=True)
            await process.command("resume")

    # ------------------------------------------------------------------------------------ disturbances

    async def _offer_crowd(self, at_s: float) -> None:
        await asyncio.sleep(at_s)
        await self._callers.offer_crowd(CROWD_CONNECTIONS, CROWD_CALLS_PER_S, CROWD_S)

    async def _offer_silent_crowd(self, at_s: float) -> None:
        await asyncio.sleep(at_s)
        await self._silent_callers.connect_in_waves(SILENT_CONNECTIONS, LOAD_DURATION_S - at_s)

    async def _disturb(self, disturbance: Disturbance, start_s: float) -> None:
        await asyncio.sleep(max(0.0, start_s + disturbance.at_s - time.time()))
        await self._action_for(disturbance)()

    def _action_for(self, disturbance: Disturbance) -> Callable[[], Awaitable[object]]:
        index, duration_s = disturbance.target, disturbance.duration_s
        actions: dict[DisturbanceKind, Callable[[], Awaitable[object]]] = {
            DisturbanceKind.RESTART: lambda: self._restart(index, signal.SIGTERM),
            DisturbanceKind.TWO_SIGTERMS: lambda: self._restart(index, signal.SIGTERM, signal.SIGTERM),
            DisturbanceKind.RELOAD_AND_RESTART: lambda: self._restart(index, signal.SIGHUP, signal.SIGTERM),
            DisturbanceKind.RELOAD_DURING_START: lambda: self._restart_with_reload(index),
            DisturbanceKind.UPGRADE: lambda: self._upgrade(index),
            DisturbanceKind.DRAIN: lambda: self._drain(index, twice=False),
            DisturbanceKind.DRAIN_TWICE: lambda: self._drain(index, twice=True),
            DisturbanceKind.RELOAD: self._reload,
            DisturbanceKind.DISCOVERY_STALLS: lambda: self._disturb_discovery("stalled", duration_s),
            DisturbanceKind.DISCOVERY_CLOSES: lambda: self._disturb_discovery(
                "closes_connections", duration_s
            ),
            DisturbanceKind.SERVER_HANGS: lambda: self._hang_server(self._servers[index], duration_s),
            DisturbanceKind.CONNECTIONS_RESET: lambda: self._reset_connections(self._servers[index]),
            DisturbanceKind.SERVER_DRAINS: lambda: self._drain_server(self._servers[index]),
            DisturbanceKind.SERVER_REPLACED: lambda: self._replace_server(index),
            DisturbanceKind.CONNECTIONS_SPOILED: lambda: self._disturb_with_unreadable_messages(
                self._servers[index], duration_s
            ),
        }
        return actions[disturbance.kind]

    async def _restart_with_reload(self, index: int) -> None:
        process = await self._restart(index, signal.SIGTERM)
        await process.until_sighup_handled()
        for _ in range(10):
            process.signal(signal.SIGHUP)
            await asyncio.sleep(0.03)

    async def _upgrade(self, index: int) -> None:
        old = self._proxies[index][-1]
        new = await self._start_process(index)
        await new.until_ready()
        await old.terminate()

    async def _reload(self) -> None:
        """Move service discovery to another address, and hold back everything at the old one."""
        self._discovery_link_index = 1
        for index, processes in enumerate(self._proxies):
            processes[-1].write_configuration(self._configuration(index))
            processes[-1].signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        for links in self._discovery_links:
            links[0].cut()
        self._discovery_disturbed_until_s = time.time() + MAX_DISCOVERY_DELAY_S

    async def _disturb_discovery(self, fault_field: str, duration_s: float) -> None:
        """Reset the connections to service discovery, and enable a fault of it for ``duration_s``."""
        self._discovery_disturbed_until_s = time.time() + duration_s + MAX_DISCOVERY_DELAY_S
        for discovery in self._discoveries:
            setattr(discovery, fault_field, True)
        for link in itertools.chain.from_iterable(self._discovery_links):
            link.reset()
        await asyncio.sleep(duration_s)
        for discovery in self._discoveries:
            setattr(discovery, fault_field, False)

    async def _hang_server(self, server: ObservedServer, duration_s: float) -> None:
        self._record_disturbance(server, duration_s + RECOVERY_S)
        server.cut()
        await asyncio.sleep(duration_s)
        server.heal()

    async def _reset_connections(self, server: ObservedServer) -> None:
        self._record_disturbance(server, RECOVERY_S)
        for link in server.links:
            link.reset()

    async def _disturb_with_unreadable_messages(self, server: ObservedServer, duration_s: float) -> None:
        """Write unreadable messages on the server's connections until ``duration_s`` has passed.

        With ``MUTE_PROBABILITY`` the first one goes to a connection that a proxy has replaced and keeps open.
        """
        rng, until_s = random.Random(f"muted first {self._scenario.seed}"), time.time() + duration_s
        if rng.random() < MUTE_PROBABILITY:
            await server.mute(rng.uniform(*MUTE_DURATION_S))
            server.emulator.end_notice_delay_s = rng.uniform(*END_NOTICE_DELAY_S)
            server.emulator.send_unreadable_message(rng.choice(list(UnreadableKind)), newest=False)
            await asyncio.sleep(rng.uniform(*UNREADABLE_INTERVAL_S))
        await self._send_unreadable_messages(server.emulator, until_s)

    async def _send_unreadable_messages(self, server: CallServer, until_s: float) -> None:
        """Write unreadable messages at random intervals; meanwhile the server notices ends late."""
        rng = random.Random(self._scenario.seed)
        while time.time() < until_s:
            server.end_notice_delay_s = rng.uniform(*END_NOTICE_DELAY_S)
            kind = rng.choice(list(UnreadableKind))
            if rng.random() < UNREADABLE_ANSWER_PROBABILITY:
                server.make_next_answer_unreadable(kind)
            else:
                server.send_unreadable_message(kind, newest=rng.random() >= OLDEST_CONNECTION_PROBABILITY)
            soon = rng.random() < UNREADABLE_SOON_PROBABILITY
            await asyncio.sleep(rng.uniform(*(UNREADABLE_SOON_INTERVAL_S if soon else UNREADABLE_INTERVAL_S)))
        server.end_notice_delay_s = 0.0

    def _record_disturbance(self, server: ObservedServer, duration_s: float) -> None:
        now_s = time.time()
        self.trace.disturbed.append(DisturbedPeriod(server.name, now_s, now_s + duration_s))

    async def _drain_server(self, server: ObservedServer) -> None:
        await self._publish_drain(server, "draining", SERVER_DRAIN_S)
        await asyncio.sleep(SERVER_DRAIN_S)
        server.lifecycle = "ready"
        await self._publish([server])

    async def _replace_server(self, index: int) -> None:
        old = self._servers[index]
        await self._publish_drain(old, "draining", float("inf"))
        await asyncio.sleep(SERVER_DRAIN_S)
        new = ObservedServer(f"s{index}.1", old.cell, self.trace)
        await new.start()
        new.emulator.started_ms = time.time() * MS_PER_S
        self._servers.append(new)
        await self._publish([new])
        old.lifecycle = "gone"
        await self._publish([old])
        await asyncio.sleep(0.3)
        await old.stop()

    async def _publish_drain(self, server: ObservedServer, lifecycle: str, duration_s: float) -> None:
        server.lifecycle = lifecycle
        await self._publish([server])
        now_s = time.time()
        late_s = MAX_DISCOVERY_DELAY_S if now_s < self._discovery_disturbed_until_s else 0.0
        self.trace.drain_notifications.append(
            DrainNotification(server.name, now_s + late_s, now_s + duration_s)
        )

    async def _publish(self, servers: list[ObservedServer], *, complete: bool = False) -> None:
        for proxy, discovery in enumerate(self._discoveries):
            entries = [server.list_entry(proxy) for server in servers]
            await discovery.publish({"generation": 1, "reset": complete, "instances": entries})

    async def _measure_lateness(self) -> None:
        """Record the lag of this process's event loop, which bounds the accuracy of every recorded time."""
        while True:
            sleep_start_s = time.monotonic()
            await asyncio.sleep(LATENESS_INTERVAL_S)
            late_s = time.monotonic() - sleep_start_s - LATENESS_INTERVAL_S
            self.trace.max_lateness_s = max(self.trace.max_lateness_s, late_s)


async def run_in_folder(scenario: Scenario, folder: Path) -> CallTrace:
    """Run one scenario; logs and settings files are written to the folder."""
    deployment = Deployment(scenario, folder)
    try:
        return await deployment.run()
    except BaseException:
        await deployment.kill_all()
        raise


def run(scenario: Scenario) -> CallTrace:
    """Run one scenario in a new event loop and a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        return asyncio.run(run_in_folder(scenario, Path(folder)))
