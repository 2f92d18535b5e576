"""Settings of the cold start, from the TOML file that ``CANVASPLANK_STARTING`` names."""

from __future__ import annotations

from typing import Annotated

import msgspec

from canvasplank.config.extension_file import load_extension_settings

PerSecond = Annotated[float, msgspec.Meta(ge=0, le=100_000)]
Count = Annotated[int, msgspec.Meta(ge=0, le=10_000)]


class ColdStartSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Rates of all proxies together, and the size of a proxy's subset; 0 means no limit."""

    polls_per_s: PerSecond = 0.0  # polls of service discovery while polls fail
    # First polls after a start, a recovery of discovery or a change of its address; 0 means polls_per_s.
    first_per_s: PerSecond = 0.0
    connections_per_s: PerSecond = 0.0  # first connections to each call server
    # The initial rate of set-ups at each call server.
    initial_rate_per_s: PerSecond = msgspec.field(name="begin_per_s", default=0.0)
    ready_with_list: bool = False  # a proxy is not ready before the endpoint list names a call server
    servers_per_proxy: Count = 0  # call servers in a proxy's subset, for each class of call; 0 means all
    # The minimum of the mean number of proxies per call server: subsets are larger in a small fleet.
    proxies_per_server: Count = 0


def load_cold_start_settings(path: str) -> ColdStartSettings:
    """Read and validate the file; raises ``ConfigurationError``."""
    return load_extension_settings(path, "starting", ColdStartSettings, lambda _: None)
