"""Tests of the usage ledger's SQL on both databases."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from worker_fixtures import database, lead_closing, sums

from canvasplank.database.errors import DataRejectedError
from canvasplank.fleet.backend import StaleTermError
from canvasplank.store.records import CallOutcome
from canvasplank.worker import usage_ledger
from canvasplank.worker.usage_ledger import Closing, UsageSum, next_closing


class TestClosings:
    """The effect of closings on both databases."""

    def record(self, number, taken_ms, final="served", instance="n0", tenant="acme"):
        return CallOutcome(
            f"{number:016x}", instance, taken_ms, "low", final, "s", 1, taken_ms + 40, tenant=tenant
        )

    @pytest.mark.parametrize("kind", ["sqlite", "postgresql"])
    def test_each_call_is_counted_once_and_late_records_are_corrections(self, tmp_path, kind):
        async def run():
            async with database(kind, tmp_path) as (_, fleet, store, _server):
                token = await lead_closing(fleet)
                await store.write(
                    [self.record(n, 500 + n) for n in range(10)]
                    + [
                        self.record(3, 900, "failed", "n1"),
                        self.record(77, 990, "failed", "n1"),
                        self.record(77, 995, "served", "n2"),
                    ]
                )
                await fleet.execute_fenced(
                    token, usage_ledger.closing_statements(Closing(0, 1000), 1000, 300, None, token.term)
                )
                assert await sums(fleet, 0) == [UsageSum(0, "acme", "low", "served", 0, 11)]
                await store.write(
                    [
                        self.record(50, 700, tenant=None),
                        self.record(77, 999, "served", "n3"),
                        self.record(60, 1500, "refused"),
                    ]
                )
                await fleet.execute_fenced(
                    token, usage_ledger.closing_statements(Closing(1, 2000), 1000, 300, 0, token.term)
                )
                assert await sums(fleet, 1) == [
                    UsageSum(0, "", "low", "served", 1, 1),
                    UsageSum(1, "acme", "low", "refused", 0, 1),
                ]
                with pytest.raises(DataRejectedError):
                    await fleet.execute_fenced(
                        token, usage_ledger.closing_statements(Closing(1, 2000), 1000, 300, 0, token.term)
                    )
                await fleet.execute_fenced(token, usage_ledger.retention_statements(10_000))
                assert len(await fleet.read("SELECT call_id FROM call_outcome")) == 16, "nothing is exported"
                await fleet.execute_fenced(token, usage_ledger.mark_exported_statements(0, token.term))
                await fleet.execute_fenced(token, usage_ledger.retention_statements(10_000))
                assert len(await fleet.read("SELECT call_id FROM call_outcome")) == 3

        asyncio.run(run())

    @pytest.mark.parametrize("kind", ["sqlite", "postgresql"])
    def test_a_callers_repeats_are_one_call_with_the_outcome_of_its_last_attempt(self, tmp_path, kind):
        def attempt(number, taken_ms, final, called):
            return msgspec.structs.replace(self.record(number, taken_ms, final), number=called)

        async def run():
            async with database(kind, tmp_path) as (_, fleet, store, _server):
                token = await lead_closing(fleet)
                await store.write(
                    [
                        attempt(1, 100, "refused", "a"),
                        attempt(2, 300, "failed", "a"),
                        attempt(3, 500, "served", "a"),  # the third attempt of one call, which is served
                        attempt(4, 550, "served", "a"),  # another call, since the previous one was served
                        attempt(5, 100, "failed", "b"),
                        attempt(6, 650, "failed", "b"),  # another call, since the repeat window has passed
                        attempt(7, 900, "refused", "c"),
                        self.record(8, 910, "failed"),
                    ]
                )
                await fleet.execute_fenced(
                    token, usage_ledger.closing_statements(Closing(0, 1000), 1000, 300, None, token.term)
                )
                assert await sums(fleet, 0) == [
                    UsageSum(0, "acme", "low", "failed", 0, 3),
                    UsageSum(0, "acme", "low", "served", 0, 2),
                ]
                # A repeat of call 7, which was taken near the end of the period.
                await store.write([attempt(9, 1100, "served", "c")])
                await fleet.execute_fenced(
                    token, usage_ledger.closing_statements(Closing(1, 2000), 1000, 300, 0, token.term)
                )
                assert await sums(fleet, 1) == [UsageSum(1, "acme", "low", "served", 0, 1)]

        asyncio.run(run())

    @pytest.mark.parametrize("kind", ["sqlite", "postgresql"])
    def test_a_transaction_under_a_stale_term_is_rejected(self, tmp_path, kind):
        async def run():
            async with database(kind, tmp_path) as (_, fleet, store, _server):
                token = await lead_closing(fleet)
                await store.write([self.record(1, 500)])
                stale = token._replace(term=token.term - 1)
                with pytest.raises(StaleTermError, match="term 0 of task close has ended"):
                    await fleet.execute_fenced(
                        stale,
                        usage_ledger.closing_statements(Closing(0, 1000), 1000, 300, None, stale.term),
                    )
                assert await fleet.read(usage_ledger.SELECT_LAST_CLOSING) == [(None,)]

        asyncio.run(run())


@pytest.mark.parametrize(
    ("last", "overdue", "closing"),
    [
        (None, False, Closing(8, 9000)),
        (7, False, Closing(8, 9000)),
        (3, False, Closing(8, 9000)),
        (8, True, None),  # the period is closed; late records wait for the next closing
        (300, False, None),
        (300, True, Closing(301, 9000)),  # the last closing was made by a leader whose clock was ahead
    ],
)
def test_the_next_closing_depends_on_the_leaders_clock_and_its_number_increases(last, overdue, closing):
    assert next_closing(10_050.0, 1000, 100.0, last, overdue) == closing
