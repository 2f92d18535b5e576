"""Generates the scenario of a seed: which disturbances a soak run injects into the deployment, and when."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

PROXIES = 2
SERVERS = 3
LOAD_DURATION_S = 7.0
EARLIEST_S, LATEST_S = 0.8, 5.0  # disturbances begin between these times
MIN_DISTURBANCES, MAX_DISTURBANCES = 2, 4
CALLS_PER_S = 30.0
CROWD_PROBABILITY = 0.3
SILENT_CROWD_PROBABILITY = 0.4
UNREADABLE_PROBABILITY = 0.3
UNREADABLE_START_S, UNREADABLE_DURATION_S = (1.4, 3.0), (3.0, 5.0)


class DisturbanceKind(enum.Enum):
    """Kinds of disturbances of a deployment."""

    RESTART = "restart"  # SIGTERM, SIGKILL as early as allowed, and then a new process
    UPGRADE = "upgrade"  # a new process beside the old one, which is stopped once the new one is ready
    TWO_SIGTERMS = "two sigterms"  # a restart with a second SIGTERM
    RELOAD_AND_RESTART = "reload and restart"  # SIGHUP, then SIGTERM at once
    RELOAD_DURING_START = "reload during start"  # a restart whose new process gets SIGHUP while it starts
    DRAIN = "drain"  # quiesce, and resume after longer than a drain may take
    DRAIN_TWICE = "drain twice"  # quiesce, resume, quiesce at once, and resume
    RELOAD = "reload"  # SIGHUP, with service discovery at another address
    DISCOVERY_STALLS = "discovery stalls"
    DISCOVERY_CLOSES = "discovery closes"
    SERVER_HANGS = "server hangs"  # nothing passes on a server's connections, new ones included
    CONNECTIONS_RESET = "connections reset"  # all connections to one server
    SERVER_DRAINS = "server drains"  # a server drains, and becomes ready again
    SERVER_REPLACED = "server replaced"  # a server drains and is gone, and a new one takes its place
    CONNECTIONS_SPOILED = "connections spoiled"  # unreadable messages from a server that notices ends late


PROCESS_KINDS = frozenset(
    {
        DisturbanceKind.RESTART,
        DisturbanceKind.UPGRADE,
        DisturbanceKind.TWO_SIGTERMS,
        DisturbanceKind.RELOAD_AND_RESTART,
        DisturbanceKind.RELOAD_DURING_START,
        DisturbanceKind.DRAIN,
        DisturbanceKind.DRAIN_TWICE,
    }
)
SERVER_KINDS = frozenset(
    {
        DisturbanceKind.SERVER_HANGS,
        DisturbanceKind.CONNECTIONS_RESET,
        DisturbanceKind.SERVER_DRAINS,
        DisturbanceKind.SERVER_REPLACED,
        DisturbanceKind.CONNECTIONS_SPOILED,
    }
)
# ``_generate_unreadable_disturbance`` samples the remaining kind.
SAMPLED_KINDS = [kind for kind in DisturbanceKind if kind is not DisturbanceKind.CONNECTIONS_SPOILED]


@dataclass(frozen=True, slots=True)
class Disturbance:
    """One disturbance of a run; ``at_s`` counts from the start of the load."""

    kind: DisturbanceKind
    at_s: float
    duration_s: float  # unused for kinds with a fixed duration
    target: int  # index of the proxy or server; unused for kinds that affect all


@dataclass(frozen=True, slots=True)
class Scenario:
    """The disturbances of one run, and the start times of its crowds; None: no such crowd.

    A crowd opens many connections and places calls at a high rate. A silent one opens connections in waves
    until the end of the load, and reads nothing.
    """

    seed: int
    disturbances: tuple[Disturbance, ...]
    crowd_at_s: float | None
    silent_crowd_at_s: float | None

    def describe(self) -> str:
        """Return a description in one line, for the report."""
        parts = [f"{d.kind.value} {d.target} at {d.at_s:.1f} s" for d in self.disturbances]
        if self.crowd_at_s is not None:
            parts.append(f"crowd at {self.crowd_at_s:.1f} s")
        if self.silent_crowd_at_s is not None:
            parts.append(f"silent crowd from {self.silent_crowd_at_s:.1f} s on")
        return "; ".join(parts)


def generate_scenario(seed: int) -> Scenario:
    """Return the scenario of a seed, in which no process and no server is disturbed twice."""
    rng = random.Random(seed)
    kinds = rng.sample(SAMPLED_KINDS, rng.randint(MIN_DISTURBANCES, MAX_DISTURBANCES))
    free_proxies, free_servers = list(range(PROXIES)), list(range(SERVERS))
    disturbances = []
    for kind in kinds:
        targets = free_proxies if kind in PROCESS_KINDS else free_servers
        if kind in PROCESS_KINDS | SERVER_KINDS:
            if not targets:
                continue
            target = targets.pop(rng.randrange(len(targets)))
        else:
            target = 0
        disturbances.append(
            Disturbance(kind, rng.uniform(EARLIEST_S, LATEST_S), rng.uniform(0.5, 2.5), target)
        )
    disturbances += _generate_unreadable_disturbance(seed, free_servers)
    disturbances.sort(key=lambda disturbance: disturbance.at_s)
    crowd_at_s = rng.uniform(EARLIEST_S, LATEST_S) if rng.random() < CROWD_PROBABILITY else None
    silent_crowd_at_s = rng.uniform(EARLIEST_S, LATEST_S) if rng.random() < SILENT_CROWD_PROBABILITY else None
    return Scenario(seed, tuple(disturbances), crowd_at_s, silent_crowd_at_s)


def _generate_unreadable_disturbance(seed: int, free_servers: list[int]) -> list[Disturbance]:
    """Return a disturbance by unreadable messages, or none.

    It has its own random generator, so that the other disturbances of a seed stay what they were without it.
    """
    rng = random.Random(f"connections spoiled {seed}")
    if not free_servers or rng.random() >= UNREADABLE_PROBABILITY:
        return []
    at_s, duration_s = rng.uniform(*UNREADABLE_START_S), rng.uniform(*UNREADABLE_DURATION_S)
    return [Disturbance(DisturbanceKind.CONNECTIONS_SPOILED, at_s, duration_s, rng.choice(free_servers))]
