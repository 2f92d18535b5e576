"""Folding a peer's aged view into a new instance's start: a pure function of view, clock and list.

The older a thing was learned, the less it counts: its weight halves with every ``half_life_ms``, and it
is dropped past ``max_age_ms``.  What the new instance sees itself replaces the hints as it comes; the
hints only choose where it starts.  No I/O here, no clock of its own.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasplank import interface as api
from canvasplank.warm_start.peer_snapshot import PeerSnapshot

HALF_LIFE_MS = 5_000.0
MAX_AGE_MS = 60_000.0
# A server is shunned on a peer's word only while that word is younger than one half-life.
MIN_TRUSTED_WEIGHT = 0.5
# The peer's clock may be ahead of ours by so much; more, and its view is not used.
CLOCK_TOLERANCE_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class StartHint:
    """Where the new instance starts for one server, and how far the peer's word is trusted (0 to 1)."""

    server_id: str
    weight: float
    rate_per_s: float | None  # None: start as one that asked no one
    eject: bool


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server as the new instance's own list has it: a server is its ``instanceId`` and its start."""

    server_id: str
    started_ms: float | None


def age_weight(age_ms: float, half_life_ms: float = HALF_LIFE_MS, max_age_ms: float = MAX_AGE_MS) -> float:
    """How much a thing learned so long ago counts; 0 past the oldest that is used."""
    if age_ms > max_age_ms:
        return 0.0
    return 0.5 ** (max(0.0, age_ms) / half_life_ms)


def derive_start_hints(
    snapshot: PeerSnapshot,
    now_ms: float,
    listed: list[ListedServer],
    fresh_rate_per_s: float | None = None,
    half_life_ms: float = HALF_LIFE_MS,
    max_age_ms: float = MAX_AGE_MS,
) -> list[StartHint]:
    """The hints for the servers that are listed now, as the same processes that the peer saw.

    Guards against a view of servers since gone or restarted (their figures were of another process), against
    a peer whose clock runs ahead (all its figures would pass for fresh), and against shunning a server that
    has recovered since: a shun lapses with its weight, and a rate is drawn toward the fresh start by what the
    weight lacks, so that a slowdown seen 30 s ago counts for almost nothing.
    """
    if snapshot.taken_ms > now_ms + CLOCK_TOLERANCE_MS:
        return []
    by_id = {entry.server_id: entry for entry in listed}
    found: list[StartHint] = []
    for learned in snapshot.servers:
        entry = by_id.get(learned.instance_id)
        if entry is None or entry.started_ms != learned.started_ms:
            continue
        weight = age_weight(now_ms - learned.observed_ms, half_life_ms, max_age_ms)
        if weight <= 0.0:
            continue
        found.append(
            StartHint(
                learned.instance_id,
                weight,
                _blend(learned.rate_per_s, fresh_rate_per_s, weight),
                (learned.slow or learned.silent) and weight >= MIN_TRUSTED_WEIGHT,
            )
        )
    return found


def _blend(learned: float | None, fresh: float | None, weight: float) -> float | None:
    """The learned figure, drawn toward the fresh start by what weight lacks; with no fresh figure, as learned
    while trusted at least half, else none."""
    if learned is None:
        return fresh
    if fresh is None:
        return learned if weight >= MIN_TRUSTED_WEIGHT else None
    return weight * learned + (1.0 - weight) * fresh


def to_warm_start_hints(found: list[StartHint]) -> list[api.WarmStartHint]:
    """The hints as the module hears them."""
    return [api.WarmStartHint(hint.server_id, hint.rate_per_s, hint.eject) for hint in found]
