"""Tests of the leadership of the fleet's tasks: one leader at a time, terms, handover."""

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


class TestTaskLeadership:
    """Leaders and terms, with the fleet's state in memory."""

    def test_each_task_has_one_leader_and_the_tasks_are_spread(self):
        one, other = Candidate("a", "x", "y"), Candidate("b", "x", "y")
        other.renew(one.renew(FleetState()))
        assert one.terms | other.terms == {"x": 1, "y": 1} and not one.terms.keys() & other.terms.keys()

    def test_a_new_leader_has_a_new_term_once_the_old_one_has_expired(self):
        one, other = Candidate("a", "x"), Candidate("b", "x")
        state = other.renew(one.renew(FleetState()))
        state, response = lease_transaction.apply(state, other.lease_holder.next_request(0.0, {}))
        state = other.renew(state, expired=response.heartbeats[:1])
        assert other.terms == {"x": 2} and one.terms == {"x": 1}, "the old leader does not know it yet"
        state = one.renew(state)
        assert not one.terms and one.renew(state).tasks["x"].owner == other.lease_holder.incarnation

    def test_a_leader_that_fails_releases_the_task_and_another_candidate_gets_it(self):
        one, other = Candidate("a", "x"), Candidate("b", "x")
        state = other.renew(one.renew(FleetState()))
        one.leadership.failed(FencingToken("x", 1, one.lease_holder.incarnation))
        assert not one.terms
        state = one.renew(state)
        assert state.tasks["x"] == Task(1, None, 1, one.lease_holder.incarnation)
        state = one.renew(state, now_ms=BACKOFF_MS)
        assert not one.terms
        state = other.renew(state, now_ms=10.0)
        assert not other.terms, "the backoff starts when the candidate sees the failure"
        state = other.renew(state, now_ms=10.0 + BACKOFF_MS)
        assert other.terms == {"x": 2}
        other.leadership.succeeded(FencingToken("x", 2, other.lease_holder.incarnation))
        assert other.renew(state, now_ms=20.0 + BACKOFF_MS).tasks["x"].failures == 0

    def test_the_only_candidate_regains_a_task_that_it_failed(self):
        one = Candidate("a", "x", "y")  # leading another task must not prevent it
        state = one.renew(FleetState())
        for failures in range(1, 5):
            one.leadership.failed(FencingToken("x", failures, one.lease_holder.incarnation))
            state = one.renew(state)
            state = one.renew(state, now_ms=1e6 * failures)
            assert one.terms == {"x": failures + 1, "y": 1} and state.tasks["x"].failures == failures

    def test_a_leader_that_loses_the_capability_hands_over(self):
        one, other = Candidate("a", "x"), Candidate("b", "x")
        state = other.renew(one.renew(FleetState()))
        request = msgspec.structs.replace(one.lease_holder.next_request(0.0, {}), capabilities=(), ready={})
        state, _ = lease_transaction.apply(state, request)
        assert other.renew(state).tasks["x"].owner == other.lease_holder.incarnation

    def test_terms_never_decrease_and_a_task_has_one_leader_in_any_order_of_events(self):
        """In 1,000 random runs, three candidates fail, expire and renew."""
        for seed in range(1000):
            rng, state, terms = random.Random(seed), FleetState(), {"x": 0, "y": 0}
            candidates = [Candidate(name, "x", "y") for name in "abc"]
            for step in range(25):
                candidate = rng.choice(candidates)
                if rng.random() < 0.2 and candidate.terms:
                    task = rng.choice(sorted(candidate.terms))
                    candidate.leadership.failed(
                        FencingToken(task, candidate.terms[task], candidate.lease_holder.incarnation)
                    )
                expired = [
                    heartbeat for heartbeat in lease_transaction._heartbeats(state) if rng.random() < 0.1
                ]
                state = candidate.renew(state, now_ms=step * 1e5, expired=expired)
                for name, task in state.tasks.items():
                    assert task.term >= terms[name]
                    terms[name] = task.term
                led = [
                    name
                    for one in candidates
                    for name, term in one.terms.items()
                    if state.tasks[name].term == term
                    and state.tasks[name].owner == one.lease_holder.incarnation
                ]
                assert len(led) == len(set(led))


@pytest.mark.parametrize("kind", ["sqlite", "postgresql"])
def test_one_of_two_concurrent_requests_gets_the_task(tmp_path, kind):
    async def run():
        async with database(kind, tmp_path) as (_, fleet, _store, server):
            path = str(tmp_path / "shared.db")
            other = FleetSqlite(path) if server is None else FleetPostgresql(server.dsn, 2.0)
            await other.open()
            for number in range(150):
                one, two = Candidate("a", f"t{number}"), Candidate("b", f"t{number}")
                responses = []
                for backend, candidate in ((fleet, one), (other, two)):
                    request = candidate.lease_holder.next_request(0.0, {})
                    responses.append(
                        backend.transact(
                            msgspec.structs.replace(request, **candidate.leadership.request_fields(0.0))
                        )
                    )
                for candidate, response in zip((one, two), await asyncio.gather(*responses), strict=True):
                    candidate.lease_holder.on_response(response)
                    candidate.leadership.on_response(response, 0.0)
                assert sorted(map(len, (one.terms, two.terms))) == [0, 1]
                for incarnation in (one.lease_holder.incarnation, two.lease_holder.incarnation):
                    await fleet.remove_member(incarnation)
            await other.close()

    asyncio.run(run())
