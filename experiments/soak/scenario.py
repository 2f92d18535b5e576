"""Draws, from a seed, what disturbs the deployment on one run and when."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

PROXIES = 2
SERVERS = 3
LOAD_S = 7.0  # for so long calls are placed
FIRST_S, LAST_S = 0.8, 5.0  # disturbances begin between these
MIN_DISTURBANCES, MAX_DISTURBANCES = 2, 4
CALLS_PER_S = 30.0
CROWD_PROBABILITY = 0.3
SILENT_CROWD_PROBABILITY = 0.4
SPOILED_PROBABILITY = 0.3
SPOILED_FROM_S, SPOILED_FOR_S = (1.4, 3.0), (3.0, 5.0)


class Kind(enum.Enum):
    """What can disturb a deployment."""

    RESTART = "restart"  # SIGTERM, SIGKILL at the earliest that is allowed, and a new process
    UPGRADE = "upgrade"  # a new process beside the old one, which is stopped once the new one is ready
    TWO_SIGTERMS = "two sigterms"  # a restart whose SIGTERM comes twice
    RELOAD_AND_RESTART = "reload and restart"  # SIGHUP, then SIGTERM at once
    RELOAD_DURING_START = "reload during start"  # a restart whose new process gets SIGHUP as it starts
    DRAIN = "drain"  # quiesce, and resume after longer than it may take
    DRAIN_TWICE = "drain twice"  # quiesce, resume, quiesce at once, and resume
    RELOAD = "reload"  # SIGHUP, with service discovery at another address
    DISCOVERY_STALLS = "discovery stalls"
    DISCOVERY_CLOSES = "discovery closes"
    SERVER_HANGS = "server hangs"  # nothing passes on its connections, and those that come later
    CONNECTIONS_RESET = "connections reset"  # all connections to one server
    SERVER_DRAINS = "server drains"  # and is ready again
    SERVER_REPLACED = "server replaced"  # it drains, is gone, and a new process takes its place
    CONNECTIONS_SPOILED = "connections spoiled"  # by unreadable messages, and their ends are noticed late


PROCESS_KINDS = frozenset(
    {
        Kind.RESTART,
        Kind.UPGRADE,
        Kind.TWO_SIGTERMS,
        Kind.RELOAD_AND_RESTART,
        Kind.RELOAD_DURING_START,
        Kind.DRAIN,
        Kind.DRAIN_TWICE,
    }
)
SERVER_KINDS = frozenset(
    {
        Kind.SERVER_HANGS,
        Kind.CONNECTIONS_RESET,
        Kind.SERVER_DRAINS,
        Kind.SERVER_REPLACED,
        Kind.CONNECTIONS_SPOILED,
    }
)
SAMPLED_KINDS = [kind for kind in Kind if kind is not Kind.CONNECTIONS_SPOILED]  # see ``_draw_spoiled``


@dataclass(frozen=True, slots=True)
class Disturbance:
    """One disturbance: when it begins, how long it lasts where that is drawn, and which proxy or server."""

    kind: Kind
    at_s: float
    for_s: float
    target: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run."""

    seed: int
    disturbances: tuple[Disturbance, ...]
    crowd_at_s: float | None
    silent_crowd_at_s: float | None

    def describe(self) -> str:
        """One line for a report."""
        parts = [f"{d.kind.value} {d.target} at {d.at_s:.1f} s" for d in self.disturbances]
        if self.crowd_at_s is not None:
            parts.append(f"crowd at {self.crowd_at_s:.1f} s")
        if self.silent_crowd_at_s is not None:
            parts.append(f"silent crowd from {self.silent_crowd_at_s:.1f} s on")
        return "; ".join(parts)


def draw(seed: int) -> Scenario:
    """The scenario of a seed: no process and no server is disturbed twice."""
    rng = random.Random(seed)
    kinds = rng.sample(SAMPLED_KINDS, rng.randint(MIN_DISTURBANCES, MAX_DISTURBANCES))
    free_proxies, free_servers = list(range(PROXIES)), list(range(SERVERS))
    disturbances = []
    for kind in kinds:
        free = free_proxies if kind in PROCESS_KINDS else free_servers
        if kind in PROCESS_KINDS | SERVER_KINDS:
            if not free:
                continue
            target = free.pop(rng.randrange(len(free)))
        else:
            target = 0
        disturbances.append(Disturbance(kind, rng.uniform(FIRST_S, LAST_S), rng.uniform(0.5, 2.5), target))
    disturbances += _draw_spoiled(seed, free_servers)
    disturbances.sort(key=lambda disturbance: disturbance.at_s)
    crowd_at_s = rng.uniform(FIRST_S, LAST_S) if rng.random() < CROWD_PROBABILITY else None
    silent_crowd_at_s = rng.uniform(FIRST_S, LAST_S) if rng.random() < SILENT_CROWD_PROBABILITY else None
    return Scenario(seed, tuple(disturbances), crowd_at_s, silent_crowd_at_s)


def _draw_spoiled(seed: int, free_servers: list[int]) -> list[Disturbance]:
    """Connections spoiled, or nothing; by a generator of its own, so that seeds still draw what they drew."""
    rng = random.Random(f"connections spoiled {seed}")
    if not free_servers or rng.random() >= SPOILED_PROBABILITY:
        return []
    at_s, for_s = rng.uniform(*SPOILED_FROM_S), rng.uniform(*SPOILED_FOR_S)
    return [Disturbance(Kind.CONNECTIONS_SPOILED, at_s, for_s, rng.choice(free_servers))]
