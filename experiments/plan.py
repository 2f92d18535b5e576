"""The experiment file (TOML): fleet sizes, servers, load, faults with their times, variants to compare."""

from __future__ import annotations

import enum
from typing import Annotated, Any

import msgspec

from canvasplank.config.extension_file import load_extension_settings

Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Fraction = Annotated[float, msgspec.Meta(gt=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]


class FaultKind(enum.StrEnum):
    """Kinds of faults; in the values, which experiment files contain, ``board`` is service discovery."""

    DISCOVERY_CLOSES = "board-closes"  # connections are accepted and closed at once
    DISCOVERY_STALLS = "board-stalls"  # connections are accepted, and nothing is sent
    DISCOVERY_BUSY = "board-busy"  # polls are rejected with a Retry-After of ``wait_s``
    DISCOVERY_AWAY = "board-away"  # connections are refused
    PROXIES_KILLED = "proxies-killed"  # SIGKILL, and a new start under the same name when the fault ends
    PROXIES_FROZEN = "proxies-frozen"  # SIGSTOP, and SIGCONT when the fault ends
    PROXIES_CUT_OFF = "proxies-cut-off"  # links to service discovery are cut
    PROXIES_CUT_OFF_STORE = "proxies-cut-off-store"  # links to the store are cut in both directions
    PROXIES_DEAF_STORE = "proxies-deaf-store"  # requests reach the store, but its responses are held back
    STORE_STALLS = "store-stalls"  # received messages are not processed during the fault
    STORE_RESTARTS = "store-restarts"  # connections are closed, and none is accepted during the fault
    SERVERS_SILENT = "servers-silent"  # messages are read, and nothing is sent
    SERVERS_COLD = "servers-cold"  # server processes restart at the start time; ``for_s`` is not used


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
    """A fault to inject; ``start_s`` counts from the start of the run."""

    kind: FaultKind = msgspec.field(name="what")
    start_s: Seconds = msgspec.field(name="at_s", default=0.0)
    duration_s: Seconds = msgspec.field(name="for_s", default=0.0)
    fraction: Fraction = msgspec.field(name="part", default=1.0)  # affected part of the proxies or servers
    retry_after_s: Annotated[int, msgspec.Meta(ge=0, le=600)] = msgspec.field(name="wait_s", default=5)

    @property
    def end_s(self) -> float:
        """The end of the fault, in seconds since the start of the run."""
        return self.start_s + self.duration_s


class Variant(msgspec.Struct, forbid_unknown_fields=True):
    """Extension settings to compare, as tables of their files; an extension without a table is off."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=60)]
    cold_start: dict[str, Any] | None = msgspec.field(name="starting", default=None)
    # The run sets ``path`` and ``dsn``, and verifies the budgets where ``trace`` is set.
    fleet: dict[str, Any] | None = None


class ServerPlan(msgspec.Struct, forbid_unknown_fields=True):
    """Settings that all emulated call servers of an experiment share."""

    count: Count = 6
    capacity_per_s: Annotated[float, msgspec.Meta(gt=0)] = 60.0
    hold_ms: Annotated[float, msgspec.Meta(gt=0)] = 2000.0
    lines: Count = 400


class Experiment(msgspec.Struct, forbid_unknown_fields=True):
    """An experiment file: every variant runs at every size with every seed."""

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
        """Return the end of the last fault of service discovery, in seconds since the start; None without."""
        end_times_s = [fault.end_s for fault in self.faults if fault.kind in DISCOVERY_FAULTS]
        return max(end_times_s, default=None)


def load_experiment(path: str) -> Experiment:
    """Read an experiment file; raise ``ConfigurationError`` with a one-line message if it is not usable."""
    return load_extension_settings(path, "experiment", Experiment, _check)


def _check(experiment: Experiment) -> None:
    """Validate the rules that involve several keys; raise ``ValueError`` for the first one violated."""
    names = [variant.name for variant in experiment.variants]
    if len(set(names)) < len(names):
        raise ValueError("two variants have the same name")
    backends = {variant.fleet.get("backend") for variant in experiment.variants if variant.fleet}
    for fault in experiment.faults:
        if fault.kind in STORE_FAULTS and backends != {"postgresql"}:
            raise ValueError(f"{fault.kind} requires that every fleet uses the postgresql backend")
        if fault.end_s > experiment.duration_s:
            raise ValueError(
                f"{fault.kind} at {fault.start_s:g} s does not end within {experiment.duration_s:g} s"
            )
    if experiment.simulated_sizes:
        unsupported = sorted({fault.kind for fault in experiment.faults} - SIMULATED_FAULTS)
        if unsupported:
            raise ValueError(f"cannot be simulated: {', '.join(unsupported)}")
