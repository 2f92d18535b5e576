"""The client of service discovery: a long-lived watch that resumes after the last event received.

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
# A healthy service sends a comment every second; a silent watch may be dead, and events would be missed.
SILENCE_TIMEOUT_MS = 1500.0
CHECK_INTERVAL_MS = 100.0
# By the protocol, a proxy has to know an event 4 s after a move of the service, and 7 s after the event.
# A watch on the service's new address that has received no event is replaced after this time, which doubles
# with each replacement.
UNCONFIRMED_MOVE_MS, MAX_UNCONFIRMED_MOVE_MS = 3500.0, 60_000.0
UNCONFIRMED_MOVE_JITTER = (0.75, 1.0)  # random factor, so that proxies do not poll a new address in step
MIN_RECONNECT_DELAY_MS, MAX_RECONNECT_DELAY_MS = 50.0, 800.0
EVENT_ID_PATTERN = re.compile(r"[0-9]{1,18}")
MAX_READS = 3  # attempts to read an event: one that cannot be read may have been truncated in transit


class DiscoveryWatchOwner(Protocol):
    """Holds the watch and handles its events: see ``Discovery``."""

    scheduler: Scheduler
    budget: BufferBudget
    address: str
    last_id: int

    def on_watch_started(self) -> None:
        """Called when the watch is connected."""

    def on_received(self, watch: DiscoveryWatch) -> None:
        """Called when any data was read, even a comment."""

    def on_event(self, event: sse.Event) -> None:
        """Called when an event was read; raises ``BadMessageError``."""

    def on_oversized_event(self, error: sse.OversizedEventError) -> None:
        """Called for an event too long to be read; raises ``BadMessageError``, or returns to discard it."""

    def on_watch_ended(self, watch: DiscoveryWatch) -> None:
        """Called when the watch has ended, or could not be established."""


class DiscoveryWatch(Stream[sse.Event]):
    """A connection to service discovery."""

    def __init__(self, owner: DiscoveryWatchOwner) -> None:
        self._events = sse.Parser()
        super().__init__(owner.scheduler, "service discovery", self._events, owner.budget)
        self._owner = owner
        self.connected_ms = self.scheduler.now_ms

    @property
    def retry_after_ms(self) -> float:
        """The Retry-After of a refusal by the service; 0 if there was none."""
        return self._events.retry_after_ms

    def on_connected(self) -> None:
        """See ``Stream``; requests the events after the last one received."""
        self.connected_ms = self.scheduler.now_ms
        self._owner.on_watch_started()
        self.write(sse.request(PATH, self._owner.address, self._owner.last_id))

    def on_received(self, data: memoryview) -> None:
        """See ``Stream``."""
        self._owner.on_received(self)
        try:
            for event in self.messages(data):
                self._owner.on_event(event)
        except sse.OversizedEventError as error:  # raised after all complete events of the data
            self._owner.on_oversized_event(error)

    def on_disconnected(self, error: Exception | None) -> None:
        """See ``Stream``."""
        self._owner.on_watch_ended(self)


class PollBackoff(Protocol):
    """Computes the delays, in milliseconds, before polls of a service that a whole fleet polls."""

    def initial_delay(self) -> float:
        """Return the delay before the first poll."""

    def retry_delay(self, now_ms: float, retry_after_ms: float) -> float:
        """Return the delay after a failure or break; ``retry_after_ms``: the service's Retry-After, or 0."""

    def reset(self) -> None:
        """Reset the backoff, since an event was received."""

    def early_poll_delay(self, now_ms: float) -> float | None:
        """Return the delay if other proxies receive events and this one does not.

        None: this proxy has just polled.
        """


class Discovery:
    """Watches service discovery, and resumes after the last event received."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: str,
        last_id: int,
        on_event: Callable[[DiscoveryEvent], None],
        budget: BufferBudget,
        rng: random.Random | None = None,
    ) -> None:
        """``last_id``: the number of the last known event, or 0; ``on_event`` gets each later event."""
        self.scheduler = scheduler
        self.budget = budget
        self.address = address
        self.last_id = last_id
        self._rng = rng or random.Random()
        self._handle_event = on_event
        self._watch: DiscoveryWatch | None = None
        self._attempt: ConnectionAttempt | None = None
        self._backoff = ReconnectBackoff(scheduler, MIN_RECONNECT_DELAY_MS, MAX_RECONNECT_DELAY_MS)
        self._poll_backoff: PollBackoff | None = None  # None: the delays of ``_backoff`` apply
        # From a move until the first event: how long the next watch may receive no event.
        self._unconfirmed_move_ms: float | None = None
        self._replace_watch_at_ms = float("inf")  # when the watch is replaced by a new one
        self._failed_reads = 0  # consecutive failures to read the next event
        # Unreadable events without a number, after the last event received: each poll gets them again.
        self._skipped_unnumbered = 0  # how many of them are skipped
        self._skipped_unnumbered_on_watch = 0  # how many of them were skipped on the current watch

    def use_poll_backoff(self, poll_backoff: PollBackoff) -> None:
        """Use the delays of this backoff instead of the default ones; to be called before ``start``."""
        self._poll_backoff = poll_backoff

    @property
    def last_received_ms(self) -> float | None:
        """When data was last read on the open watch; None without an open watch or any event so far."""
        watch = self._watch
        return watch.last_received_ms if watch is not None and watch.is_open and self.last_id else None

    def start(self) -> None:
        """Connect, and check the connection periodically."""
        self._connect_first()
        self._check_connection()

    def _connect_first(self) -> None:
        """Connect at once, or with a poll backoff after its initial delay."""
        if self._poll_backoff is None:
            self._connect()
        else:
            self.scheduler.call_later(self._poll_backoff.initial_delay(), self._connect)

    def on_others_see_discovery(self) -> None:
        """Called when another proxy receives from the service; if this one does not, it polls early."""
        if self.last_received_ms is None and self._poll_backoff is not None:
            delay_ms = self._poll_backoff.early_poll_delay(self.scheduler.now_ms)
            if delay_ms is not None:
                self.scheduler.call_later(delay_ms, self._connect)

    def move_to(self, address: str) -> None:
        """Watch the service at its new address, from the last event received.

        The old watch is aborted: the old address sends no more events, and waiting until it closes or times
        out would lose time.
        """
        if address == self.address:
            return
        LOG.info("service discovery: moved to %s", address)
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
        if self._watch is not None:  # this timer was set before the service moved
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
        """See ``DiscoveryWatchOwner``; polls again after the backoff's delay."""
        if self._watch is not watch:
            return
        self._watch = None
        delay_ms = None
        if self._poll_backoff is not None:
            delay_ms = self._poll_backoff.retry_delay(self.scheduler.now_ms, watch.retry_after_ms)
        self._backoff.schedule(self._connect, delay_ms)

    def on_received(self, watch: DiscoveryWatch) -> None:
        """See ``DiscoveryWatchOwner``; a watch older than ``MAX_RECONNECT_DELAY_MS`` resets the backoff.

        If a new watch did so, a service that answers with errors would be polled at the shortest delay.
        """
        if self.scheduler.now_ms - watch.connected_ms > MAX_RECONNECT_DELAY_MS:
            self._backoff.on_success()

    def on_watch_started(self) -> None:
        """See ``DiscoveryWatchOwner``; after a move, sets the time by which the first event must arrive.

        The service may have accepted the watch at its new address and then lost it.  A watch that has sent an
        event is known to work, and replacing it would only add load.
        """
        self._skipped_unnumbered_on_watch = 0
        if self._unconfirmed_move_ms is not None:
            jitter = self._rng.uniform(*UNCONFIRMED_MOVE_JITTER)
            self._replace_watch_at_ms = self.scheduler.now_ms + self._unconfirmed_move_ms * jitter
            self._unconfirmed_move_ms = min(MAX_UNCONFIRMED_MOVE_MS, 2 * self._unconfirmed_move_ms)

    def on_event(self, event: sse.Event) -> None:
        """See ``DiscoveryWatchOwner``; passes a new event on and drops one that was received before."""
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
        """Make this event the last one received, after which the next poll resumes."""
        self._failed_reads = self._skipped_unnumbered = self._skipped_unnumbered_on_watch = 0
        self._backoff.on_success()
        self._unconfirmed_move_ms, self._replace_watch_at_ms = None, float("inf")
        if self._poll_backoff is not None:
            self._poll_backoff.reset()
        self.last_id = number

    def _on_unreadable(self, number: int | None, reason: str) -> None:
        """Raise ``BadMessageError`` to request the event again, or skip it after ``MAX_READS`` attempts.

        An event that can never be read must not block all later ones.  An event without a number does not
        change ``last_id``; on the next watch it is recognised by its position after the last event received.
        """
        if number is None and self._skipped_unnumbered_on_watch < self._skipped_unnumbered:
            self._skipped_unnumbered_on_watch += 1
            return
        name = f"an event after {self.last_id}" if number is None else f"event {number}"
        self._failed_reads += 1
        if self._failed_reads < MAX_READS:
            raise BadMessageError(f"{name}: {reason}")
        LOG.warning("service discovery: %s is skipped as unreadable: %s", name, reason)
        if number is None:
            self._failed_reads = 0
            self._skipped_unnumbered += 1
            self._skipped_unnumbered_on_watch += 1
        else:
            self._advance_to(number)

    def _check_connection(self) -> None:
        """Replace an open watch that is silent, or unconfirmed after a move; runs periodically."""
        watch, now_ms = self._watch, self.scheduler.now_ms
        if watch is not None and watch.is_open:
            if now_ms - watch.last_received_ms > SILENCE_TIMEOUT_MS:
                LOG.info("service discovery: no data received, connecting again")
                watch.abort()
                self.on_watch_ended(watch)
            elif now_ms >= self._replace_watch_at_ms:
                watch.abort()
                self._watch = None
                self._connect()
        self.scheduler.call_later(CHECK_INTERVAL_MS, self._check_connection)


def _event_number(event_id: str) -> int | None:
    """Returns the id of an event as a number; None if it is not a number."""
    return int(event_id) if EVENT_ID_PATTERN.fullmatch(event_id) else None
