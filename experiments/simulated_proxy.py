"""A simulated proxy: the program's own decision modules, with the actions executed on the models."""

from __future__ import annotations

import random
from functools import partial
from typing import Protocol

from canvasplank import interface as api
from canvasplank.cold_start.extension import ColdStartSettings
from canvasplank.cold_start.poll_backoff import INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, PollBackoff
from canvasplank.cold_start.rendezvous_subset import RendezvousSubset
from canvasplank.config.discovery_events import Endpoint, to_server
from canvasplank.policy import Controller
from experiments.observations import MS_PER_S, Observations
from experiments.plan import FaultKind
from experiments.simulated_environment import (
    ONE_WAY_DELAY_MS,
    EventClock,
    SimulatedDiscovery,
    SimulatedServer,
)

STALLED_POLL_TIMEOUT_MS = 1500.0  # for a poll without an answer
REFUSED, FAILED, SERVED, OPEN = "refused", "failed", "served", "open"


class SimulatedFleet(Protocol):
    """The parts of a simulation that its proxies use."""

    clock: EventClock
    discovery: SimulatedDiscovery
    servers: dict[str, SimulatedServer]
    observations: Observations

    def endpoints(self) -> list[Endpoint]:
        """Return the current endpoint list of service discovery."""

    def on_ready(self, proxy: SimulatedProxy) -> None:
        """Mark this proxy as ready for calls."""

    def end_call(self, call_id: str, outcome: str) -> None:
        """Record the final answer of a call."""


class DoublingBackoff:
    """The poll backoff without cold-start settings: delays that double, without jitter."""

    def __init__(self) -> None:
        self._next_ms = INITIAL_BACKOFF_MS

    def initial_delay(self) -> float:
        """Return 0 ms: a proxy polls as soon as it starts."""
        return 0.0

    def retry_delay(self, now_ms: float = 0.0, retry_after_ms: float = 0.0) -> float:
        """Return the delay in ms before the next poll; both arguments are ignored."""
        delay_ms, self._next_ms = self._next_ms, min(MAX_BACKOFF_MS, 2 * self._next_ms)
        return delay_ms


class SimulatedProxy:
    """One proxy with the program's controller, poll backoff and endpoint subset."""

    def __init__(
        self,
        fleet: SimulatedFleet,
        number: int,
        settings: api.Settings,
        cold_start: ColdStartSettings | None,
        seed: int,
    ) -> None:
        self._fleet, self._clock = fleet, fleet.clock
        self._rng = random.Random(seed * 100_003 + number)
        self._cold_start, self._proxy_count = cold_start, settings.instances
        self._controller = Controller(settings, self._rng.getrandbits(32))
        self._attempts: dict[str, int] = {}
        self._open_attempts: dict[str, int] = {}  # by call: its attempt that has not ended
        if cold_start is None or not cold_start.polls_per_s:
            self._backoff: PollBackoff | DoublingBackoff = DoublingBackoff()
        else:
            first_per_s = cold_start.first_per_s or cold_start.polls_per_s
            self._backoff = PollBackoff(
                lambda: self._proxy_count, cold_start.polls_per_s, first_per_s, self._rng
            )
        self._subset = RendezvousSubset(
            f"n{number}", (None,), cold_start.servers_per_proxy if cold_start else 0, lambda _: False
        )
        self._connected: set[str] = set()
        self._server_by_call: dict[str, str] = {}  # the server of each call's latest attempt

    def start(self) -> None:
        """Start polling; the proxy is ready at once or, with ``ready_with_list``, with its first list."""
        self._fleet.observations.started_at_s.append(self._clock.now_ms / MS_PER_S)
        if self._cold_start is None or not self._cold_start.ready_with_list:
            self._fleet.on_ready(self)
        self._clock.call_later(self._backoff.initial_delay(), self._poll)

    def _poll(self) -> None:
        fault = self._fleet.discovery.poll(self._clock.now_ms / MS_PER_S)
        if fault is None:
            self._clock.call_later(2 * ONE_WAY_DELAY_MS, self._on_list)
            return
        retry_after_ms = fault.retry_after_s * MS_PER_S if fault.kind is FaultKind.DISCOVERY_BUSY else 0.0
        timeout_ms = STALLED_POLL_TIMEOUT_MS if fault.kind is FaultKind.DISCOVERY_STALLS else 0.0
        self._clock.call_later(
            timeout_ms + self._backoff.retry_delay(self._clock.now_ms, retry_after_ms), self._poll
        )

    def _on_list(self) -> None:
        selected = self._subset.select(True, self._fleet.endpoints())
        if self._cold_start is not None and self._cold_start.ready_with_list:
            self._fleet.on_ready(self)
        for endpoint in selected:
            per_s = self._cold_start.connections_per_s if self._cold_start else 0.0
            spread_ms = self._rng.uniform(0.0, MS_PER_S * self._proxy_count / per_s) if per_s else 0.0
            self._clock.call_later(spread_ms, partial(self._connect, endpoint.instance_id))
        self._handle(api.ServerList(api.ListKind.COMPLETE, tuple(self._to_server(each) for each in selected)))

    def _to_server(self, endpoint: Endpoint) -> api.Server:
        server = to_server(endpoint)
        senders = self._subset.senders(server.pool, self._proxy_count)
        initial_per_s = self._cold_start.initial_rate_per_s if self._cold_start else 0.0
        return api.Server(
            server.id,
            server.pool,
            server.state,
            server.started_ms,
            senders,
            initial_per_s / (senders or self._proxy_count) if initial_per_s else None,
        )

    def _connect(self, name: str) -> None:
        if name not in self._connected:
            self._connected.add(name)
            self._fleet.servers[name].connected_at_s.append(self._clock.now_ms / MS_PER_S)

    def call(self, call: api.Call) -> None:
        """Process the set-up of a caller."""
        self._handle(call)

    def _handle(self, event: api.Event) -> None:
        for action in self._controller.handle(self._clock.now_ms, event):
            match action:
                case api.SetTimer(after_ms, token):
                    self._clock.call_later(after_ms, partial(self._handle, api.TimerFired(token)))
                case api.SetUp(call_id, server_id, _):
                    self._send(call_id, server_id)
                case api.Cancel(call_id, attempt):
                    self._clock.call_later(
                        0.0,
                        partial(self._on_attempt_ended, call_id, attempt, api.Outcome.CANCELLED),
                    )
                case api.Refuse(call_id, _):
                    self._fleet.end_call(call_id, REFUSED)
                case api.Fail(call_id):
                    self._fleet.end_call(call_id, FAILED)

    def _send(self, call_id: str, server_id: str) -> None:
        self._connect(server_id)
        attempt = self._attempts[call_id] = self._attempts.get(call_id, -1) + 1
        self._open_attempts[call_id] = attempt
        self._server_by_call[call_id] = server_id
        sent_ms = self._clock.now_ms
        server = self._fleet.servers[server_id]

        def on_answer(accepted: bool) -> None:
            if not accepted:
                self._on_attempt_ended(call_id, attempt, api.Outcome.FULL)
            # An answer to an attempt that was given up is dropped.
            elif self._open_attempts.pop(call_id, None) == attempt:
                self._fleet.end_call(call_id, SERVED)
                self._handle(api.Established(call_id, attempt, server_id, self._clock.now_ms - sent_ms))
                self._clock.call_later(
                    server.hold_ms,
                    lambda: self._handle(
                        api.AttemptEnded(call_id, attempt, server_id, api.Outcome.ENDED, finished=True)
                    ),
                )

        self._clock.call_later(ONE_WAY_DELAY_MS, lambda: server.enqueue_set_up(on_answer))

    def _on_attempt_ended(self, call_id: str, attempt: int, outcome: api.Outcome) -> None:
        """Pass a failed attempt to the controller unless the attempt has ended already."""
        if self._open_attempts.get(call_id) == attempt:
            del self._open_attempts[call_id]
            self._handle(
                api.AttemptEnded(
                    call_id,
                    attempt,
                    self._server_by_call[call_id],
                    outcome,
                    finished=False,
                    processor_full=outcome is api.Outcome.FULL,
                )
            )
