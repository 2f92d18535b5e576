"""Tests of the endpoint cache: its format, its use by age, and starts while discovery is unreachable."""

from __future__ import annotations

import asyncio
import signal
import threading
import time

import pytest
from conftest import Gateway, ready, settings

from canvasplank import interface as api
from canvasplank.config.configuration import ConfigurationError
from canvasplank.config.discovery_events import DiscoveryEvent, Endpoint, EndpointListUpdate
from canvasplank.endpoint_cache import cache_file, writer
from canvasplank.endpoint_cache.bootstrap import MAX_AGE_MS, MAX_FRESH_AGE_MS, plan_bootstrap
from canvasplank.endpoint_cache.cached_list import (
    FORMAT_VERSION,
    MAX_BYTES,
    CachedEndpoint,
    CachedEndpointList,
    CachedListError,
    decode,
    encode,
)
from canvasplank.endpoint_cache.config import load_endpoint_cache_settings
from canvasplank.endpoint_cache.endpoint_list import EndpointList
from canvasplank.runtime.scheduler import Scheduler, TimerQueue
from emulators.callers import Callers
from emulators.fleet import fleet
from emulators.server import CallServer

NOW = 1_800_000_000_000.0
HOUR_MS = 3_600_000.0
WAIT_S = 20.0
A = CachedEndpoint("s-a", "10.0.0.1:5060", "ready", 0, 1_700_000_000_000.0)
B = CachedEndpoint("s-b", "10.0.0.2:5060", "draining", 1)


def cached(age_ms: float = 0.0, *servers: CachedEndpoint) -> CachedEndpointList:
    return CachedEndpointList(FORMAT_VERSION, NOW - age_ms, list(servers or (A, B)))


def discovery_event(number: int, reset: bool, **states: str) -> DiscoveryEvent:
    instances = [Endpoint(f"s-{name}", f"10.0.0.{name}:1", state) for name, state in states.items()]
    return DiscoveryEvent(number, EndpointListUpdate(instances, reset))


def test_a_list_is_encoded_and_decoded_unchanged():
    assert decode(encode(cached())) == cached()


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"", "cannot be read"),
        (encode(cached())[:-20], "cannot be read"),  # truncated
        (encode(cached()).replace(b"host_port", b"host_part"), "cannot be read"),
        (encode(CachedEndpointList(2, NOW, [A])), "version 2"),
        (encode(cached(0.0, A, A)), "twice"),
        (b" " * (MAX_BYTES + 1), "more than"),
        (encode(cached()).replace(b"ready", b"\xff\xfe"), "cannot be read"),
    ],
)
def test_a_list_that_cannot_be_decoded_is_not_used(data, message, tmp_path, caplog):
    with pytest.raises(CachedListError, match=message):
        decode(data)
    (tmp_path / "servers.json").write_bytes(data)
    assert cache_file.read_cached_list(str(tmp_path / "servers.json")) is None
    assert len(caplog.records) == 1 and "not using the cached endpoint list" in caplog.text


@pytest.mark.parametrize(
    ("age_ms", "names", "stale"),
    [
        (MAX_FRESH_AGE_MS, ["s-a", "s-b"], False),  # unchanged, including the draining endpoint
        (MAX_FRESH_AGE_MS + 1, ["s-a"], True),
        (HOUR_MS, ["s-a"], True),
        (MAX_AGE_MS, ["s-a"], True),
        (-5_000.0, ["s-a"], True),  # dated ahead: a clock was set back
    ],
)
def test_age_decides_which_endpoints_are_used_and_at_what_rate(age_ms, names, stale):
    plan = plan_bootstrap(cached(age_ms), NOW, proxies=6)
    assert [i.instance_id for i in plan.endpoints] == names
    assert plan.stale is stale
    assert plan.hints == [api.WarmStartHint(name, 1.0, eject=False) for name in names if stale]
    assert plan.endpoints[0].started_at_ms == A.started_at_ms, "the start time identifies the process"


@pytest.mark.parametrize("unusable", [cached(MAX_AGE_MS + 1), cached(HOUR_MS, B)])
def test_a_list_too_old_or_without_a_usable_endpoint_is_not_used(unusable):
    assert plan_bootstrap(unusable, NOW, proxies=1) is None


def test_servers_that_have_just_started_are_not_overloaded_after_a_start_from_a_stale_list():
    """Four proxies start from a list an hour old, each with ten calls a second for one server."""

    def sent_in_three_seconds(*hints: api.WarmStartHint) -> int:
        sent = 0
        for seed in range(4):
            gateway = Gateway(settings(instances=4), seed)
            gateway.servers(ready("s-a", 0))
            for hint in hints:
                gateway.handle(hint)
            gateway.answer_delays_ms["s-a"] = 40
            for _ in range(30):
                gateway.call(first=0)
                gateway.advance_to(gateway.now + 100)
            sent += sum(isinstance(action, api.SetUp) for _, action in gateway.action_log)
        return sent

    # Set-ups that overload a cold server with a capacity of 20 calls/s: tip_multiple * cold_share * capacity
    # * overload_for_ms in seconds.
    budget = 4 * 0.29 * 20 * 3
    assert sent_in_three_seconds(*plan_bootstrap(cached(HOUR_MS), NOW, proxies=4).hints) < budget
    assert sent_in_three_seconds() > budget, "more set-ups without hints"


def test_the_endpoint_list_is_incomplete_until_a_complete_list_arrives():
    endpoint_list = EndpointList([], NOW)
    endpoint_list.on_discovery_event(discovery_event(2, reset=False, a="ready"), NOW)
    assert not endpoint_list.is_complete, "a fragment must not replace the list on disk"
    endpoint_list.on_discovery_event(discovery_event(3, reset=True, a="ready", b="ready"), NOW + 1)
    endpoint_list.on_discovery_event(discovery_event(4, reset=False, b="gone", c="draining"), NOW + 2)
    endpoint_list.confirm(NOW + 9)
    endpoint_list.confirm(NOW + 5)
    assert {s.instance_id: s.lifecycle for s in endpoint_list.snapshot().endpoints} == {
        "s-a": "ready",
        "s-c": "draining",
    }
    assert endpoint_list.snapshot().as_of_ms == NOW + 9


def test_a_write_that_fails_leaves_the_old_file_and_is_logged_once(tmp_path, caplog):
    path = tmp_path / "servers.json"
    cache_file.write_cached_list(str(path), cached())
    before = path.read_bytes()

    async def run():
        endpoint_list = EndpointList([Endpoint("s-c", "10.0.0.3:1", "ready")], NOW)
        list_writer = writer.EndpointListWriter(
            str(path), endpoint_list, Scheduler(TimerQueue(), lambda: NOW), lambda: None
        )
        (tmp_path / "servers.json.new").mkdir()  # blocks the temporary file
        await list_writer.close()
        await list_writer.close()
        assert path.read_bytes() == before
        (tmp_path / "servers.json.new").rmdir()
        await list_writer.close()

    asyncio.run(run())
    assert [s.instance_id for s in decode(path.read_bytes()).endpoints] == ["s-c"]
    assert caplog.text.count("cannot write the endpoint list") == 1


@pytest.mark.parametrize("changes_meanwhile", [True, False])
def test_a_write_in_progress_at_the_end_is_completed_and_later_changes_are_written(
    tmp_path, monkeypatch, caplog, changes_meanwhile
):
    """Guards against skipping the last write because the thread is still busy with an earlier one."""
    path = tmp_path / "servers.json"
    started, may_continue = threading.Event(), threading.Event()

    def slow_write(*arguments):
        started.set()
        may_continue.wait(WAIT_S)
        cache_file.write_cached_list(*arguments)

    monkeypatch.setattr(writer, "write_cached_list", slow_write)
    monkeypatch.setattr(writer, "FINAL_WRITE_TIMEOUT_S", WAIT_S)

    async def run():
        endpoint_list = EndpointList([Endpoint("s-a", "10.0.0.1:1", "ready")], NOW)
        scheduler = Scheduler(TimerQueue(), lambda: NOW)
        list_writer = writer.EndpointListWriter(str(path), endpoint_list, scheduler, lambda: None)
        list_writer.start()
        await asyncio.to_thread(started.wait, WAIT_S)
        if changes_meanwhile:
            list_writer.on_discovery_event(discovery_event(2, reset=False, b="ready"))
        closing = asyncio.ensure_future(list_writer.close())
        await asyncio.sleep(0)
        may_continue.set()
        await closing

    asyncio.run(run())
    written = {endpoint.instance_id for endpoint in decode(path.read_bytes()).endpoints}
    assert written == ({"s-a", "s-b"} if changes_meanwhile else {"s-a"})
    assert "cannot write the endpoint list" not in caplog.text


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "path"),
        ('path = ""', "length"),
        ('path = "x"\ntrusted_ms = 9\nmost_age_ms = 3', "more than"),
        ('path = "x"\ncolour = 1', "colour"),
    ],
)
def test_invalid_settings_are_rejected(tmp_path, text, message):
    (tmp_path / "membership.toml").write_text(text)
    with pytest.raises(ConfigurationError, match=message):
        load_endpoint_cache_settings(str(tmp_path / "membership.toml"))


def outcomes(callers: Callers, address: str | None = None) -> set[str]:
    return {attempt.outcome for attempt in callers.calls.values() if address in (None, attempt.proxy)}


@pytest.mark.parametrize("age_ms", [0.0, HOUR_MS])
def test_calls_are_served_from_the_cached_list_until_discovery_replaces_it(tmp_path, age_ms):
    """A first process caches the list and is killed.  A second starts while discovery is unreachable and one
    server has gone.  Then discovery is back, with a new server in place of that one.
    """

    async def run():
        a, b, gone, new = (CallServer(f"s-{n}", 200.0, hold_ms=3000.0) for n in ("a", "b", "gone", "new"))
        path, file = tmp_path / "servers.json", tmp_path / "membership.toml"
        file.write_text(f'path = "{path}"\n')
        async with fleet(tmp_path, [a, b, gone], 1) as started:
            started.endpoints_in_configuration = False
            first = await started.proxy("n0", 1, CANVASPLANK_MEMBERSHIP=str(file))
            async with asyncio.timeout(WAIT_S):
                while not path.exists():
                    await asyncio.sleep(0.05)
            await first.stop(signal.SIGKILL)
            await gone.stop()
            await started.discovery.stop()
            saved = decode(path.read_bytes())
            assert len(saved.endpoints) == 3
            path.write_bytes(
                encode(CachedEndpointList(FORMAT_VERSION, time.time() * 1000 - age_ms, saved.endpoints))
            )

            proxy = await started.proxy("n0", 2, CANVASPLANK_MEMBERSHIP=str(file))
            callers = Callers(1, pools=3)
            await callers.add_proxy(proxy.address)
            await callers.offer(15.0, 1.5)
            await callers.wait_until_answered(WAIT_S)
            assert outcomes(callers) == {"served"}, proxy.text()

            await new.start()
            started.servers.append(new)
            started.discovery.clear_events()
            await started.list(a, b, new)
            await started.discovery.start()
            set_ups_before = new.set_ups
            async with asyncio.timeout(WAIT_S):
                while new.set_ups == set_ups_before:  # the new list must apply within WAIT_S
                    await callers.offer(15.0, 0.3)
            async with asyncio.timeout(WAIT_S):  # calls established before then must end as usual
                while any(
                    t.outcome == "open" or (t.outcome == "served" and t.released_s is None)
                    for t in callers.calls.values()
                ):
                    await asyncio.sleep(0.05)
            assert outcomes(callers) == {"served"}, proxy.text()
            assert all(attempt.answers == 1 for attempt in callers.calls.values())
            ended_early = [t for t in callers.calls.values() if t.released_s - t.answered_s < 2.5]
            await callers.stop()
            assert await proxy.stop() == 0
            assert not ended_early, (
                "an established call was cut when discovery's list replaced the cached one"
            )
            assert {s.instance_id for s in decode(path.read_bytes()).endpoints} == {"s-a", "s-b", "s-new"}
            return proxy.text()

    log = asyncio.run(run())
    assert "starting from the cached endpoint list" in log
    stale = age_ms > MAX_FRESH_AGE_MS
    assert (", stale: slow start" in log) is stale and ("hints=3" in log) is stale, (
        "the controller must have received the hints"
    )
