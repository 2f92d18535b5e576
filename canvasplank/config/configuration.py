"""The configuration file: addresses, resource limits, the bootstrap state and the platform's settings.

Decoded with msgspec, which skips keys that this version does not know.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from canvasplank.config.addresses import parse_address
from canvasplank.config.discovery_events import DiscoveryEvent


class ConfigurationError(ValueError):
    """The configuration cannot be used; the message says why, in one line."""


class ResourceLimits(msgspec.Struct):
    """What the platform lets this machine have."""

    sockets: Annotated[int, msgspec.Meta(gt=0)] = 1024
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 192
    cores: float = 1.0


class BootstrapState(msgspec.Struct):
    """The notices up to the start."""

    rev: int = 0
    events: list[DiscoveryEvent] = msgspec.field(name="notices", default_factory=list)


class Configuration(msgspec.Struct):
    """All that the program is told at its start."""

    listen: str
    seed: str
    discovery: str = msgspec.field(name="board")  # its address
    settings: dict[str, Any]
    name: str = ""
    admin: str = ""  # the operators' address; none: no such listener
    known: BootstrapState = msgspec.field(default_factory=BootstrapState)
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)


def load_configuration(path: str) -> Configuration:
    """Read the file; whatever is wrong with it comes out as one line."""
    try:
        with open(path, "rb") as file:
            configuration = msgspec.json.decode(file.read(), type=Configuration)
        for address in (configuration.listen, configuration.discovery, configuration.admin or "any:0"):
            parse_address(address)
        int(configuration.seed, 16)
    except (OSError, msgspec.MsgspecError, ValueError, RecursionError) as error:  # the last: too deep
        raise ConfigurationError(f"configuration {path}: {error}") from None
    return configuration
