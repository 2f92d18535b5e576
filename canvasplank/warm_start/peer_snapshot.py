"""The wire format of a peer's snapshot: what one instance has learned of each call server, and when.

A client sends the line ``view``; the server answers with a length, four bytes in network order, and so many
bytes of MessagePack.  The format has a version of its own, so that an instance of another release is rejected
cleanly rather than misread.  No I/O here: bytes in, a checked snapshot or ``SnapshotError`` out.  Log lines
and counters call a snapshot a view, after the request.
"""

from __future__ import annotations

import struct
from typing import Annotated

import msgspec

from canvasplank import interface as api

FORMAT_VERSION = 1
VIEW_REQUEST = b"view\n"
LENGTH = struct.Struct(">I")
MAX_BYTES = 256 * 1024  # enough for some thousand servers
MAX_SERVERS = 4096

# Figures and Unix milliseconds: finite, and bounded far above any real one.
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class SnapshotError(ValueError):
    """A snapshot that cannot be used; the message is one line."""


class ServerSnapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one instance has learned of one call server; None: not learned, which is not the same as zero."""

    instance_id: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    started_ms: NonNegative | None  # Unix milliseconds of its process's start, as the endpoint list has it
    # Unix milliseconds of the latest observation behind the figures.
    observed_ms: NonNegative = msgspec.field(name="learned_ms")
    rate_per_s: NonNegative | None = None  # set-ups a second it accepted after its last 'processor full'
    slow: bool = False  # its usual response takes as long as waiting does harm
    silent: bool = False  # it had stopped responding


class PeerSnapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that a peer has learned, as of ``taken_ms`` on its Unix clock."""

    version: int
    peer: Annotated[str, msgspec.Meta(max_length=128)]
    taken_ms: NonNegative
    servers: Annotated[list[ServerSnapshot], msgspec.Meta(max_length=MAX_SERVERS)]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerSnapshot)


def make_snapshot(peer: str, learned: list[api.LearnedServer], now_ms: float) -> PeerSnapshot:
    """The snapshot of the instance named ``peer``, from its ``Controller.learned_servers``."""
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
    """The MessagePack of a snapshot, without its length."""
    return _ENCODER.encode(snapshot)


def frame(data: bytes) -> bytes:
    """The response on the wire: the length and the encoded snapshot."""
    return LENGTH.pack(len(data)) + data


def decode(data: bytes) -> PeerSnapshot:
    """The snapshot in the bytes that a peer has sent, without their length.

    Raises ``SnapshotError`` where they are too large, truncated, malformed, of another version, or contain an
    observation later than the snapshot.
    """
    if len(data) > MAX_BYTES:
        raise SnapshotError(f"a view of {len(data)} bytes, more than {MAX_BYTES}")
    try:
        snapshot = _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"a view that cannot be read: {' '.join(str(error).split())}") from error
    if snapshot.version != FORMAT_VERSION:
        raise SnapshotError(f"a view of version {snapshot.version}, not {FORMAT_VERSION}")
    if any(server.observed_ms > snapshot.taken_ms for server in snapshot.servers):
        raise SnapshotError("a view with an observation after it was taken")
    return snapshot
