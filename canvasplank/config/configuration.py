"""The configuration file: addresses, resource limits, the bootstrap state and the platform's settings.

Unknown keys are ignored.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from canvasplank.config.addresses import parse_address
from canvasplank.config.discovery_events import DiscoveryEvent


class ConfigurationError(ValueError):
    """The configuration is unusable; the message gives the reason in one line."""


class ResourceLimits(msgspec.Struct):
    """The resources that the platform allows this process."""

    sockets: Annotated[int, msgspec.Meta(gt=0)] = 1024  # file descriptors
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 192
    cores: float = 1.0


class BootstrapState(msgspec.Struct):
    """The events of service discovery that precede the start of this process."""

    rev: int = 0  # the number of the last event
    events: list[DiscoveryEvent] = msgspec.field(name="notices", default_factory=list)


class Configuration(msgspec.Struct):
    """The configuration file."""

    listen: str  # the callers' address
    seed: str  # of all random number generators, hexadecimal
    discovery: str = msgspec.field(name="board")  # the address of service discovery
    settings: dict[str, Any]  # the platform's settings: see ``platform_settings``
    name: str = ""
    admin: str = ""  # the address for operators' commands; empty: no listener for them
    known: BootstrapState = msgspec.field(default_factory=BootstrapState)
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)


def load_configuration(path: str) -> Configuration:
    """Read and check the configuration file; raises ``ConfigurationError``."""
    try:
        with open(path, "rb") as file:
            configuration = msgspec.json.decode(file.read(), type=Configuration)
        for address in (configuration.listen, configuration.discovery, configuration.admin or "any:0"):
            parse_address(address)
        int(configuration.seed, 16)
    # JSON that is nested too deeply raises RecursionError.
    except (OSError, msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ConfigurationError(f"configuration {path}: {error}") from None
    return configuration
