"""The tasks that a process owns, is ready to own, or has failed to run.

This module does no I/O and reads no clock.  The ownership recorded here may be out of date, since a process
may be suspended at any point; it only determines which tasks the process tries to run.  The store decides by
the term whether an effect is executed (``FencingToken``).
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypedDict

from canvasplank.fleet.backend import FencingToken
from canvasplank.fleet.lease_messages import LeaseResponse
from canvasplank.fleet.state import Task

# The wait before a failed task may be taken over; it doubles with each failure up to the maximum.
BACKOFF_MS, MAX_BACKOFF_MS = 500.0, 60_000.0


class TaskRequestFields(TypedDict):
    """The fields of a ``LeaseRequest`` that concern tasks."""

    capabilities: tuple[str, ...]
    ready: Mapping[str, int]
    given_up: tuple[str, ...]
    done: tuple[str, ...]


class ObservedFailures(NamedTuple):
    """The last seen number of failures of a task, and the time from which the task may be taken over."""

    failures: int
    ready_at_ms: float


NOT_OBSERVED = ObservedFailures(-1, 0.0)
NO_FAILURES = ObservedFailures(0, 0.0)


class TaskLeadership:
    """One process's view of its ``capabilities``, the tasks that it can own."""

    def __init__(self, capabilities: Iterable[str], rng: random.Random) -> None:
        self.capabilities = tuple(sorted(capabilities))
        self._rng = rng
        self._incarnation: int | None = None
        self._terms: dict[str, int] = {}  # by owned task
        self._given_up: set[str] = set()  # tasks that failed here and that the store has not released yet
        self._done: set[str] = set()  # tasks that succeeded since the last response
        self._observed_failures: dict[str, ObservedFailures] = {}  # by task

    def on_response(self, response: LeaseResponse, now_ms: float) -> None:
        """Apply the ownership and the failures in the response to the newest request."""
        self._incarnation = response.incarnation
        self._terms = {
            name: task.term
            for name, task in response.tasks.items()
            if task.owner == self._incarnation and self._incarnation is not None
        }
        self._given_up &= self._terms.keys()  # drop the tasks that the store has released
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
        """Return the fencing tokens of the owned tasks that are not given up, sorted by task."""
        return [
            FencingToken(name, term, self._incarnation)
            for name, term in sorted(self._terms.items())
            if name not in self._given_up and self._incarnation is not None
        ]

    def ready(self, now_ms: float) -> dict[str, int]:
        """Return the tasks that this process would take over now, each with its last seen failure count."""
        observed = {name: self._observed_failures.get(name, NO_FAILURES) for name in self.capabilities}
        return {name: each.failures for name, each in observed.items() if each.ready_at_ms <= now_ms}

    def request_fields(self, now_ms: float) -> TaskRequestFields:
        """Return the fields of the next request that concern tasks."""
        return {
            "capabilities": self.capabilities,
            "ready": self.ready(now_ms),
            "given_up": tuple(sorted(self._given_up)),
            "done": tuple(sorted(self._done)),
        }

    def succeeded(self, token: FencingToken) -> None:
        """Record a success of the token's task, to be reported with the next request."""
        self._done.add(token.task)

    def failed(self, token: FencingToken) -> None:
        """Give up the token's task, which failed here, so that another process tries it."""
        if self._terms.get(token.task) == token.term:
            self._given_up.add(token.task)

    def on_stale(self, token: FencingToken) -> None:
        """Stop owning the token's task, since the store rejected an effect: the term has ended."""
        if self._terms.get(token.task) == token.term:
            del self._terms[token.task]
