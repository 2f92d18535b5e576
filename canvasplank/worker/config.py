"""What a worker does, from a file of its own (TOML)."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from canvasplank.config.extension_file import load_extension_settings

Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=366 * 24 * 3_600_000)]


class Work(msgspec.Struct, forbid_unknown_fields=True):
    """The usage ledger and what becomes of it."""

    folder: Annotated[str, msgspec.Meta(min_length=1)]  # where exports go; its own, and must exist
    period_ms: Annotated[int, msgspec.Meta(ge=100, le=366 * 24 * 3_600_000)] = 3_600_000
    grace_ms: Milliseconds = 60_000.0  # after its end a period is closed
    repeat_ms: Milliseconds = 30_000.0  # a call not served that comes again within is the same call
    keep_ms: Milliseconds = 90 * 24 * 3_600_000.0  # counted and exported records are removed after so long
    look_ms: Milliseconds = 1_000.0  # between two looks at what is to be done
    formats: tuple[Literal["csv", "parquet"], ...] = ("csv", "parquet")


def load_work(path: str) -> Work:
    """Read the file."""
    return load_extension_settings(path, "work", Work, _check)


def _check(work: Work) -> None:
    if not work.formats:
        raise ValueError("formats names none")
    if work.keep_ms < work.period_ms + work.grace_ms + work.repeat_ms:
        raise ValueError("keep_ms is less than a period, its grace and repeat_ms")
