"""What a process owns, what it would take over, and what it has to say of that: no I/O and no clock.

Owning something here is a belief, good for choosing what to do.  Whether an effect is done is the store's to
say, by the term: a process may sleep at any point and wake with a belief that is out of date.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from typing import Any

from canvasplank.fleet.backend import FencingToken
from canvasplank.fleet.lease_messages import LeaseResponse
from canvasplank.fleet.state import Task

BACKOFF_MS, MAX_BACKOFF_MS = 500.0, 60_000.0  # before somebody takes what failed, doubling by failure


class TaskLeadership:
    """One process's part in the tasks of the fleet."""

    def __init__(self, capabilities: Iterable[str], rng: random.Random) -> None:
        self.capabilities = tuple(sorted(capabilities))
        self._rng = rng
        self._incarnation: int | None = None
        self._terms: dict[str, int] = {}
        self._given_up: set[str] = set()
        self._done: set[str] = set()
        self._observed_failures: dict[
            str, tuple[int, float]
        ] = {}  # failures of a task, and not before when to take it

    def on_response(self, response: LeaseResponse, now_ms: float) -> None:
        """The answer to the newest request: what is owned from here on."""
        self._incarnation = response.incarnation
        self._terms = {
            name: task.term
            for name, task in response.tasks.items()
            if task.owner == self._incarnation and self._incarnation is not None
        }
        self._given_up &= self._terms.keys()  # told, and taken
        self._done.clear()
        for name, task in response.tasks.items():
            failures, _ = self._observed_failures.get(name, (-1, 0.0))
            if failures != task.failures:
                self._observed_failures[name] = task.failures, now_ms + self._backoff_ms(task)

    def _backoff_ms(self, task: Task) -> float:
        if not task.failures:
            return 0.0
        max_ms = min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** (task.failures - 1))
        return max_ms * self._rng.uniform(0.5, 1.0)

    def tokens(self) -> list[FencingToken]:
        """What it may try to do."""
        return [
            FencingToken(name, term, self._incarnation)
            for name, term in sorted(self._terms.items())
            if name not in self._given_up and self._incarnation is not None
        ]

    def ready(self, now_ms: float) -> dict[str, int]:
        """What it would take over now, and how many failures of it it knows of."""
        observed = {name: self._observed_failures.get(name, (0, 0.0)) for name in self.capabilities}
        return {name: failures for name, (failures, from_ms) in observed.items() if from_ms <= now_ms}

    def request_fields(self, now_ms: float) -> Mapping[str, Any]:
        """Its part of the next request."""
        return {
            "capabilities": self.capabilities,
            "ready": self.ready(now_ms),
            "given_up": tuple(sorted(self._given_up)),
            "done": tuple(sorted(self._done)),
        }

    def succeeded(self, token: FencingToken) -> None:
        """A step of it went well."""
        self._done.add(token.task)

    def failed(self, token: FencingToken) -> None:
        """It cannot be done here now: somebody else is to try."""
        if self._terms.get(token.task) == token.term:
            self._given_up.add(token.task)

    def on_stale(self, token: FencingToken) -> None:
        """The store says that the term is over."""
        if self._terms.get(token.task) == token.term:
            del self._terms[token.task]
