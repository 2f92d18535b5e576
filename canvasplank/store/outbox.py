"""Records on their way to the store: a bounded queue, batches, and what follows a batch that fails.

Pure: no input or output, no clock of its own.  Whoever carries the batches says what became of each
(``written``, ``failed``, ``refused``) and asks ``wait_ms`` when to look again.  At most one batch is out, and
every record that was taken in is queued, out, or counted once as written, rejected or superseded.
"""

from __future__ import annotations

import random
from collections import Counter
from itertools import islice

from canvasplank.store.records import Key, Outcome

BACKOFF_MS, BACKOFF_MOST_MS = 100.0, 5_000.0  # between two tries of a batch, doubling
JITTER_LEAST = 0.5  # so that instances sharing a store that restarted do not all come back together


class Outbox:
    """The queue between the calls and the store."""

    def __init__(self, queue_most: int, batch_most: int, linger_ms: float, seed: int = 0) -> None:
        self.counts: Counter[str] = Counter()
        self._queue: dict[Key, Outcome] = {}  # in the order of their coming
        self._out: list[Outcome] = []
        self._queue_most = queue_most
        self._batch_most = self._limit = batch_most
        self._linger_ms = linger_ms
        self._since_ms: float | None = None  # when the oldest queued record came
        self._backoff_ms = BACKOFF_MS
        self._not_before_ms = 0.0
        self._random = random.Random(seed)
        self.closing = False  # nothing more is to come: write without lingering

    def __len__(self) -> int:
        """Records not yet known to be written."""
        return len(self._queue) + len(self._out)

    @property
    def full_batch(self) -> bool:
        """Whether waiting for more gains nothing."""
        return len(self._queue) >= self._limit

    def put(self, record: Outcome, now_ms: float) -> bool:
        """Queue one; False: there is no room and it was dropped.

        The later row of a call takes the place of the earlier one that is still queued, and needs no room.
        The newest record is the one dropped: guards what is already promised an order, and the memory of the
        calls against a store that has gone.
        """
        key = record.key
        if key in self._queue:
            self.counts["joined"] += 1
            if record.version > self._queue[key].version:
                self._queue[key] = record
            return True
        if len(self) >= self._queue_most:
            self.counts["dropped"] += 1
            return False
        self.counts["queued"] += 1
        self._queue[key] = record
        if self._since_ms is None:
            self._since_ms = now_ms
        return True

    def wait_ms(self, now_ms: float) -> float | None:
        """How long until a batch may go; 0: now; None: there is nothing to go, or one is out."""
        if self._out or not self._queue:
            return None
        linger_ms = 0.0 if self.closing or self.full_batch else self._linger_ms
        return max(0.0, (self._since_ms or 0.0) + linger_ms - now_ms, self._not_before_ms - now_ms)

    def take(self, now_ms: float) -> list[Outcome]:
        """The next batch, which is out from now on; empty: not now."""
        wait_ms = self.wait_ms(now_ms)
        if wait_ms is None or wait_ms > 0:
            return []
        self._out = [self._queue.pop(key) for key in list(islice(self._queue, self._limit))]
        self._since_ms = now_ms if self._queue else None
        return self._out

    def written(self) -> None:
        """The store has the batch."""
        self.counts["written"] += len(self._out)
        self.counts["batches"] += 1
        self._out = []
        self._backoff_ms, self._not_before_ms = BACKOFF_MS, 0.0
        self._limit = min(self._batch_most, self._limit * 2)

    def failed(self, now_ms: float) -> None:
        """Whether the store has it is not known: the whole batch goes again, later.

        Writing is by upsert on the record's key, so what was written after all is not written twice.
        """
        self.counts["retried"] += 1
        self._put_back(now_ms)
        self._not_before_ms = now_ms + self._backoff_ms * self._random.uniform(JITTER_LEAST, 1.0)
        self._backoff_ms = min(BACKOFF_MOST_MS, 2 * self._backoff_ms)

    def refused(self, now_ms: float) -> Outcome | None:
        """The store will not have something in it: halve it until that is alone, then leave that out.

        Guards against one bad record holding back, or taking with it, all that are queued with it.
        """
        if len(self._out) == 1:
            [bad] = self._out
            self._out = []
            self.counts["rejected"] += 1
            return bad
        self.counts["halved"] += 1
        self._limit = max(1, len(self._out) // 2)
        self._put_back(now_ms)
        return None

    def _put_back(self, now_ms: float) -> None:
        """To the front again, but for rows of calls of which a later row has come meanwhile."""
        again = {record.key: record for record in self._out}
        self.counts["superseded"] += sum(key in self._queue for key in again)
        self._queue = again | self._queue  # the queue's own row wins, in the place of the older
        self._out = []
        if self._since_ms is None:
            self._since_ms = now_ms
