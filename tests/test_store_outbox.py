"""Tests of the outbox: it neither loses nor duplicates records, and counts what happened to each."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from canvasplank.store.outbox import MAX_BACKOFF_MS, Outbox
from canvasplank.store.records import ANSWERED, ENDED, CallOutcome


def record(number: int, version: int = ANSWERED) -> CallOutcome:
    return CallOutcome(
        f"{number:016x}", "n0", 1000 + number, "low", "served", "s-1", 1, 1040, version=version
    )


def outbox(max_queue: int = 100, max_batch: int = 10, linger_ms: float = 50.0) -> Outbox:
    return Outbox(max_queue, max_batch, linger_ms)


def test_a_batch_may_be_taken_once_it_is_full_or_has_lingered():
    box = outbox()
    assert box.wait_ms(0) is None
    box.put(record(1), 0)
    assert box.wait_ms(20) == 30 and box.take(20) == []
    assert box.take(50) == [record(1)]
    assert box.wait_ms(60) is None, "one batch at a time"
    box.on_written()
    for number in range(12):
        box.put(record(number), 100)
    assert len(box.take(100)) == 10


def test_a_later_row_of_a_call_replaces_the_queued_one_even_when_full():
    box = outbox(max_queue=2)
    assert box.put(record(1), 0) and box.put(record(2), 0)
    assert not box.put(record(3), 0) and box.counts["dropped"] == 1
    assert box.put(record(1, ENDED), 0)
    assert box.take(50) == [record(1, ENDED), record(2)]


def test_a_failed_batch_is_retried_first_and_superseded_by_later_rows():
    box = outbox()
    box.put(record(1), 0)
    box.put(record(2), 0)
    box.take(50)
    box.put(record(3), 60)
    box.put(record(1, ENDED), 60)  # while the first version is in flight
    box.on_failed(70)
    assert box.take(70) == [], "not before the backoff has passed"
    assert box.take(1000) == [record(1, ENDED), record(2), record(3)]


def test_the_backoff_doubles_up_to_a_bound_and_ends_with_a_write():
    box = outbox(linger_ms=0)
    box.put(record(1), 0)
    now, backoffs = 0.0, []
    for _ in range(12):
        assert box.take(now)
        box.on_failed(now)
        backoffs.append(box.wait_ms(now))
        now += backoffs[-1]
    assert backoffs[0] <= 100 and backoffs[5] > backoffs[0] and max(backoffs) <= MAX_BACKOFF_MS
    box.take(now)
    box.on_written()
    box.put(record(2), now)
    assert box.wait_ms(now) == 0


def test_a_rejected_record_is_isolated_by_halving_and_left_out():
    box = outbox(max_batch=16, linger_ms=0)
    for number in range(16):
        box.put(record(number), 0)
    written, attempts, rejected_record = [], 0, None
    while len(box) and attempts < 40:
        attempts += 1
        batch = box.take(0)
        if record(11) in batch:
            rejected_record = box.on_rejected(0) or rejected_record
        else:
            written += batch
            box.on_written()
    assert rejected_record == record(11) and attempts < 20
    assert sorted(written, key=lambda r: r.call_id) == [record(n) for n in range(16) if n != 11]


@given(
    st.lists(st.sampled_from(["put", "ended", "take", "written", "failed", "refused"]), max_size=80),
    st.integers(0, 9),
)
def test_every_record_is_counted_and_the_store_gets_the_latest_versions(steps, seed):
    """The store is a dict; at the end it has the latest version of every record that was not rejected."""
    box, rng = outbox(max_queue=12, max_batch=4, linger_ms=0), random.Random(seed)
    accepted, store, rejected, now, batch = {}, {}, set(), 0.0, []
    for number, step in enumerate([*steps, *["take", "written"] * 100]):
        now += 6000
        if step in ("put", "ended"):
            candidates = [key for key in accepted if key not in rejected]
            is_update = step == "ended" and candidates
            new = record(int(rng.choice(candidates)[0], 16), ENDED) if is_update else record(number)
            if box.put(new, now):
                accepted[new.key] = max(new, accepted.get(new.key, new), key=lambda r: r.version)
        elif step == "take" and not batch:
            batch = box.take(now)
        elif batch and step != "take":
            # A failed write may have been committed, with its response lost.
            if step == "written" or (step == "failed" and rng.random() < 0.5):
                for each in batch:
                    if store.get(each.key, each).version <= each.version:
                        store[each.key] = each
            if step == "refused":
                rejected_record = box.on_rejected(now)
                rejected |= {rejected_record.key} if rejected_record else set()
            else:
                box.on_written() if step == "written" else box.on_failed(now)
            batch = []
        counts = box.counts
        assert counts["queued"] == len(box) + counts["written"] + counts["rejected"] + counts["superseded"]
        assert len(box) <= 12
    assert not len(box)
    assert {k: v for k, v in store.items() if k not in rejected} == {
        k: v for k, v in accepted.items() if k not in rejected
    }


@pytest.mark.parametrize("is_closed", [False, True])
def test_a_closed_outbox_does_not_linger(is_closed):
    box = outbox()
    box.put(record(1), 0)
    if is_closed:
        box.close()
    assert (box.take(0) == [record(1)]) is is_closed
