"""Settings of the endpoint cache, read from the TOML file that ``CANVASPLANK_MEMBERSHIP`` names."""

from __future__ import annotations

from typing import Annotated

import msgspec

from canvasplank.config.extension_file import load_extension_settings
from canvasplank.endpoint_cache.bootstrap import INITIAL_RATE_PER_S, MAX_AGE_MS, MAX_FRESH_AGE_MS

YEAR_MS = 366 * 24 * 3_600_000.0  # maximum of the age settings


class EndpointCacheSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The path of the cache file, and how a start depends on its age (``bootstrap.plan_bootstrap``)."""

    path: Annotated[str, msgspec.Meta(min_length=1)]
    max_fresh_age_ms: Annotated[float, msgspec.Meta(ge=0, le=YEAR_MS)] = msgspec.field(
        name="trusted_ms", default=MAX_FRESH_AGE_MS
    )
    max_age_ms: Annotated[float, msgspec.Meta(gt=0, le=YEAR_MS)] = msgspec.field(
        name="most_age_ms", default=MAX_AGE_MS
    )
    initial_rate_per_s: Annotated[float, msgspec.Meta(gt=0, le=10_000)] = msgspec.field(
        name="start_per_s", default=INITIAL_RATE_PER_S
    )


def load_endpoint_cache_settings(path: str) -> EndpointCacheSettings:
    """Read and validate the settings file; raises ``ConfigurationError``."""
    return load_extension_settings(path, "membership", EndpointCacheSettings, _check)


def _check(settings: EndpointCacheSettings) -> None:
    if settings.max_fresh_age_ms > settings.max_age_ms:
        raise ValueError("trusted_ms is more than most_age_ms")
