"""Tests of the soak's processes: one that ends unexpectedly must be reported, not taken for a running one."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys

from experiments.soak.proxies import ProxyProcess, blocks_or_handles
from verification.call_rules import check
from verification.call_trace import CallTrace

TIMEOUT_S = 20.0
STATUS = "Name:\tpython\nSigBlk:\t{blocked}\nSigIgn:\t0000000001001000\nSigCgt:\t{handled}\n"
NONE, HANGUP = "0" * 16, "0000000000000001"


def test_a_signal_is_recognised_as_blocked_or_handled():
    assert blocks_or_handles(STATUS.format(blocked=HANGUP, handled=NONE), signal.SIGHUP)
    assert blocks_or_handles(STATUS.format(blocked=NONE, handled=HANGUP), signal.SIGHUP)
    assert not blocks_or_handles(STATUS.format(blocked=NONE, handled=NONE), signal.SIGHUP)
    assert not blocks_or_handles(STATUS.format(blocked=HANGUP, handled=HANGUP), signal.SIGTERM)


def test_a_process_that_ends_without_sigterm_violates_the_rule_on_exits(tmp_path, monkeypatch):
    async def start(configuration, log, **environment):
        log.touch()
        return await asyncio.create_subprocess_exec(sys.executable, "-c", "input()", stdin=subprocess.PIPE)

    async def run():
        monkeypatch.setattr("experiments.soak.proxies.start_program", start)
        trace = CallTrace(release_wait_s=0.2, drain_grace_s=0.25)
        process = ProxyProcess("p", "127.0.0.1:1", tmp_path, trace)
        await process.start()
        process.collect_end()
        assert check(trace) == []
        process.signal(signal.SIGHUP)
        async with asyncio.timeout(TIMEOUT_S):
            while process.running:
                await asyncio.sleep(0.01)
        process.collect_end()
        assert [violation.text for violation in check(trace)] == [f"p ended with {-signal.SIGHUP}"]

    asyncio.run(run())
