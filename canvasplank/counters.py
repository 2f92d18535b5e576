"""What has gone through the program, for the operators: printed on SIGUSR1 and at the end."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts by name, in the groups that an operator asks about: taken in, sent, answered, ended, sockets."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, more: int = 1) -> None:
        """Count something; names are ``group.what``."""
        self._counts[name] += more

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def lines(self) -> list[str]:
        """One line a group, in a fixed order."""
        groups: dict[str, list[str]] = {}
        for name in sorted(self._counts):
            group, _, what = name.partition(".")
            groups.setdefault(group, []).append(f"{what}={self._counts[name]}")
        return [f"counters {group}: {' '.join(parts)}" for group, parts in groups.items()]
