"""The tasks that a process owns, would take over, or has failed at.  No I/O and no clock.

Ownership here is a belief that may be out of date, since a process may be stopped at any point: it serves to
choose what to try.  The store decides by the term whether an effect is carried out (``FencingToken``).
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypedDict

from canvasplank.fleet.backend import FencingToken
from canvasplank.fleet.lease_messages import LeaseResponse
from canvasplank.fleet.state import Task

BACKOFF_MS, MAX_BACKOFF_MS = 500.0, 60_000.0  # before a failed task is taken over, doubling with each failure


class TaskRequestFields(TypedDict):
    """The fields of a ``LeaseRequest`` that concern tasks."""

    capabilities: tuple[str, ...]
    ready: Mapping[str, int]
    given_up: tuple[str, ...]
    done: tuple[str, ...]


class ObservedFailures(NamedTuple):
    """The failures of a task as last seen, and from when on it may be taken over, in ms."""

    failures: int
    ready_at_ms: float


NOT_OBSERVED = ObservedFailures(-1, 0.0)
NO_FAILURES = ObservedFailures(0, 0.0)


class TaskLeadership:
    """One process's view of the tasks that it can own: ``capabilities``."""

    def __init__(self, capabilities: Iterable[str], rng: random.Random) -> None:
        self.capabilities = tuple(sorted(capabilities))
        self._rng = rng
        self._incarnation: int | None = None
        self._terms: dict[str, int] = {}  # of the tasks that it owns
        self._given_up: set[str] = set()  # failed here, and not yet released by a response
        self._done: set[str] = set()  # succeeded since the last response
        self._observed_failures: dict[str, ObservedFailures] = {}  # by task

    def on_response(self, response: LeaseResponse, now_ms: float) -> None:
        """Take over the ownership that the response to the newest request shows."""
        self._incarnation = response.incarnation
        self._terms = {
            name: task.term
            for name, task in response.tasks.items()
            if task.owner == self._incarnation and self._incarnation is not None
        }
        self._given_up &= self._terms.keys()  # reported, and no longer owned
        self._done.clear()
        for name, task in response.tasks.items():
            if self._observed_failures.get(name, NOT_OBSERVED).failures != task.failures:
                self._observed_failures[name] = ObservedFailures(
                    task.failures, now_ms + self._backoff_ms(task)
                )

    def _backoff_ms(self, task: Task) -> float:
        if not task.failures:
            return 0.0
        max_ms = min(MAX_BACKOFF_MS, BACKOFF_MS * 2.0 ** (task.failures - 1))
        return max_ms * self._rng.uniform(0.5, 1.0)

    def tokens(self) -> list[FencingToken]:
        """The fencing tokens of the tasks that it owns, sorted by task, without those given up."""
        return [
            FencingToken(name, term, self._incarnation)
            for name, term in sorted(self._terms.items())
            if name not in self._given_up and self._incarnation is not None
        ]

    def ready(self, now_ms: float) -> dict[str, int]:
        """The tasks that it would take over now, with the failures that it knows of each."""
        observed = {name: self._observed_failures.get(name, NO_FAILURES) for name in self.capabilities}
        return {name: each.failures for name, each in observed.items() if each.ready_at_ms <= now_ms}

    def request_fields(self, now_ms: float) -> TaskRequestFields:
        """The fields that concern tasks, for the next request."""
        return {
            "capabilities": self.capabilities,
            "ready": self.ready(now_ms),
            "given_up": tuple(sorted(self._given_up)),
            "done": tuple(sorted(self._done)),
        }

    def succeeded(self, token: FencingToken) -> None:
        """A step of the token's task succeeded; reported with the next request."""
        self._done.add(token.task)

    def failed(self, token: FencingToken) -> None:
        """A step of the token's task failed here: give it up, so that another process tries it."""
        if self._terms.get(token.task) == token.term:
            self._given_up.add(token.task)

    def on_stale(self, token: FencingToken) -> None:
        """The store refused an effect since the token's term has ended: it does not own the task."""
        if self._terms.get(token.task) == token.term:
            del self._terms[token.task]
