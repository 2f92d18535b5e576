"""Reads and writes the kept list's file."""

from __future__ import annotations

import logging
import os
from pathlib import Path

from canvasplank.endpoint_cache.cached_list import MOST_BYTES, KeptError, KeptList, decode, encode

LOG = logging.getLogger(__name__)


def read(path: str) -> KeptList | None:
    """The kept list, or None with one log line; no file at all is a first start and worth a line, too."""
    try:
        with open(path, "rb") as file:
            return decode(file.read(MOST_BYTES + 1))
    except (OSError, KeptError) as error:
        LOG.warning("no list of servers taken from %s: %s", path, error)
        return None


def write(path: str, kept: KeptList) -> None:
    """Put a new file in the old one's place; guards against a crash that leaves half a list."""
    fresh = f"{path}.new"
    with open(fresh, "wb") as file:
        file.write(encode(kept))
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, path)
    folder = os.open(Path(path).parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
