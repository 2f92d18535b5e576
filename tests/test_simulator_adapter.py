"""The simulator adapter as a process, with hand-written batches."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from canvasplank import interface as api
from canvasplank import simulator_adapter

ROOT = Path(__file__).parent.parent
CALL = "5d3a91c4-a2ce-4abb-a7a1-c152b75ea37f"
OPTIONS = {
    "instances": 2,
    "me": 0,
    "tick_ms": 5.0,
    "profiles": [
        {"name": "reading", "aim_ms": 1400.0, "deadline_ms": 8000.0, "worth": 1.0, "late_worth": 0, "new": 1}
    ],
    "rules": {
        "answer_slack_ms": 20.0,
        "stop_sending_within_ms": 500.0,
        "cold_share": 0.3,
        "warm_within_ms": 12000.0,
        "tip_multiple": 3.0,
        "overload_for_ms": 1000.0,
    },
    "ceilings": {
        "most_tries": 4,
        "cancel": True,
        "probes": False,
        "retry_after": True,
        "max_retry_after_ms": 2000.0,
    },
    "family_info": {"clear_wait_ms": 300.0, "resend_ms": 500.0, "skilled_pools": [[0, 1]], "unknown": None},
    "load_report": {"names": ["free", "size", "util", "queue"], "via": "on_probe"},
    "tenants": [],
}


def run(*lines, raw=None):
    text = raw if raw is not None else "".join(json.dumps(line) + "\n" for line in lines)
    command = [sys.executable, "-m", "canvasplank.simulator_adapter"]
    done = subprocess.run(command, input=text, capture_output=True, text=True, cwd=ROOT, check=False)
    return done, [json.loads(line) for line in done.stdout.splitlines()]


def open_instances(*instances, options=OPTIONS):
    starts = (["configure", 7, options], ["update", 0, "cached", 1])
    return [
        ["sync", 100.0, 1],
        ["sheet", 0, [["s:1", "here", "std", 0, "on", 1, None], ["s:2", "there", "std", 1, "on", 1, 0]]],
        *([kind, i, *rest] for i in instances for kind, *rest in starts),
        ["end"],
    ]


def deliveries(lines, instance=0):
    return [line for line in lines if line[:2] == ["deliver", instance]]


def request(instance=0, call=CALL, at=110.0, pool=1):
    return ["request", instance, call, at + 3000, 1, 0, None, -1, "91f03b7c55d20a64", None, "reading", pool]


def test_an_empty_batch_is_finished():
    done, lines = run(["sync", 8412.25, 1], ["end"])
    assert (done.returncode, lines) == (0, [["finished", 1]])


def test_a_call_from_request_to_end():
    done, lines = run(
        *open_instances(0),
        ["sync", 110.0, 2], request(), ["end"],
        ["sync", 150.0, 3], ["head_received", 0, CALL, 0, 40.0, "s:2"], ["end"],
        ["sync", 900.0, 4], ["settled", 0, CALL, 0, "s:2", "GOOD", 790.0, True, None, [5, 9, 1, -1]], ["end"],
    )  # fmt: skip
    assert done.returncode == 0, done.stderr
    assert [line[:4] for line in deliveries(lines)] == [["deliver", 0, CALL, "s:2"]]
    assert 0 < deliveries(lines)[0][4] < 3000
    assert [line for line in lines if line[0] == "finished"] == [["finished", n] for n in (1, 2, 3, 4)]
    assert not [line for line in lines if line[0] in ("busy", "surrender", "give_in")]


def test_a_full_processor_has_the_call_retried_elsewhere():
    _, lines = run(
        *open_instances(0),
        ["sync", 110.0, 2], request(), ["end"],
        ["sync", 150.0, 3], ["settled", 0, CALL, 0, "s:2", "FULL", 40.0, False, 3, None], ["end"],
    )  # fmt: skip
    assert len(deliveries(lines)) == 2


def test_instances_share_no_state():
    _, both = run(*open_instances(0, 1), ["sync", 110.0, 2], request(0), request(1), ["end"])
    _, single = run(*open_instances(1), ["sync", 110.0, 2], request(1), ["end"])
    assert deliveries(both, 1) == deliveries(single, 1) != []


def test_a_stopped_instance_restarts_without_state():
    _, lines = run(
        *open_instances(0),
        ["sync", 110.0, 2], request(), ["end"],
        ["sync", 120.0, 3], ["shutdown", 0],
        ["configure", 0, 8, OPTIONS], ["update", 0, 0, "cached", 1], ["end"],
        ["sync", 4000.0, 4], ["ring", 0, "sweep"], request(at=4000.0), ["end"],
    )  # fmt: skip
    assert not [line for line in lines if line[0] in ("surrender", "give_in")]
    assert len(deliveries(lines)) == 2


def test_unused_events_are_ignored():
    unused = ["peer", 0, 1, "aGkgNw=="], ["update", 0, 9, "failed", 2]
    done, lines = run(*open_instances(0), ["sync", 110.0, 2], *unused, ["end"])
    assert done.returncode == 0, done.stderr
    assert lines[-1] == ["finished", 2]


def decode(*messages):
    """Return the events that a ``ControllerHost`` reads from messages of one instance."""
    host = simulator_adapter.ControllerHost()
    list(host.handle_batch(100.0, [["configure", 0, 7, OPTIONS]]))
    return [host._readers[message[0]](message) for message in messages]


def test_circuits_are_reported_unsolicited_and_probe_answers_are_not():
    events = decode(
        ["echo", 0, "s:1", "GOOD", 0.0, [12, 90, -1, -1]],
        ["echo", 0, "s:1", "GOOD", 0.0, [-1, -1, -1, -1]],
        ["echo", 0, "s:1", "GOOD", 1.5, [12, 90, 0.5, 3]],
        ["echo", 0, "s:1", "LATE", 250.0, None],
    )
    assert events == [
        api.CircuitsReported("s:1", 12, 90),
        None,
        api.ProbeAnswered("s:1", True, api.Report(utilisation=0.5, queue=3)),
        api.ProbeAnswered("s:1", False, None),
    ]


@pytest.mark.parametrize(("holds", "hold_ms"), [([9800.0], 9800.0), ([], None), (None, None)])
def test_the_mean_hold_time_is_read_where_it_is_given(holds, hold_ms):
    family = OPTIONS["family_info"] | {"class_hold_ms": holds}
    assert simulator_adapter.read_settings(OPTIONS | {"family_info": family}).classes[0].hold_ms == hold_ms


@pytest.mark.parametrize(
    "raw",
    [
        "not json\n",
        "{}\n",
        "[]\n",
        '["end"]\n',
        '["sync"]\n',
        '["sync",1.0,1]\n',
        '["sync",1.0,1]\n["end"\n',
        '["sync",1.0,1]\n["hangup",3,"x"]\n["end"]\n',
        '["sync",1.0,1]\n["shutdown",3]\n["end"]\n',
    ],
)
def test_a_malformed_frame_gives_one_line_and_exit_status_2(raw):
    done, lines = run(raw=raw)
    assert done.returncode == 2
    assert lines == []
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith("canvasplank.simulator_adapter: ")


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"instances": 0}, "instances"),
        ({"rules": {}}, "stop_sending_within_ms"),
        ({"profiles": []}, "classes"),
        ({"load_report": {"names": [], "via": "by pigeon"}}, "by pigeon"),
    ],
)
def test_invalid_settings_are_named(change, word):
    done, lines = run(*open_instances(0, options=OPTIONS | change)[:3], ["end"])
    assert done.returncode == 0
    assert lines[0][:2] == ["give_in", 0]
    assert word in lines[0][2]
