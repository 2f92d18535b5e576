"""An experiment as a file (TOML): the fleet, its load, faults with their times, the variants to compare."""

from __future__ import annotations

import enum
from typing import Annotated, Any

import msgspec

from canvasplank.config.extension_file import load_extension_settings

Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Fraction = Annotated[float, msgspec.Meta(gt=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]


class FaultKind(enum.StrEnum):
    """What a fault does; the values are those of experiment files, where ``board`` is service discovery."""

    DISCOVERY_CLOSES = "board-closes"  # accepts and closes at once
    DISCOVERY_STALLS = "board-stalls"  # accepts and sends nothing
    DISCOVERY_BUSY = "board-busy"  # refuses with a Retry-After of ``wait_s``
    DISCOVERY_AWAY = "board-away"  # refuses connections
    PROXIES_KILLED = "proxies-killed"  # and started again at the end, under their names
    PROXIES_FROZEN = "proxies-frozen"
    PROXIES_CUT_OFF = "proxies-cut-off"  # from service discovery
    PROXIES_CUT_OFF_STORE = "proxies-cut-off-store"  # from the fleet's store, both ways
    PROXIES_DEAF_STORE = "proxies-deaf-store"  # requests reach the store, and its responses are held back
    STORE_STALLS = "store-stalls"
    STORE_RESTARTS = "store-restarts"  # every connection ends, and none is accepted meanwhile
    SERVERS_SILENT = "servers-silent"
    SERVERS_COLD = "servers-cold"  # their processes have just started at that time; ``for_s`` is not used


DISCOVERY_FAULTS = frozenset(
    {
        FaultKind.DISCOVERY_CLOSES,
        FaultKind.DISCOVERY_STALLS,
        FaultKind.DISCOVERY_BUSY,
        FaultKind.DISCOVERY_AWAY,
    }
)
STORE_FAULTS = frozenset(
    {
        FaultKind.PROXIES_CUT_OFF_STORE,
        FaultKind.PROXIES_DEAF_STORE,
        FaultKind.STORE_STALLS,
        FaultKind.STORE_RESTARTS,
    }
)
SERVER_FAULTS = frozenset({FaultKind.SERVERS_SILENT, FaultKind.SERVERS_COLD})
SIMULATED_FAULTS = DISCOVERY_FAULTS | {FaultKind.SERVERS_COLD}


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """One fault; ``start_s`` counts from the start of the run."""

    kind: FaultKind = msgspec.field(name="what")
    start_s: Seconds = msgspec.field(name="at_s", default=0.0)
    duration_s: Seconds = msgspec.field(name="for_s", default=0.0)
    fraction: Fraction = msgspec.field(name="part", default=1.0)  # of the proxies or servers
    retry_after_s: Annotated[int, msgspec.Meta(ge=0, le=600)] = msgspec.field(name="wait_s", default=5)

    @property
    def end_s(self) -> float:
        """When it ends, in seconds since the start of the run."""
        return self.start_s + self.duration_s


class Variant(msgspec.Struct, forbid_unknown_fields=True):
    """One version of the settings: the extensions' files as tables; an extension without one is off."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=60)]
    cold_start: dict[str, Any] | None = msgspec.field(name="starting", default=None)
    fleet: dict[str, Any] | None = (
        None  # path and dsn are set by the run; with ``trace`` its budgets are verified
    )


class ServerPlan(msgspec.Struct, forbid_unknown_fields=True):
    """The emulated call servers, all alike."""

    count: Count = 6
    capacity_per_s: Annotated[float, msgspec.Meta(gt=0)] = 60.0
    hold_ms: Annotated[float, msgspec.Meta(gt=0)] = 2000.0
    lines: Count = 400


class Experiment(msgspec.Struct, forbid_unknown_fields=True):
    """The experiment file: every variant runs at every size with every seed."""

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
        """When the last fault of service discovery ends, in seconds since the start; None: it has none."""
        end_times_s = [fault.end_s for fault in self.faults if fault.kind in DISCOVERY_FAULTS]
        return max(end_times_s, default=None)


def load_experiment(path: str) -> Experiment:
    """Read an experiment file; raises ``ConfigurationError``, of one line, for whatever is wrong with it."""
    return load_extension_settings(path, "experiment", Experiment, _check)


def _check(experiment: Experiment) -> None:
    """Check what spans several keys; raises ``ValueError``."""
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
        unsupported = sorted({fault.kind for fault in experiment.faults} - SIMULATED_FAULTS)
        if unsupported:
            raise ValueError(f"cannot be simulated: {', '.join(unsupported)}")
