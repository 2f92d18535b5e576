"""The extensions that files switch on.

An extension is named by an environment variable that holds the path of its file.  One that is off is not even
imported: off, it costs nothing.
"""

from __future__ import annotations

import importlib
from collections.abc import Mapping
from typing import NamedTuple

from canvasplank.extensions.extension import ExtensionFactory


class ExtensionEntry(NamedTuple):
    """One kind of part: the variable that names its file, and the module whose ``load`` reads that."""

    variable: str
    module: str


# In the order of their starts: the kept list before whoever asks what servers there are.
REGISTRY = (
    ExtensionEntry("CANVASPLANK_MEMBERSHIP", "canvasplank.endpoint_cache.extension"),
    ExtensionEntry("CANVASPLANK_STORE", "canvasplank.store.extension"),
    ExtensionEntry("CANVASPLANK_STARTING", "canvasplank.cold_start.extension"),
    ExtensionEntry("CANVASPLANK_FLEET", "canvasplank.fleet.extension"),
    ExtensionEntry("CANVASPLANK_LEARNING", "canvasplank.warm_start.extension"),
)


def load_enabled_extensions(environment: Mapping[str, str]) -> list[ExtensionFactory]:
    """What the environment names files for, its files read; a bad one is a ``ConfigurationError``."""
    return [
        importlib.import_module(entry.module).load(path)
        for entry in REGISTRY
        if (path := environment.get(entry.variable))
    ]
