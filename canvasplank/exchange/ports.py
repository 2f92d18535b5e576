"""What the exchange needs of its neighbours: callers, call servers and whoever keeps outcomes."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Protocol

from canvasplank import interface as api
from canvasplank.exchange.call_records import CallRecord, FinalAnswer


class CallerSide(Protocol):
    """What the exchange asks of the callers' component; ``origin`` is whatever that component gave."""

    def is_reachable(self, origin: Hashable) -> bool:
        """Whether an answer can still be written there."""

    def answer(self, origin: Hashable, call_id: str, description: bytes) -> None:
        """Tell that the call is established."""

    def reject(
        self, origin: Hashable, call_id: str, final: FinalAnswer, retry_after_ms: float | None
    ) -> None:
        """Tell that the call was refused or has failed."""

    def release(self, origin: Hashable | None, call_id: str, cause: int) -> None:
        """Tell that an established call is over, on any connection."""

    def remove_call(self, origin: Hashable, call_id: str) -> None:
        """Nothing of it is to come there: its caller gave it up, released it, or sent it again elsewhere."""


class ServerSide(Protocol):
    """What the exchange asks of the call servers' component."""

    def set_up(self, server_id: str, call: CallRecord, attempt: int, wait_ms: float) -> None:
        """Send a set-up."""

    def cancel(self, server_id: str, call_id: str) -> None:
        """Give an unanswered set-up up."""

    def release(self, server_id: str | None, call_id: str, cause: int) -> None:
        """End an established call; without a server, wherever it may be."""

    def probe(self, server_id: str) -> None:
        """Ask a server for its load."""


class Recorder(Protocol):
    """Who keeps calls' outcomes, where somebody does; what it is told must cost no wait."""

    def call_answered(self, call: CallRecord, final: str, now_ms: float) -> None:
        """A call got its final answer, or its caller gave it up."""

    def call_ended(self, call: CallRecord, outcome: api.Outcome, now_ms: float) -> None:
        """An established call has ended."""
