"""An experiment as a file (TOML): the fleet, its load, faults with their times, the variants to compare."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec

from canvasplank.config.extension_file import load_extension_settings

Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Fraction = Annotated[float, msgspec.Meta(gt=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
FaultKind = Literal[
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
DISCOVERY_FAULTS = ("board-closes", "board-stalls", "board-busy", "board-away")
STORE_FAULTS = ("proxies-cut-off-store", "proxies-deaf-store", "store-stalls", "store-restarts")
SIMULATED_FAULTS = (*DISCOVERY_FAULTS, "servers-cold")


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """One fault; times are seconds since the first process was started."""

    kind: FaultKind = msgspec.field(name="what")
    start_s: Seconds = msgspec.field(name="at_s", default=0.0)
    duration_s: Seconds = msgspec.field(name="for_s", default=0.0)
    fraction: Fraction = msgspec.field(name="part", default=1.0)  # of the proxies or servers
    retry_after_s: Annotated[int, msgspec.Meta(ge=0, le=600)] = msgspec.field(name="wait_s", default=5)

    @property
    def end_s(self) -> float:
        """When it is over."""
        return self.start_s + self.duration_s


class Variant(msgspec.Struct, forbid_unknown_fields=True):
    """One version of the settings: the parts' files as tables; a part without one is off."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=60)]
    cold_start: dict[str, Any] | None = msgspec.field(name="starting", default=None)
    fleet: dict[str, Any] | None = None  # path and dsn are the rig's; with ``trace`` its budgets are proved


class ServerPlan(msgspec.Struct, forbid_unknown_fields=True):
    """The call servers, all alike."""

    count: Count = 6
    capacity_per_s: Annotated[float, msgspec.Meta(gt=0)] = 60.0
    hold_ms: Annotated[float, msgspec.Meta(gt=0)] = 2000.0
    lines: Count = 400


class Experiment(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file."""

    name: Annotated[str, msgspec.Meta(pattern="^[a-z0-9-]{1,40}$")]
    sizes: Annotated[list[Count], msgspec.Meta(min_length=1)]
    variants: Annotated[list[Variant], msgspec.Meta(min_length=1)] = msgspec.field(name="variant")
    seeds: Annotated[list[int], msgspec.Meta(min_length=1)]
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=3600)] = msgspec.field(name="for_s")
    calls_per_s: Annotated[float, msgspec.Meta(ge=0)] = 100.0
    simulated_sizes: list[Count] = []
    servers: ServerPlan = msgspec.field(default_factory=ServerPlan)
    faults: list[Fault] = msgspec.field(name="fault", default_factory=list)

    def discovery_recovered_s(self) -> float | None:
        """When the board has the last of its faults behind it; None: it has none."""
        end_times_s = [fault.end_s for fault in self.faults if fault.kind in DISCOVERY_FAULTS]
        return max(end_times_s, default=None)


def load_experiment(path: str) -> Experiment:
    """Read the file; whatever is wrong with it is a ``ConfigurationError`` of one line."""
    return load_extension_settings(path, "experiment", Experiment, _check)


def _check(experiment: Experiment) -> None:
    names = [variant.name for variant in experiment.variants]
    if len(set(names)) < len(names):
        raise ValueError("two variants have one name")
    backends = {variant.fleet.get("backend") for variant in experiment.variants if variant.fleet}
    for fault in experiment.faults:
        if fault.kind in STORE_FAULTS and backends != {"postgresql"}:
            raise ValueError(f"{fault.kind} is for fleets on postgresql")
        if fault.end_s > experiment.duration_s:
            raise ValueError(
                f"{fault.kind} at {fault.start_s:g} s does not end within {experiment.duration_s:g} s"
            )
    if experiment.simulated_sizes:
        unsupported = sorted({fault.kind for fault in experiment.faults} - set(SIMULATED_FAULTS))
        if unsupported:
            raise ValueError(f"cannot be simulated: {', '.join(unsupported)}")
