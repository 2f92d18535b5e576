"""Start hints for a new instance, from a peer's snapshot, the clock and the new instance's endpoint list.

No I/O and no clock: the caller passes the time, in Unix milliseconds.  The older an observation, the less it
counts: its weight halves with every ``half_life_ms``, and it is dropped past ``max_age_ms``.  The hints only
choose where the new instance starts; its own observations replace them.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasplank import interface as api
from canvasplank.warm_start.peer_snapshot import PeerSnapshot

# docs/warm-start.md, Options considered, says what else was considered.
HALF_LIFE_MS = 5_000.0
MAX_AGE_MS = 60_000.0
MIN_TRUSTED_WEIGHT = 0.5  # that of one half-life: an older observation ejects no server
CLOCK_TOLERANCE_MS = 1_000.0  # a snapshot taken further ahead of our clock than this is not used


@dataclass(frozen=True, slots=True)
class StartHint:
    """Where the new instance starts for one server, and the weight of the peer's observation, from 0 to 1."""

    server_id: str
    weight: float
    rate_per_s: float | None  # None: start as without a snapshot
    eject: bool  # the peer saw it slow or silent, lately enough to avoid it


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server process in the new instance's endpoint list."""

    server_id: str
    started_ms: float | None


def age_weight(age_ms: float, half_life_ms: float = HALF_LIFE_MS, max_age_ms: float = MAX_AGE_MS) -> float:
    """The weight of an observation of this age, from 0 to 1; 0 past ``max_age_ms``."""
    if age_ms > max_age_ms:
        return 0.0
    weight: float = 0.5 ** (max(0.0, age_ms) / half_life_ms)
    return weight


def derive_start_hints(
    snapshot: PeerSnapshot,
    now_ms: float,
    listed: list[ListedServer],
    fresh_rate_per_s: float | None = None,
    half_life_ms: float = HALF_LIFE_MS,
    max_age_ms: float = MAX_AGE_MS,
) -> list[StartHint]:
    """The hints for those servers of a snapshot that are listed now, as the same processes that the peer saw.

    ``fresh_rate_per_s``: the new instance's rate at a server without a hint; None: it has none.

    A server that has gone or restarted gets none: its figures were of another process.  A snapshot taken
    ahead of our clock gives none at all: its figures would all pass for recent.  An ejection lapses with its
    weight, and a rate is blended with the fresh one, so that a server that has recovered since is not
    avoided: a slowdown seen 30 s ago counts for almost nothing.
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
                _blend(server.rate_per_s, fresh_rate_per_s, weight),
                (server.slow or server.silent) and weight >= MIN_TRUSTED_WEIGHT,
            )
        )
    return hints


def _blend(learned: float | None, fresh: float | None, weight: float) -> float | None:
    """The mean of the learned and the fresh rate by the learned one's weight.

    Without a fresh rate, the learned one unchanged from ``MIN_TRUSTED_WEIGHT`` on, else none.
    """
    if learned is None:
        return fresh
    if fresh is None:
        return learned if weight >= MIN_TRUSTED_WEIGHT else None
    return weight * learned + (1.0 - weight) * fresh


def to_warm_start_hints(hints: list[StartHint]) -> list[api.WarmStartHint]:
    """The events that the controller takes."""
    return [api.WarmStartHint(hint.server_id, hint.rate_per_s, hint.eject) for hint in hints]
