"""The interfaces that the exchange uses: the callers' side, the servers' side and the recorder."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Protocol

from canvasplank import interface as api
from canvasplank.exchange.call_records import CallerRelease, CallRecord, FinalAnswer


class CallerSide(Protocol):
    """The component for callers; ``origin`` identifies a connection, as in ``CallRecord.origin``."""

    def is_reachable(self, origin: Hashable) -> bool:
        """Return whether an answer can still be written to this connection."""

    def answer(self, origin: Hashable, call_id: str, description: bytes) -> None:
        """Send the answer that the call is established."""

    def reject(
        self, origin: Hashable, call_id: str, final: FinalAnswer, retry_after_ms: float | None
    ) -> None:
        """Send the answer that the call is refused or has failed."""

    def release(self, origin: Hashable | None, release: CallerRelease) -> None:
        """Send the release of an established call on ``origin`` or on any other connection, now or later."""

    def wait_for_delivery(self, call_id: str, on_delivered: Callable[[], None]) -> bool:
        """Replace the callback of a release that may not be delivered yet.

        Return False, and never call ``on_delivered``, if the call has no undelivered release.
        """

    def remove_call(self, origin: Hashable, call_id: str) -> None:
        """Send no more for this call on this connection: the call is over, or was set up on another."""


class ServerSide(Protocol):
    """The component for call servers."""

    def set_up(self, server_id: str, call: CallRecord, attempt: int, wait_ms: float) -> None:
        """Send an attempt, which times out after ``wait_ms``."""

    def cancel(self, server_id: str, call_id: str, on_sent: Callable[[], None]) -> None:
        """Cancel an unanswered attempt.

        ``on_sent`` is called once: when the cancellation has left this process, or if none is needed.
        """

    def release(self, server_id: str | None, call_id: str, cause: int) -> None:
        """Release an established call; with ``server_id`` None at every server, since any may have it."""

    def probe(self, server_id: str) -> None:
        """Request a load report from a server."""


class Recorder(Protocol):
    """A component that records the outcomes of calls; its methods must not block."""

    def call_answered(self, call: CallRecord, final: str, now_ms: float) -> None:
        """Record that a call got its final answer, or that its caller abandoned it."""

    def call_ended(self, call: CallRecord, outcome: api.Outcome, now_ms: float) -> None:
        """Record that an established call has ended."""
