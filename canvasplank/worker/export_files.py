"""Export files of the usage ledger, published atomically and only once; every writer writes the same bytes.

A hidden partial file is written and synced, then linked under its final name.  A link never replaces an
existing file, so a former leader that resumes late cannot restore an old file.
"""

from __future__ import annotations

import csv
import io
import os
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from pathlib import Path

from canvasplank.worker.usage_ledger import UsageSum

FOLDER_MARKER = ".canvasplank-usage"  # marks a folder as an export folder
COLUMNS = ("period_start", "member", "class_name", "final", "correction", "calls")


class ExportError(Exception):
    """Base class of the errors of an export."""


class ExportFolderError(ExportError):
    """The export folder cannot be used; the message gives the reason on one line."""


class ExportConflictError(ExportError):
    """An export file exists with other content, which no worker can have written."""


def claim_folder(folder: Path) -> None:
    """Mark an empty folder as the export folder, or check that it is marked and writable.

    Nothing is written to an unmarked folder that contains files.  Raises ``ExportFolderError``.
    """
    try:
        names = {path.name for path in folder.iterdir()}
        if FOLDER_MARKER not in names:
            if names:
                raise ExportFolderError(
                    f"{folder} is not an export folder and contains other files: {min(names)}"
                )
            (folder / FOLDER_MARKER).write_text("exports of the usage ledger\n")
        if not os.access(folder, os.W_OK):
            raise ExportFolderError(f"{folder} is not writable")
    except OSError as error:
        raise ExportFolderError(f"{folder}: {error.strerror}") from error


def to_csv(sums: Sequence[UsageSum], period_ms: int) -> bytes:
    """Encode the sums as CSV with a header line; ``period_start`` is an ISO 8601 time in UTC."""
    text = io.StringIO(newline="")
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(COLUMNS)
    for entry in sums:
        start = datetime.fromtimestamp(entry.period * period_ms / 1000, UTC)
        rest = (getattr(entry, name) for name in COLUMNS[1:])
        writer.writerow((start.isoformat(), *rest))
    return text.getvalue().encode()


def to_parquet(sums: Sequence[UsageSum], period_ms: int) -> bytes:
    """Encode the sums as Parquet with the same columns as the CSV; pyarrow is imported only here."""
    import pyarrow
    from pyarrow import parquet

    starts = pyarrow.array([entry.period * period_ms for entry in sums], pyarrow.timestamp("ms", "UTC"))
    rest = {name: [getattr(entry, name) for entry in sums] for name in COLUMNS[1:]}
    sink = pyarrow.BufferOutputStream()
    parquet.write_table(pyarrow.table({"period_start": starts, **rest}), sink, compression="none")
    content: bytes = sink.getvalue().to_pybytes()
    return content


ENCODERS: dict[str, Callable[[Sequence[UsageSum], int], bytes]] = {"csv": to_csv, "parquet": to_parquet}


def publish(folder: Path, name: str, content: bytes, pause_point: Callable[[str], None]) -> bool:
    """Publish the file durably; returns False if it already exists with the same content.

    ``pause_point`` is called between the write and the link (see ``task_runner.pause_at``).  Raises
    ``ExportConflictError`` if the file exists with other content.
    """
    partial = folder / f".{name}.{os.getpid()}"
    with partial.open("wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    pause_point("export:written")
    try:
        os.link(partial, folder / name)
    except FileExistsError:
        if (folder / name).read_bytes() != content:
            raise ExportConflictError(f"{folder / name} already exists with other content") from None
        return False
    finally:
        partial.unlink(missing_ok=True)
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    return True


def remove_partial_files(folder: Path) -> None:
    """Remove the partial files of killed writers.

    If a writer is still alive, its publication fails and the export is retried.
    """
    for path in folder.glob(".usage-*"):
        path.unlink(missing_ok=True)
