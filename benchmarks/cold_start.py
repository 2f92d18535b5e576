"""Starts hundreds of proxies at once: ``python -m benchmarks.cold_start FOLDER [COUNT ...]``.

The board accepts and closes from before the start until ``TROUBLE_S`` after the last proxy listens.
For each size three variants: as it is, with the fleet's pace, and with that and the fleet's rows.  Writes
``cold-start.csv`` and a chart of polls over time.
"""

from __future__ import annotations

import asyncio
import csv
import sys
import tempfile
import time
from pathlib import Path

from checks.spending import most_in
from standins.fleet import fleet
from standins.server import CallServer

TROUBLE_S, AFTER_S = 12.0, 25.0
FLEET = """backend = "sqlite"
path = "{path}"
proxies_most = 1000
[[budget]]
name = "all"
kind = "set-ups"
whole_per_s = 2000.0
"""
VARIANTS = ("as it is", "paced", "paced, with rows")


async def play(count: int, variant: str) -> tuple[list[tuple], list[float]]:
    """One start; figures, and when polls came, from the first on."""
    with tempfile.TemporaryDirectory() as folder:
        where, environment = Path(folder), {}
        if variant != "as it is":
            (where / "starting.toml").write_text("polls_per_s = 30.0\nfirst_per_s = 75.0\n")
            environment["CANVASPLANK_STARTING"] = str(where / "starting.toml")
        if variant == "paced, with rows":
            (where / "fleet.toml").write_text(FLEET.format(path=where / "fleet.db"))
            environment["CANVASPLANK_FLEET"] = str(where / "fleet.toml")
        server = CallServer("s-0", capacity_per_s=1000.0)
        async with fleet(where, [server], instances=count) as started:
            started.in_configuration = False
            board = started.board
            board.in_trouble = True
            loop = asyncio.get_running_loop()
            began = loop.time()
            await asyncio.gather(*(started.proxy(f"n{n}", n, **environment) for n in range(count)))
            listen_s = loop.time() - began
            await asyncio.sleep(TROUBLE_S)
            board.in_trouble, back = False, loop.time()
            heard_s: float | None = None
            while loop.time() < back + AFTER_S and heard_s is None:
                await asyncio.sleep(0.05)
                if server.connections >= count:
                    heard_s = loop.time() - back
            polls = sorted(board.polls)
            lasting = [at for at in polls if back - 8.0 <= at < back]
            after = [at for at in polls if at >= back]
            size = f"{count}, {variant}"
            rows = [("all listen after", size, "s", listen_s),
                    ("polls while in trouble", size, "a second", len(lasting) / 8.0),
                    ("most polls in 0.1 s", size, "", most_in(polls, 0.1)),
                    ("most polls in 0.1 s once it is back", size, "", most_in(after, 0.1)),
                    ("all have its list after", size, "s", heard_s)]
            return rows, [at - polls[0] for at in polls]


def chart(polls: dict[str, list[float]], path: Path) -> None:
    """Polls a second over time, a line a variant."""
    import matplotlib

    matplotlib.use("svg")
    import matplotlib.pyplot as plt

    figure, axis = plt.subplots(figsize=(9, 3.4))
    for name, times in polls.items():
        counts = [sum(second <= at < second + 1 for at in times) for second in range(int(max(times)) + 1)]
        axis.plot(counts, label=name)
    axis.set(xlabel="s since the first poll", ylabel="polls a second")
    axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)


async def measure(counts: list[int]) -> tuple[list[tuple], dict[str, list[float]]]:
    """Every variant of every size."""
    rows, polls = [], {}
    for count in counts:
        for variant in VARIANTS:
            began = time.monotonic()
            found, polls[f"{count} proxies, {variant}"] = await play(count, variant)
            for row in found:
                print(*row, sep="\t", flush=True)
            print(f"({time.monotonic() - began:.0f} s)", flush=True)
            rows += found
    return rows, polls


def main(folder: str, *counts: str) -> None:
    """Measure, and write the table and the chart."""
    rows, polls = asyncio.run(measure([int(count) for count in counts] or [100, 300]))
    with (Path(folder) / "cold-start.csv").open("w", newline="") as file:
        csv.writer(file).writerows([("what", "variant", "unit", "value"), *rows])
    chart(polls, Path(folder) / "cold-start.svg")


if __name__ == "__main__":
    main(*sys.argv[1:])
