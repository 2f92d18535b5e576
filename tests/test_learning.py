"""A peer's view: read only when whole and ours, and weighed by its age."""

from __future__ import annotations

import msgspec
import pytest

from canvasplank.learning import merge, view
from canvasplank.learning.merge import Listed
from canvasplank.learning.view import Learned, PeerView, ViewError

NOW = 1_800_000_000_000.0


def seen(server: str = "s-1", age_ms: float = 0.0, started_ms: float | None = None, **more) -> Learned:
    return Learned(server, started_ms, NOW - age_ms, **more)


def peer_view(*servers: Learned, taken_ms: float = NOW, version: int = view.VERSION) -> PeerView:
    return PeerView(version, "n1", taken_ms, list(servers))


def test_a_view_goes_and_comes_unchanged():
    sent = peer_view(seen(rate_per_s=40.0, delay_ms=35.0, slow=True), seen("s-2", 800.0, 1.7e12))
    assert view.decode(view.encode(sent)) == sent


@pytest.mark.parametrize(("data", "why"), [
    (view.encode(peer_view(seen()))[:-3], "cannot be read"),  # truncated
    (b"\x00" * (view.MOST_BYTES + 1), "more than"),  # oversized
    (b"not a view", "cannot be read"),  # malformed
    (view.encode(peer_view(seen(), version=2)), "version 2"),  # another release
    (view.encode(peer_view(seen(age_ms=-5_000.0))), "after it was taken"),
    (msgspec.msgpack.encode({"version": 1, "peer": "n1", "taken_ms": NOW, "servers": [], "extra": 1}),
     "cannot be read"),
    (msgspec.msgpack.encode({"version": 1, "peer": "n1", "taken_ms": float("nan"), "servers": []}),
     "cannot be read"),
])
def test_a_view_that_is_not_whole_or_not_ours_is_refused(data, why):
    with pytest.raises(ViewError, match=why):
        view.decode(data)


@pytest.mark.parametrize(("age_ms", "expected"), [(0, 1.0), (5_000, 0.5), (10_000, 0.25), (-50, 1.0),
                                                  (60_000, 0.5 ** 12), (60_001, 0.0)])
def test_weight_halves_with_each_half_life(age_ms, expected):
    assert merge.weight(age_ms) == pytest.approx(expected)


def test_a_slowdown_seen_before_its_end_30_s_ago_is_not_kept():
    """The hard case: the peer saw the server slow, the slowdown ended since, the new instance joins now."""
    old = peer_view(seen(age_ms=30_000.0, rate_per_s=2.0, slow=True), taken_ms=NOW - 29_000.0)
    [hint] = merge.hints(old, NOW, [Listed("s-1", None)], fresh_rate_per_s=50.0)
    assert not hint.shun
    assert hint.rate_per_s == pytest.approx(50.0 - 48.0 / 64)


def test_a_fresh_slowdown_is_taken():
    [hint] = merge.hints(peer_view(seen(age_ms=500.0, rate_per_s=2.0, slow=True)), NOW, [Listed("s-1", None)],
                         fresh_rate_per_s=50.0)
    assert hint.shun and hint.rate_per_s < 10.0


@pytest.mark.parametrize("listed", [
    [],  # gone
    [Listed("s-2", None)],  # another instanceId at its place
    [Listed("s-1", NOW - 2_000.0)],  # the same name, a new process
])
def test_servers_gone_or_started_anew_are_dropped(listed):
    assert merge.hints(peer_view(seen(rate_per_s=3.0, silent=True)), NOW, listed) == []


def test_a_peer_whose_clock_runs_ahead_is_not_used():
    ahead = peer_view(seen(age_ms=-10_000.0, rate_per_s=1.0, silent=True), taken_ms=NOW + 10_000.0)
    assert merge.hints(ahead, NOW, [Listed("s-1", None)]) == []


def test_without_a_fresh_figure_an_old_rate_is_not_kept():
    [hint] = merge.hints(peer_view(seen(age_ms=20_000.0, rate_per_s=7.0)), NOW, [Listed("s-1", None)])
    assert hint.rate_per_s is None and hint.weight == pytest.approx(1 / 16)
