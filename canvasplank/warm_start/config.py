"""Settings of the warm start, read from the TOML file that ``CANVASPLANK_LEARNING`` names.

Without the file the warm start is off, as it must be on platforms where instances must not communicate.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from canvasplank.config.addresses import parse_address
from canvasplank.config.extension_file import load_extension_settings
from canvasplank.warm_start.start_hints import HALF_LIFE_MS, MAX_AGE_MS

PositiveMs = Annotated[float, msgspec.Meta(gt=0, le=3_600_000)]


class WarmStartSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The peers to fetch a snapshot from, the address to serve one at, and the weighting by age."""

    peer: str = ""  # host:port
    peers: list[str] = []  # further addresses
    listen: str = ""  # host:port; empty: serve no snapshots
    timeout_ms: PositiveMs = msgspec.field(name="bound_ms", default=500.0)  # for all peers together
    half_life_ms: PositiveMs = HALF_LIFE_MS
    max_age_ms: PositiveMs = msgspec.field(name="most_age_ms", default=MAX_AGE_MS)

    def peer_addresses(self) -> list[str]:
        """Return the addresses in ``peer`` and ``peers`` without duplicates."""
        return list(dict.fromkeys(filter(None, [self.peer, *self.peers])))


def load_warm_start_settings(path: str) -> WarmStartSettings:
    """Read and validate the settings file; raises ``ConfigurationError``."""
    return load_extension_settings(path, "learning", WarmStartSettings, _check)


def _check(settings: WarmStartSettings) -> None:
    for address in (*settings.peer_addresses(), *filter(None, [settings.listen])):
        parse_address(address)
