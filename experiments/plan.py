"""An experiment as a file (TOML): the fleet, its load, faults with their times, the variants to compare."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec

from canvasplank.config.extension_file import load_extension_settings

Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Fraction = Annotated[float, msgspec.Meta(gt=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
What = Literal[
    "board-closes",  # accepts and closes at once
    "board-stalls",  # accepts and says nothing
    "board-busy",  # refuses and names a wait of ``wait_s``
    "board-away",  # refuses connections
    "proxies-killed",  # and started again at the end, under their names
    "proxies-frozen",
    "proxies-cut-off",  # from the board
    "proxies-cut-off-store",  # from the fleet's store, both ways
    "proxies-deaf-store",  # what they ask arrives there, and its answers do not arrive here
    "store-stalls",
    "store-restarts",  # every connection ends, and none comes up meanwhile
    "servers-silent",
    "servers-cold",  # their processes have just started at that time; ``for_s`` is not used
]
DISCOVERY = ("board-closes", "board-stalls", "board-busy", "board-away")
STORE = ("proxies-cut-off-store", "proxies-deaf-store", "store-stalls", "store-restarts")
SIMULATED = (*DISCOVERY, "servers-cold")


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """One fault; times are seconds since the first process was started."""

    what: What
    at_s: Seconds = 0.0
    for_s: Seconds = 0.0
    part: Fraction = 1.0  # of the proxies or servers, drawn by the seed
    wait_s: Annotated[int, msgspec.Meta(ge=0, le=600)] = 5

    @property
    def ends_s(self) -> float:
        """When it is over."""
        return self.at_s + self.for_s


class Variant(msgspec.Struct, forbid_unknown_fields=True):
    """One version of the settings: the parts' files as tables; a part without one is off."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=60)]
    starting: dict[str, Any] | None = None
    fleet: dict[str, Any] | None = None  # path and dsn are the rig's; with ``trace`` its budgets are proved


class Servers(msgspec.Struct, forbid_unknown_fields=True):
    """The call servers, all alike."""

    count: Count = 6
    capacity_per_s: Annotated[float, msgspec.Meta(gt=0)] = 60.0
    hold_ms: Annotated[float, msgspec.Meta(gt=0)] = 2000.0
    lines: Count = 400


class Experiment(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file."""

    name: Annotated[str, msgspec.Meta(pattern="^[a-z0-9-]{1,40}$")]
    sizes: Annotated[list[Count], msgspec.Meta(min_length=1)]
    variant: Annotated[list[Variant], msgspec.Meta(min_length=1)]
    seeds: Annotated[list[int], msgspec.Meta(min_length=1)]
    for_s: Annotated[float, msgspec.Meta(gt=0, le=3600)]
    calls_per_s: Annotated[float, msgspec.Meta(ge=0)] = 100.0
    simulated_sizes: list[Count] = []
    servers: Servers = msgspec.field(default_factory=Servers)
    fault: list[Fault] = []

    def board_back_s(self) -> float | None:
        """When the board has the last of its faults behind it; None: it has none."""
        ends = [fault.ends_s for fault in self.fault if fault.what in DISCOVERY]
        return max(ends, default=None)


def load_experiment(path: str) -> Experiment:
    """Read the file; whatever is wrong with it is a ``ConfigurationError`` of one line."""
    return load_extension_settings(path, "experiment", Experiment, _check)


def _check(experiment: Experiment) -> None:
    names = [variant.name for variant in experiment.variant]
    if len(set(names)) < len(names):
        raise ValueError("two variants have one name")
    engines = {variant.fleet.get("backend") for variant in experiment.variant if variant.fleet}
    for fault in experiment.fault:
        if fault.what in STORE and engines != {"postgresql"}:
            raise ValueError(f"{fault.what} is for fleets on postgresql")
        if fault.ends_s > experiment.for_s:
            raise ValueError(f"{fault.what} at {fault.at_s:g} s does not end within {experiment.for_s:g} s")
    if experiment.simulated_sizes:
        left = sorted({fault.what for fault in experiment.fault} - set(SIMULATED))
        if left:
            raise ValueError(f"cannot be simulated: {', '.join(left)}")
