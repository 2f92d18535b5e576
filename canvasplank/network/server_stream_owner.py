"""The interface through which a connection to a call server reports its events to its owner."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from canvasplank.codecs import sip
from canvasplank.exchange.exchange import Exchange
from canvasplank.network.ended_connection import EndedStream
from canvasplank.network.stream import BufferBudget

# ``ServerStream``, whose module imports this one.
ServerStreamT = TypeVar("ServerStreamT")


class ServerStreamOwner(Protocol[ServerStreamT]):
    """What holds the connections and acts on their events: see ``ServerConnections``."""

    exchange: Exchange
    budget: BufferBudget
    disconnecting: bool  # the program is shutting down: messages are not acted on any more
    on_message: Callable[[ServerStreamT, sip.Message], None]  # raises ``BadMessageError``

    def on_connected(self, stream: ServerStreamT) -> None:
        """It is established."""

    def on_disconnected(self, stream: ServerStreamT) -> None:
        """It has ended."""

    def keep_reading(self, ended: EndedStream) -> None:
        """It was ended by us, and may carry more."""

    def on_message_after_end(
        self, stream: ServerStreamT, message: sip.Message, write: Callable[[bytes], None]
    ) -> None:
        """A release or a positive answer was found behind its end; ``write`` responds if that is possible."""
