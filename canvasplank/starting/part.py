"""The pace of a fleet's polls as a part of the program, and its file, named by ``CANVASPLANK_STARTING``."""

from __future__ import annotations

import random
from typing import Annotated

import msgspec

from canvasplank.parts import Host, Made, Part
from canvasplank.settings import read_settings
from canvasplank.starting.polls import PollPace
from canvasplank.switch import load_switch

Rate = Annotated[float, msgspec.Meta(gt=0, le=100_000)]


class Starting(msgspec.Struct, forbid_unknown_fields=True):
    """What the notice board is to bear of the whole fleet."""

    polls_per_s: Rate = 30.0  # while it is in trouble
    first_per_s: Rate = 75.0  # first polls after a start, and when it is known to be back


def load(path: str) -> Made:
    """Read its file."""
    settings = load_switch(path, "starting", Starting, lambda _: None)
    return lambda host: StartingPart(host, settings)


class StartingPart(Part):
    """Has the board asked at the fleet's pace."""

    def __init__(self, host: Host, settings: Starting) -> None:
        instances = read_settings(host.configuration.settings).instances
        rng = random.Random(int(host.configuration.seed, 16))
        host.board.pace = PollPace(lambda: host.count_fleet() or instances, settings.polls_per_s,
                                   settings.first_per_s, rng)
