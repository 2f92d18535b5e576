"""Passes events to the decision module one at a time and executes its actions in order."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

from canvasplank import interface as api
from canvasplank.runtime.scheduler import Scheduler

LOG = logging.getLogger(__name__)
Decide = Callable[[float, api.Event], list[api.Action]]  # the decision module: (time in ms, event)


class EventDispatcher:
    """The queue of events between the exchange and the decision module."""

    def __init__(self, scheduler: Scheduler, decide: Decide, execute: Callable[[api.Action], None]) -> None:
        self._scheduler, self._decide, self._execute = scheduler, decide, execute
        self._events: deque[api.Event] = deque()
        self._dispatching = False

    def dispatch(self, event: api.Event) -> None:
        """Pass an event to the decision module and execute the actions that it returns.

        An event that an action causes is queued, and passed on once all actions of the current event are
        executed.
        """
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._dispatching = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self._decide(self._scheduler.now_ms, event)
        except Exception:  # a failed decision must not end the process and its other calls
            LOG.exception("decision module raised an exception on a %s event", type(event).__name__)
            return
        for action in actions:
            self._execute(action)
