"""Writes an experiment's output: tables of figures and series (Parquet and CSV), charts, and a summary."""

from __future__ import annotations

import math
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import pyarrow as pa
import pyarrow.csv
import pyarrow.parquet

from experiments.measures import Figure, per_second, served_fractions
from experiments.observations import Observations

FIGURES, SERIES = "figures", "series"
POLLS, CONNECTIONS, SET_UPS, SERVED = "polls", "first connections", "set-ups", "served share"
RESULT_COLUMNS = [  # of both tables: the run, and the name of the figure or series
    ("experiment", pa.string()),
    ("way", pa.string()),
    ("size", pa.int32()),
    ("variant", pa.string()),
    ("seed", pa.int32()),
    ("what", pa.string()),
]
FIGURE_SCHEMA = pa.schema(
    [
        *RESULT_COLUMNS,
        ("unit", pa.string()),
        ("value", pa.float64()),
    ]
)
SERIES_SCHEMA = pa.schema(
    [
        *RESULT_COLUMNS,
        ("second", pa.int32()),
        ("value", pa.float64()),
    ]
)


class RunResult(NamedTuple):
    """The result of one run; ``mode`` is ``processes`` or ``simulated`` (column ``way`` of the tables)."""

    experiment: str
    mode: str
    size: int
    variant: str
    seed: int
    figures: list[Figure]
    series: dict[str, list[float | None]]

    @property
    def key(self) -> tuple[str, str, int, str, int]:
        """The columns that identify the run."""
        return self.experiment, self.mode, self.size, self.variant, self.seed


def compute_series(observations: Observations, duration_s: float) -> dict[str, list[float | None]]:
    """Return the series of the charts, with a value per second: counts, and the served fraction of calls."""
    series: dict[str, list[float | None]] = {
        POLLS: list(per_second(observations.polled_at_s, duration_s)),
        CONNECTIONS: _counts(observations.connected_at_s, duration_s),
        SET_UPS: _counts(observations.set_ups_at_s, duration_s),
    }
    for name, budget in observations.budgets.items():
        series[f"{name} spent"] = list(per_second(budget.spent_at_s(), duration_s))
    if observations.calls:
        series[SERVED] = served_fractions(observations.calls, duration_s)
    return series


def _counts(times_by_server: dict[str, list[float]], duration_s: float) -> list[float | None]:
    return list(per_second([at for times in times_by_server.values() for at in times], duration_s))


def write_tables(folder: Path, results: Iterable[RunResult]) -> None:
    """Write the tables of all runs as Parquet and CSV, replacing those of an earlier call."""
    results = list(results)
    figures = [(*r.key, *figure) for r in results for figure in r.figures]
    points = [
        (*r.key, name, second, value)
        for r in results
        for name, values in r.series.items()
        for second, value in enumerate(values)
    ]
    for name, schema, rows in ((FIGURES, FIGURE_SCHEMA, figures), (SERIES, SERIES_SCHEMA, points)):
        columns = [list(column) for column in zip(*rows, strict=True)] or [[] for _ in schema.names]
        arrays = [pa.array(column, kind.type) for column, kind in zip(columns, schema, strict=True)]
        table = pa.Table.from_arrays(arrays, schema=schema)
        pa.parquet.write_table(table, folder / f"{name}.parquet")
        pa.csv.write_csv(table, folder / f"{name}.csv")


def mean_or_none(values: Iterable[float | None]) -> float | None:
    """Return the mean of the values that are not None, or None without any."""
    present = [value for value in values if value is not None]
    return math.fsum(present) / len(present) if present else None


def summary(results: Iterable[RunResult]) -> str:
    """Return a Markdown table per mode and size, with a row per figure and a column per variant.

    A cell has the mean over the seeds and the range and, if some runs have no value, how many have one.
    """
    results = list(results)
    lines: list[str] = []
    for mode, size in dict.fromkeys((r.mode, r.size) for r in results):
        here = [r for r in results if (r.mode, r.size) == (mode, size)]
        variants = list(dict.fromkeys(r.variant for r in here))
        lines += [
            "",
            f"{size} proxies, {mode}:",
            "",
            "| | " + " | ".join(variants) + " |",
            "| --- |" + " --- |" * len(variants),
        ]
        for name, unit in dict.fromkeys((f.name, f.unit) for r in here for f in r.figures):
            found = [(r.variant, f.value) for r in here for f in r.figures if f.name == name]
            cells = [_cell([value for by, value in found if by == variant]) for variant in variants]
            lines.append(f"| {name}{f' ({unit})' if unit else ''} | " + " | ".join(cells) + " |")
    return "\n".join(lines).strip() + "\n"


def _cell(values: list[float | None]) -> str:
    present = [value for value in values if value is not None]
    if not present:
        return "never" if values else ""
    text = f"{mean_or_none(present):.3g}"
    if max(present) > min(present):
        text += f" ({min(present):.3g} to {max(present):.3g})"
    return text if len(present) == len(values) else f"{text}, in {len(present)} of {len(values)}"


def write_charts(folder: Path, results: Iterable[RunResult]) -> list[Path]:
    """Write an SVG chart for each mode and size, and return their paths."""
    import matplotlib

    matplotlib.use("svg")

    results = list(results)
    return [
        _write_chart(folder, mode, size, [r for r in results if (r.mode, r.size) == (mode, size)])
        for mode, size in dict.fromkeys((r.mode, r.size) for r in results)
    ]


def _write_chart(folder: Path, mode: str, size: int, results: list[RunResult]) -> Path:
    """Draw one plot per series, with a line per variant (the mean over seeds)."""
    import matplotlib.pyplot as plt

    names = list(dict.fromkeys(name for r in results for name in r.series))
    figure, axes = plt.subplots(len(names), 1, figsize=(9, 2.1 * len(names)), sharex=True, squeeze=False)
    for axis, name in zip(axes[:, 0], names, strict=True):
        for variant in dict.fromkeys(r.variant for r in results):
            lines = [r.series[name] for r in results if r.variant == variant]
            means = [mean_or_none(at) for at in zip(*lines, strict=True)]
            axis.plot([math.nan if value is None else value for value in means], label=variant)
        axis.set_ylabel(name if name == SERVED else f"{name} a second", fontsize=8)
    axes[0, 0].legend(fontsize=7)
    axes[0, 0].set_title(f"{size} proxies, {mode}", fontsize=9)
    axes[-1, 0].set_xlabel("seconds since the start of the run")
    figure.tight_layout()
    path = folder / f"{results[0].experiment}-{size}-{mode.replace(' ', '-')}.svg"
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
    return path
