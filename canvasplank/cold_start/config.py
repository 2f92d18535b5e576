"""The settings of the cold start: a file (TOML) named by ``CANVASPLANK_STARTING``."""

from __future__ import annotations

from typing import Annotated

import msgspec

from canvasplank.config.extension_file import load_extension_settings

PerSecond = Annotated[float, msgspec.Meta(ge=0, le=100_000)]
Count = Annotated[int, msgspec.Meta(ge=0, le=10_000)]


class ColdStartSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Rates of all proxies together, and the size of a proxy's subset; 0: no limit."""

    polls_per_s: PerSecond = 0.0  # at service discovery while polls fail
    first_per_s: PerSecond = 0.0  # first polls after a start, a move or a recovery; 0: as polls_per_s
    connections_per_s: PerSecond = 0.0  # first connections to each call server
    initial_rate_per_s: PerSecond = msgspec.field(name="begin_per_s", default=0.0)  # first set-ups at each
    ready_with_list: bool = False  # not ready for callers before the endpoint list names a call server
    servers_per_proxy: Count = 0  # call servers in a proxy's subset, for each class of call; 0: all
    # The mean number of proxies per call server is at least this: in a small fleet, subsets are larger.
    proxies_per_server: Count = 0


def load_cold_start_settings(path: str) -> ColdStartSettings:
    """The settings in a file; raises ``ConfigurationError`` for a file that cannot be used."""
    return load_extension_settings(path, "starting", ColdStartSettings, lambda _: None)
