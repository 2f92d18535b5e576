"""Reads the cached endpoint list from its file, and replaces the file atomically."""

from __future__ import annotations

import logging
import os
from pathlib import Path

from canvasplank.endpoint_cache.cached_list import (
    MAX_BYTES,
    CachedEndpointList,
    CachedListError,
    decode,
    encode,
)

LOG = logging.getLogger(__name__)


def read_cached_list(path: str) -> CachedEndpointList | None:
    """The cached list, or None with one log line; a missing file (a first start) is logged, too."""
    try:
        with open(path, "rb") as file:
            return decode(file.read(MAX_BYTES + 1))
    except (OSError, CachedListError) as error:
        LOG.warning("no endpoint list taken from %s: %s", path, error)
        return None


def write_cached_list(path: str, cached: CachedEndpointList) -> None:
    """Write a new file beside the old one, sync it, and rename it over the old one; raises ``OSError``.

    So a crash during the write leaves the old list or the new one, never a truncated one.
    """
    new_path = f"{path}.new"
    with open(new_path, "wb") as file:
        file.write(encode(cached))
        file.flush()
        os.fsync(file.fileno())
    os.replace(new_path, path)
    folder = os.open(Path(path).parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
