"""Tests of the time for which a share may be used."""

from __future__ import annotations

from fleet_members import LEASE, join

from canvasplank.fleet import lease_transaction


class TestLease:
    """How long a share may be used, and when it may be granted to others."""

    def test_a_lease_ends_for_its_holder_before_it_expires_for_others(self):
        _state, [holder] = join("a")
        usable_ms, expiry_ms = LEASE.usable_ms(), LEASE.expiry_ms(3000.0)
        assert holder.share("b", usable_ms - 1) > 0 == holder.share("b", usable_ms)
        assert usable_ms < 3000.0 < expiry_ms
        assert LEASE.expiry_ms(5000.0) > 5000.0, "the member's own lease counts if it is longer"

    def test_a_lease_starts_when_the_request_is_sent(self):
        state, [holder] = join("a")
        request = holder.next_request(1000.0, {})
        state, response = lease_transaction.apply(state, request)  # may happen at any later time
        holder.on_response(response)
        assert holder.until_ms == 1000.0 + LEASE.usable_ms()

    def test_a_response_to_an_older_request_is_ignored(self):
        state, [holder] = join("a")
        state, response = lease_transaction.apply(state, holder.next_request(500.0, {}))
        holder.next_request(2000.0, {})
        assert not holder.on_response(response) and holder.until_ms == LEASE.usable_ms()
