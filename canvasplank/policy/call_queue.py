"""Calls without a final answer: their order, redials, busy numbers and tenants' quotas."""

from collections import OrderedDict

from canvasplank import interface as api
from canvasplank.policy.decision_context import DecisionContext
from canvasplank.policy.leaky_bucket import HIGHEST_THRESHOLD, LOWEST_THRESHOLD
from canvasplank.policy.server import Server

# A call that is still unserved fails MARGIN_MS plus MARGIN_TICKS ticks before its caller's deadline.
MARGIN_MS = 25.0
MARGIN_TICKS = 2
MARGIN_FRACTION = 0.1  # of the caller's wait, where that is less than MARGIN_MS
MAX_QUEUED_CALLS = 400  # beyond this the call of lowest rank is refused
MAX_REDIALS = 4000  # unserved calls remembered in case their callers dial again
MAX_BUSY_NUMBERS = 1000  # busy numbers remembered
INITIAL_BUSY_MS = 500.0  # first backoff of a busy number
MAX_BUSY_MS = 4000.0  # longest backoff of a busy number, reached by doubling
MAX_CREDIT_CALLS = 4.0  # calls in a row that a tenant may make beyond its quota


class CallRecord:
    """One call and its attempts, kept until its final answer or, if it is established, until its end."""

    def __init__(self, call: api.Call, call_class: api.CallClass, context: DecisionContext) -> None:
        self.request = call
        self.call_class = call_class
        now_ms = context.now_ms
        self.arrived_ms = now_ms
        self.first_ms = now_ms  # for a redial: arrival of the first call
        self.not_before_ms = now_ms  # no attempt before this time (rule 5)
        self.quota_weight = 1.0  # factor on the weight of its class: lower beyond its tenant's quota
        margin_ms = max(0.0, min(MARGIN_MS, MARGIN_FRACTION * (call.expires_ms - now_ms)))
        self.deadline_ms = call.expires_ms - margin_ms - MARGIN_TICKS * context.tick_ms
        self.attempts = 0
        self.cancel_sent = False
        self.failed_server_id: str | None = None  # server of its latest failed attempt
        self.server: Server | None = None  # server of its attempt in flight

    def concerns_attempt_in_flight(self, event: api.Established | api.AttemptEnded) -> bool:
        """Return whether the event concerns the attempt in flight; a repeated event does not."""
        return self.server is not None and event.attempt == self.attempts - 1

    def weight(self, now_ms: float) -> float:
        """Return the weight of the call; it drops once the target time has passed."""
        late = now_ms >= self.first_ms + self.call_class.target_ms
        return self.call_class.weight * self.quota_weight * (self.call_class.late_weight if late else 1.0)


class CallQueue:
    """The unanswered calls, their bucket thresholds, and the state for redials, busy numbers and quotas."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        settings = context.settings
        self.calls: dict[str, CallRecord] = {}  # all without a final answer
        self.waiting: dict[str, CallRecord] = {}  # those of ``calls`` without an attempt in flight
        # Unserved calls that may be redialled, by number and class, oldest entry first: arrival of the first
        # call, time of the entry, quota weight.
        self.redials: OrderedDict[tuple[str | None, str], tuple[float, float, float]] = OrderedDict()
        # Busy numbers: time of the next attempt, backoff (ms).
        self.busy_numbers: dict[str | None, tuple[float, float]] = {}
        self._redial_window_ms = max(c.deadline_ms for c in settings.classes)
        total = sum(c.quota_per_s for c in settings.tenants)
        self._fractions = {c.name: c.quota_per_s / total for c in settings.tenants if total}
        self._credits = dict.fromkeys(self._fractions, MAX_CREDIT_CALLS)
        quotas = {1.0, settings.over_quota_weight if self._fractions else 1.0}
        weighted = [(c.weight * quota, c.late_weight) for c in settings.classes for quota in quotas]
        weights = sorted({weight * late for weight, late_weight in weighted for late in (1.0, late_weight)})
        step = (HIGHEST_THRESHOLD - LOWEST_THRESHOLD) / max(1, len(weights) - 1)
        self._thresholds = {weight: LOWEST_THRESHOLD + step * rank for rank, weight in enumerate(weights)}
        self.trial_threshold = self._thresholds[min(c.weight for c in settings.classes)]

    def add(self, call: CallRecord) -> None:
        """Add a new call.

        Exception (redials): a redial of the same number and class keeps the first call's target time and
        quota weight.
        """
        request = call.request
        key = (call.request.number, call.request.class_name)
        self.calls[request.id] = call
        if request.replaces_cut_call or key not in self.redials:
            call.quota_weight = self._take_credit(request.tenant)
        else:
            call.first_ms, _, call.quota_weight = self.redials.pop(key)

    def _take_credit(self, tenant: str | None) -> float:
        """Return the quota weight of a tenant's call.

        Exception (tenants' quotas): each call adds to every tenant's credit its fraction of the quotas, and
        takes 1 from its own tenant's credit if that is at least 1.
        """
        if tenant is None or tenant not in self._fractions:
            return 1.0
        for name, fraction in self._fractions.items():
            self._credits[name] = min(MAX_CREDIT_CALLS, self._credits[name] + fraction)
        within = self._credits[tenant] >= 1.0
        self._credits[tenant] -= within
        return 1.0 if within else self._context.settings.over_quota_weight

    def remove(self, call: CallRecord) -> None:
        """Remove an unserved call, and remember it in case it is dialled again."""
        number = call.request.number
        now_ms = self._context.now_ms
        del self.calls[call.request.id]
        self.waiting.pop(call.request.id, None)
        if number is None:
            return
        self.redials[number, call.call_class.name] = call.first_ms, now_ms, call.quota_weight
        for _ in range(2):  # removes up to two for each one added: memory and time are bounded
            _, added_ms, _ = next(iter(self.redials.values()), (0.0, now_ms, 1.0))
            if added_ms < now_ms - self._redial_window_ms or len(self.redials) > MAX_REDIALS:
                self.redials.popitem(last=False)

    def threshold(self, call: CallRecord) -> float:
        """Return the fill of a server's bucket up to which the call is admitted."""
        return self._thresholds[call.weight(self._context.now_ms)]

    def rank(self, call: CallRecord) -> tuple[float, float]:
        """Return the sort key: the weight, then the arrival, as the newest has most time to its target."""
        return call.weight(self._context.now_ms), call.arrived_ms

    def is_number_busy(self, number: str | None) -> bool:
        """Return whether the backoff of a busy number is still running."""
        return self.busy_numbers.get(number, (0.0, 0.0))[0] > self._context.now_ms

    def on_number_busy(self, number: str | None) -> None:
        """Exception (busy numbers): no server has a free line; calls are refused for a doubling backoff."""
        if number is not None:
            _, backoff_ms = self.busy_numbers.pop(number, (0.0, INITIAL_BUSY_MS))
            self.busy_numbers[number] = self._context.now_ms + backoff_ms, min(2 * backoff_ms, MAX_BUSY_MS)
            if len(self.busy_numbers) > MAX_BUSY_NUMBERS:
                del self.busy_numbers[next(iter(self.busy_numbers))]

    def on_sent(self, number: str | None) -> None:
        """Restart the backoff of a busy number, so that one call at a time tries it."""
        if number in self.busy_numbers:
            self.busy_numbers[number] = (
                self._context.now_ms + self.busy_numbers[number][1],
                self.busy_numbers[number][1],
            )
