"""Deadlines and turns: what has arrived is read before time tells anything."""

from __future__ import annotations

import asyncio
import socket

from canvasplank.runtime.scheduler import Scheduler, TimerQueue, UnixClock


def test_they_come_due_in_order_and_can_be_taken_out():
    timers, done = TimerQueue(), []
    for name, at in (("c", 30), ("a", 10), ("x", 15), ("b", 20)):
        timer = timers.add(at, lambda name=name: done.append(name))
        if name == "x":
            timers.cancel(timer)
            timers.cancel(timer)
    assert timers.next_due_ms() == 10
    while (due := timers.pop_due(25)) is not None:
        due.action()
    assert done == ["a", "b"] and len(timers) == 1


def test_the_clock_stands_still_in_a_turn_and_never_runs_back():
    times = iter([100.0, 110.0, 90.0, 90.0, 90.0])
    seen = []

    async def run() -> None:
        scheduler = Scheduler(TimerQueue(), clock=lambda: next(times, 90.0))
        scheduler.begin_iteration()
        scheduler.begin_iteration()
        seen.append(scheduler.now_ms)
        for _ in range(5):
            await asyncio.sleep(0)
        scheduler.begin_iteration()
        seen.append(scheduler.now_ms)

    asyncio.run(run())
    assert seen == [110.0, 110.0]


def test_a_clock_that_is_set_back_goes_on_from_where_it_was():
    """It stood still until the system's had caught up, and no time-out was told."""
    unix, steady = iter([1000.0, 1000.1, 940.2, 940.3, 1060.4]), iter([5.0, 5.1, 5.2, 5.3, 5.4])
    clock = UnixClock(lambda: next(unix), lambda: next(steady))
    told = [round(clock()) for _ in range(4)]
    assert told == [1_000_100, 1_000_190, 1_000_280, 1_060_400]


def test_a_pause_of_ours_is_read_up_before_time_tells():
    """What came while we stood still is told before any deadline that passed meanwhile."""
    told = []

    async def run() -> None:
        now = [0.0]
        scheduler = Scheduler(TimerQueue(), clock=lambda: now[0])
        left, right = socket.socketpair()
        right.setblocking(False)

        def read() -> None:
            scheduler.begin_iteration()
            told.append(right.recv(1))

        asyncio.get_running_loop().add_reader(right, read)
        scheduler.call_later(50, lambda: told.append("deadline"))
        scheduler.begin_iteration()
        for _ in range(5):
            await asyncio.sleep(0)
        left.send(b"12")  # read one byte a look, as a long arrival is
        now[0] = 1000.0
        scheduler.begin_iteration()
        while "deadline" not in told:
            await asyncio.sleep(0)
        asyncio.get_running_loop().remove_reader(right)
        left.close()
        right.close()

    asyncio.run(asyncio.wait_for(run(), 10))
    assert told == [b"1", b"2", "deadline"]


def test_one_action_that_fails_keeps_no_other_from_being_done():
    done = []

    async def run() -> None:
        scheduler = Scheduler(TimerQueue(), clock=lambda: 5.0)
        scheduler.timers.add(1, lambda: 1 / 0)
        scheduler.timers.add(2, lambda: done.append("second"))
        scheduler.begin_iteration()
        for _ in range(5):
            await asyncio.sleep(0)

    asyncio.run(run())
    assert done == ["second"]
