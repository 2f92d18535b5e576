"""The file of a fleet's start, named by ``CANVASPLANK_STARTING``."""

from __future__ import annotations

from typing import Annotated

import msgspec

Rate = Annotated[float, msgspec.Meta(ge=0, le=100_000)]


class ColdStartSettings(msgspec.Struct, forbid_unknown_fields=True):
    """What the notice board and each call server are to bear of the whole fleet; 0: no bound on it."""

    polls_per_s: Rate = 0.0  # while it is in trouble
    first_per_s: Rate = 0.0  # first polls after a start, and when it is known to be back; 0: as polls_per_s
    connections_per_s: Rate = 0.0  # first connections at each call server
    initial_rate_per_s: Rate = msgspec.field(name="begin_per_s", default=0.0)  # set-ups there at first
    ready_with_list: bool = False  # no test is passed before a list names a server
    servers_per_proxy: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0  # for each class of call; 0: all
    # At least so many proxies keep to each server, on average: in a small fleet each then keeps to more.
    proxies_per_server: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0
