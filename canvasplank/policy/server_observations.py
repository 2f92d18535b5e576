"""What this gateway has observed of one server, and the rates and waits that follow from it."""

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
MIN_RATE_GATEWAYS = 8  # else: minimum rates of all gateways add up to those of this many
MAX_POOLS = 256  # whose last report is remembered


class ServerObservations:
    """The observations of one server, its list entry and its load reports."""

    def __init__(self, entry: api.Server, context: DecisionContext) -> None:
        self.entry = entry
        self.context = context
        # Exception (successors): until it reports, the last report of its pool stands in for its own.
        self.circuits, self.capacity_per_s = context.pool_reports.get(entry.pool, (None, None))
        self.capacity_reported_ms = -NEVER  # when it last reported that itself
        self.pending: dict[str, float] = {}  # unanswered set-ups of ours, by call, with the time of sending
        self.answered_ms: deque[float] = deque()  # when our set-ups were answered, within the window
        self.usual_delay_ms: float | None = None
        self.min_delay_ms: float | None = None  # the network's round trip, without a wait
        self.last_answer_slow = True  # no answer has come in time since the last that took too long
        self.known_since_ms = context.now_ms
        self.last_received_ms = context.now_ms
        self.last_attempt_ms = context.now_ms
        self.answered_sent_ms = -1.0  # the latest time of sending among the set-ups that it has answered
        self.established_sent_ms = -1.0  # and among those whose calls were established
        self.restart_seen_ms = -1.0  # when the list showed a restart
        self._last_loss_ms = -NEVER  # when a set-up was last found lost there

    def discard_before(self, started_ms: float) -> None:
        while self.answered_ms and self.answered_ms[0] < started_ms:  # that proves nothing of it now
            self.answered_ms.popleft()
        self.capacity_reported_ms = -NEVER

    def on_capacity(self, circuits: float | None, capacity_per_s: float | None) -> None:
        self.circuits = circuits
        self.capacity_per_s = capacity_per_s
        pools = self.context.pool_reports
        pools[self.entry.pool] = circuits, capacity_per_s
        if len(pools) > MAX_POOLS:
            del pools[next(iter(pools))]

    def on_report(self, report: api.Report | None) -> None:
        self.last_received_ms = self.context.now_ms
        rate = report and report.rate_per_s
        # Exception (load reports): a capacity reported without a wait is that for all senders.
        if report and rate and (report.wait_ms or 0.0) <= self.context.congested_wait_ms:
            old = self.capacity_per_s if self.capacity_reported_ms > -NEVER else None
            self.on_capacity(self.circuits, rate if old is None else old + SMOOTHING_WEIGHT * (rate - old))
            self.capacity_reported_ms = self.context.now_ms

    def overdue_after_ms(self) -> float:
        return self.context.congested_wait_ms + (self.min_delay_ms or 0.0)  # over the network's round trip

    def oldest_unanswered_ms(self, ignored: int = 0) -> float:
        """When the oldest set-up was sent that no answer overtook (Exception: lost set-ups), or NEVER."""
        last_ms = next(reversed(self.pending.values()), -NEVER)
        ignored = max(ignored, IGNORED_LOSSES if last_ms < self._last_loss_ms + ANSWER_WINDOW_MS else 0)
        younger = [sent_ms for sent_ms in self.pending.values() if sent_ms > self.answered_sent_ms]
        return younger[ignored] if len(younger) > ignored else NEVER

    def oldest_overdue_ms(self) -> float:
        """The same for congestion, of which it takes two signs: a single one after one in time is chance."""
        return self.oldest_unanswered_ms(0 if self.last_answer_slow else IGNORED_OVERDUE)

    def window_rate_per_s(self) -> float:
        while self.answered_ms and self.answered_ms[0] <= self.context.now_ms - ANSWER_WINDOW_MS:
            self.answered_ms.popleft()
        return len(self.answered_ms) * SECOND_MS / ANSWER_WINDOW_MS

    def answered_rate_per_s(self) -> float:
        """Answered calls a second: of the last second, or longer where too few (Exception: noisy second)."""
        for span_ms in (SECOND_MS, 2 * SECOND_MS, 3 * SECOND_MS):
            count = sum(at_ms > self.context.now_ms - span_ms for at_ms in self.answered_ms)
            if count >= MIN_ANSWERS:
                return count * SECOND_MS / span_ms
        return self.window_rate_per_s()

    def senders(self) -> int:
        return self.entry.senders or self.context.settings.instances

    def even_share_per_s(self) -> float | None:
        """This gateway's even share of what a server takes a second, by its reports and its circuits."""
        hold_ms = self.context.mean_hold_ms
        by_circuits = self.circuits * SECOND_MS / hold_ms if self.circuits and hold_ms else None
        total = min(filter(None, (by_circuits, self.capacity_per_s)), default=None)
        return total and total / self.senders()

    def fleet_fraction(self) -> float:
        """This gateway's part of the one call a second that the rate rule never goes below or grows by."""
        share = self.even_share_per_s()
        return min(1.0, MIN_RATE_GATEWAYS / self.senders() if share is None else MIN_RATE_SHARE * share)
