"""Derives a new instance's start hints from a peer's snapshot, the time and the endpoint list.

This module does no I/O and reads no clock; times are arguments, in Unix milliseconds.  The weight of an
observation halves every ``half_life_ms``, and observations older than ``max_age_ms`` are dropped.  The hints
only set the new instance's initial state; its own observations replace them.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasplank import interface as api
from canvasplank.warm_start.peer_snapshot import PeerSnapshot

# For alternatives see docs/warm-start.md, Options considered.
HALF_LIFE_MS = 5_000.0
MAX_AGE_MS = 60_000.0
MIN_TRUSTED_WEIGHT = 0.5  # reached after one half-life; an older observation ejects no server
CLOCK_TOLERANCE_MS = 1_000.0  # a snapshot taken further ahead of our clock is not used


@dataclass(frozen=True, slots=True)
class StartHint:
    """A new instance's initial state for one server, and the weight of the peer's observation (0 to 1)."""

    server_id: str
    weight: float
    rate_per_s: float | None  # None: as without a snapshot
    eject: bool  # the peer has recently observed the server as slow or silent


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server process in the new instance's endpoint list."""

    server_id: str
    started_ms: float | None


def age_weight(age_ms: float, half_life_ms: float = HALF_LIFE_MS, max_age_ms: float = MAX_AGE_MS) -> float:
    """Return the weight of an observation by its age, from 0 to 1; 0 beyond ``max_age_ms``."""
    if age_ms > max_age_ms:
        return 0.0
    weight: float = 0.5 ** (max(0.0, age_ms) / half_life_ms)
    return weight


def derive_start_hints(
    snapshot: PeerSnapshot,
    now_ms: float,
    listed: list[ListedServer],
    default_rate_per_s: float | None = None,
    half_life_ms: float = HALF_LIFE_MS,
    max_age_ms: float = MAX_AGE_MS,
) -> list[StartHint]:
    """Return hints for a snapshot's servers that are in the endpoint list with the same process start.

    ``default_rate_per_s`` is the new instance's rate at a server without a hint; None: no limit.

    A server that has gone or restarted gets no hint, since the observations were of another process.  A
    snapshot taken ahead of our clock yields no hints, since all its observations would appear recent.  An
    ejection requires a recent observation, and the rate is blended with the default one.  So a server that
    has recovered is not avoided: a slowdown seen 30 s ago has almost no effect.
    """
    if snapshot.taken_ms > now_ms + CLOCK_TOLERANCE_MS:
        return []
    by_id = {entry.server_id: entry for entry in listed}
    hints: list[StartHint] = []
    for server in snapshot.servers:
        entry = by_id.get(server.instance_id)
        if entry is None or entry.started_ms != server.started_ms:
            continue
        weight = age_weight(now_ms - server.observed_ms, half_life_ms, max_age_ms)
        if weight <= 0.0:
            continue
        hints.append(
            StartHint(
                server.instance_id,
                weight,
                _blend(server.rate_per_s, default_rate_per_s, weight),
                (server.slow or server.silent) and weight >= MIN_TRUSTED_WEIGHT,
            )
        )
    return hints


def _blend(learned: float | None, default: float | None, weight: float) -> float | None:
    """Return the mean of the learned and the default rate, weighted by the learned one's weight.

    Without a default rate, return the learned one, or None if its weight is below ``MIN_TRUSTED_WEIGHT``.
    """
    if learned is None:
        return default
    if default is None:
        return learned if weight >= MIN_TRUSTED_WEIGHT else None
    return weight * learned + (1.0 - weight) * default


def to_warm_start_hints(hints: list[StartHint]) -> list[api.WarmStartHint]:
    """Convert start hints to events for the controller."""
    return [api.WarmStartHint(hint.server_id, hint.rate_per_s, hint.eject) for hint in hints]
