"""When a member's lease has expired for the others."""

from __future__ import annotations

import msgspec
from fleet_members import LEASE, ask, joined

from canvasplank.fleet.failure_detector import FailureDetector


class TestLeaseExpiry:
    """When a member counts as dead."""

    def test_whoever_has_not_renewed_for_a_lease_since_it_was_seen_is_dead(self):
        watch, expiry_ms = FailureDetector(LEASE), LEASE.expiry_ms(3000.0)
        rows, [holder] = joined("a")
        [sign] = ask(rows, holder)[1].heartbeats
        watch.observe([sign], 100.0)
        watch.observe([sign], 2000.0)
        assert not watch.expired(99.0 + expiry_ms) and watch.expired(100.0 + expiry_ms) == (sign,)
        watch.observe([msgspec.structs.replace(sign, seq=9)], 2500.0)
        assert not watch.expired(100.0 + expiry_ms)
        watch.observe([], 2600.0)
        assert not watch.expired(9e9)
