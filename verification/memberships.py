"""Checks the logs of all processes: no member of a fleet may be removed before its lease has expired.

The end of a lease is taken from the member's own log, the time of a removal from the log of the process that
removed the member. Both are times of the machine's ``CLOCK_BOOTTIME``, so the check is valid for processes
of one machine only.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(slots=True)
class Membership:
    """One incarnation of a process."""

    process: str
    incarnation: int
    until_ms: float = 0.0  # the end of the last lease that the process logged


@dataclass(frozen=True, slots=True)
class Removal:
    """The removal of a member by another process."""

    incarnation: int  # of the removed member
    at_ms: float  # when the other process logged the removal


@dataclass(slots=True)
class FleetHistory:
    """The memberships and removals that all processes logged."""

    memberships: list[Membership] = field(default_factory=list)
    removals: list[Removal] = field(default_factory=list)

    def last_membership(self, process: str) -> Membership:
        """Return the newest membership of a process; raises ``IndexError`` if the process never joined."""
        return [each for each in self.memberships if each.process == process][-1]

    def was_removed(self, membership: Membership) -> bool:
        """Return whether another process removed this member."""
        return any(removal.incarnation == membership.incarnation for removal in self.removals)

    def removed_too_early(self) -> list[Membership]:
        """Return the members that another process removed before the end of their last logged lease."""
        return [
            each
            for each in self.memberships
            for removal in self.removals
            if removal.incarnation == each.incarnation and removal.at_ms < each.until_ms
        ]


def read_history(paths: Iterable[Path]) -> FleetHistory:
    """Read the history from logs of JSON lines; a process has the name of its log file without the suffix."""
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
    """Yield the events of a log; a line that is incomplete, for example after SIGKILL, is skipped."""
    for line in path.read_text().splitlines():
        try:
            event = json.loads(line)
        except ValueError:
            continue
        yield event
