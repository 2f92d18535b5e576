"""A bounded queue that batches records for the store and retries failed batches.

This module does no I/O and reads no clock.  The ``Writer`` takes a batch, reports its outcome
(``on_written``, ``on_failed``, ``on_rejected``) and takes the next after ``wait_ms``.  At most one batch
is in flight.  Every accepted record is queued, in flight, or counted once as written, rejected or superseded.
"""

from __future__ import annotations

import random
from collections import Counter
from itertools import islice

from canvasplank.store.records import CallOutcome, RecordKey

MIN_BACKOFF_MS, MAX_BACKOFF_MS = 100.0, 5_000.0  # between attempts of a batch; doubles with each failure
MIN_JITTER_FACTOR = 0.5  # spreads the retries of instances after a restart of their shared store


class Outbox:
    """A queue of unwritten records; all times are milliseconds on one monotonic clock."""

    def __init__(self, max_queue: int, max_batch: int, linger_ms: float, seed: int = 0) -> None:
        self.counts: Counter[str] = Counter()
        self._queue: dict[RecordKey, CallOutcome] = {}  # oldest first
        self._in_flight: list[CallOutcome] = []
        self._max_queue = max_queue
        self._max_batch = self._batch_limit = max_batch
        self._linger_ms = linger_ms
        self._oldest_ms: float | None = None  # arrival of the oldest queued record
        self._backoff_ms = MIN_BACKOFF_MS
        self._retry_at_ms = 0.0
        self._random = random.Random(seed)
        self._closed = False

    def __len__(self) -> int:
        """Return the number of records that are not known to be written."""
        return len(self._queue) + len(self._in_flight)

    @property
    def has_full_batch(self) -> bool:
        """Whether enough records are queued for a full batch, so that lingering is pointless."""
        return len(self._queue) >= self._batch_limit

    @property
    def drained(self) -> bool:
        """Whether the outbox is closed and no record is queued or in flight."""
        return self._closed and not len(self)

    def close(self) -> None:
        """Signal that no more records will be added, so that incomplete batches need not linger."""
        self._closed = True

    def put(self, record: CallOutcome, now_ms: float) -> bool:
        """Queue a record; returns False if it was dropped because the queue is full.

        A later version of a call's record replaces a queued earlier one, even if the queue is full.  Dropping
        the newest record bounds memory while the store is unavailable and keeps the order of queued records.
        """
        key = record.key
        if key in self._queue:
            self.counts["joined"] += 1
            if record.version > self._queue[key].version:
                self._queue[key] = record
            return True
        if len(self) >= self._max_queue:
            self.counts["dropped"] += 1
            return False
        self.counts["queued"] += 1
        self._queue[key] = record
        if self._oldest_ms is None:
            self._oldest_ms = now_ms
        return True

    def wait_ms(self, now_ms: float) -> float | None:
        """Return the time until a batch may be taken; None if nothing is queued or a batch is in flight."""
        if self._in_flight or not self._queue:
            return None
        linger_ms = 0.0 if self._closed or self.has_full_batch else self._linger_ms
        return max(0.0, (self._oldest_ms or 0.0) + linger_ms - now_ms, self._retry_at_ms - now_ms)

    def take(self, now_ms: float) -> list[CallOutcome]:
        """Return the next batch, which is then in flight; empty if none may be taken now."""
        wait_ms = self.wait_ms(now_ms)
        if wait_ms is None or wait_ms > 0:
            return []
        self._in_flight = [self._queue.pop(key) for key in list(islice(self._queue, self._batch_limit))]
        self._oldest_ms = now_ms if self._queue else None
        return self._in_flight

    def on_written(self) -> None:
        """Handle the commit of the batch in flight."""
        self.counts["written"] += len(self._in_flight)
        self.counts["batches"] += 1
        self._in_flight = []
        self._backoff_ms, self._retry_at_ms = MIN_BACKOFF_MS, 0.0
        self._batch_limit = min(self._max_batch, self._batch_limit * 2)

    def on_failed(self, now_ms: float) -> None:
        """Requeue the batch in flight, whose outcome is unknown, for a retry after a backoff.

        Writing is idempotent (an upsert on the record's key), so a committed batch may be retried.
        """
        self.counts["retried"] += 1
        self._requeue(now_ms)
        self._retry_at_ms = now_ms + self._backoff_ms * self._random.uniform(MIN_JITTER_FACTOR, 1.0)
        self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)

    def on_rejected(self, now_ms: float) -> CallOutcome | None:
        """Handle the store's rejection of a record in the batch: retry smaller batches until it is isolated.

        Returns the rejected record once it is the only one in the batch, and discards it, so that it neither
        blocks the other records nor causes their loss.
        """
        if len(self._in_flight) == 1:
            [rejected] = self._in_flight
            self._in_flight = []
            self.counts["rejected"] += 1
            return rejected
        self.counts["halved"] += 1
        self._batch_limit = max(1, len(self._in_flight) // 2)
        self._requeue(now_ms)
        return None

    def _requeue(self, now_ms: float) -> None:
        """Put the batch back at the front of the queue, except records superseded by a queued version."""
        retried = {record.key: record for record in self._in_flight}
        self.counts["superseded"] += sum(key in self._queue for key in retried)
        self._queue = retried | self._queue  # a later version takes the position of the earlier one
        self._in_flight = []
        if self._oldest_ms is None:
            self._oldest_ms = now_ms
