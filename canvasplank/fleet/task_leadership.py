"""What a process owns, what it would take over, and what it has to say of that: no I/O and no clock.

Owning something here is a belief, good for choosing what to do.  Whether an effect is done is the store's to
say, by the term: a process may sleep at any point and wake with a belief that is out of date.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from typing import Any

from canvasplank.fleet.backend import Tenure
from canvasplank.fleet.state import Answer, Task

BACKOFF_MS, BACKOFF_MOST_MS = 500.0, 60_000.0  # before somebody takes what failed, doubling by failure


class Ownership:
    """One process's part in the tasks of the fleet."""

    def __init__(self, able: Iterable[str], rng: random.Random) -> None:
        self.able = tuple(sorted(able))
        self._rng = rng
        self._me: int | None = None
        self._terms: dict[str, int] = {}
        self._given_up: set[str] = set()
        self._done: set[str] = set()
        self._seen: dict[str, tuple[int, float]] = {}  # failures of a task, and not before when to take it

    def heard(self, answer: Answer, now_ms: float) -> None:
        """The answer to the newest request: what is owned from here on."""
        self._me = answer.incarnation
        self._terms = {
            name: task.term
            for name, task in answer.tasks.items()
            if task.owner == self._me and self._me is not None
        }
        self._given_up &= self._terms.keys()  # told, and taken
        self._done.clear()
        for name, task in answer.tasks.items():
            failures, _ = self._seen.get(name, (-1, 0.0))
            if failures != task.failures:
                self._seen[name] = task.failures, now_ms + self._backoff_ms(task)

    def _backoff_ms(self, task: Task) -> float:
        if not task.failures:
            return 0.0
        most_ms = min(BACKOFF_MOST_MS, BACKOFF_MS * 2 ** (task.failures - 1))
        return most_ms * self._rng.uniform(0.5, 1.0)

    def tenures(self) -> list[Tenure]:
        """What it may try to do."""
        return [
            Tenure(name, term, self._me)
            for name, term in sorted(self._terms.items())
            if name not in self._given_up and self._me is not None
        ]

    def ready(self, now_ms: float) -> dict[str, int]:
        """What it would take over now, and how many failures of it it knows of."""
        seen = {name: self._seen.get(name, (0, 0.0)) for name in self.able}
        return {name: failures for name, (failures, from_ms) in seen.items() if from_ms <= now_ms}

    def says(self, now_ms: float) -> Mapping[str, Any]:
        """Its part of the next request."""
        return {
            "able": self.able,
            "ready": self.ready(now_ms),
            "given_up": tuple(sorted(self._given_up)),
            "done": tuple(sorted(self._done)),
        }

    def did(self, tenure: Tenure) -> None:
        """A step of it went well."""
        self._done.add(tenure.task)

    def failed(self, tenure: Tenure) -> None:
        """It cannot be done here now: somebody else is to try."""
        if self._terms.get(tenure.task) == tenure.term:
            self._given_up.add(tenure.task)

    def lost(self, tenure: Tenure) -> None:
        """The store says that the term is over."""
        if self._terms.get(tenure.task) == tenure.term:
            del self._terms[tenure.task]
