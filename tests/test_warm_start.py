"""Tests of warm starts: the snapshot format, weights by age, and start hints in the controller."""

from __future__ import annotations

import msgspec
import pytest

from canvasplank import interface as api
from canvasplank.warm_start import peer_snapshot, start_hints
from canvasplank.warm_start.peer_snapshot import PeerSnapshot, ServerSnapshot, SnapshotError
from canvasplank.warm_start.start_hints import ListedServer

NOW = 1_800_000_000_000.0


def server_snapshot(
    server: str = "s-1", age_ms: float = 0.0, started_ms: float | None = None, **fields
) -> ServerSnapshot:
    return ServerSnapshot(server, started_ms, NOW - age_ms, **fields)


def snapshot(
    *servers: ServerSnapshot, taken_ms: float = NOW, version: int = peer_snapshot.FORMAT_VERSION
) -> PeerSnapshot:
    return PeerSnapshot(version, "n1", taken_ms, list(servers))


def test_a_snapshot_is_encoded_and_decoded_unchanged():
    sent = snapshot(server_snapshot(rate_per_s=40.0, slow=True), server_snapshot("s-2", 800.0, 1.7e12))
    assert peer_snapshot.decode(peer_snapshot.encode(sent)) == sent


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (peer_snapshot.encode(snapshot(server_snapshot()))[:-3], "cannot be read"),  # truncated
        (b"\x00" * (peer_snapshot.MAX_BYTES + 1), "more than"),  # oversized
        (b"not a view", "cannot be read"),  # malformed
        (peer_snapshot.encode(snapshot(server_snapshot(), version=2)), "version 2"),  # another release
        (peer_snapshot.encode(snapshot(server_snapshot(age_ms=-5_000.0))), "after it was taken"),
        (
            msgspec.msgpack.encode({"version": 1, "peer": "n1", "taken_ms": NOW, "servers": [], "extra": 1}),
            "cannot be read",
        ),
        (
            msgspec.msgpack.encode({"version": 1, "peer": "n1", "taken_ms": float("nan"), "servers": []}),
            "cannot be read",
        ),
    ],
)
def test_an_invalid_snapshot_is_rejected(data, message):
    with pytest.raises(SnapshotError, match=message):
        peer_snapshot.decode(data)


@pytest.mark.parametrize(
    ("age_ms", "expected"),
    [(0, 1.0), (5_000, 0.5), (10_000, 0.25), (-50, 1.0), (60_000, 0.5**12), (60_001, 0.0)],
)
def test_the_weight_halves_with_each_half_life(age_ms, expected):
    assert start_hints.age_weight(age_ms) == pytest.approx(expected)


def test_a_slowdown_seen_30_s_ago_has_almost_no_effect():
    """The peer saw a slow server, the slowdown has ended since, and the new instance starts now."""
    old = snapshot(server_snapshot(age_ms=30_000.0, rate_per_s=2.0, slow=True), taken_ms=NOW - 29_000.0)
    [hint] = start_hints.derive_start_hints(old, NOW, [ListedServer("s-1", None)], default_rate_per_s=50.0)
    assert not hint.eject
    assert hint.rate_per_s == pytest.approx(50.0 - 48.0 / 64)


def test_a_recent_slowdown_ejects_the_server():
    [hint] = start_hints.derive_start_hints(
        snapshot(server_snapshot(age_ms=500.0, rate_per_s=2.0, slow=True)),
        NOW,
        [ListedServer("s-1", None)],
        default_rate_per_s=50.0,
    )
    assert hint.eject and hint.rate_per_s < 10.0


@pytest.mark.parametrize(
    "listed",
    [
        [],  # gone
        [ListedServer("s-2", None)],  # replaced by another instanceId
        [ListedServer("s-1", NOW - 2_000.0)],  # the same instanceId, a new process
    ],
)
def test_servers_that_have_gone_or_restarted_get_no_hint(listed):
    assert (
        start_hints.derive_start_hints(snapshot(server_snapshot(rate_per_s=3.0, silent=True)), NOW, listed)
        == []
    )


def test_a_snapshot_taken_ahead_of_the_clock_yields_no_hints():
    ahead = snapshot(server_snapshot(age_ms=-10_000.0, rate_per_s=1.0, silent=True), taken_ms=NOW + 10_000.0)
    assert start_hints.derive_start_hints(ahead, NOW, [ListedServer("s-1", None)]) == []


def test_without_a_default_rate_an_old_rate_is_dropped():
    [hint] = start_hints.derive_start_hints(
        snapshot(server_snapshot(age_ms=20_000.0, rate_per_s=7.0)), NOW, [ListedServer("s-1", None)]
    )
    assert hint.rate_per_s is None and hint.weight == pytest.approx(1 / 16)


class TestController:
    """Passes the snapshot of a running gateway, in the wire format, to the controller of a new one."""

    @staticmethod
    def snapshot_of_peer(silent_from_ms: float) -> PeerSnapshot:
        """Return the snapshot of a gateway that sees server a silent from this time on, while b responds."""
        from conftest import Gateway, ready

        peer = Gateway()
        peer.now = silent_from_ms
        peer.servers(ready("a", 0), ready("b", 1))
        peer.serve_calls("b", first=1, count=10)
        peer.answer_delays_ms["b"] = 40  # b continues to respond, a does not
        for _ in range(6):
            peer.call(first=0)
            peer.advance_to(peer.now + 300)
        return peer_snapshot.decode(
            peer_snapshot.encode(
                peer_snapshot.make_snapshot("n1", peer.controller.learned_servers(), peer.now)
            )
        )

    @staticmethod
    def set_ups_to_silent_server(seen: PeerSnapshot, now_ms: float) -> int:
        """Return how many set-ups a new gateway with this snapshot sends to server a, which is still silent.

        The gateway gets 20 calls for pool 0 over 2 s, and server b responds.
        """
        from conftest import Gateway, ready

        new = Gateway(seed=2)
        new.now = now_ms
        new.servers(ready("a", 0), ready("b", 1))
        listed = [ListedServer("a", None), ListedServer("b", None)]
        for event in start_hints.to_warm_start_hints(
            start_hints.derive_start_hints(seen, now_ms, listed, default_rate_per_s=None)
        ):
            new.handle(event)
        new.answer_delays_ms["b"] = 40
        for _ in range(20):
            new.call(first=0)
            new.advance_to(new.now + 100)
        return sum(isinstance(a, api.SetUp) and a.server_id == "a" for _, a in new.action_log)

    def test_the_snapshot_shows_which_server_is_silent(self):
        seen = self.snapshot_of_peer(0.0)
        by_id = {entry.instance_id: entry for entry in seen.servers}
        assert by_id["a"].silent and not by_id["b"].silent

    def test_with_a_recent_snapshot_a_new_gateway_avoids_a_silent_server(self):
        seen = self.snapshot_of_peer(0.0)
        assert self.set_ups_to_silent_server(seen, seen.taken_ms + 100) <= 2, "only trial calls"

    def test_a_long_silence_is_dated_by_the_last_trial_call(self):
        """Guards against dating a silence by the last response: the longest silences were disregarded."""
        from conftest import Gateway, ready

        peer = Gateway()
        peer.servers(ready("a", 0), ready("b", 1))
        peer.answer_delays_ms["b"] = 40
        while peer.now < 30_000:
            peer.call(first=0)
            peer.advance_to(peer.now + 250)
        [seen] = [
            s
            for s in peer_snapshot.make_snapshot("n1", peer.controller.learned_servers(), peer.now).servers
            if s.instance_id == "a"
        ]
        assert seen.silent and peer.now - seen.observed_ms < 5_000

    def test_a_snapshot_taken_30_s_ago_has_no_effect(self):
        seen = self.snapshot_of_peer(0.0)
        without_snapshot = self.set_ups_to_silent_server(
            PeerSnapshot(peer_snapshot.FORMAT_VERSION, "none", 0.0, []), seen.taken_ms + 30_000
        )
        assert self.set_ups_to_silent_server(seen, seen.taken_ms + 30_000) == without_snapshot > 2

    @pytest.mark.parametrize(("late_responses", "slow"), [(1, False), (10, True)])
    def test_a_server_is_slow_by_its_usual_response_time(self, late_responses, slow):
        """Guards against one late response marking a server as slow: a healthy server was avoided."""
        from conftest import Gateway, ready

        peer = Gateway()
        peer.servers(ready("a", 0))
        peer.serve_calls("a", first=0, count=10)
        peer.serve_calls("a", first=0, count=late_responses, gap_ms=1500, waited_ms=900)
        [exported] = peer_snapshot.make_snapshot("n1", peer.controller.learned_servers(), peer.now).servers
        assert exported.slow is slow

    def test_a_rate_from_a_start_hint_can_be_reduced_at_once(self):
        """Guards against treating the hint as an own reduction: the next one had to wait for a second."""
        from conftest import Gateway, ready

        new = Gateway()
        new.servers(ready("a", 0), ready("b", 1))
        new.handle(api.WarmStartHint("a", 50.0, eject=False))
        new.full(new.call(first=0)[0], "a")
        rates = {each.server_id: each.rate_per_s for each in new.controller.learned_servers()}
        assert rates["a"] < 50.0

    def test_own_responses_override_a_start_hint(self):
        from conftest import Gateway, ready, sent_to

        new = Gateway()
        new.servers(ready("a", 0))
        new.serve_calls("a", first=0, count=3)
        new.handle(api.WarmStartHint("a", None, eject=True))
        assert sent_to(new.call(first=0)[1]) == ["a"]
