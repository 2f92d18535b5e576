"""How long a share may be used."""

from __future__ import annotations

from fleet_members import LEASE, joined

from canvasplank.fleet import lease_transaction


class TestLease:
    """How long a share may be used, and when it is anybody else's."""

    def test_it_ends_earlier_at_its_holder_than_for_anybody_else(self):
        _rows, [holder] = joined("a")
        usable_ms, expiry_ms = LEASE.usable_ms(), LEASE.expiry_ms(3000.0)
        assert holder.share("b", usable_ms - 1) > 0 == holder.share("b", usable_ms)
        assert usable_ms < 3000.0 < expiry_ms
        assert LEASE.expiry_ms(5000.0) > 5000.0, "a longer lease in its own file counts"

    def test_it_runs_from_when_the_request_was_sent(self):
        rows, [holder] = joined("a")
        request = holder.next_request(1000.0, {})
        rows, answer = lease_transaction.apply(rows, request)  # however late that is, and the answer
        holder.on_response(answer)
        assert holder.until_ms == 1000.0 + LEASE.usable_ms()

    def test_an_answer_to_an_older_request_tells_nothing(self):
        rows, [holder] = joined("a")
        rows, answer = lease_transaction.apply(rows, holder.next_request(500.0, {}))
        holder.next_request(2000.0, {})
        assert not holder.on_response(answer) and holder.until_ms == LEASE.usable_ms()
