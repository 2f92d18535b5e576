"""The client of service discovery: a watch, resumed from the last event received.

Times are in milliseconds, on the scheduler's clock.
"""

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
from canvasplank.network.connection_attempt import ConnectionAttempt
from canvasplank.network.reconnect_backoff import ReconnectBackoff
from canvasplank.network.stream import BufferBudget, Stream
from canvasplank.runtime.scheduler import Scheduler

LOG = logging.getLogger(__name__)
PATH = "/board/poll"
CONNECT_TIMEOUT_MS = 1000.0
# A comment is due every second; what a silent service does not send is not known here.
SILENCE_TIMEOUT_MS = 1500.0
CHECK_INTERVAL_MS = 100.0
# By the protocol, an event counts as known here 4 s after a move of the service, and 7 s after the event.
# Where a service that has moved is connected and has sent no event yet, it is polled again after so long,
# then after doubling times.
UNCONFIRMED_MOVE_MS, MAX_UNCONFIRMED_MOVE_MS = 3500.0, 60_000.0
UNCONFIRMED_MOVE_JITTER = (0.75, 1.0)  # of that, drawn each time: proxies that moved at once poll apart
MIN_RECONNECT_DELAY_MS, MAX_RECONNECT_DELAY_MS = 50.0, 800.0
EVENT_ID = re.compile(r"[0-9]{1,18}")
MAX_READS = 3  # of one event that cannot be read; it may have been torn on its way


class DiscoveryWatchOwner(Protocol):
    """What holds the watch and acts on its events: see ``Discovery``."""

    scheduler: Scheduler
    budget: BufferBudget
    address: str
    last_id: int

    def on_watch_started(self) -> None:
        """It is connected."""

    def on_received(self, watch: DiscoveryWatch) -> None:
        """Something was read, if only a comment."""

    def on_event(self, event: sse.Event) -> None:
        """An event was read; raises ``BadMessageError``."""

    def on_oversized_event(self, error: sse.OversizedEventError) -> None:
        """An event is too long to be read; raises ``BadMessageError``, or returns to have it discarded."""

    def on_watch_ended(self, watch: DiscoveryWatch) -> None:
        """It has ended, or never came up."""


class DiscoveryWatch(Stream[sse.Event]):
    """One connection to service discovery."""

    def __init__(self, owner: DiscoveryWatchOwner) -> None:
        self._events = sse.Parser()
        super().__init__(owner.scheduler, "service discovery", self._events, owner.budget)
        self._owner = owner
        self.connected_ms = self.scheduler.now_ms

    @property
    def retry_after_ms(self) -> float:
        """The wait that a refusal of the service has named; 0: none."""
        return self._events.retry_after_ms

    def on_connected(self) -> None:
        """See ``Stream``: request the events after the last one received."""
        self.connected_ms = self.scheduler.now_ms
        self._owner.on_watch_started()
        self.write(sse.request(PATH, self._owner.address, self._owner.last_id))

    def on_received(self, data: memoryview) -> None:
        """See ``Stream``."""
        self._owner.on_received(self)
        try:
            for event in self.messages(data):
                self._owner.on_event(event)
        except sse.OversizedEventError as error:  # raised behind all complete events of the data
            self._owner.on_oversized_event(error)

    def on_disconnected(self, error: Exception | None) -> None:
        """See ``Stream``."""
        self._owner.on_watch_ended(self)


class PollBackoff(Protocol):
    """When to poll a service that all of a fleet poll; delays in milliseconds."""

    def initial_delay(self) -> float:
        """Before the first poll of all."""

    def retry_delay(self, now_ms: float, retry_after_ms: float) -> float:
        """After a failure or a break; ``retry_after_ms``: the service's own Retry-After, or 0."""

    def reset(self) -> None:
        """An event was received."""

    def early_poll_delay(self, now_ms: float) -> float | None:
        """Another proxy receives from the service and this one does not; None: it has just polled."""


class Discovery:
    """Follows service discovery from the last event received."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: str,
        last_id: int,
        on_event: Callable[[DiscoveryEvent], None],
        budget: BufferBudget,
        rng: random.Random | None = None,
    ) -> None:
        """``last_id``: the number of the last event known; 0: none.  ``on_event`` is given each later one."""
        self.scheduler = scheduler
        self.budget = budget
        self.address = address
        self.last_id = last_id
        self._rng = rng or random.Random()
        self._handle_event = on_event
        self._watch: DiscoveryWatch | None = None
        self._attempt: ConnectionAttempt | None = None
        self._backoff = ReconnectBackoff(scheduler, MIN_RECONNECT_DELAY_MS, MAX_RECONNECT_DELAY_MS)
        self._poll_backoff: PollBackoff | None = None  # None: by the doubling delays alone
        # After a move and until the first event: how long the next watch may send none.
        self._unconfirmed_move_ms: float | None = None
        self._rewatch_at_ms = float("inf")  # when the watch is ended for another
        self._failed_reads = 0  # of the next event, in a row
        # Unreadable events without a number, after the last event received: they are sent again to each poll.
        self._skipped_unnumbered = 0  # for good
        self._skipped_unnumbered_on_watch = 0  # of these, on this watch so far

    def use_poll_backoff(self, poll_backoff: PollBackoff) -> None:
        """Poll after this backoff's delays instead of the doubling ones; before ``start``."""
        self._poll_backoff = poll_backoff

    @property
    def last_received_ms(self) -> float | None:
        """When anything was last read on the open watch; None: there is none, or no event came ever."""
        watch = self._watch
        return watch.last_received_ms if watch is not None and watch.is_open and self.last_id else None

    def start(self) -> None:
        """Connect, and check periodically that the service still sends."""
        self._connect_first()
        self._check_connection()

    def _connect_first(self) -> None:
        """Connect at once, or where a fleet polls at the same time, after this proxy's delay."""
        if self._poll_backoff is None:
            self._connect()
        else:
            self.scheduler.call_later(self._poll_backoff.initial_delay(), self._connect)

    def on_others_see_discovery(self) -> None:
        """Another proxy receives from the service; if this one does not, poll sooner than it would."""
        if self.last_received_ms is None and self._poll_backoff is not None:
            delay_ms = self._poll_backoff.early_poll_delay(self.scheduler.now_ms)
            if delay_ms is not None:
                self.scheduler.call_later(delay_ms, self._connect)

    def move_to(self, address: str) -> None:
        """The service has moved: poll there at once, from the last event received.

        The old address sends nothing more: waiting until it closes, or is found silent, would lose time.
        """
        if address == self.address:
            return
        LOG.info("service discovery: now at %s", address)
        self.address = address
        watch, self._watch = self._watch, None
        if self._attempt is not None:
            self._attempt.cancel()
        if watch is not None and watch.is_open:
            watch.abort()
        self._backoff.reset()
        self._unconfirmed_move_ms = UNCONFIRMED_MOVE_MS
        self._connect_first()

    def _connect(self) -> None:
        if self._watch is not None:  # a delay from before the service moved has ended
            return
        watch = self._watch = DiscoveryWatch(self)
        self._attempt = ConnectionAttempt(
            watch, self.address, CONNECT_TIMEOUT_MS, lambda reason: self._on_connection_failed(watch, reason)
        )

    def _on_connection_failed(self, watch: DiscoveryWatch, reason: str) -> None:
        if self._backoff.failures == 0:
            LOG.info("service discovery: no connection: %s", reason)
        self.on_watch_ended(watch)

    def on_watch_ended(self, watch: DiscoveryWatch) -> None:
        """See ``DiscoveryWatchOwner``: poll again after the backoff's delay."""
        if self._watch is not watch:
            return
        self._watch = None
        delay_ms = None
        if self._poll_backoff is not None:
            delay_ms = self._poll_backoff.retry_delay(self.scheduler.now_ms, watch.retry_after_ms)
        self._backoff.schedule(self._connect, delay_ms)

    def on_received(self, watch: DiscoveryWatch) -> None:
        """See ``DiscoveryWatchOwner``: a watch that has lasted for a while resets the backoff.

        Not a new one: a service that answers with errors would be polled at the shortest delay for ever.
        """
        if self.scheduler.now_ms - watch.connected_ms > MAX_RECONNECT_DELAY_MS:
            self._backoff.on_success()

    def on_watch_started(self) -> None:
        """See ``DiscoveryWatchOwner``: after a move, set the time by which the first event must come.

        The service may have accepted the watch where it has moved to, and then lost it.  One that has sent an
        event is known to work, and polling that again would only be load.
        """
        self._skipped_unnumbered_on_watch = 0
        if self._unconfirmed_move_ms is not None:
            jitter = self._rng.uniform(*UNCONFIRMED_MOVE_JITTER)
            self._rewatch_at_ms = self.scheduler.now_ms + self._unconfirmed_move_ms * jitter
            self._unconfirmed_move_ms = min(MAX_UNCONFIRMED_MOVE_MS, 2 * self._unconfirmed_move_ms)

    def on_event(self, event: sse.Event) -> None:
        """See ``DiscoveryWatchOwner``: pass a new event on; one received before a break is dropped."""
        number = _event_number(event.id)
        if number is None:
            self._on_unreadable(None, f"id {event.id[:20]!r} is not a number")
            return
        if number <= self.last_id:
            return
        try:
            discovery_event = DISCOVERY_EVENT_DECODER.decode(event.data)
        except (ValueError, RecursionError, msgspec.MsgspecError) as error:
            self._on_unreadable(number, str(error))
            return
        self._advance_to(number)
        self._handle_event(discovery_event)

    def on_oversized_event(self, error: sse.OversizedEventError) -> None:
        """See ``DiscoveryWatchOwner``."""
        number = _event_number(error.event_id)
        if number is None or number > self.last_id:
            self._on_unreadable(number, str(error))

    def _advance_to(self, number: int) -> None:
        """Resume after this event from now on."""
        self._failed_reads = self._skipped_unnumbered = self._skipped_unnumbered_on_watch = 0
        self._backoff.on_success()
        self._unconfirmed_move_ms, self._rewatch_at_ms = None, float("inf")
        if self._poll_backoff is not None:
            self._poll_backoff.reset()
        self.last_id = number

    def _on_unreadable(self, number: int | None, reason: str) -> None:
        """Raise ``BadMessageError``, which has the event requested again, or skip it after ``MAX_READS``.

        An event that can never be read must not withhold all later ones from this proxy.  One without a
        number leaves the resume token; after a break it is known by its place behind the last event received.
        """
        if number is None and self._skipped_unnumbered_on_watch < self._skipped_unnumbered:
            self._skipped_unnumbered_on_watch += 1
            return
        name = f"an event after {self.last_id}" if number is None else f"event {number}"
        self._failed_reads += 1
        if self._failed_reads < MAX_READS:
            raise BadMessageError(f"{name}: {reason}")
        LOG.warning("service discovery: %s is passed over, unread: %s", name, reason)
        if number is None:
            self._failed_reads = 0
            self._skipped_unnumbered += 1
            self._skipped_unnumbered_on_watch += 1
        else:
            self._advance_to(number)

    def _check_connection(self) -> None:
        """End a watch that is open and dead, or unconfirmed after a move; periodically."""
        watch, now_ms = self._watch, self.scheduler.now_ms
        if watch is not None and watch.is_open:
            if now_ms - watch.last_received_ms > SILENCE_TIMEOUT_MS:
                LOG.info("service discovery: silent, connecting again")
                watch.abort()
                self.on_watch_ended(watch)
            elif now_ms >= self._rewatch_at_ms:
                watch.abort()
                self._watch = None
                self._connect()
        self.scheduler.call_later(CHECK_INTERVAL_MS, self._check_connection)


def _event_number(event_id: str) -> int | None:
    """The number that an event's id is; None: it is none."""
    return int(event_id) if EVENT_ID.fullmatch(event_id) else None
