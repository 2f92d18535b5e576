"""Runs one scenario: processes of the program between a front, callers, call servers and discovery."""

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
from experiments.soak.proxies import ProxyProcess, own_host
from experiments.soak.scenario import CALLS_PER_S, LOAD_S, PROXIES, SERVERS, Disturbance, Kind, Scenario
from experiments.soak.silent_callers import SilentCallers
from verification.call_trace import CallTrace, Disturbed, ServerEvent, Told

MS_PER_S = 1000.0
LATENESS_INTERVAL_S = 0.01
HELD_INTERVAL_S = 0.05
SERVER_CAPACITY_PER_S, HOLD_MS = 60.0, 1500.0
DRAIN_S = 4.8  # longer than a drained process may take
SERVER_DRAIN_S = 2.0
CROWD_CONNECTIONS, CROWD_CALLS_PER_S, CROWD_S = 80, 120.0, 1.0
SILENT_CONNECTIONS = 20  # that come at a time, at each address: the limit of connections is reached in 2 s
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
DISCOVERY_LATE_S = 7.0  # a notification counts as received so late at the latest
SETTLE_S = 6.0  # for calls that are open at the end of the load
LAST_RELEASES_S = 1.5
RECOVERY_S = 1.5  # after a disturbance, for connections to come up
SPOILED_INTERVAL_S = (1.1, 1.8)  # between two messages that cannot be read
SPOILED_SOON_PROBABILITY, SPOILED_SOON_S = 0.25, (0.02, 0.3)  # the next comes as its successor is new
SPOILED_ANSWER_PROBABILITY = 0.3  # such a message takes the place of an answer
SPOILED_OLDEST_PROBABILITY = 0.3  # else it goes to the server's oldest connection, and not to its newest
MUTED_FIRST_PROBABILITY = 0.4  # the server's side hangs before: its connections are replaced and stay open
MUTED_S = (0.7, 1.0)  # longer than a proxy waits before it replaces one that hangs
END_NOTICED_S = (0.0, 0.3)  # so late a server notices the ends of connections meanwhile
LAST_WRITES_S = 0.1  # what a process writes so shortly before its end may be reset with its connections
IDLE_S = 0.6  # for connections to end once callers have gone


class Server:
    """One call server with a link for each proxy, by which it knows them, and its entries in their lists."""

    def __init__(self, name: str, cell: int, trace: CallTrace) -> None:
        self.name, self.cell = name, cell
        self.emulator = CallServer(name, SERVER_CAPACITY_PER_S, HOLD_MS)
        self.observer = ServerObserver(name, trace)
        self.links: list[ObservedLink] = []  # by proxy
        self.lifecycle = "ready"
        self._trace = trace
        self._noted = False  # what its emulator saw
        self._muted: list[tuple[float, float]] = []  # from and until when its link held back what it wrote

    async def start(self) -> None:
        """Listen, and have its links listen."""
        await self.emulator.start()
        for proxy in range(PROXIES):
            link = ObservedLink(await self.emulator.address_for(f"p{proxy}"), self.observer)
            await link.start()
            self.links.append(link)

    async def stop(self) -> None:
        """End its process: connections are reset, and its calls are cut."""
        self.stop_observing()
        self.observer.on_server_gone()
        await self.emulator.stop()
        for link in self.links:
            await link.stop()

    def stop_observing(self) -> None:
        """At the end of the run or of the server: see ``ServerObserver.close``."""
        for link in self.links:
            self.observer.close(link.observed)
        if not self._noted:
            self._noted = True
            self._note_what_it_saw()

    def _note_what_it_saw(self) -> None:
        """Its releases, and the events on its connections."""
        last_s = time.time() - LAST_WRITES_S
        self.observer.note_written_releases(
            self.emulator.released_at_s, lambda at_s: at_s > last_s or self.is_disturbed(at_s)
        )
        for each in self.emulator.events:
            text = f"connection {each.connection}: {each.text}"
            self._trace.server_events.append(ServerEvent(self.name, each.at_s, text, each.call_id))

    async def mute(self, for_s: float) -> None:
        """Hold back what it writes, on all its connections, and let it pass then."""
        from_s = time.time()
        self.cut("back")
        await asyncio.sleep(for_s)
        self.heal()
        self._muted.append((from_s, time.time() + LAST_WRITES_S))

    def cut(self, *ways: str) -> None:
        """Hold back one direction of all its links, or both: see ``Link``."""
        for link in self.links:
            link.cut(*ways)

    def heal(self) -> None:
        """Let both directions of all its links pass again."""
        for link in self.links:
            link.heal()

    def is_disturbed(self, at_s: float) -> bool:
        """Whether its link holds back or loses what is written at this time."""
        disturbed = [
            (each.from_s, each.until_s) for each in self._trace.disturbed if each.server == self.name
        ]
        return any(from_s - LAST_WRITES_S <= at_s <= until_s for from_s, until_s in disturbed + self._muted)

    def entry(self, proxy: int) -> dict[str, Any]:
        """Its entry in the list that this proxy gets."""
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
    """One run of a scenario; ``run`` gives what the peers saw."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self._scenario, self._folder = scenario, folder
        settings = service_settings(PROXIES, SERVERS, HOLD_MS)
        self._settings = settings
        self.trace = CallTrace(
            release_wait_s=settings["family_info"]["clear_wait_ms"] / MS_PER_S,
            drain_grace_s=settings["rules"]["stop_sending_within_ms"] / MS_PER_S,
        )
        self._servers = [Server(f"s{number}", number, self.trace) for number in range(SERVERS)]
        self._discoveries = [Discovery() for _ in range(PROXIES)]  # by proxy
        self._discovery_links: list[list[Link]] = []  # by proxy: the second takes over on a reload
        self._discovery_in_use = 0  # which of them
        self._discovery_troubled_s = 0.0  # until then
        self._addresses = [f"{own_host()}:{free_port()}" for _ in range(PROXIES)]
        self._proxies: list[list[ProxyProcess]] = [[] for _ in range(PROXIES)]  # by address, the newest last
        self._callers = SoakCallers(scenario.seed, self.trace, self._admitted, self._is_serving)
        self._silent_callers = SilentCallers(scenario.seed, self._admitted)
        self._tasks = Tasks()
        self._disturbances: list[asyncio.Task[None]] = []

    async def run(self) -> CallTrace:
        """Play the scenario, end all processes, and give the trace."""
        self._tasks.keep(self._measure_lateness())
        await self._start()
        start_s = time.time()
        self._disturbances = [
            self._tasks.keep(self._disturb(each, start_s)) for each in self._scenario.disturbances
        ]
        load = [self._callers.offer(CALLS_PER_S, LOAD_S)]
        if self._scenario.crowd_at_s is not None:
            load.append(self._crowd(self._scenario.crowd_at_s))
        if self._scenario.silent_crowd_at_s is not None:
            load.append(self._silent_crowd(self._scenario.silent_crowd_at_s))
        await asyncio.gather(*load)
        await asyncio.gather(*self._disturbances)
        await self._callers.settle(SETTLE_S)
        await asyncio.sleep(LAST_RELEASES_S)
        await self._finish()
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
        await self._tell(self._servers, complete=True)
        starting = [await self._start_process(index) for index in range(PROXIES)]
        for process in starting:
            await process.until_ready()
            process.life.first_usage = process.usage()
        self._tasks.keep(self._watch_connections())

    async def _finish(self) -> None:
        await self._callers.close()
        self._silent_callers.close()
        await asyncio.sleep(IDLE_S)
        self.trace.ended_s = time.time()
        for server in self._servers:
            server.stop_observing()
        for process in self._running():
            process.life.last_usage = process.usage()
        await asyncio.gather(*(process.terminate() for process in self._running()))
        await self._tasks.end()
        for server in self._servers:
            await server.stop()
        for link in itertools.chain.from_iterable(self._discovery_links):
            await link.stop()
        for discovery in self._discoveries:
            await discovery.stop()
        for process in [each for processes in self._proxies for each in processes]:
            process.read_end()

    async def abandon(self) -> None:
        """Kill whatever still runs, after an error."""
        for process in self._running():
            process.signal(signal.SIGKILL)
        await self._tasks.end()

    # ------------------------------------------------------------------------------------ the front

    def _running(self) -> list[ProxyProcess]:
        return [process for processes in self._proxies for process in processes if process.running]

    def _admitted(self) -> list[str]:
        """The addresses that new connections go to."""
        return [
            address
            for address, processes in zip(self._addresses, self._proxies, strict=True)
            if any(process.admits for process in processes)
        ]

    def _is_serving(self, address: str) -> bool:
        processes = self._proxies[self._addresses.index(address)]
        return any(process.takes_connections for process in processes)

    async def _watch_connections(self) -> None:
        """Note which connections each drained process holds, by callers' connections to its address."""
        while True:
            now_s = time.time()
            for address, processes in zip(self._addresses, self._proxies, strict=True):
                draining = [process for process in processes if process.drain_from_s is not None]
                running = len([process for process in processes if process.running])
                kept = any(connection.address == address for connection in self._callers.connections)
                if running > 1 or (running and not kept):
                    self.trace.unconnected_s.append(now_s)
                if draining and running == 1:
                    self.trace.held += self._callers.held(address, draining[0].name, now_s)
            self._callers.close_idle()
            await asyncio.sleep(HELD_INTERVAL_S)

    # ------------------------------------------------------------------------------------ processes

    async def _start_process(self, index: int) -> ProxyProcess:
        name = f"p{index}.{len(self._proxies[index])}"
        process = ProxyProcess(name, self._addresses[index], self._folder, self.trace)
        process.write_configuration(self._configuration(index))
        self._proxies[index].append(process)
        await process.start()
        self._tasks.keep(process.watch())
        return process

    def _configuration(self, index: int) -> dict[str, Any]:
        return example_configuration() | {
            "seed": f"{1000 * self._scenario.seed + index:016x}",
            "board": self._discovery_links[index][self._discovery_in_use].address,
            "settings": self._settings,
            "limits": LIMITS,
            "known": self._discoveries[index].known(),
        }

    async def _restart(self, index: int, *signals: signal.Signals) -> ProxyProcess:
        """End the process with these signals, SIGTERM among them, and start another."""
        process = self._proxies[index][-1]
        for number in signals:
            process.signal(number)
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

    async def _crowd(self, at_s: float) -> None:
        await asyncio.sleep(at_s)
        await self._callers.crowd(CROWD_CONNECTIONS, CROWD_CALLS_PER_S, CROWD_S)

    async def _silent_crowd(self, at_s: float) -> None:
        await asyncio.sleep(at_s)
        await self._silent_callers.come(SILENT_CONNECTIONS, LOAD_S - at_s)

    async def _disturb(self, disturbance: Disturbance, start_s: float) -> None:
        await asyncio.sleep(max(0.0, start_s + disturbance.at_s - time.time()))
        await self._action(disturbance)()

    def _action(self, disturbance: Disturbance) -> Callable[[], Awaitable[object]]:
        index, for_s = disturbance.target, disturbance.for_s
        actions: dict[Kind, Callable[[], Awaitable[object]]] = {
            Kind.RESTART: lambda: self._restart(index, signal.SIGTERM),
            Kind.TWO_SIGTERMS: lambda: self._restart(index, signal.SIGTERM, signal.SIGTERM),
            Kind.RELOAD_AND_RESTART: lambda: self._restart(index, signal.SIGHUP, signal.SIGTERM),
            Kind.RELOAD_DURING_START: lambda: self._restart_with_reload(index),
            Kind.UPGRADE: lambda: self._upgrade(index),
            Kind.DRAIN: lambda: self._drain(index, twice=False),
            Kind.DRAIN_TWICE: lambda: self._drain(index, twice=True),
            Kind.RELOAD: self._reload,
            Kind.DISCOVERY_STALLS: lambda: self._trouble_discovery("stalled", for_s),
            Kind.DISCOVERY_CLOSES: lambda: self._trouble_discovery("in_trouble", for_s),
            Kind.SERVER_HANGS: lambda: self._hang(self._servers[index], for_s),
            Kind.CONNECTIONS_RESET: lambda: self._reset(self._servers[index]),
            Kind.SERVER_DRAINS: lambda: self._drain_server(self._servers[index]),
            Kind.SERVER_REPLACED: lambda: self._replace_server(index),
            Kind.CONNECTIONS_SPOILED: lambda: self._spoil(self._servers[index], for_s),
        }
        return actions[disturbance.kind]

    async def _restart_with_reload(self, index: int) -> None:
        process = await self._restart(index, signal.SIGTERM)
        await process.until_signals_held()
        for _ in range(10):
            process.signal(signal.SIGHUP)
            await asyncio.sleep(0.03)

    async def _upgrade(self, index: int) -> None:
        old = self._proxies[index][-1]
        new = await self._start_process(index)
        await new.until_ready()
        await old.terminate()

    async def _reload(self) -> None:
        """Service discovery moves, and the old address goes silent."""
        self._discovery_in_use = 1
        for index, processes in enumerate(self._proxies):
            processes[-1].write_configuration(self._configuration(index))
            processes[-1].signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        for links in self._discovery_links:
            links[0].cut()
        self._discovery_troubled_s = time.time() + DISCOVERY_LATE_S

    async def _trouble_discovery(self, switch: str, for_s: float) -> None:
        self._discovery_troubled_s = time.time() + for_s + DISCOVERY_LATE_S
        for discovery in self._discoveries:
            setattr(discovery, switch, True)
        for link in itertools.chain.from_iterable(self._discovery_links):
            link.reset()
        await asyncio.sleep(for_s)
        for discovery in self._discoveries:
            setattr(discovery, switch, False)

    async def _hang(self, server: Server, for_s: float) -> None:
        self._note_disturbed(server, for_s + RECOVERY_S)
        server.cut()
        await asyncio.sleep(for_s)
        server.heal()

    async def _reset(self, server: Server) -> None:
        self._note_disturbed(server, RECOVERY_S)
        for link in server.links:
            link.reset()

    async def _spoil(self, server: Server, for_s: float) -> None:
        """Spoil its connections, in some runs after proxies have replaced those and keep them open."""
        rng, until_s = random.Random(f"muted first {self._scenario.seed}"), time.time() + for_s
        if rng.random() < MUTED_FIRST_PROBABILITY:
            await server.mute(rng.uniform(*MUTED_S))
            server.emulator.notices_end_after_s = rng.uniform(*END_NOTICED_S)
            server.emulator.spoil(rng.choice(list(UnreadableKind)), newest=False)
            await asyncio.sleep(rng.uniform(*SPOILED_INTERVAL_S))
        await self._spoil_now_and_then(server.emulator, until_s)

    async def _spoil_now_and_then(self, server: CallServer, until_s: float) -> None:
        """Write messages that cannot be read, and notice ends late meanwhile."""
        rng = random.Random(self._scenario.seed)
        while time.time() < until_s:
            server.notices_end_after_s = rng.uniform(*END_NOTICED_S)
            kind = rng.choice(list(UnreadableKind))
            if rng.random() < SPOILED_ANSWER_PROBABILITY:
                server.spoil_next_answer(kind)
            else:
                server.spoil(kind, newest=rng.random() >= SPOILED_OLDEST_PROBABILITY)
            soon = rng.random() < SPOILED_SOON_PROBABILITY
            await asyncio.sleep(rng.uniform(*(SPOILED_SOON_S if soon else SPOILED_INTERVAL_S)))
        server.notices_end_after_s = 0.0

    def _note_disturbed(self, server: Server, for_s: float) -> None:
        now_s = time.time()
        self.trace.disturbed.append(Disturbed(server.name, now_s, now_s + for_s))

    async def _drain_server(self, server: Server) -> None:
        await self._tell_drained(server, "draining", SERVER_DRAIN_S)
        await asyncio.sleep(SERVER_DRAIN_S)
        server.lifecycle = "ready"
        await self._tell([server])

    async def _replace_server(self, index: int) -> None:
        old = self._servers[index]
        await self._tell_drained(old, "draining", float("inf"))
        await asyncio.sleep(SERVER_DRAIN_S)
        new = Server(f"s{index}.1", old.cell, self.trace)
        await new.start()
        new.emulator.started_ms = time.time() * MS_PER_S
        self._servers.append(new)
        await self._tell([new])
        old.lifecycle = "gone"
        await self._tell([old])
        await asyncio.sleep(0.3)
        await old.stop()

    async def _tell_drained(self, server: Server, lifecycle: str, for_s: float) -> None:
        server.lifecycle = lifecycle
        await self._tell([server])
        now_s = time.time()
        late_s = DISCOVERY_LATE_S if now_s < self._discovery_troubled_s else 0.0
        self.trace.told.append(Told(server.name, now_s + late_s, now_s + for_s))

    async def _tell(self, servers: list[Server], *, complete: bool = False) -> None:
        for proxy, discovery in enumerate(self._discoveries):
            entries = [server.entry(proxy) for server in servers]
            await discovery.tell({"generation": 1, "reset": complete, "instances": entries})

    async def _measure_lateness(self) -> None:
        """How late this process's own loop wakes: what it notes is no more exact than that."""
        while True:
            slept_s = time.monotonic()
            await asyncio.sleep(LATENESS_INTERVAL_S)
            late_s = time.monotonic() - slept_s - LATENESS_INTERVAL_S
            self.trace.max_lateness_s = max(self.trace.max_lateness_s, late_s)


async def play(scenario: Scenario, folder: Path) -> CallTrace:
    """Play one scenario; logs and settings files go into the folder."""
    deployment = Deployment(scenario, folder)
    try:
        return await deployment.run()
    except BaseException:
        await deployment.abandon()
        raise


def run(scenario: Scenario) -> CallTrace:
    """Play one scenario in a loop of its own."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        return asyncio.run(play(scenario, Path(folder)))
