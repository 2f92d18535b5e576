"""Checks, over the logs of all processes, that no member of a fleet was removed while its lease ran.

The lease is that of the member's own log, the instant that of whoever removed it: both are read on the
machine's steady clock, so the check holds for processes of one machine.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(slots=True)
class Membership:
    """One incarnation of a process; ``until_ms`` is the end of the last lease that it logged."""

    process: str
    incarnation: int
    until_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Removal:
    """A member removed by another one, which logged it at ``at_ms``."""

    incarnation: int
    at_ms: float


@dataclass(slots=True)
class FleetHistory:
    """What all processes logged of their memberships and of the members that they removed."""

    memberships: list[Membership] = field(default_factory=list)
    removals: list[Removal] = field(default_factory=list)

    def last_membership(self, process: str) -> Membership:
        """The newest membership of a process; ``IndexError`` if it never joined."""
        return [each for each in self.memberships if each.process == process][-1]

    def was_removed(self, membership: Membership) -> bool:
        """Whether another member removed it."""
        return any(removal.incarnation == membership.incarnation for removal in self.removals)

    def removed_too_early(self) -> list[Membership]:
        """The members that another one removed before the end of the lease that they logged."""
        return [
            each
            for each in self.memberships
            for removal in self.removals
            if removal.incarnation == each.incarnation and removal.at_ms < each.until_ms
        ]


def read_history(paths: Iterable[Path]) -> FleetHistory:
    """The history in the processes' logs of JSON lines; a process is named as its log, without the suffix."""
    history = FleetHistory()
    for path in paths:
        current: Membership | None = None
        for event in _events(path):
            match event.get("event"):
                case "fleet.in":
                    current = Membership(path.stem, event["incarnation"])
                    history.memberships.append(current)
                case "fleet.out":
                    current = None
                case "fleet.removed":
                    removals = [Removal(each, event["at_ms"]) for each in event["incarnations"]]
                    history.removals.extend(removals)
                case "budget.share" if current is not None and event["until_ms"]:
                    current.until_ms = event["until_ms"]
    return history


def _events(path: Path) -> Iterator[dict[str, Any]]:
    """The events of a log; a line that is cut short, as by a kill, is skipped."""
    for line in path.read_text().splitlines():
        try:
            event = json.loads(line)
        except ValueError:
            continue
        yield event
