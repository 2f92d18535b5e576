"""Settings of a worker process, from a file of its own (TOML, ``deploy/work.toml``)."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from canvasplank.config.extension_file import load_extension_settings

MAX_DURATION_MS = 366 * 24 * 3_600_000
Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_MS)]


class WorkerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the usage ledger, its exports and the retention of call records.

    A field whose key in the file differs from its name carries that key.
    """

    # The export folder; it must exist and hold nothing but exports.
    export_folder: Annotated[str, msgspec.Meta(min_length=1)] = msgspec.field(name="folder")
    period_ms: Annotated[int, msgspec.Meta(ge=100, le=MAX_DURATION_MS)] = 3_600_000  # of the ledger
    grace_ms: Milliseconds = 60_000.0  # from the end of a period to its closing
    # An unserved call that is repeated within this time counts as the same call.
    repeat_window_ms: Milliseconds = msgspec.field(default=30_000.0, name="repeat_ms")
    # Age at which counted and exported records are deleted.
    retention_ms: Milliseconds = msgspec.field(default=90 * 24 * 3_600_000.0, name="keep_ms")
    # Between two checks for work.
    poll_interval_ms: Milliseconds = msgspec.field(default=1_000.0, name="look_ms")
    export_formats: tuple[Literal["csv", "parquet"], ...] = msgspec.field(
        default=("csv", "parquet"), name="formats"
    )


def load_worker_settings(path: str) -> WorkerSettings:
    """Read and check the file; raises ``ConfigurationError``."""
    return load_extension_settings(path, "work", WorkerSettings, _check)


def _check(settings: WorkerSettings) -> None:
    if not settings.export_formats:
        raise ValueError("formats names none")
    if settings.retention_ms < settings.period_ms + settings.grace_ms + settings.repeat_window_ms:
        raise ValueError("keep_ms is less than a period, its grace and repeat_ms")
