"""Reads the cached endpoint list from its file and atomically replaces the file."""

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
    """Return the cached list; logs one line and returns None if it is missing (first start) or unusable."""
    try:
        with open(path, "rb") as file:
            return decode(file.read(MAX_BYTES + 1))
    except (OSError, CachedListError) as error:
        LOG.warning("not using the cached endpoint list %s: %s", path, error)
        return None


def write_cached_list(path: str, cached: CachedEndpointList) -> None:
    """Write and sync a temporary file, then rename it over the old file; raises ``OSError``.

    A crash during the write leaves the old list or the new one, never a truncated one.
    """
    new_path = f"{path}.new"
    with open(new_path, "wb") as file:
        file.write(encode(cached))
        file.flush()
        os.fsync(file.fileno())
    os.replace(new_path, path)
    folder_fd = os.open(Path(path).parent, os.O_RDONLY)
    try:
        os.fsync(folder_fd)  # makes the rename durable
    finally:
        os.close(folder_fd)
