"""The scheduler: timers run in order, and only after pending input is read."""

from __future__ import annotations

import asyncio
import socket

from canvasplank.runtime.scheduler import Scheduler, TimerQueue, UnixClock


def test_timers_come_due_in_order_and_can_be_cancelled():
    timers, done = TimerQueue(), []
    for name, due_ms in (("c", 30), ("a", 10), ("x", 15), ("b", 20)):
        timer = timers.add(due_ms, lambda name=name: done.append(name))
        if name == "x":
            timers.cancel(timer)
            timers.cancel(timer)
    assert timers.next_due_ms() == 10
    while (due := timers.pop_due(25)) is not None:
        due.action()
    assert done == ["a", "b"] and len(timers) == 1


def test_the_clock_is_constant_in_an_iteration_and_never_decreases():
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


def test_the_unix_clock_goes_on_when_the_system_clock_is_set_back():
    """The clock stopped until the system's clock had caught up, and no time-out fired in that time."""
    unix, steady = iter([1000.0, 1000.1, 940.2, 940.3, 1060.4]), iter([5.0, 5.1, 5.2, 5.3, 5.4])
    clock = UnixClock(lambda: next(unix), lambda: next(steady))
    times_ms = [round(clock()) for _ in range(4)]
    assert times_ms == [1_000_100, 1_000_190, 1_000_280, 1_060_400]


def test_pending_input_is_read_after_a_pause_before_timers_fire():
    """Input that arrived while the process was paused is handled before deadlines passed by then."""
    events = []

    async def run() -> None:
        now = [0.0]
        scheduler = Scheduler(TimerQueue(), clock=lambda: now[0])
        left, right = socket.socketpair()
        right.setblocking(False)

        def read() -> None:
            scheduler.begin_iteration()
            events.append(right.recv(1))

        asyncio.get_running_loop().add_reader(right, read)
        scheduler.call_later(50, lambda: events.append("deadline"))
        scheduler.begin_iteration()
        for _ in range(5):
            await asyncio.sleep(0)
        left.send(b"12")  # read one byte per poll, like input longer than a read buffer
        now[0] = 1000.0
        scheduler.begin_iteration()
        while "deadline" not in events:
            await asyncio.sleep(0)
        asyncio.get_running_loop().remove_reader(right)
        left.close()
        right.close()

    asyncio.run(asyncio.wait_for(run(), 10))
    assert events == [b"1", b"2", "deadline"]


def test_a_failing_timer_does_not_stop_the_others():
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


def test_the_running_loop_is_looked_up_once_an_iteration(monkeypatch):
    """Each look-up is a system call (getpid) in Python 3.11; an iteration made three or more."""
    lookups, get_running_loop = [], asyncio.get_running_loop

    def counted_lookup() -> asyncio.AbstractEventLoop:
        lookups.append(None)
        return get_running_loop()

    async def run() -> bool:
        scheduler = Scheduler(TimerQueue(), clock=lambda: 5.0)
        scheduler.call_later(60_000, lambda: None)
        monkeypatch.setattr(asyncio, "get_running_loop", counted_lookup)
        scheduler.begin_iteration()
        for _ in range(5):
            await asyncio.sleep(0)
        monkeypatch.undo()
        return scheduler._wakeup is not None

    assert asyncio.run(run()), "the iteration has ended, and the next timer wakes the loop up"
    assert len(lookups) == 1
