"""What an experiment leaves: tables of figures and of series (Parquet and CSV), charts, and a summary."""

from __future__ import annotations

import math
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import pyarrow as pa
import pyarrow.csv
import pyarrow.parquet

from experiments.measures import Figure, Observed, per_second, served_share

FIGURES, SERIES = "figures", "series"
POLLS, CONNECTIONS, SET_UPS, SERVED = "polls", "first connections", "set-ups", "served share"
FIGURE_SCHEMA = pa.schema(
    [
        ("experiment", pa.string()),
        ("way", pa.string()),
        ("size", pa.int32()),
        ("variant", pa.string()),
        ("seed", pa.int32()),
        ("what", pa.string()),
        ("unit", pa.string()),
        ("value", pa.float64()),
    ]
)
SERIES_SCHEMA = pa.schema(
    [
        ("experiment", pa.string()),
        ("way", pa.string()),
        ("size", pa.int32()),
        ("variant", pa.string()),
        ("seed", pa.int32()),
        ("what", pa.string()),
        ("second", pa.int32()),
        ("value", pa.float64()),
    ]
)


class Played(NamedTuple):
    """One play and what came of it; ``way``: on processes, or simulated."""

    experiment: str
    way: str
    size: int
    variant: str
    seed: int
    figures: list[Figure]
    series: dict[str, list[float | None]]

    @property
    def key(self) -> tuple:
        """What stands before each of its rows."""
        return self.experiment, self.way, self.size, self.variant, self.seed


def series(seen: Observed, for_s: float) -> dict[str, list[float | None]]:
    """What is drawn: counts a second, and the share of calls due in it that were served."""
    found: dict[str, list[float | None]] = {
        POLLS: list(per_second(seen.polls, for_s)),
        CONNECTIONS: list(per_second([at for times in seen.connections.values() for at in times], for_s)),
        SET_UPS: list(per_second([at for times in seen.set_ups.values() for at in times], for_s)),
    }
    for name, budget in seen.budgets.items():
        found[f"{name} spent"] = list(per_second(budget.spent(), for_s))
    if seen.calls:
        found[SERVED] = served_share(seen.calls, for_s)
    return found


def write(folder: Path, played: Iterable[Played]) -> None:
    """The tables of all plays; what stood there is replaced."""
    played = list(played)
    figures = [(*p.key, *figure) for p in played for figure in p.figures]
    points = [
        (*p.key, what, second, value)
        for p in played
        for what, values in p.series.items()
        for second, value in enumerate(values)
    ]
    for name, schema, rows in ((FIGURES, FIGURE_SCHEMA, figures), (SERIES, SERIES_SCHEMA, points)):
        columns = [list(column) for column in zip(*rows, strict=True)] or [[] for _ in schema.names]
        arrays = [pa.array(column, kind.type) for column, kind in zip(columns, schema, strict=True)]
        table = pa.Table.from_arrays(arrays, schema=schema)
        pa.parquet.write_table(table, folder / f"{name}.parquet")
        pa.csv.write_csv(table, folder / f"{name}.csv")


def mean(values: Iterable[float | None]) -> float | None:
    """Of those that came to be."""
    there = [value for value in values if value is not None]
    return math.fsum(there) / len(there) if there else None


def summary(played: Iterable[Played]) -> str:
    """A Markdown table for each size: a row a figure, a column a variant; the mean over seeds, and the range.

    A figure that did not come to be in some play says in how many it did.
    """
    played = list(played)
    lines: list[str] = []
    for way, size in dict.fromkeys((p.way, p.size) for p in played):
        here = [p for p in played if (p.way, p.size) == (way, size)]
        variants = list(dict.fromkeys(p.variant for p in here))
        lines += [
            "",
            f"{size} proxies, {way}:",
            "",
            "| | " + " | ".join(variants) + " |",
            "| --- |" + " --- |" * len(variants),
        ]
        for what, unit in dict.fromkeys((f.what, f.unit) for p in here for f in p.figures):
            found = [(p.variant, f.value) for p in here for f in p.figures if f.what == what]
            cells = [_cell([value for by, value in found if by == variant]) for variant in variants]
            lines.append(f"| {what}{f' ({unit})' if unit else ''} | " + " | ".join(cells) + " |")
    return "\n".join(lines).strip() + "\n"


def _cell(values: list[float | None]) -> str:
    there = [value for value in values if value is not None]
    if not there:
        return "never" if values else ""
    text = f"{mean(there):.3g}"
    if max(there) > min(there):
        text += f" ({min(there):.3g} to {max(there):.3g})"
    return text if len(there) == len(values) else f"{text}, in {len(there)} of {len(values)}"


def chart(folder: Path, played: Iterable[Played]) -> list[Path]:
    """One picture for each size: one thing above the other, a line a variant (the mean over seeds)."""
    import matplotlib

    matplotlib.use("svg")
    import matplotlib.pyplot as plt

    played, made = list(played), []
    for way, size in dict.fromkeys((p.way, p.size) for p in played):
        here = [p for p in played if (p.way, p.size) == (way, size)]
        drawn = list(dict.fromkeys(what for p in here for what in p.series))
        figure, axes = plt.subplots(len(drawn), 1, figsize=(9, 2.1 * len(drawn)), sharex=True, squeeze=False)
        for axis, what in zip(axes[:, 0], drawn, strict=True):
            for variant in dict.fromkeys(p.variant for p in here):
                lines = [p.series[what] for p in here if p.variant == variant]
                means = [mean(at) for at in zip(*lines, strict=True)]
                axis.plot([math.nan if value is None else value for value in means], label=variant)
            axis.set_ylabel(what if what == SERVED else f"{what} a second", fontsize=8)
        axes[0, 0].legend(fontsize=7)
        axes[0, 0].set_title(f"{size} proxies, {way}", fontsize=9)
        axes[-1, 0].set_xlabel("seconds since the first was started")
        figure.tight_layout()
        path = folder / f"{here[0].experiment}-{size}-{way.replace(' ', '-')}.svg"
        figure.savefig(path, metadata={"Date": None})
        plt.close(figure)
        made.append(path)
    return made
