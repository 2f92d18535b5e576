"""The pace of a fleet's start as a part of the program, and its file, named by ``CANVASPLANK_STARTING``."""

from __future__ import annotations

import random
from typing import Annotated

import msgspec

from canvasplank.parts import Host, Made, Part
from canvasplank.settings import read_settings
from canvasplank.starting.polls import SECOND_MS, PollPace
from canvasplank.switch import load_switch

Rate = Annotated[float, msgspec.Meta(gt=0, le=100_000)]


class Starting(msgspec.Struct, forbid_unknown_fields=True):
    """What the notice board and each call server are to bear of the whole fleet."""

    polls_per_s: Rate = 30.0  # while it is in trouble
    first_per_s: Rate = 75.0  # first polls after a start, and when it is known to be back
    connections_per_s: Rate = 60.0  # first connections at each call server


def load(path: str) -> Made:
    """Read its file."""
    settings = load_switch(path, "starting", Starting, lambda _: None)
    return lambda host: StartingPart(host, settings)


class StartingPart(Part):
    """Has the board asked, and call servers connected to, at the fleet's pace."""

    def __init__(self, host: Host, settings: Starting) -> None:
        instances = read_settings(host.configuration.settings).instances
        rng = random.Random(int(host.configuration.seed, 16))
        def fleet() -> int:
            return host.count_fleet() or instances

        host.board.pace = PollPace(fleet, settings.polls_per_s, settings.first_per_s, rng)
        host.servers.opening = lambda: rng.uniform(0.0, SECOND_MS * fleet() / settings.connections_per_s)
