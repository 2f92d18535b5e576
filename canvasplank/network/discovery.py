"""The client of service discovery (the pages' notice board): a watch, resumed from the last event known."""

from __future__ import annotations

import logging
import random
import re
from collections.abc import Callable
from typing import Protocol

import msgspec

from canvasplank.codecs import sse
from canvasplank.codecs.errors import BadMessageError
from canvasplank.config.discovery_events import DISCOVERY_EVENT_DECODER, DiscoveryEvent
from canvasplank.network.connection_attempt import Backoff, ConnectionAttempt
from canvasplank.network.stream import BufferBudget, Stream
from canvasplank.runtime.scheduler import Scheduler

LOG = logging.getLogger(__name__)
PATH = "/board/poll"
CONNECT_TIMEOUT_MS = 1000.0
# A comment is due every second; what a silent service holds back is not known here.
SILENCE_TIMEOUT_MS = 1500.0
CHECK_INTERVAL_MS = 100.0
# What a service has to tell counts as told 4 s after it moved, and 7 s after it came.  Where one that has
# moved is up and has told no event yet, it is asked again after so long, then after doubling times.
UNCONFIRMED_MOVE_MS, MAX_UNCONFIRMED_MOVE_MS = 3500.0, 60_000.0
UNCONFIRMED_MOVE_JITTER = (0.75, 1.0)  # of that, drawn each time: proxies that moved in one instant ask apart
BACKOFF_MS, MAX_BACKOFF_MS = 50.0, 800.0
EVENT_ID = re.compile(r"[0-9]{1,18}")
MAX_READS = 3  # of one event that cannot be read; it may have come torn


class DiscoveryWatch(Stream):
    """One connection to service discovery."""

    def __init__(self, discovery: Discovery) -> None:
        super().__init__(discovery.scheduler, "notice board", sse.Parser(), discovery.budget)
        self._discovery = discovery
        self.made_ms = self.scheduler.now_ms

    def on_connected(self) -> None:
        """Ask for what is new."""
        self.made_ms = self.scheduler.now_ms
        self._discovery.on_watch_started()
        self.write(sse.request(PATH, self._discovery.address, self._discovery.last_id))

    def on_received(self, data: memoryview) -> None:
        """Read events."""
        self._discovery.on_received(self)
        for event in self.messages(data):
            self._discovery.event(event)

    def on_disconnected(self, error: Exception | None) -> None:
        """Ask again."""
        self._discovery.on_disconnected(self)


class PollBackoff(Protocol):
    """When to ask a service that a whole fleet asks; waits in milliseconds."""

    def initial_delay(self) -> float:
        """Before the first poll of all."""

    def retry_delay(self, now_ms: float, retry_after_ms: float) -> float:
        """After a failure or a break; ``retry_after_ms``: the service's own Retry-After."""

    def reset(self) -> None:
        """It has told something."""

    def early_poll_delay(self, now_ms: float) -> float | None:
        """Somebody else hears it and we do not; None: no need to hurry."""


class Discovery:
    """Follows service discovery from the last event known."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: str,
        last_id: int,
        on_event: Callable[[DiscoveryEvent], None],
        budget: BufferBudget,
        rng: random.Random | None = None,
    ) -> None:
        self.scheduler = scheduler
        self.budget = budget
        self._rng = rng or random.Random()
        self.address = address
        self.last_id = last_id
        self._on_event = on_event
        self._stream: DiscoveryWatch | None = None
        self._connecting: ConnectionAttempt | None = None
        self._backoff = Backoff(scheduler, BACKOFF_MS, MAX_BACKOFF_MS)
        self._poll_backoff: PollBackoff | None = None  # None: by the doubling waits alone
        # After a move and until the first event: the next such time.
        self._unconfirmed_move_ms: float | None = None
        self._rewatch_at_ms = float("inf")  # when the watch is given up for another
        self._failed_reads = 0  # times in a row that the next event could not be read

    def use_poll_backoff(self, poll_backoff: PollBackoff) -> None:
        """Poll after this backoff's delays instead of the doubling ones; before ``start``."""
        self._poll_backoff = poll_backoff

    @property
    def last_received_ms(self) -> float | None:
        """When it last spoke on the connection that is open; None: none is, or it has told nothing yet."""
        stream = self._stream
        return stream.last_received_ms if stream is not None and stream.is_open and self.last_id else None

    def start(self) -> None:
        """Connect, and keep looking whether it still speaks."""
        self._connect_first()
        self._check_connection()

    def _connect_first(self) -> None:
        """At once, or where a whole fleet asks at the same time, in this proxy's place."""
        if self._poll_backoff is None:
            self._connect()
        else:
            self.scheduler.call_later(self._poll_backoff.initial_delay(), self._connect)

    def on_others_see_discovery(self) -> None:
        """Another proxy hears it; where we do not, ask sooner than we would."""
        if self.last_received_ms is None and self._poll_backoff is not None:
            wait_ms = self._poll_backoff.early_poll_delay(self.scheduler.now_ms)
            if wait_ms is not None:
                self.scheduler.call_later(wait_ms, self._connect)

    def move_to(self, address: str) -> None:
        """The service is elsewhere now: ask there at once, from the last event known.

        Guards against waiting for the old address to close, or to be found silent: it tells nothing more.
        """
        if address == self.address:
            return
        LOG.info("notice board: now at %s", address)
        self.address = address
        stream, self._stream = self._stream, None
        if self._connecting is not None:
            self._connecting.cancel()
        if stream is not None and stream.is_open:
            stream.transport.abort()
        self._backoff.reset()
        self._unconfirmed_move_ms = UNCONFIRMED_MOVE_MS
        self._connect_first()

    def _connect(self) -> None:
        if self._stream is not None:  # a wait from before the service moved
            return
        stream = self._stream = DiscoveryWatch(self)
        self._connecting = ConnectionAttempt(
            stream, self.address, CONNECT_TIMEOUT_MS, lambda reason: self._on_attempt_failed(stream, reason)
        )

    def _on_attempt_failed(self, stream: DiscoveryWatch, reason: str) -> None:
        if self._backoff.failures == 0:
            LOG.info("notice board: no connection: %s", reason)
        self.on_disconnected(stream)

    def on_disconnected(self, stream: DiscoveryWatch) -> None:
        """A connection has ended."""
        if self._stream is stream:
            self._stream = None
            self._backoff.schedule(
                self._connect,
                None
                if self._poll_backoff is None
                else self._poll_backoff.retry_delay(self.scheduler.now_ms, stream.parser.retry_after_ms),
            )

    def on_received(self, stream: DiscoveryWatch) -> None:
        """It says something, and has for a while: a later break is a fresh one.

        Guards against asking a service that answers with errors over and over at the shortest wait.
        """
        if self.scheduler.now_ms - stream.made_ms > MAX_BACKOFF_MS:
            self._backoff.reset_delay()

    def on_watch_started(self) -> None:
        """A watch is up; guards against one where the service has moved to that was taken and then forgotten.

        One that has told an event is known to be well: asking that again would only be load.
        """
        if self._unconfirmed_move_ms is not None:
            self._rewatch_at_ms = self.scheduler.now_ms + self._unconfirmed_move_ms * self._rng.uniform(
                *UNCONFIRMED_MOVE_JITTER
            )
            self._unconfirmed_move_ms = min(MAX_UNCONFIRMED_MOVE_MS, 2 * self._unconfirmed_move_ms)

    def event(self, event: sse.Event) -> None:
        """One event; what was told before a break is not taken twice."""
        if not EVENT_ID.fullmatch(event.id):
            raise BadMessageError(f"event {event.id[:20]!r} has no number")
        number = int(event.id)
        if number <= self.last_id:
            return
        try:
            discovery_event = DISCOVERY_EVENT_DECODER.decode(event.data)
        except (ValueError, RecursionError, msgspec.MsgspecError) as error:
            self._failed_reads += 1
            # Guards against an event that can never be read keeping all later ones from us.
            if self._failed_reads < MAX_READS:
                raise BadMessageError(f"event {number}: {error}") from None
            LOG.warning("notice board: event %d is passed over, unread: %s", number, error)
            discovery_event = None
        self._failed_reads = 0
        self._backoff.reset_delay()
        self._unconfirmed_move_ms, self._rewatch_at_ms = None, float("inf")
        if self._poll_backoff is not None:
            self._poll_backoff.reset()
        self.last_id = number
        if discovery_event is not None:
            self._on_event(discovery_event)

    def _check_connection(self) -> None:
        """Guards against a connection that is open and dead."""
        stream = self._stream
        if (
            stream is not None
            and stream.is_open
            and self.scheduler.now_ms - stream.last_received_ms > SILENCE_TIMEOUT_MS
        ):
            LOG.info("notice board: silent, connecting again")
            stream.transport.abort()
            self.on_disconnected(stream)
        elif stream is not None and stream.is_open and self.scheduler.now_ms >= self._rewatch_at_ms:
            stream.transport.abort()
            self._stream = None
            self._connect()
        self.scheduler.call_later(CHECK_INTERVAL_MS, self._check_connection)
