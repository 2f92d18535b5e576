"""The registry of extensions.

An extension is enabled by an environment variable with the path of its settings file.  Disabled extensions
are not imported, so they cost nothing.
"""

from __future__ import annotations

import importlib
from collections.abc import Mapping
from typing import NamedTuple

from canvasplank.extensions.extension import ExtensionFactory


class ExtensionEntry(NamedTuple):
    """The environment variable that names an extension's file, and the module whose ``load`` reads it."""

    variable: str
    module: str


# In the order in which they start: the endpoint cache first, since others need the endpoints.
REGISTRY = (
    ExtensionEntry("CANVASPLANK_MEMBERSHIP", "canvasplank.endpoint_cache.extension"),
    ExtensionEntry("CANVASPLANK_STORE", "canvasplank.store.extension"),
    ExtensionEntry("CANVASPLANK_STARTING", "canvasplank.cold_start.extension"),
    ExtensionEntry("CANVASPLANK_FLEET", "canvasplank.fleet.extension"),
    ExtensionEntry("CANVASPLANK_LEARNING", "canvasplank.warm_start.extension"),
)


def load_enabled_extensions(environment: Mapping[str, str]) -> list[ExtensionFactory]:
    """Return the factories of the extensions that the environment enables.

    Raises ``ConfigurationError`` if a settings file cannot be used.
    """
    return [
        importlib.import_module(entry.module).load(path)
        for entry in REGISTRY
        if (path := environment.get(entry.variable))
    ]
