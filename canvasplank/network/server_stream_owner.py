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
    """The owner of connections to call servers, which handles their events: ``ServerConnections``."""

    exchange: Exchange
    budget: BufferBudget
    disconnecting: bool  # whether the program is shutting down, so that messages are ignored
    on_message: Callable[[ServerStreamT, sip.Message], None]  # raises ``BadMessageError``

    def on_connected(self, stream: ServerStreamT) -> None:
        """Handle the establishment of a connection."""

    def on_disconnected(self, stream: ServerStreamT) -> None:
        """Handle the end of a connection."""

    def keep_reading(self, ended: EndedStream) -> None:
        """Continue to read a connection that we have ended, since it may carry more messages."""

    def on_message_after_end(
        self, stream: ServerStreamT, message: sip.Message, write: Callable[[bytes], None]
    ) -> None:
        """Handle a release or positive answer found behind a bad message or after our end of the connection.

        ``write`` sends a response if that is still possible.
        """
