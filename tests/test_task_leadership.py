"""Terms and hand-over of the fleet's tasks."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from worker_fixtures import Candidate, database

from canvasplank.fleet import lease_transaction
from canvasplank.fleet.backend import FencingToken
from canvasplank.fleet.postgresql import Postgresql as FleetPostgresql
from canvasplank.fleet.sqlite import Sqlite as FleetSqlite
from canvasplank.fleet.state import FleetState, Task
from canvasplank.fleet.task_leadership import BACKOFF_MS


class TestTerms:
    """Who owns what, by the rows alone."""

    def test_a_task_has_one_owner_and_tasks_are_spread(self):
        one, other = Candidate("a", "x", "y"), Candidate("b", "x", "y")
        other.ask(one.ask(FleetState()))
        assert one.owns | other.owns == {"x": 1, "y": 1} and not one.owns.keys() & other.owns.keys()

    def test_a_new_owner_has_a_new_term_once_the_old_one_is_dead(self):
        one, other = Candidate("a", "x"), Candidate("b", "x")
        rows = other.ask(one.ask(FleetState()))
        rows, answer = lease_transaction.apply(rows, other.holder.next_request(0.0, {}))
        rows = other.ask(rows, dead=answer.heartbeats[:1])
        assert other.owns == {"x": 2} and one.owns == {"x": 1}, "the old one believes it still"
        rows = one.ask(rows)
        assert not one.owns and one.ask(rows).tasks["x"].owner == other.holder.incarnation

    def test_one_that_fails_gives_it_up_and_does_not_take_it_back_while_another_can(self):
        one, other = Candidate("a", "x"), Candidate("b", "x")
        rows = other.ask(one.ask(FleetState()))
        one.leadership.failed(FencingToken("x", 1, one.holder.incarnation))
        assert not one.owns
        rows = one.ask(rows)
        assert rows.tasks["x"] == Task(1, None, 1, one.holder.incarnation)
        rows = one.ask(rows, now_ms=BACKOFF_MS)
        assert not one.owns
        rows = other.ask(rows, now_ms=10.0)
        assert not other.owns, "it waits a while from when it saw the failure"
        rows = other.ask(rows, now_ms=10.0 + BACKOFF_MS)
        assert other.owns == {"x": 2}
        other.leadership.succeeded(FencingToken("x", 2, other.holder.incarnation))
        assert other.ask(rows, now_ms=20.0 + BACKOFF_MS).tasks["x"].failures == 0

    def test_alone_it_takes_back_what_it_failed_at(self):
        one = Candidate("a", "x", "y")  # another task that it owns must not keep it from that
        rows = one.ask(FleetState())
        for failures in range(1, 5):
            one.leadership.failed(FencingToken("x", failures, one.holder.incarnation))
            rows = one.ask(rows)
            rows = one.ask(rows, now_ms=1e6 * failures)
            assert one.owns == {"x": failures + 1, "y": 1} and rows.tasks["x"].failures == failures

    def test_one_that_is_no_more_able_hands_over(self):
        one, other = Candidate("a", "x"), Candidate("b", "x")
        rows = other.ask(one.ask(FleetState()))
        request = msgspec.structs.replace(one.holder.next_request(0.0, {}), capabilities=(), ready={})
        rows, _ = lease_transaction.apply(rows, request)
        assert other.ask(rows).tasks["x"].owner == other.holder.incarnation

    def test_terms_never_fall_and_one_owner_at_a_time_through_any_order_of_events(self):
        """A thousand random plays of three candidates that fail, die, and come back."""
        for seed in range(1000):
            rng, rows, terms = random.Random(seed), FleetState(), {"x": 0, "y": 0}
            all_of_them = [Candidate(name, "x", "y") for name in "abc"]
            for step in range(25):
                each = rng.choice(all_of_them)
                if rng.random() < 0.2 and each.owns:
                    task = rng.choice(sorted(each.owns))
                    each.leadership.failed(FencingToken(task, each.owns[task], each.holder.incarnation))
                victims = [sign for sign in lease_transaction._heartbeats(rows) if rng.random() < 0.1]
                rows = each.ask(rows, now_ms=step * 1e5, dead=victims)
                for name, task in rows.tasks.items():
                    assert task.term >= terms[name]
                    terms[name] = task.term
                now = [
                    name
                    for c in all_of_them
                    for name, term in c.owns.items()
                    if rows.tasks[name].term == term and rows.tasks[name].owner == c.holder.incarnation
                ]
                assert len(now) == len(set(now))


@pytest.mark.parametrize("kind", ["sqlite", "postgresql"])
def test_of_two_that_ask_at_the_same_instant_one_owns_a_task(tmp_path, kind):
    async def run():
        async with database(kind, tmp_path) as (_, fleet, _store, server):
            path = str(tmp_path / "shared.db")
            other = FleetSqlite(path) if server is None else FleetPostgresql(server.dsn, 2.0)
            await other.open()
            for number in range(150):
                one, two = Candidate("a", f"t{number}"), Candidate("b", f"t{number}")
                answers = []
                for backend, candidate in ((fleet, one), (other, two)):
                    request = candidate.holder.next_request(0.0, {})
                    answers.append(
                        backend.transact(
                            msgspec.structs.replace(request, **candidate.leadership.request_fields(0.0))
                        )
                    )
                for candidate, answer in zip((one, two), await asyncio.gather(*answers), strict=True):
                    candidate.holder.on_response(answer)
                    candidate.leadership.on_response(answer, 0.0)
                assert sorted(map(len, (one.owns, two.owns))) == [0, 1]
                for incarnation in (one.holder.incarnation, two.holder.incarnation):
                    await fleet.remove_member(incarnation)
            await other.close()

    asyncio.run(run())
