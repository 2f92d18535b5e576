"""The switch and figures of learning from a running instance, from a file of its own (TOML).

The file is named by ``CANVASPLANK_LEARNING``; without it learning is off, as on platforms where instances may
not talk to each other.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from canvasplank.config.addresses import parse_address
from canvasplank.config.extension_file import load_extension_settings
from canvasplank.warm_start.start_hints import HALF_LIFE_MS, MAX_AGE_MS

Positive = Annotated[float, msgspec.Meta(gt=0, le=3_600_000)]


class WarmStartSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Whom to ask at the start (``peer``, ``peers``), where to answer others (``listen``), how age counts."""

    peer: str = ""
    peers: list[str] = []
    listen: str = ""
    timeout_ms: Positive = msgspec.field(name="bound_ms", default=500.0)
    half_life_ms: Positive = HALF_LIFE_MS
    max_age_ms: Positive = msgspec.field(name="most_age_ms", default=MAX_AGE_MS)

    def peer_addresses(self) -> list[str]:
        """Every peer that may be asked, once."""
        return list(dict.fromkeys(filter(None, [self.peer, *self.peers])))


def load_warm_start_settings(path: str) -> WarmStartSettings:
    """Read the file."""
    return load_extension_settings(path, "learning", WarmStartSettings, _check)


load_learning = load_warm_start_settings  # the former name, until its last users have the new one


def _check(settings: WarmStartSettings) -> None:
    for address in (*settings.peer_addresses(), *filter(None, [settings.listen])):
        parse_address(address)
