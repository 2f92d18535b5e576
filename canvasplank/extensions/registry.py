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
    """One extension: the environment variable that names its file, and the module whose ``load`` reads it."""

    variable: str
    module: str


# In the order of their starts: the endpoint cache before those that need the endpoints.
REGISTRY = (
    ExtensionEntry("CANVASPLANK_MEMBERSHIP", "canvasplank.endpoint_cache.extension"),
    ExtensionEntry("CANVASPLANK_STORE", "canvasplank.store.extension"),
    ExtensionEntry("CANVASPLANK_STARTING", "canvasplank.cold_start.extension"),
    ExtensionEntry("CANVASPLANK_FLEET", "canvasplank.fleet.extension"),
    ExtensionEntry("CANVASPLANK_LEARNING", "canvasplank.warm_start.extension"),
)


def load_enabled_extensions(environment: Mapping[str, str]) -> list[ExtensionFactory]:
    """Load each extension that the environment names a file for.

    Raises ``ConfigurationError`` for a file that cannot be used.
    """
    return [
        importlib.import_module(entry.module).load(path)
        for entry in REGISTRY
        if (path := environment.get(entry.variable))
    ]
