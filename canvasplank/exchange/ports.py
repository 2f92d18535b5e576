"""What the exchange needs of its neighbours: callers, call servers, and whoever records outcomes."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Protocol

from canvasplank import interface as api
from canvasplank.exchange.call_records import CallerRelease, CallRecord, FinalAnswer


class CallerSide(Protocol):
    """The callers' component; ``origin`` is whatever that component gave with a call."""

    def is_reachable(self, origin: Hashable) -> bool:
        """Whether an answer can still be written there."""

    def answer(self, origin: Hashable, call_id: str, description: bytes) -> None:
        """Send the answer that the call is established."""

    def reject(
        self, origin: Hashable, call_id: str, final: FinalAnswer, retry_after_ms: float | None
    ) -> None:
        """Send the answer that the call is refused or has failed."""

    def release(self, origin: Hashable | None, release: CallerRelease) -> None:
        """Send the release of an established call, on any connection, which may be a later one, or none."""

    def wait_for_delivery(self, call_id: str, on_delivered: Callable[[], None]) -> bool:
        """Replace the callback of a release that was sent before and may not be delivered yet.

        False: no release of this call is undelivered, and ``on_delivered`` is not called.
        """

    def remove_call(self, origin: Hashable, call_id: str) -> None:
        """Send nothing more of it there: its caller abandoned or released it, or sent it again elsewhere."""


class ServerSide(Protocol):
    """The call servers' component."""

    def set_up(self, server_id: str, call: CallRecord, attempt: int, wait_ms: float) -> None:
        """Send an attempt, which is given up after ``wait_ms``."""

    def cancel(self, server_id: str, call_id: str, on_sent: Callable[[], None]) -> None:
        """Cancel an unanswered attempt.

        ``on_sent`` is called once, when the cancellation has left this process, or was not needed.
        """

    def release(self, server_id: str | None, call_id: str, cause: int) -> None:
        """Release an established call; without a server, at every server, since any may have it."""

    def probe(self, server_id: str) -> None:
        """Request the load of a server."""


class Recorder(Protocol):
    """A component that records outcomes of calls; its methods must not wait for anything."""

    def call_answered(self, call: CallRecord, final: str, now_ms: float) -> None:
        """A call got its final answer, or its caller abandoned it."""

    def call_ended(self, call: CallRecord, outcome: api.Outcome, now_ms: float) -> None:
        """An established call has ended."""
