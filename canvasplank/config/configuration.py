"""The configuration file: addresses, resource limits, the bootstrap state and the platform's settings.

Decoded with msgspec, which skips keys that this version does not know.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from canvasplank.config.addresses import parse_address
from canvasplank.config.discovery_events import DiscoveryEvent


class ConfigurationError(ValueError):
    """The configuration cannot be used; the message gives the reason in one line."""


class ResourceLimits(msgspec.Struct):
    """What the platform lets this process use."""

    sockets: Annotated[int, msgspec.Meta(gt=0)] = 1024  # descriptors
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 192
    cores: float = 1.0


class BootstrapState(msgspec.Struct):
    """Events of service discovery up to the start."""

    rev: int = 0  # the number of the last one
    events: list[DiscoveryEvent] = msgspec.field(name="notices", default_factory=list)


class Configuration(msgspec.Struct):
    """The configuration file."""

    listen: str  # the callers' address
    seed: str  # of all random draws, hexadecimal
    discovery: str = msgspec.field(name="board")  # the address of service discovery
    settings: dict[str, Any]  # the platform's, see ``platform_settings``
    name: str = ""
    admin: str = ""  # the operators' address; empty: no such listener
    known: BootstrapState = msgspec.field(default_factory=BootstrapState)
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)


def load_configuration(path: str) -> Configuration:
    """Read the file; raises ``ConfigurationError`` for whatever is wrong with it."""
    try:
        with open(path, "rb") as file:
            configuration = msgspec.json.decode(file.read(), type=Configuration)
        for address in (configuration.listen, configuration.discovery, configuration.admin or "any:0"):
            parse_address(address)
        int(configuration.seed, 16)
    except (
        OSError,
        msgspec.MsgspecError,
        ValueError,
        RecursionError,
    ) as error:  # the last: nested too deeply
        raise ConfigurationError(f"configuration {path}: {error}") from None
    return configuration
