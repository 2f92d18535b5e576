"""Reads and writes the kept list's file."""

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
    """The kept list, or None with one log line; no file at all is a first start and worth a line, too."""
    try:
        with open(path, "rb") as file:
            return decode(file.read(MAX_BYTES + 1))
    except (OSError, CachedListError) as error:
        LOG.warning("no list of servers taken from %s: %s", path, error)
        return None


def write_cached_list(path: str, cached: CachedEndpointList) -> None:
    """Put a new file in the old one's place; guards against a crash that leaves half a list."""
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
