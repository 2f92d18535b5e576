"""Counts for the operators: printed on SIGUSR1 and at the end, and as figures on the admin address."""

from __future__ import annotations

from collections import Counter

CLASS_FIGURES = ("served", "refused", "failed", "attempts")  # by class, by the front's names for them


class Counters:
    """Counts by name, in groups: taken in, sent, answered, ended, sockets and the extensions' own."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._by_class: Counter[tuple[str, str]] = Counter()  # (figure, class)

    def add(self, name: str, more: int = 1) -> None:
        """Add to a count; names are ``group.what``."""
        self._counts[name] += more

    def set(self, name: str, value: int) -> None:
        """Set a count that another component maintains."""
        self._counts[name] = value

    def count_for_class(self, figure: str, class_name: str) -> None:
        """Count a call's answer, or an attempt, for its class; ``figure`` is one of ``CLASS_FIGURES``."""
        self._by_class[figure, class_name] += 1

    def metric_lines(self, in_flight: int, servers_known: int, servers_excluded: int) -> list[str]:
        """The figures in the exposition format that the front reads, a line each.

        Every class seen has all four figures, so that a 0 reads as 0 and not as missing.
        """
        classes = sorted({class_name for _, class_name in self._by_class})
        lines = [
            f'edge_{figure}{{class="{_escaped(name)}"}} {self._by_class[figure, name]}'
            for figure in CLASS_FIGURES
            for name in classes
        ]
        return [
            *lines,
            f"edge_in_flight {in_flight}",
            f"edge_call_servers_known {servers_known}",
            f"edge_call_servers_excluded {servers_excluded}",
        ]

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def lines(self) -> list[str]:
        """One line a group, in a fixed order."""
        groups: dict[str, list[str]] = {}
        for name in sorted(self._counts):
            group, _, what = name.partition(".")
            groups.setdefault(group, []).append(f"{what}={self._counts[name]}")
        return [f"counters {group}: {' '.join(counts)}" for group, counts in groups.items()]


def _escaped(label: str) -> str:
    """A label value as the exposition format writes it."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
