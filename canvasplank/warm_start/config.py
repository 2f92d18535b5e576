"""The settings of the warm start: a file (TOML) named by ``CANVASPLANK_LEARNING``.

Without the file the warm start is off, as on platforms where instances may not communicate.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from canvasplank.config.addresses import parse_address
from canvasplank.config.extension_file import load_extension_settings
from canvasplank.warm_start.start_hints import HALF_LIFE_MS, MAX_AGE_MS

PositiveMs = Annotated[float, msgspec.Meta(gt=0, le=3_600_000)]


class WarmStartSettings(msgspec.Struct, forbid_unknown_fields=True):
    """From which peers to fetch a snapshot, where to serve our own, and how age counts; times in
    milliseconds.
    """

    peer: str = ""  # host:port
    peers: list[str] = []  # more of them
    listen: str = ""  # host:port; empty: serve none
    timeout_ms: PositiveMs = msgspec.field(name="bound_ms", default=500.0)  # for all peers together
    half_life_ms: PositiveMs = HALF_LIFE_MS
    max_age_ms: PositiveMs = msgspec.field(name="most_age_ms", default=MAX_AGE_MS)

    def peer_addresses(self) -> list[str]:
        """The addresses of ``peer`` and ``peers``, without duplicates."""
        return list(dict.fromkeys(filter(None, [self.peer, *self.peers])))


def load_warm_start_settings(path: str) -> WarmStartSettings:
    """The settings in a file; raises ``ConfigurationError`` for a file that cannot be used."""
    return load_extension_settings(path, "learning", WarmStartSettings, _check)


def _check(settings: WarmStartSettings) -> None:
    for address in (*settings.peer_addresses(), *filter(None, [settings.listen])):
        parse_address(address)
