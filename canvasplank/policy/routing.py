"""The servers of the list, and the routing: which of them may take a call now, and in which order."""

from collections.abc import Iterator

from canvasplank import interface as api
from canvasplank.policy.call_queue import CallQueue, CallRecord
from canvasplank.policy.decision_context import DecisionContext
from canvasplank.policy.leaky_bucket import SECOND_MS
from canvasplank.policy.server import Server

RANDOM_CHOICES = 2  # servers drawn at random; the one with fewer pending set-ups is tried first


class Router:
    """Finds the candidate servers of a call; sends nothing itself."""

    def __init__(self, context: DecisionContext, queue: CallQueue, budgets: api.BudgetDelay | None) -> None:
        self._context = context
        self._queue = queue
        self._budgets = budgets
        self.servers: dict[str, Server] = {}

    def on_list(self, event: api.ServerList) -> None:
        """Apply a server list or a change to it; a server absent from a complete list is removed."""
        for entry in event.servers:
            if entry.state is api.ServerState.GONE:
                self.servers.pop(entry.id, None)
            elif entry.id in self.servers:
                self.servers[entry.id].on_entry(entry)
            else:
                self.servers[entry.id] = Server(entry, self._context)
        if event.kind is not api.ListKind.CHANGES:
            for server_id in self.servers.keys() - {entry.id for entry in event.servers}:
                del self.servers[server_id]

    def candidates(self, call: CallRecord) -> Iterator[Server]:
        """Yield servers that admit the call, in the order in which they are to be tried.

        First come the servers of the preferred pool, then two others drawn at random, the one with fewer
        pending set-ups first, and last the server where the call's latest attempt failed.  For a call of the
        lowest weight, silent servers whose trial is due come before all of these.
        """
        serving = [s for s in self.servers.values() if self.serves(s, call)]
        if self._queue.threshold(call) <= self._queue.trial_threshold:  # Exception (silence): a trial
            yield from (s for s in serving if s.silence.is_trial_due())
        failed = [s for s in serving if s.entry.id == call.failed_server_id]  # Exception (failures): last
        preferred = [s for s in serving if s.entry.pool == call.request.preferred_pool and s not in failed]
        yield from (s for s in preferred if self._admits(s, call))
        others = [s for s in serving if s not in preferred and s not in failed and self._admits(s, call)]
        yield from sorted(self._draw_two(others), key=lambda s: len(s.pending))
        yield from (s for s in failed if self._admits(s, call))

    def _draw_two(self, others: list[Server]) -> list[Server]:
        """Draw two different servers at random."""
        if len(others) <= RANDOM_CHOICES:
            return others
        choices = self._context.rng.choices  # Exception (fleet size): weighted by this gateway's share
        first = choices(others, [s.fleet_fraction() for s in others])[0]
        rest = [s for s in others if s is not first]
        return [first, choices(rest, [s.fleet_fraction() for s in rest])[0]]

    def serves(self, server: Server, call: CallRecord) -> bool:
        """Return whether the server is ready and the call's class may use its pool."""
        pools = call.call_class.pools
        entry = server.entry
        return entry.state is api.ServerState.READY and (pools is None or entry.pool in pools)

    def _admits(self, server: Server, call: CallRecord) -> bool:
        server.rate.update()
        ready = not server.silence.silent and server.slow_start.ready_at_ms() <= self._context.now_ms
        admits = ready and server.rate.bucket.admits(self._queue.threshold(call))
        return admits and self.budget_at_ms(server, call) <= self._context.now_ms

    def budget_at_ms(self, server: Server, call: CallRecord, *, take: bool = False) -> float:
        """Return when the fleet's budgets allow the attempt; ``take`` takes their units if that is now."""
        budgets = self._budgets
        server_id = server.entry.id
        delay_ms = budgets(call.request, call.attempts, server_id, take) if budgets else 0.0
        return self._context.now_ms + delay_ms

    def next_offer_at_ms(self, call: CallRecord) -> float:
        """Return when to offer a waiting call again: within a second, as rates grow meanwhile."""
        at_ms = self._context.now_ms + SECOND_MS
        threshold = self._queue.threshold(call)
        for server in self.servers.values():
            silent = server.silence.silent
            bucket = server.rate.bucket
            if self.serves(server, call) and not (silent and server.pending):
                ready_ms = server.silence.next_trial_ms if silent else bucket.admits_at_ms(threshold)
                ready_ms = max(ready_ms, server.slow_start.ready_at_ms(), self.budget_at_ms(server, call))
                at_ms = min(at_ms, ready_ms)
        return at_ms
