"""Counters for operators: printed on SIGUSR1 and at exit, and read as metrics from the admin address."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

# Counted by class; the names are fixed by the front that reads them.
CLASS_FIGURES = ("served", "refused", "failed", "attempts")


class Counters:
    """Counters by name.  Groups: taken (received), sent, answered, ended, sockets, and one per extension."""

    def __init__(self, class_names: Collection[str] = ()) -> None:
        """``class_names``: the classes of the settings; no other name that a caller sends is counted."""
        self._counts: Counter[str] = Counter()
        self._by_class: dict[tuple[str, str], int] = {
            (figure, class_name): 0 for figure in CLASS_FIGURES for class_name in class_names
        }

    def add(self, name: str, count: int = 1) -> None:
        """Add to a counter; names have the form ``group.name``."""
        self._counts[name] += count

    def set(self, name: str, value: int) -> None:
        """Set a counter that another component maintains."""
        self._counts[name] = value

    def count_for_class(self, figure: str, class_name: str) -> None:
        """Add 1 to a class's count of answers or attempts; ``figure`` is one of ``CLASS_FIGURES``.

        Does nothing for a class that is not in the settings.
        """
        if (figure, class_name) in self._by_class:
            self._by_class[figure, class_name] += 1

    def metric_lines(self, in_flight: int, servers_known: int, servers_excluded: int) -> list[str]:
        """Return the metrics in the text exposition format that the front reads, one per line.

        Every class of the settings has all ``CLASS_FIGURES``, so that a 0 does not look missing.
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
        """Return one line per group, sorted by name."""
        groups: dict[str, list[str]] = {}
        for name in sorted(self._counts):
            group, _, name_in_group = name.partition(".")
            groups.setdefault(group, []).append(f"{name_in_group}={self._counts[name]}")
        return [f"counters {group}: {' '.join(counts)}" for group, counts in groups.items()]


def _escaped(label: str) -> str:
    """Return a label value, escaped for the text exposition format."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
