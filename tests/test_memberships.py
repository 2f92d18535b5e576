"""Tests of the check for members that were removed before their lease expired."""

from __future__ import annotations

import json

from verification.memberships import Membership, read_history

REMOVED_AT_MS = 5_000.0


def write_log(folder, process, *events):
    """Write a log of these events that ends with an incomplete line."""
    path = folder / f"{process}.log"
    path.write_text("".join(f"{json.dumps(event)}\n" for event in events) + '{"event": "fleet.in", "incar')
    return path


def history_with_lease(folder, until_ms):
    """The history of a member with a lease until ``until_ms``, and of another process that removed it.

    The other process also removed an incarnation that appears in no log.
    """
    joined = {"event": "fleet.in", "incarnation": 3, "members": 1}
    renewed = {"event": "budget.share", "budget": "all", "until_ms": until_ms}
    dropped = renewed | {"until_ms": 0.0}
    removed = {"event": "fleet.removed", "incarnations": [3, 9], "at_ms": REMOVED_AT_MS}
    paths = [write_log(folder, "a", joined, renewed, dropped), write_log(folder, "b", removed)]
    return read_history(paths)


def test_a_member_removed_while_its_lease_runs_is_found(tmp_path):
    history = history_with_lease(tmp_path, REMOVED_AT_MS + 1)
    assert history.removed_too_early() == [Membership("a", 3, REMOVED_AT_MS + 1)]


def test_a_member_removed_after_its_lease_is_allowed(tmp_path):
    history = history_with_lease(tmp_path, REMOVED_AT_MS)
    assert not history.removed_too_early()
    assert history.was_removed(history.last_membership("a"))
