"""A closing's file: whole or not there, once, and the same bytes whoever writes it.

A hidden file is written and synced, then linked under its name.  A link never replaces what is there, so a
late owner cannot put an old file back.
"""

from __future__ import annotations

import csv
import io
import os
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from pathlib import Path

from canvasplank.worker.usage_ledger import Sum

MARK = ".canvasplank-usage"  # a folder with this in it is ours
COLUMNS = ("period_start", "member", "class_name", "final", "correction", "calls")


class FolderError(Exception):
    """The export folder cannot be used; the message says why, in one line."""


class ContentError(Exception):
    """A closing's file is there with other content: nobody of ours wrote that."""


def claim(folder: Path) -> None:
    """See that the folder is ours to write to; one that holds something else is left alone."""
    try:
        names = {path.name for path in folder.iterdir()}
        if MARK not in names:
            if names:
                raise FolderError(f"{folder} holds what is not ours: {min(names)}")
            (folder / MARK).write_text("exports of the usage ledger\n")
        if not os.access(folder, os.W_OK):
            raise FolderError(f"{folder} cannot be written to")
    except OSError as error:
        raise FolderError(f"{folder}: {error.strerror}") from None


def as_csv(sums: Sequence[Sum], period_ms: int) -> bytes:
    """Lines with a header."""
    text = io.StringIO(newline="")
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(COLUMNS)
    for each in sums:
        start = datetime.fromtimestamp(each.period * period_ms / 1000, UTC)
        rest = (getattr(each, name) for name in COLUMNS[1:])
        writer.writerow((start.isoformat(), *rest))
    return text.getvalue().encode()


def as_parquet(sums: Sequence[Sum], period_ms: int) -> bytes:
    """The same columns, by pyarrow, which is imported only here."""
    import pyarrow
    from pyarrow import parquet

    starts = pyarrow.array([each.period * period_ms for each in sums], pyarrow.timestamp("ms", "UTC"))
    rest = {name: [getattr(each, name) for each in sums] for name in COLUMNS[1:]}
    sink = pyarrow.BufferOutputStream()
    parquet.write_table(pyarrow.table({"period_start": starts, **rest}), sink, compression="none")
    return sink.getvalue().to_pybytes()


FORMATS: dict[str, Callable[[Sequence[Sum], int], bytes]] = {"csv": as_csv, "parquet": as_parquet}


def publish(folder: Path, name: str, content: bytes, pause: Callable[[str], None]) -> bool:
    """Have the file be there; False: it was already, and holds the same."""
    hidden = folder / f".{name}.{os.getpid()}"
    with hidden.open("wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    pause("export:written")
    try:
        os.link(hidden, folder / name)
    except FileExistsError:
        if (folder / name).read_bytes() != content:
            raise ContentError(f"{folder / name} is there with other content") from None
        return False
    finally:
        hidden.unlink(missing_ok=True)
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    return True


def sweep(folder: Path) -> None:
    """Remove hidden files that a killed writer has left; one that is being written is written anew."""
    for path in folder.glob(".usage-*"):
        path.unlink(missing_ok=True)
