"""Records on their way to the store: a bounded queue, batches, and the retry of a failed batch.

Pure: no input or output, no clock of its own.  The caller, which carries the batches, reports the outcome of
each (``on_written``, ``on_failed``, ``on_rejected``) and polls again after ``wait_ms``.  At most one batch is
in flight, and every accepted record is queued, in flight, or counted once as written, rejected or superseded.
"""

from __future__ import annotations

import random
from collections import Counter
from itertools import islice

from canvasplank.store.records import CallOutcome, RecordKey

MIN_BACKOFF_MS, MAX_BACKOFF_MS = 100.0, 5_000.0  # between two attempts of a batch, doubling
MIN_JITTER_FACTOR = 0.5  # spreads the retries of instances that share a restarted store


class Outbox:
    """The queue between the calls and the store; times are milliseconds of any one monotonic clock."""

    def __init__(self, max_queue: int, max_batch: int, linger_ms: float, seed: int = 0) -> None:
        self.counts: Counter[str] = Counter()
        self._queue: dict[RecordKey, CallOutcome] = {}  # in order of arrival
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
        """Records not yet known to be written."""
        return len(self._queue) + len(self._in_flight)

    @property
    def has_full_batch(self) -> bool:
        """Whether the next batch is complete, so that lingering gains nothing."""
        return len(self._queue) >= self._batch_limit

    @property
    def drained(self) -> bool:
        """Whether it is closed and every record has been written or rejected."""
        return self._closed and not len(self)

    def close(self) -> None:
        """No more records will come: batches no longer linger."""
        self._closed = True

    def put(self, record: CallOutcome, now_ms: float) -> bool:
        """Queue a record; False if the queue is full and it was dropped.

        The later row of a call replaces an earlier one that is still queued, and needs no room.  The newest
        record is the one dropped: the order of those queued stays, and the queue's memory is bounded while
        the store is away.
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
        """The time until a batch may be taken; None if nothing is queued or a batch is in flight."""
        if self._in_flight or not self._queue:
            return None
        linger_ms = 0.0 if self._closed or self.has_full_batch else self._linger_ms
        return max(0.0, (self._oldest_ms or 0.0) + linger_ms - now_ms, self._retry_at_ms - now_ms)

    def take(self, now_ms: float) -> list[CallOutcome]:
        """The next batch, in flight from now on; empty if none may be taken now."""
        wait_ms = self.wait_ms(now_ms)
        if wait_ms is None or wait_ms > 0:
            return []
        self._in_flight = [self._queue.pop(key) for key in list(islice(self._queue, self._batch_limit))]
        self._oldest_ms = now_ms if self._queue else None
        return self._in_flight

    def on_written(self) -> None:
        """The store has committed the batch."""
        self.counts["written"] += len(self._in_flight)
        self.counts["batches"] += 1
        self._in_flight = []
        self._backoff_ms, self._retry_at_ms = MIN_BACKOFF_MS, 0.0
        self._batch_limit = min(self._max_batch, self._batch_limit * 2)

    def on_failed(self, now_ms: float) -> None:
        """It is unknown whether the store has the batch: all of it is retried after a backoff.

        Writing is idempotent (an upsert on the record's key), so a batch that was committed after all is not
        written twice.
        """
        self.counts["retried"] += 1
        self._requeue(now_ms)
        self._retry_at_ms = now_ms + self._backoff_ms * self._random.uniform(MIN_JITTER_FACTOR, 1.0)
        self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)

    def on_rejected(self, now_ms: float) -> CallOutcome | None:
        """The store rejects a record of the batch: retry in halves; returns that record once it is isolated.

        The record is then left out, so that it neither blocks nor loses the others.
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
        """Put the batch back in front, except rows that a later row of the same call supersedes."""
        retried = {record.key: record for record in self._in_flight}
        self.counts["superseded"] += sum(key in self._queue for key in retried)
        self._queue = retried | self._queue  # the later row takes the earlier one's place in the order
        self._in_flight = []
        if self._oldest_ms is None:
            self._oldest_ms = now_ms
