"""The wire format of a snapshot: what an instance has learned of each call server, and when.

A client sends the line ``view``.  The server responds with a length (four bytes in network order) and that
many bytes of MessagePack.  The format is versioned, so that a snapshot from an incompatible release is
rejected and not misread.  This module does no I/O.  Log lines and counters call a snapshot a view, like the
request.
"""

from __future__ import annotations

import struct
from typing import Annotated

import msgspec

from canvasplank import interface as api

FORMAT_VERSION = 1
VIEW_REQUEST = b"view\n"
LENGTH = struct.Struct(">I")
MAX_BYTES = 256 * 1024  # enough for several thousand servers
MAX_SERVERS = 4096

# Rates and Unix milliseconds: finite, with a limit far above any real value.
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class SnapshotError(ValueError):
    """A snapshot cannot be used; the message is one line."""


class ServerSnapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an instance has learned of one call server; None means not learned, as opposed to zero."""

    instance_id: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    started_ms: NonNegative | None  # Unix time of the start of its process, from the endpoint list
    # Unix time of the latest observation on which the values are based.
    observed_ms: NonNegative = msgspec.field(name="learned_ms")
    rate_per_s: NonNegative | None = None  # set-ups per second accepted after its last 'processor full'
    slow: bool = False  # its usual response time reaches the wait that the policy considers harmful
    silent: bool = False  # it had stopped responding


class PeerSnapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that a peer has learned, as of ``taken_ms`` on its Unix clock."""

    version: int
    peer: Annotated[str, msgspec.Meta(max_length=128)]
    taken_ms: NonNegative
    servers: Annotated[list[ServerSnapshot], msgspec.Meta(max_length=MAX_SERVERS)]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerSnapshot)


def make_snapshot(peer: str, learned: list[api.LearnedServer], now_ms: float) -> PeerSnapshot:
    """Return the snapshot of the instance ``peer``, given its ``Controller.learned_servers()``."""
    servers = [
        ServerSnapshot(
            each.server_id,
            each.started_ms,
            min(each.observed_ms, now_ms),
            each.rate_per_s,
            each.slow,
            each.silent,
        )
        for each in learned
    ]
    return PeerSnapshot(FORMAT_VERSION, peer, now_ms, servers)


def encode(snapshot: PeerSnapshot) -> bytes:
    """Encode a snapshot as MessagePack, without the length prefix."""
    return _ENCODER.encode(snapshot)


def frame(data: bytes) -> bytes:
    """Prefix an encoded snapshot with its length, as a response has it."""
    return LENGTH.pack(len(data)) + data


def decode(data: bytes) -> PeerSnapshot:
    """Decode a snapshot from a peer, without its length prefix.

    Raises ``SnapshotError`` if it is too large, truncated, malformed, of another version, or contains an
    observation later than the snapshot itself.
    """
    if len(data) > MAX_BYTES:
        raise SnapshotError(f"a view of {len(data)} bytes, more than the maximum {MAX_BYTES}")
    try:
        snapshot = _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"the view cannot be read: {' '.join(str(error).split())}") from error
    if snapshot.version != FORMAT_VERSION:
        raise SnapshotError(f"the view has format version {snapshot.version}, not {FORMAT_VERSION}")
    if any(server.observed_ms > snapshot.taken_ms for server in snapshot.servers):
        raise SnapshotError("the view has an observation after it was taken")
    return snapshot
