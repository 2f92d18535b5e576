"""Where the list is kept, and how its age counts: a file (TOML) named by ``CANVASPLANK_MEMBERSHIP``."""

from __future__ import annotations

from typing import Annotated

import msgspec

from canvasplank.config.extension_file import load_extension_settings
from canvasplank.endpoint_cache.bootstrap import MOST_AGE_MS, START_PER_S, TRUSTED_MS

YEAR_MS = 366 * 24 * 3_600_000.0


class Membership(msgspec.Struct, forbid_unknown_fields=True):
    """The kept list."""

    path: Annotated[str, msgspec.Meta(min_length=1)]
    trusted_ms: Annotated[float, msgspec.Meta(ge=0, le=YEAR_MS)] = TRUSTED_MS
    most_age_ms: Annotated[float, msgspec.Meta(gt=0, le=YEAR_MS)] = MOST_AGE_MS
    start_per_s: Annotated[float, msgspec.Meta(gt=0, le=10_000)] = START_PER_S


def load_membership(path: str) -> Membership:
    """Read the file."""
    return load_extension_settings(path, "membership", Membership, _check)


def _check(membership: Membership) -> None:
    if membership.trusted_ms > membership.most_age_ms:
        raise ValueError("trusted_ms is more than most_age_ms")
