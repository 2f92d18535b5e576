"""Tests of the detection of members whose lease has expired."""

from __future__ import annotations

import msgspec
from fleet_members import LEASE, join, renew

from canvasplank.fleet.failure_detector import FailureDetector


class TestFailureDetector:
    """When a member is reported as expired."""

    def test_a_member_is_expired_once_its_heartbeat_is_unchanged_for_a_lease(self):
        detector, expiry_ms = FailureDetector(LEASE), LEASE.expiry_ms(3000.0)
        state, [holder] = join("a")
        [heartbeat] = renew(state, holder)[1].heartbeats
        detector.observe([heartbeat], 100.0)
        detector.observe([heartbeat], 2000.0)
        assert not detector.expired(99.0 + expiry_ms) and detector.expired(100.0 + expiry_ms) == (heartbeat,)
        detector.observe([msgspec.structs.replace(heartbeat, seq=9)], 2500.0)
        assert not detector.expired(100.0 + expiry_ms)
        detector.observe([], 2600.0)
        assert not detector.expired(9e9)
