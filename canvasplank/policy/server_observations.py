"""A server's list entry, answers and load reports as this gateway saw them, and the figures derived."""

from __future__ import annotations

from collections import deque

from canvasplank import interface as api
from canvasplank.policy.decision_context import DecisionContext
from canvasplank.policy.leaky_bucket import NEVER, SECOND_MS

ANSWER_WINDOW_MS = 4000.0  # older answers no longer count
MIN_ANSWERS = 6  # fewer answers do not measure a rate
SMOOTHING_WEIGHT = 0.25  # of the newest value in the usual delay and in the reported capacity
IGNORED_LOSSES = 2  # unanswered set-ups ignored while set-ups to the server get lost
IGNORED_OVERDUE = 1  # overdue set-ups ignored after an answer in time
# Exception (fleet size): a gateway's minimum rate falls below one call a second where many share a server.
MIN_RATE_SHARE = 0.25  # as a fraction of the even share, where that is known
MIN_RATE_GATEWAYS = 8  # otherwise: the minimum rates of all gateways add up to those of this many
MAX_POOLS = 256  # pools whose last report is remembered


class ServerObservations:
    """The list entry of one server, and what this gateway has observed of it."""

    def __init__(self, entry: api.Server, context: DecisionContext) -> None:
        self.entry = entry
        self.context = context
        # Exception (successors): until a new server reports, the last report of its pool applies.
        self.circuits, self.capacity_per_s = context.pool_reports.get(entry.pool, (None, None))
        self.capacity_reported_ms = -NEVER  # when it last reported its capacity itself
        self.pending: dict[str, float] = {}  # unanswered set-ups of this gateway: send time by call id
        self.answered_ms: deque[float] = deque()  # answers to this gateway within the window
        self.usual_delay_ms: float | None = None  # smoothed answer delay
        self.min_delay_ms: float | None = None  # the fastest answer: the network's round trip without a wait
        self.last_answer_slow = True  # whether the latest answer was overdue; true before the first
        self.known_since_ms = context.now_ms
        self.last_received_ms = context.now_ms
        self.last_attempt_ms = context.now_ms
        self.answered_sent_ms = -1.0  # latest send time of an answered set-up
        self.established_sent_ms = -1.0  # latest send time of a set-up whose call was established
        self.restart_seen_ms = -1.0  # when the server list showed a restart
        self._last_loss_ms = -NEVER  # when a set-up to the server was last found lost

    def discard_before(self, started_ms: float) -> None:
        """Forget answers and the reported capacity from before a start of the server."""
        while self.answered_ms and self.answered_ms[0] < started_ms:
            self.answered_ms.popleft()
        self.capacity_reported_ms = -NEVER

    def on_capacity(self, circuits: float | None, capacity_per_s: float | None) -> None:
        """Note the circuits and the capacity of the server, and remember them for its pool."""
        self.circuits = circuits
        self.capacity_per_s = capacity_per_s
        pools = self.context.pool_reports
        pools[self.entry.pool] = circuits, capacity_per_s
        if len(pools) > MAX_POOLS:
            del pools[next(iter(pools))]

    def on_report(self, report: api.Report | None) -> None:
        """Handle an answer, with the load report that it may carry."""
        self.last_received_ms = self.context.now_ms
        rate = report and report.rate_per_s
        # Exception (load reports): a capacity reported without congestion is the total for all senders.
        if report and rate and (report.wait_ms or 0.0) <= self.context.congested_wait_ms:
            old = self.capacity_per_s if self.capacity_reported_ms > -NEVER else None
            self.on_capacity(self.circuits, rate if old is None else old + SMOOTHING_WEIGHT * (rate - old))
            self.capacity_reported_ms = self.context.now_ms

    def overdue_after_ms(self) -> float:
        """Return the wait after which an answer is overdue: the congested wait plus the round trip."""
        return self.context.congested_wait_ms + (self.min_delay_ms or 0.0)

    def oldest_unanswered_ms(self, ignored: int = 0) -> float:
        """Return the send time of the oldest unanswered set-up that no answer has overtaken, or NEVER.

        Exception (lost set-ups): after a loss the oldest IGNORED_LOSSES ones do not count.
        """
        last_ms = next(reversed(self.pending.values()), -NEVER)
        ignored = max(ignored, IGNORED_LOSSES if last_ms < self._last_loss_ms + ANSWER_WINDOW_MS else 0)
        not_overtaken = [sent_ms for sent_ms in self.pending.values() if sent_ms > self.answered_sent_ms]
        return not_overtaken[ignored] if len(not_overtaken) > ignored else NEVER

    def oldest_overdue_ms(self) -> float:
        """Return ``oldest_unanswered_ms``; after an answer in time, one late set-up is ignored as chance."""
        return self.oldest_unanswered_ms(0 if self.last_answer_slow else IGNORED_OVERDUE)

    def window_rate_per_s(self) -> float:
        """Return the answered calls a second over the whole window."""
        while self.answered_ms and self.answered_ms[0] <= self.context.now_ms - ANSWER_WINDOW_MS:
            self.answered_ms.popleft()
        return len(self.answered_ms) * SECOND_MS / ANSWER_WINDOW_MS

    def answered_rate_per_s(self) -> float:
        """Return answered calls a second in the last second, or in more if few (Exception: noisy second)."""
        for span_ms in (SECOND_MS, 2 * SECOND_MS, 3 * SECOND_MS):
            count = sum(at_ms > self.context.now_ms - span_ms for at_ms in self.answered_ms)
            if count >= MIN_ANSWERS:
                return count * SECOND_MS / span_ms
        return self.window_rate_per_s()

    def senders(self) -> int:
        """Return how many gateways share the server."""
        return self.entry.senders or self.context.settings.instances

    def even_share_per_s(self) -> float | None:
        """Return an even share of the capacity (set-ups/s) by reports and circuits; None: unknown."""
        hold_ms = self.context.mean_hold_ms
        by_circuits = self.circuits * SECOND_MS / hold_ms if self.circuits and hold_ms else None
        total = min(filter(None, (by_circuits, self.capacity_per_s)), default=None)
        return total and total / self.senders()

    def fleet_fraction(self) -> float:
        """Return the fraction of MIN_RATE_PER_S, from 0 to 1, that is this gateway's minimum rate."""
        share = self.even_share_per_s()
        return min(1.0, MIN_RATE_GATEWAYS / self.senders() if share is None else MIN_RATE_SHARE * share)
